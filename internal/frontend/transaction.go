package frontend

import (
	"github.com/bramleylever/bramleylever/internal/pool"
	"github.com/bramleylever/bramleylever/internal/wire"
)

// failTransaction rolls back an open transaction and returns its connection to
// the pool. For the caller the transaction has failed and still has to be ended.
func (s *session) failTransaction() {
	if s.st.status != 'I' {
		s.st.status = 'E'
		s.st.backendRolledBack = true
	}
	c := s.conn
	if c == nil {
		return
	}
	clean := !s.st.unsynced && s.rollback(c)
	s.st.unsynced = false
	s.st.parameters = s.st.savedParameters
	s.returnConn(c, clean)
}

// rollback rolls back the transaction on a backend connection and reports whether
// the connection can be reused.
func (s *session) rollback(c *pool.Conn) bool {
	s.ownPlan = plan{}
	s.x.reset(s.st, c, &s.ownPlan, s.out)
	s.x.expect(pendingRequest{kind: pendingCommand, hidden: true})
	c.Out.SetBuffer(wire.AppendQuery(c.Out.Buffer(), "ROLLBACK"))
	if c.Out.Flush() != nil || s.relay(c) != nil {
		return false
	}
	return s.x.commandErr == nil && s.x.commandStatus == 'I' && sameParameters(s.st.parameters, s.st.savedParameters)
}

func sameParameters(a, b map[string]string) bool {
	if len(a) != len(b) {
		return false
	}
	for name, value := range a {
		if other, ok := b[name]; !ok || other != value {
			return false
		}
	}
	return true
}

// handleLostTransaction handles the failure of a connection in a transaction.
// If the batch may have committed the transaction, the outcome is unknown;
// otherwise the instance has rolled it back.
func (s *session) handleLostTransaction(c *pool.Conn, p *plan) bool {
	s.returnConn(c, false)
	s.x.held = s.x.held[:0]
	mayCommit := p.awaitReplication || s.st.endsTransaction() && !p.endsByRollback || s.st.status == 'I'
	outcome := outcomeNotRun
	if mayCommit {
		outcome = outcomeUnknown
	}
	if s.sendTermination(outcome) {
		return false
	}
	s.st.parameters = s.st.savedParameters
	if s.st.status == 'I' {
		s.st.unsynced = false
	}
	if mayCommit {
		s.countRequest(p, outcomeUnknown)
		s.st.setStatus(p, 'I')
		return s.answerError(unknownOutcome("the connection to the backend server failed"), p.synced)
	}
	if p.endsByRollback {
		s.st.setStatus(p, 'I')
	} else {
		s.st.status, s.st.backendRolledBack = 'E', true
	}
	s.countRequest(p, outcomeNotRun)
	return s.answerError(&sqlError{"08006", "not run: the connection to the backend server failed and the transaction was rolled back"}, p.synced)
}

// recordBegin keeps the statement that opened a transaction until another
// statement runs in it.
func (s *session) recordBegin(p *plan, status byte) {
	if p.runs {
		s.beginSQL = s.beginSQL[:0]
	}
	if s.st.status != 'I' || status != 'T' || p.class != ClassBegin || !p.synced {
		return
	}
	for i := range s.st.batch.messages {
		m := &s.st.batch.messages[i]
		switch {
		case m.kind == 'Q' && m.info.count == 1:
			sql, _, _ := wire.CString(s.st.batch.body(m))
			s.beginSQL = append(s.beginSQL[:0], sql...)
		case m.kind == 'E' && len(s.beginSQL) == 0:
			sql, _, _ := wire.CString(m.stmt.definition)
			s.beginSQL = append(s.beginSQL[:0], sql...)
		case m.kind == 'E':
			s.beginSQL = s.beginSQL[:0]
			return
		}
	}
}

// recordResult records the transaction status and the tracked parameters after a
// batch. If a rollback also reverted parameters, the connection is not reused.
func (s *session) recordResult(c *pool.Conn, p *plan, status byte) {
	x, st := &s.x, s.st
	oldStatus := st.status
	if oldStatus == 'I' {
		st.savedParameters = st.parameters
	}
	if p.setsParameters {
		s.recordParameters(c)
	}
	if status == 'I' && oldStatus != 'I' && (x.rolledBack || x.failed) {
		if !sameParameters(st.parameters, st.savedParameters) {
			c.PreventReuse()
		}
		st.parameters = st.savedParameters
	}
	st.setStatus(p, status)
}

// recordParameters records the parameters that the batch set. After an error or
// a rollback it is not known which of them took effect, so the connection is not
// reused.
func (s *session) recordParameters(c *pool.Conn) {
	if s.x.failed || s.x.rolledBack {
		c.PreventReuse()
		return
	}
	for i := range s.st.batch.messages {
		m := &s.st.batch.messages[i]
		if m.kind != 'Q' && m.kind != 'E' {
			continue
		}
		for _, v := range m.info.settings {
			s.st.setParameter(v)
			if v.useDefault {
				delete(c.Parameters, v.name)
			} else {
				c.Parameters[v.name] = v.value
			}
		}
	}
}
