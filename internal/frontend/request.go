package frontend

import (
	"errors"
	"time"

	"github.com/bramleylever/bramleylever/internal/pool"
	"github.com/bramleylever/bramleylever/internal/recovery"
	"github.com/bramleylever/bramleylever/internal/wire"
)

// serveBatch serves the complete batch and reports whether the session continues.
func (s *session) serveBatch() bool {
	defer func() {
		if len(s.st.batch.messages) > 0 {
			s.st.batch.reset()
		}
	}()
	p := &s.plan
	refused := s.st.plan(p)
	if refused == nil {
		refused = s.admit(p)
	}
	if refused != nil {
		s.countRequest(p, outcomeNotRun)
		if refused.code == "57P01" {
			s.fatal(refused)
			return false
		}
		return s.refuse(refused, p.synced)
	}
	switch {
	case !p.remote:
		return s.answerLocally(p)
	case s.conn != nil:
		return s.runAttached(p)
	default:
		return s.runRouted(p)
	}
}

// admit checks that a drain still accepts requests, the key and, for a batch that runs
// statements, the rate limit of the client account. The end of a transaction is exempt
// from the rate limit.
func (s *session) admit(p *plan) *sqlError {
	if s.srv.endingTransactions.Load() {
		return s.drainEnd()
	}
	l := s.login.Load()
	if refused := s.srv.checkLogin(l, s.srv.cfg.Feed.Current()); refused != nil {
		return refused
	}
	if !p.runs || p.onlyEndsTransaction || s.srv.cfg.Limiter == nil {
		return nil
	}
	if !s.srv.cfg.Limiter.Admit(l.account, s.srv.cfg.Now()) {
		return &sqlError{"53400", "not run: the rate of the client account is exceeded"}
	}
	return nil
}

func (s *session) countRequest(p *plan, outcome requestOutcome) {
	if p.runs {
		s.srv.metrics.requests[p.class][outcome].Inc(1)
	}
}

// refuse answers the batch with an error without running it. An open transaction
// is aborted, as it would be on an instance. synced reports that the batch ends
// with Sync or Query; otherwise messages are ignored until Sync.
func (s *session) refuse(e *sqlError, synced bool) bool {
	for i := range s.st.batch.messages {
		s.st.undoParse(&s.st.batch.messages[i])
	}
	s.st.batch.reset()
	s.failTransaction()
	return s.answerError(e, synced)
}

func (s *session) answerError(e *sqlError, synced bool) bool {
	b := wire.AppendErrorResponse(s.out.Buffer(), "ERROR", e.code, e.message)
	s.st.skipUntilSync = !synced
	if synced {
		b = wire.AppendReadyForQuery(b, s.st.status)
	}
	s.out.SetBuffer(b)
	return s.out.Flush() == nil
}

// answerLocally answers a batch that needs no instance.
func (s *session) answerLocally(p *plan) bool {
	s.x.reset(s.st, nil, p, s.out)
	for i := range s.st.batch.messages {
		m := &s.st.batch.messages[i]
		if m.kind != 'S' && m.kind != 'H' {
			s.x.expect(pendingRequest{kind: pendingLocal, messageIndex: i})
		}
	}
	if err := s.x.answerPendingLocal(); err != nil {
		return false
	}
	if s.st.backendRolledBack && p.onlyEndsTransaction && p.runs {
		s.st.setStatus(p, 'I')
	}
	s.countRequest(p, outcomeAnswered)
	s.x.status = s.st.status
	return s.deliver(p)
}

// deliver flushes the rest of the answer to the caller, with ReadyForQuery if
// the batch ends with Sync or Query.
func (s *session) deliver(p *plan) bool {
	if err := s.x.releaseHeld(); err != nil {
		return false
	}
	s.st.skipUntilSync = s.x.unsyncedError && !p.synced
	if p.synced {
		s.out.SetBuffer(wire.AppendReadyForQuery(s.out.Buffer(), s.x.status))
	}
	return s.out.Flush() == nil
}

// errConnectionEnded reports that the instance ended the connection with an
// error of severity FATAL or PANIC.
var errConnectionEnded = errors.New("instance ended the connection")

// relay processes the answers to the messages that were sent, and awaits the
// replication if they contain a commit. After an error, the connection must not
// be used any more.
func (s *session) relay(c *pool.Conn) error {
	if err := s.x.answerPendingLocal(); err != nil {
		return err
	}
	c.SetDeadline(time.Now().Add(s.srv.cfg.AnswerTimeout))
	messages := 0
	var committed time.Time
	for {
		if s.x.plan.awaitReplication && s.x.status != 0 && committed.IsZero() {
			committed = s.srv.cfg.Now()
		}
		if s.x.done() {
			if !s.x.needsWait() {
				if s.x.waitAnswered && !committed.IsZero() {
					s.srv.metrics.replicateWait.Update(s.srv.cfg.Now().Sub(committed))
				}
				return nil
			}
			if err := s.sendLateWait(c); err != nil {
				return err
			}
		}
		kind, frame, err := c.In.Next()
		if err != nil {
			return err
		}
		if messages++; messages%deadlineRenewalMessages == 0 {
			c.SetDeadline(time.Now().Add(s.srv.cfg.AnswerTimeout))
		}
		if kind == 'E' && isFatal(frame) {
			return errConnectionEnded
		}
		if err := s.x.answer(kind, frame); err != nil {
			return err
		}
	}
}

