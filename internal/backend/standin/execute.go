package standin

import (
	"database/sql/driver"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
)

// run executes the statement of a portal and stores the result in the portal.
func (s *session) run(p *portal) error {
	st := p.prepared.st
	p.executed = true
	if err := s.checkTransactionState(st); err != nil {
		return err
	}
	// A statement that was received before the instance was frozen runs only
	// after the freeze ends.
	if err := s.inst.settings.waitUnblocked(s.ctx, noPeer); err != nil {
		return err
	}
	s.tx.open = true
	err := s.runKind(p)
	s.record(p, err)
	return err
}

func (s *session) record(p *portal, err error) {
	e := ExecutedStatement{SQL: p.prepared.st.text, User: s.user, At: time.Now()}
	for _, arg := range p.args {
		e.Args = append(e.Args, arg.Value)
	}
	if err != nil {
		e.SQLState = s.describeError(err).code
	}
	s.inst.recorder.add(e)
}

func (s *session) runKind(p *portal) error {
	st := p.prepared.st
	switch st.kind {
	case kindRead:
		return s.runRead(p)
	case kindLock, kindWrite, kindSchema:
		return s.runWrite(p)
	case kindFunction:
		return s.runFunction(p)
	case kindUnsupported:
		return failf(stateFeatureNotSupported, "%s is not supported by the stand-in", st.tag)
	case kindShow:
		return s.runShow(p)
	case kindBegin, kindCommit, kindRollback, kindSavepoint, kindRelease, kindRollbackTo:
		tag, err := s.transactionStatement(st)
		p.tag = tag
		return err
	}
	p.tag = st.tag
	return s.runUtility(st)
}

func (s *session) runRead(p *portal) error {
	if w := s.tx.writer; w != nil && w.isAborted() {
		return errTransactionAborted
	}
	ctx, done := s.statementContext()
	defer done()
	release, err := s.acquireSlot(ctx)
	if err != nil {
		return err
	}
	defer release()
	res, err := s.currentDatabase().run(p.prepared.st, p.args, time.Now())
	if err != nil {
		return err
	}
	p.setResult(res)
	return nil
}

func (s *session) runWrite(p *portal) error {
	st := p.prepared.st
	ctx, done := s.statementContext()
	defer done()
	// Acquire the writer before the slot: if statements waiting for the writer
	// held all slots, the transaction that holds the writer could not proceed.
	w, err := s.claimWriter(ctx, strings.TrimSuffix(st.tag, " 0"))
	if err != nil {
		return err
	}
	release, err := s.acquireSlot(ctx)
	if err != nil {
		return err
	}
	defer release()
	if w.isAborted() {
		return errTransactionAborted
	}
	at := time.Now()
	res, err := w.db.run(st, p.args, at)
	if err != nil {
		return err
	}
	p.setResult(res)
	if st.kind == kindSchema || st.kind == kindWrite && res.affected > 0 {
		s.tx.changes = append(s.tx.changes, logStatement{
			sql: st.sql, schema: st.kind == kindSchema, args: argumentValues(p.args), at: at,
		})
	}
	return nil
}

func argumentValues(args []driver.NamedValue) []driver.Value {
	out := make([]driver.Value, len(args))
	for i, a := range args {
		out[i] = a.Value
	}
	return out
}

// setResult stores a result and its command tag in the portal.
func (p *portal) setResult(res *result) {
	st := p.prepared.st
	p.rows = res.rows
	if p.columns == nil {
		p.columns = res.columns
	}
	p.tag = st.tag
	if st.kind != kindSchema {
		p.tag += " " + strconv.FormatInt(res.affected, 10)
	}
}

// runUtility executes statements that change only session state.
func (s *session) runUtility(st *statement) error {
	switch st.kind {
	case kindSet:
		return s.setParameter(st.name, st.value, st.local)
	case kindSetTransaction:
		if !st.local {
			return s.setParameter("default_transaction_read_only", onOff(st.readOnly), false)
		}
		s.tx.readOnly = s.tx.readOnly || st.readOnly
	case kindReset:
		if st.name == "all" {
			s.resetParameters()
			return nil
		}
		return s.setParameter(st.name, "DEFAULT", false)
	case kindDiscard:
		if s.tx.explicit {
			return failf(stateActiveTransaction, "%s cannot run inside a transaction block", st.tag)
		}
		if strings.HasSuffix(st.tag, " ALL") {
			s.resetParameters()
			clear(s.statements)
		}
	case kindDeallocate:
		if st.name == "" {
			clear(s.statements)
			return nil
		}
		if _, err := s.preparedStatement(st.name); err != nil {
			return err
		}
		delete(s.statements, st.name)
	}
	return nil
}

func (s *session) runShow(p *portal) error {
	st := p.prepared.st
	name := st.name
	if name == "transactionisolationlevel" {
		name = "transaction_isolation"
	}
	if name == "timezone" || name == "time zone" {
		name = "timezone"
	}
	value, ok := s.lookupParameter(name)
	if !ok {
		return failf(stateUndefinedObject, "unrecognized configuration parameter %q", st.name)
	}
	p.setText(value)
	p.tag = "SHOW"
	return nil
}

// setText sets the result to one row with a single text column.
func (p *portal) setText(value string) {
	p.columns, p.oids = functionColumns(p.prepared.st)
	p.rows = [][]driver.Value{{value}}
	p.tag = "SELECT 1"
}

// functionColumns returns the result columns of a statement that the session
// executes without SQLite: SHOW or a function of specialFunctions.
func functionColumns(st *statement) ([]column, []uint32) {
	oid := uint32(pgtype.TextOID)
	if st.kind == kindFunction {
		oid = specialFunctions[st.name].result
	}
	return []column{{name: st.name}}, []uint32{oid}
}
