package frontend

import (
	"github.com/bramleylever/bramleylever/internal/pool"
	"github.com/bramleylever/bramleylever/internal/routing"
	"github.com/bramleylever/bramleylever/internal/wire"
)

// reopenTransaction runs the guard and opens the transaction again. The batch is
// sent only after both succeeded, because it would run outside of a transaction
// otherwise. It reports whether the batch may be sent; if not, the action says
// how to continue.
func (s *session) reopenTransaction(a *attempts, c *pool.Conn, target *routing.Candidate, g guard) (nextAction, bool) {
	s.ownPlan = plan{}
	s.x.reset(s.st, c, &s.ownPlan, s.out)
	b := c.Out.Buffer()
	if g.kind != guardNone {
		b = g.append(b)
		s.x.expect(pendingRequest{kind: pendingGuard, hidden: true})
	}
	c.Out.SetBuffer(wire.AppendQuery(b, string(a.beginSQL)))
	s.x.expect(pendingRequest{kind: pendingCommand, hidden: true})
	err := c.Out.Flush()
	if err == nil {
		err = s.relay(c)
	}
	switch {
	case err != nil:
		return s.handleConnectionFailure(a, c, target, false), false
	case s.x.guardSQLState != "" || s.x.commandErr != nil || s.x.commandStatus != 'T':
		s.x.status = s.x.commandStatus
		s.rollbackAndRelease(c)
		return actionWait, false
	}
	return 0, true
}

// discardUnsent drops the buffered answer and returns true, unless part of it was
// already written to the caller.
func (s *session) discardUnsent(a *attempts) bool {
	if s.out.Written() != a.writtenBefore {
		return false
	}
	s.out.Discard()
	return true
}

// handleConnectionFailure handles the failure of a connection during the
// request. The request is retried if it cannot have taken effect or is
// idempotent.
func (s *session) handleConnectionFailure(a *attempts, c *pool.Conn, target *routing.Candidate, sent bool) nextAction {
	if a.beginSQL != nil {
		return s.doneOrClose(s.handleLostTransaction(c, a.plan))
	}
	s.returnConn(c, false)
	s.x.held = s.x.held[:0]
	outcome := outcomeNotRun
	if sent && !a.plan.repeatable() {
		outcome = outcomeUnknown
	}
	if s.sendTermination(outcome) {
		return actionClose
	}
	if (outcome == outcomeNotRun || s.st.idempotent) && s.discardUnsent(a) {
		if s.srv.cfg.Now().Before(a.deadline) && s.takeRetry() {
			if target.Primary {
				return actionWait
			}
			a.exclude(target.Instance)
			return actionRetry
		}
		if outcome == outcomeNotRun {
			s.countRequest(a.plan, outcomeNotRun)
			return s.doneOrClose(s.refuse(&sqlError{"57P03", "not run: no instance answered in time"}, a.plan.synced))
		}
	}
	s.countRequest(a.plan, outcomeUnknown)
	return s.doneOrClose(s.answerError(unknownOutcome("the connection to the backend server failed"), a.plan.synced))
}

// takeRetry takes one retry from the retry budget and reports whether the budget
// permits it.
func (s *session) takeRetry() bool {
	if !s.srv.retries.tryWithdraw(s.srv.cfg.Now()) {
		return false
	}
	s.srv.metrics.retries.Inc(1)
	return true
}

// rollbackAndRelease returns the connection of an attempt whose answer was
// dropped to its pool. It rolls an open transaction back.
func (s *session) rollbackAndRelease(c *pool.Conn) {
	clean := s.x.status == 'I'
	if s.x.status == 'T' || s.x.status == 'E' {
		clean = s.rollback(c)
	}
	s.returnConn(c, clean)
}

// handleGuardFailure handles a guard that failed. The request after it may have
// run on data that the session must not see, so its answer was dropped.
func (s *session) handleGuardFailure(a *attempts, c *pool.Conn, target *routing.Candidate) nextAction {
	ran := a.plan.runs && (a.plan.class == ClassWrite && !s.x.failed || !s.x.commitPosition.IsZero())
	s.rollbackAndRelease(c)
	switch {
	case ran && !s.st.idempotent:
		s.countRequest(a.plan, outcomeUnknown)
		return s.doneOrClose(s.answerError(unknownOutcome("the write reached an instance that is no longer the primary"), a.plan.synced))
	case target.Primary:
		return actionWait
	default:
		a.exclude(target.Instance)
		a.fallback = true
		if s.srv.cfg.Now().After(a.deadline) {
			return actionWait
		}
		return actionRetry
	}
}

// handleReadOnlyRefusal handles a write that an instance refused with 25006
// before any effect. It is sent to the primary instead.
func (s *session) handleReadOnlyRefusal(a *attempts, c *pool.Conn, target *routing.Candidate) nextAction {
	s.rollbackAndRelease(c)
	if target.Primary {
		return actionWait
	}
	s.srv.metrics.forwarded.Inc(1)
	a.write = true
	if !s.takeRetry() {
		s.countRequest(a.plan, outcomeNotRun)
		return s.doneOrClose(s.refuse(&sqlError{"25006", "not run: a replica cannot run this statement and the retry budget is spent"}, a.plan.synced))
	}
	return actionRetry
}