// deadlineRenewalMessages is the number of messages after which the deadline of
// a long answer is renewed.
const deadlineRenewalMessages = 256

func isFatal(frame []byte) bool {
	severity := wire.ErrorField(frame[wire.HeaderBytes:], 'V')
	if severity == "" {
		severity = wire.ErrorField(frame[wire.HeaderBytes:], 'S')
	}
	return severity == "FATAL" || severity == "PANIC"
}

// sendLateWait requests the wait for the replication of a commit that was not
// foreseen when the batch was sent.
func (s *session) sendLateWait(c *pool.Conn) error {
	s.x.expect(pendingRequest{kind: pendingWait, hidden: true})
	c.Out.SetBuffer(appendReplicationWait(c.Out.Buffer(), s.srv.cfg.ReplicateWait))
	return c.Out.Flush()
}

// sendBatch sends the guard, the batch and the wait for replication in one
// write. sent is false if no byte was written.
func (s *session) sendBatch(c *pool.Conn, p *plan, g guard) (sent bool, err error) {
	b := c.Out.Buffer()
	if g.kind != guardNone {
		b = g.append(b)
		s.x.expect(pendingRequest{kind: pendingGuard, hidden: true})
	}
	b = s.x.encode(b)
	if p.awaitReplication {
		b = appendReplicationWait(b, s.srv.cfg.ReplicateWait)
		s.x.expect(pendingRequest{kind: pendingWait, hidden: true})
	}
	c.Out.SetBuffer(b)
	if len(b) > maxBlockingSendBytes {
		// The instance may stop reading until its answers are read, so the
		// write must not block the reader.
		go func(data []byte) {
			defer recovery.Contain("send to instance", c.Interrupt)
			if _, err := c.Write(data); err != nil {
				c.Interrupt()
			}
		}(append([]byte(nil), b...))
		c.Out.Discard()
		return true, nil
	}
	before := c.Out.Written()
	err = c.Out.Flush()
	return c.Out.Written() > before, err
}

// maxBlockingSendBytes is below the usual size of socket buffers, so that a
// request up to this size can be written without reading answers meanwhile.
const maxBlockingSendBytes = 32 << 10

// runAttached runs a batch on the connection that the session holds, because a
// transaction is open or messages were sent without a Sync.
func (s *session) runAttached(p *plan) bool {
	c := s.conn
	kind := runWrite
	if s.st.readOnly {
		kind = runRead
	}
	s.setRunning(c, kind)
	s.x.reset(s.st, c, p, s.out)
	began := s.srv.cfg.Now()
	s.x.allowRetry = len(s.beginSQL) > 0 && p.synced && !s.st.unsynced && !s.st.readOnly
	_, err := s.sendBatch(c, p, guard{})
	if err == nil {
		err = s.relay(c)
	}
	s.srv.estimates.Of(c.Instance).Observe(s.srv.cfg.Now().Sub(began), err != nil, c.Applied, s.srv.cfg.Now())
	if err != nil {
		return s.handleLostTransaction(c, p)
	}
	if s.x.refusedReadOnly {
		s.rollbackAndRelease(c)
		return s.rerunTransaction(p)
	}
	return s.finishBatch(c, p)
}

func unknownOutcome(cause string) *sqlError {
	return &sqlError{"08007", "outcome unknown: " + cause}
}

// finishBatch records the result of a batch whose answers were all processed,
// and completes the answer to the caller.
func (s *session) finishBatch(c *pool.Conn, p *plan) bool {
	x := &s.x
	unknown := !x.commitPosition.IsZero() && x.waitSQLState != ""
	if !x.commitPosition.IsZero() && !unknown {
		s.st.advance(s.st.database, x.commitPosition)
	}
	status := x.status
	if status == 0 {
		s.st.unsynced = true
		status = s.st.status
	} else {
		s.st.unsynced = false
	}
	s.recordBegin(p, status)
	s.recordResult(c, p, status)
	x.status = status
	if s.st.status == 'I' && !s.st.unsynced {
		s.returnConn(c, true)
	} else {
		s.conn = c
		s.setRunning(nil, runOther)
	}
	if unknown {
		s.countRequest(p, outcomeUnknown)
		x.held = x.held[:0]
		return s.answerError(unknownOutcome("the commit could not be replicated to a majority in time"), p.synced)
	}
	s.countRequest(p, outcomeAnswered)
	if err := x.releaseHeld(); err != nil {
		return false
	}
	if !x.commitPosition.IsZero() {
		s.out.SetBuffer(wire.AppendParameterStatus(s.out.Buffer(), settingPrefix+"session_position", s.st.vector.String()))
	}
	return s.deliver(p)
}
