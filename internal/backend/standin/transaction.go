package standin

import (
	"context"
	"maps"
	"strings"

	"github.com/bramleylever/bramleylever/position"
)

// transaction is the state of a session's open transaction. The zero value is
// none. An implicit one ends with the simple query or at Sync.
type transaction struct {
	open     bool
	explicit bool
	failed   bool
	readOnly bool
	writer   *writer // claimed by the first write
	changes  []logStatement
	saves    []savepoint

	saved map[string]string // parameters before the first SET
	local []string          // parameters of SET LOCAL
}

// savepoint is a savepoint and the number of changes that were made before it.
type savepoint struct {
	name    string
	changes int
}

// status returns the byte of ReadyForQuery.
func (t *transaction) status() byte {
	switch {
	case !t.explicit:
		return 'I'
	case t.failed:
		return 'E'
	}
	return 'T'
}

// fail marks the open transaction so that it can only be rolled back.
func (t *transaction) fail() {
	if t.open {
		t.failed = true
	}
}

// saveParameters keeps the values that a rollback restores.
func (t *transaction) saveParameters(current map[string]string) {
	if t.open && t.saved == nil {
		t.saved = maps.Clone(current)
	}
}

// claimWriter makes the transaction a write transaction.
func (s *session) claimWriter(ctx context.Context, what string) (*writer, error) {
	t := &s.tx
	if t.writer != nil {
		if t.writer.isAborted() {
			return nil, errTransactionAborted
		}
		return t.writer, nil
	}
	if t.readOnly {
		return nil, readOnlyError(what)
	}
	w, err := s.inst.acquireWriter(ctx, what)
	if err != nil {
		return nil, err
	}
	if err := w.db.runCommand("BEGIN"); err != nil {
		w.release()
		return nil, err
	}
	for _, sp := range t.saves {
		if err := w.db.runCommand("SAVEPOINT " + quoteName(sp.name)); err != nil {
			_ = w.db.runCommand("ROLLBACK")
			w.release()
			return nil, err
		}
	}
	t.writer = w
	return w, nil
}

// commit ends the open transaction. It returns false if the transaction had
// failed and was rolled back.
func (s *session) commit() (bool, error) {
	if s.tx.failed {
		s.rollback()
		return false, nil
	}
	t := s.tx
	if t.writer == nil {
		s.finish(true)
		return true, nil
	}
	p, err := s.inst.commit(t.writer, t.changes)
	if err != nil {
		s.rollback()
		return false, err
	}
	s.tx.writer = nil
	s.finish(true)
	s.committed(p)
	return true, nil
}

func (s *session) committed(p position.Position) {
	if !p.IsZero() {
		s.lastCommit = p
		s.commitReport = p
	}
}

// rollback undoes the open transaction, if there is one.
func (s *session) rollback() {
	if w := s.tx.writer; w != nil {
		_ = w.db.runCommand("ROLLBACK")
		w.release()
		s.tx.writer = nil
	}
	s.finish(false)
}

// finish restores the parameters that end with the transaction.
func (s *session) finish(committed bool) {
	t := &s.tx
	if t.saved != nil && !committed {
		s.parameters = t.saved
	}
	if t.saved != nil && committed {
		for _, name := range t.local {
			if value, ok := t.saved[name]; ok {
				s.parameters[name] = value
			} else {
				delete(s.parameters, name)
			}
		}
	}
	changed := t.saved != nil
	s.tx = transaction{}
	if changed {
		s.reportChanged()
	}
}

// endImplicit commits an implicit transaction at Sync.
func (s *session) endImplicit() {
	if !s.tx.open || s.tx.explicit {
		return
	}
	if _, err := s.commit(); err != nil {
		s.backend.Send(s.describeError(err).response())
	}
	clear(s.portals)
}

// transactionStatement executes BEGIN, COMMIT, ROLLBACK and savepoints. It
// returns the command tag.
func (s *session) transactionStatement(st *statement) (string, error) {
	t := &s.tx
	switch st.kind {
	case kindBegin:
		t.open, t.explicit = true, true
		t.readOnly = t.readOnly || st.readOnly || s.parameter("default_transaction_read_only") == "on"
		return st.tag, nil
	case kindCommit:
		ok, err := s.commit()
		if !ok {
			return "ROLLBACK", err
		}
		return "COMMIT", err
	case kindRollback:
		s.rollback()
		return "ROLLBACK", nil
	}
	if !t.explicit {
		return "", failf(stateNoTransaction, "%s can only be used in transaction blocks", st.tag)
	}
	return st.tag, s.savepointStatement(st)
}

func (s *session) savepointStatement(st *statement) error {
	t := &s.tx
	if st.kind == kindSavepoint {
		if t.writer != nil {
			if err := t.writer.db.runCommand("SAVEPOINT " + quoteName(st.name)); err != nil {
				return err
			}
		}
		t.saves = append(t.saves, savepoint{st.name, len(t.changes)})
		return nil
	}
	at := len(t.saves) - 1
	for at >= 0 && !strings.EqualFold(t.saves[at].name, st.name) {
		at--
	}
	if at < 0 {
		return failf("3B001", "savepoint %q does not exist", st.name)
	}
	if st.kind == kindRelease {
		t.saves = t.saves[:at]
		return s.writerCommand("RELEASE " + quoteName(st.name))
	}
	if err := s.writerCommand("ROLLBACK TO " + quoteName(st.name)); err != nil {
		return err
	}
	t.changes = t.changes[:t.saves[at].changes]
	t.saves = t.saves[:at+1]
	t.failed = false
	return nil
}

func (s *session) writerCommand(sql string) error {
	w := s.tx.writer
	if w == nil {
		return nil
	}
	if w.isAborted() {
		return errTransactionAborted
	}
	return w.db.runCommand(sql)
}

func quoteName(name string) string { return `"` + strings.ReplaceAll(name, `"`, `""`) + `"` }
