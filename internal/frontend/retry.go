package frontend

import (
	"github.com/bramleylever/bramleylever/internal/pool"
	"github.com/bramleylever/bramleylever/internal/routing"
	"github.com/bramleylever/bramleylever/internal/wire"
)

// reopen checks the position and opens the transaction again. The batch is
// only sent once that succeeded, because it would otherwise run outside of a
// transaction.
func (s *session) reopen(a *attempt, c *pool.Conn, target *routing.Candidate, g guard) (verdict, bool) {
	s.ownPlan = plan{}
	s.x.begin(s.st, c, &s.ownPlan, s.out)
	b := c.Out.Buffer()
	if g.kind != guardNone {
		b = g.append(b)
		s.x.expect(item{kind: itemGuard, hidden: true})
	}
	c.Out.SetBuffer(wire.AppendQuery(b, string(a.begin)))
	s.x.expect(item{kind: itemSet, hidden: true})
	err := c.Out.Flush()
	if err == nil {
		err = s.relay(c)
	}
	switch {
	case err != nil:
		return s.failed(a, c, target, false), false
	case s.x.guardErr != "" || s.x.setErr != nil || s.x.ownStatus != 'T':
		s.x.status = s.x.ownStatus
		s.release(c)
		return verdictWait, false
	}
	return 0, true
}

// untouched drops what was not yet written to the caller and reports that the
// caller received nothing of the answer.
func (s *session) untouched(a *attempt) bool {
	if s.out.Written() != a.mark {
		return false
	}
	s.out.Discard()
	return true
}

// failed handles a connection that failed during the request.
func (s *session) failed(a *attempt, c *pool.Conn, target *routing.Candidate, sent bool) verdict {
	if a.begin != nil {
		return s.finished(s.lostTransaction(c, a.plan))
	}
	s.returnConn(c, false)
	s.x.held = s.x.held[:0]
	outcome := outcomeNotRun
	if sent && !a.plan.repeatable() {
		outcome = outcomeUnknown
	}
	if s.sendTermination(outcome) {
		return verdictClose
	}
	if (outcome == outcomeNotRun || s.st.idempotent) && s.untouched(a) {
		if s.srv.cfg.Now().Before(a.deadline) && s.retry() {
			if target.Primary {
				return verdictWait
			}
			a.exclude(target.Instance)
			return verdictAgain
		}
		if outcome == outcomeNotRun {
			s.count(a.plan, outcomeNotRun)
			return s.finished(s.refuse(&sqlError{"57P03", "not run: no instance answered in time"}, a.plan.synced))
		}
	}
	s.count(a.plan, outcomeUnknown)
	return s.finished(s.answerError(unknownOutcome("the connection to the backend server failed"), a.plan.synced))
}

// retry takes one repetition from the retry budget.
func (s *session) retry() bool {
	if !s.srv.retries.tryWithdraw(s.srv.cfg.Now()) {
		return false
	}
	s.srv.metrics.retries.Inc(1)
	return true
}

// release returns the connection of an attempt whose answer was dropped.
func (s *session) release(c *pool.Conn) {
	clean := s.x.status == 'I'
	if s.x.status == 'T' || s.x.status == 'E' {
		clean = s.rollback(c)
	}
	s.returnConn(c, clean)
}

// guardRefused handles a check that failed; the request behind it ran on data
// that the session must not see, so its answer was dropped.
func (s *session) guardRefused(a *attempt, c *pool.Conn, target *routing.Candidate) verdict {
	ran := a.plan.runs && (a.plan.class == ClassWrite && !s.x.failed || !s.x.commit.IsZero())
	s.release(c)
	switch {
	case ran && !s.st.idempotent:
		s.count(a.plan, outcomeUnknown)
		return s.finished(s.answerError(unknownOutcome("the write reached an instance that is no longer the primary"), a.plan.synced))
	case target.Primary:
		return verdictWait
	default:
		a.exclude(target.Instance)
		a.fallback = true
		if s.srv.cfg.Now().After(a.deadline) {
			return verdictWait
		}
		return verdictAgain
	}
}

// forward handles a write that an instance refused before any effect.
func (s *session) forward(a *attempt, c *pool.Conn, target *routing.Candidate) verdict {
	s.release(c)
	if target.Primary {
		return verdictWait
	}
	s.srv.metrics.forwarded.Inc(1)
	a.write = true
	if !s.retry() {
		s.count(a.plan, outcomeNotRun)
		return s.finished(s.refuse(&sqlError{"25006", "not run: a replica cannot run this statement and the retry budget is spent"}, a.plan.synced))
	}
	return verdictAgain
}
