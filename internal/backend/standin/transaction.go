package standin

import (
	"context"
	"maps"
	"strings"

	"github.com/bramleylever/bramleylever/position"
)

// transaction is the state of a session's open transaction. The zero value means
// that none is open. An implicit transaction ends with the simple query or at Sync.
type transaction struct {
	open       bool
	explicit   bool
	failed     bool
	readOnly   bool
	writer     *writer // acquired by the first write or row lock
	changes    []logStatement
	savepoints []savepoint

	savedParameters map[string]string // parameter values before the first SET
	localParameters []string          // names of the parameters set by SET LOCAL
}

// savepoint is the name of a savepoint and the number of changes made before it.
type savepoint struct {
	name    string
	changes int
}

// status returns the transaction status byte of ReadyForQuery.
func (t *transaction) status() byte {
	switch {
	case !t.explicit:
		return 'I'
	case t.failed:
		return 'E'
	}
	return 'T'
}

// markFailed marks the open transaction so that it can only be rolled back.
func (t *transaction) markFailed() {
	if t.open {
		t.failed = true
	}
}

// saveParameters saves the parameter values that a rollback restores.
func (t *transaction) saveParameters(current map[string]string) {
	if t.open && t.savedParameters == nil {
		t.savedParameters = maps.Clone(current)
	}
}

// claimWriter returns the writer of the open transaction. If the transaction has
// none, it acquires the writer, begins the transaction in SQLite and creates the
// savepoints that exist already. tag is the command tag for error messages.
func (s *session) claimWriter(ctx context.Context, tag string) (*writer, error) {
	t := &s.tx
	if t.writer != nil {
		if t.writer.isAborted() {
			return nil, errTransactionAborted
		}
		return t.writer, nil
	}
	if t.readOnly {
		return nil, readOnlyError(tag)
	}
	w, err := s.inst.acquireWriter(ctx, tag)
	if err != nil {
		return nil, err
	}
	if err := w.db.runCommand("BEGIN"); err != nil {
		w.release()
		return nil, err
	}
	for _, sp := range t.savepoints {
		if err := w.db.runCommand("SAVEPOINT " + quoteName(sp.name)); err != nil {
			_ = w.db.runCommand("ROLLBACK")
			w.release()
			return nil, err
		}
	}
	t.writer = w
	return w, nil
}

// commit ends the open transaction. It returns false if the transaction was
// rolled back instead, because it had failed or the commit failed.
func (s *session) commit() (bool, error) {
	if s.tx.failed {
		s.rollback()
		return false, nil
	}
	t := s.tx
	if t.writer == nil {
		s.endTransaction(true)
		return true, nil
	}
	p, err := s.inst.commit(t.writer, t.changes)
	if err != nil {
		s.rollback()
		return false, err
	}
	s.tx.writer = nil
	s.endTransaction(true)
	s.recordCommit(p)
	return true, nil
}

// recordCommit stores the position of a commit, which is sent to the client with
// the next ReadyForQuery. A zero position is ignored.
func (s *session) recordCommit(p position.Position) {
	if !p.IsZero() {
		s.lastCommit = p
		s.unreportedCommit = p
	}
}

// rollback rolls back the open transaction, if there is one.
func (s *session) rollback() {
	if w := s.tx.writer; w != nil {
		_ = w.db.runCommand("ROLLBACK")
		w.release()
		s.tx.writer = nil
	}
	s.endTransaction(false)
}

// endTransaction clears the transaction state and restores the parameters that
// were valid only within the transaction.
func (s *session) endTransaction(committed bool) {
	t := &s.tx
	if t.savedParameters != nil && !committed {
		s.parameters = t.savedParameters
	}
	if t.savedParameters != nil && committed {
		for _, name := range t.localParameters {
			if value, ok := t.savedParameters[name]; ok {
				s.parameters[name] = value
			} else {
				delete(s.parameters, name)
			}
		}
	}
	changed := t.savedParameters != nil
	s.tx = transaction{}
	if changed {
		s.reportChanged()
	}
}

// endImplicitTransaction commits an implicit transaction at Sync or at the end of
// a simple query.
func (s *session) endImplicitTransaction() {
	if !s.tx.open || s.tx.explicit {
		return
	}
	if _, err := s.commit(); err != nil {
		s.backend.Send(s.describeError(err).response())
	}
	clear(s.portals)
}

// transactionStatement executes BEGIN, COMMIT, ROLLBACK and the savepoint
// statements. It returns the command tag.
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
		t.savepoints = append(t.savepoints, savepoint{st.name, len(t.changes)})
		return nil
	}
	at := len(t.savepoints) - 1
	for at >= 0 && !strings.EqualFold(t.savepoints[at].name, st.name) {
		at--
	}
	if at < 0 {
		return failf("3B001", "savepoint %q does not exist", st.name)
	}
	if st.kind == kindRelease {
		t.savepoints = t.savepoints[:at]
		return s.writerCommand("RELEASE " + quoteName(st.name))
	}
	if err := s.writerCommand("ROLLBACK TO " + quoteName(st.name)); err != nil {
		return err
	}
	t.changes = t.changes[:t.savepoints[at].changes]
	t.savepoints = t.savepoints[:at+1]
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
