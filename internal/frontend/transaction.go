package frontend

import (
	"github.com/bramleylever/bramleylever/internal/pool"
	"github.com/bramleylever/bramleylever/internal/wire"
)

// failTransaction rolls an open transaction back and returns its connection.
// The caller still has to end the transaction.
func (s *session) failTransaction() {
	if s.st.status != 'I' {
		s.st.status = 'E'
		s.st.lost = true
	}
	c := s.conn
	if c == nil {
		return
	}
	clean := !s.st.unsynced && s.rollback(c)
	s.st.unsynced = false
	s.st.parameters = s.st.restore
	s.returnConn(c, clean)
}

// rollback ends the transaction on a backend connection and reports whether
// the connection is clean.
func (s *session) rollback(c *pool.Conn) bool {
	s.ownPlan = plan{}
	s.x.begin(s.st, c, &s.ownPlan, s.out)
	s.x.expect(item{kind: itemSet, hidden: true})
	c.Out.SetBuffer(wire.AppendQuery(c.Out.Buffer(), "ROLLBACK"))
	if c.Out.Flush() != nil || s.relay(c) != nil {
		return false
	}
	return s.x.setErr == nil && s.x.ownStatus == 'I' && sameParameters(s.st.parameters, s.st.restore)
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

// lostTransaction handles the failure of a connection in a transaction. The
// transaction is rolled back unless its commit may have been reached.
func (s *session) lostTransaction(c *pool.Conn, p *plan) bool {
	s.returnConn(c, false)
	s.x.held = s.x.held[:0]
	mayCommit := p.wait || s.st.endsHere() && !p.rollback || s.st.status == 'I'
	outcome := outcomeNotRun
	if mayCommit {
		outcome = outcomeUnknown
	}
	if s.sendTermination(outcome) {
		return false
	}
	s.st.parameters = s.st.restore
	if s.st.status == 'I' {
		s.st.unsynced = false
	}
	if mayCommit {
		s.count(p, outcomeUnknown)
		s.st.finish(p, 'I')
		return s.answerError(unknownOutcome("the connection to the backend server failed"), p.synced)
	}
	if p.rollback {
		s.st.finish(p, 'I')
	} else {
		s.st.status, s.st.lost = 'E', true
	}
	s.count(p, outcomeNotRun)
	return s.answerError(&sqlError{"08006", "not run: the connection to the backend server failed and the transaction was rolled back"}, p.synced)
}

// noteBegin keeps the statement that opened a transaction until another one ran
// in it.
func (s *session) noteBegin(p *plan, status byte) {
	if p.runs {
		s.beginSQL = s.beginSQL[:0]
	}
	if s.st.status != 'I' || status != 'T' || p.class != ClassBegin || !p.synced {
		return
	}
	for i := range s.st.batch.ops {
		o := &s.st.batch.ops[i]
		switch {
		case o.kind == 'Q' && o.info.count == 1:
			sql, _, _ := wire.CString(s.st.batch.body(o))
			s.beginSQL = append(s.beginSQL[:0], sql...)
		case o.kind == 'E' && len(s.beginSQL) == 0:
			sql, _, _ := wire.CString(o.stmt.definition)
			s.beginSQL = append(s.beginSQL[:0], sql...)
		case o.kind == 'E':
			s.beginSQL = s.beginSQL[:0]
			return
		}
	}
}

// settle records the transaction status and the tracked parameters.
func (s *session) settle(c *pool.Conn, p *plan, status byte) {
	x, st := &s.x, s.st
	was := st.status
	if was == 'I' {
		st.restore = st.parameters
	}
	if p.settings {
		s.settleParameters(c)
	}
	if status == 'I' && was != 'I' && (x.rolledBack || x.failed) {
		if !sameParameters(st.parameters, st.restore) {
			c.PreventReuse()
		}
		st.parameters = st.restore
	}
	st.finish(p, status)
}

// settleParameters records the parameters that the batch set. After an error,
// it is not known which of them took effect, so the connection is not reused.
func (s *session) settleParameters(c *pool.Conn) {
	if s.x.failed || s.x.rolledBack {
		c.PreventReuse()
		return
	}
	for i := range s.st.batch.ops {
		o := &s.st.batch.ops[i]
		if o.kind != 'Q' && o.kind != 'E' {
			continue
		}
		for _, v := range o.info.settings {
			s.st.setParameter(v)
			if v.useDefault {
				delete(c.Parameters, v.name)
			} else {
				c.Parameters[v.name] = v.value
			}
		}
	}
}
