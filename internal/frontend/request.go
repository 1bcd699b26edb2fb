package frontend

import (
	"errors"
	"time"

	"github.com/bramleylever/bramleylever/internal/pool"
	"github.com/bramleylever/bramleylever/internal/wire"
)

// request serves the batch and reports whether the session goes on.
func (s *session) request() bool {
	defer func() {
		if len(s.st.batch.ops) > 0 {
			s.st.batch.reset()
		}
	}()
	p := &s.plan
	refused := s.st.plan(p)
	if refused == nil {
		refused = s.admit(p)
	}
	if refused != nil {
		s.count(p, outcomeNotRun)
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

// admit checks the key and the account's rate.
func (s *session) admit(p *plan) *sqlError {
	l := s.login.Load()
	if refused := s.srv.checkLogin(l, s.srv.cfg.Feed.Current()); refused != nil {
		return refused
	}
	if !p.runs || p.onlyEnds || s.srv.cfg.Limiter == nil {
		return nil
	}
	if !s.srv.cfg.Limiter.Admit(l.account, s.srv.cfg.Now()) {
		return &sqlError{"53400", "not run: the rate of the client account is exceeded"}
	}
	return nil
}

func (s *session) count(p *plan, e requestOutcome) {
	if p.runs {
		s.srv.metrics.statements[p.class][e].Inc(1)
	}
}

// refuse answers the batch with an error. An open transaction fails with it,
// as it would on an instance. synced reports that the batch ends with Sync or
// Query; otherwise messages are ignored until Sync.
func (s *session) refuse(e *sqlError, synced bool) bool {
	for i := range s.st.batch.ops {
		s.st.undoParse(&s.st.batch.ops[i])
	}
	s.st.batch.reset()
	s.failTransaction()
	return s.answerError(e, synced)
}

func (s *session) answerError(e *sqlError, synced bool) bool {
	b := wire.AppendErrorResponse(s.out.Buffer(), "ERROR", e.code, e.message)
	s.st.skipping = !synced
	if synced {
		b = wire.AppendReadyForQuery(b, s.st.status)
	}
	s.out.SetBuffer(b)
	return s.out.Flush() == nil
}

// answerLocally answers a batch that needs no instance.
func (s *session) answerLocally(p *plan) bool {
	s.x.begin(s.st, nil, p, s.out)
	for i := range s.st.batch.ops {
		o := &s.st.batch.ops[i]
		if o.kind != 'S' && o.kind != 'H' {
			s.x.expect(item{kind: itemLocal, op: i})
		}
	}
	if err := s.x.pump(); err != nil {
		return false
	}
	if s.st.lost && p.onlyEnds && p.runs {
		s.st.finish(p, 'I')
	}
	s.count(p, outcomeAnswered)
	s.x.status = s.st.status
	return s.deliver(p)
}

// deliver passes the end of the answer to the caller.
func (s *session) deliver(p *plan) bool {
	if err := s.x.releaseHeld(); err != nil {
		return false
	}
	s.st.skipping = s.x.skipped && !p.synced
	if p.synced {
		s.out.SetBuffer(wire.AppendReadyForQuery(s.out.Buffer(), s.x.status))
	}
	return s.out.Flush() == nil
}

// errInstanceEnds reports that the instance ended the connection with an
// error of severity FATAL.
var errInstanceEnds = errors.New("instance ended the connection")

// relay reads the answers to what was sent. On an error, the connection must
// not be used any more.
func (s *session) relay(c *pool.Conn) error {
	if err := s.x.pump(); err != nil {
		return err
	}
	c.SetDeadline(time.Now().Add(s.srv.cfg.AnswerTimeout))
	messages := 0
	var committed time.Time
	for {
		if s.x.plan.wait && s.x.status != 0 && committed.IsZero() {
			committed = s.srv.cfg.Now()
		}
		if s.x.done() {
			if !s.x.needsWait() {
				if s.x.waited && !committed.IsZero() {
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
		if messages++; messages%renewEvery == 0 {
			c.SetDeadline(time.Now().Add(s.srv.cfg.AnswerTimeout))
		}
		if kind == 'E' && isFatal(frame) {
			return errInstanceEnds
		}
		if err := s.x.answer(kind, frame); err != nil {
			return err
		}
	}
}

// renewEvery is the number of messages after which the deadline of a long
// answer is renewed.
const renewEvery = 256

func isFatal(frame []byte) bool {
	severity := wire.ErrorField(frame[wire.HeaderBytes:], 'V')
	if severity == "" {
		severity = wire.ErrorField(frame[wire.HeaderBytes:], 'S')
	}
	return severity == "FATAL" || severity == "PANIC"
}

// sendLateWait awaits the replication of a commit that was not foreseen.
func (s *session) sendLateWait(c *pool.Conn) error {
	s.x.expect(item{kind: itemWait, hidden: true})
	c.Out.SetBuffer(appendReplicationWait(c.Out.Buffer(), s.srv.cfg.ReplicateWait))
	return c.Out.Flush()
}

// sendBatch sends the guard, the batch and the wait in one packet. sent is
// false if no byte of it left the proxy.
func (s *session) sendBatch(c *pool.Conn, p *plan, g guard) (sent bool, err error) {
	b := c.Out.Buffer()
	if g.kind != guardNone {
		b = g.append(b)
		s.x.expect(item{kind: itemGuard, hidden: true})
	}
	b = s.x.encode(b)
	if p.wait {
		b = appendReplicationWait(b, s.srv.cfg.ReplicateWait)
		s.x.expect(item{kind: itemWait, hidden: true})
	}
	c.Out.SetBuffer(b)
	if len(b) > maxBlockingSend {
		// The instance may stop reading until its answers are read.
		go func(data []byte) {
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

// maxBlockingSend is below the usual socket buffers, so that a shorter request
// can be written without reading answers.
const maxBlockingSend = 32 << 10

// runAttached runs a batch in the open transaction or before its Sync.
func (s *session) runAttached(p *plan) bool {
	c := s.conn
	kind := runWrite
	if s.st.readOnly {
		kind = runRead
	}
	s.setRunning(c, kind)
	s.x.begin(s.st, c, p, s.out)
	began := s.srv.cfg.Now()
	s.x.allowRetry = len(s.beginSQL) > 0 && p.synced && !s.st.unsynced && !s.st.readOnly
	_, err := s.sendBatch(c, p, guard{})
	if err == nil {
		err = s.relay(c)
	}
	s.srv.estimates.Of(c.Instance).Observe(s.srv.cfg.Now().Sub(began), err != nil, c.Applied, s.srv.cfg.Now())
	if err != nil {
		return s.lostTransaction(c, p)
	}
	if s.x.readOnly {
		s.release(c)
		return s.runAgain(p)
	}
	return s.complete(c, p)
}

func unknownOutcome(why string) *sqlError {
	return &sqlError{"08007", "outcome unknown: " + why}
}

// complete ends a batch whose answers were all read.
func (s *session) complete(c *pool.Conn, p *plan) bool {
	x := &s.x
	unknown := !x.commit.IsZero() && x.waitErr != ""
	if !x.commit.IsZero() && !unknown {
		s.st.advance(s.st.database, x.commit)
	}
	status := x.status
	if status == 0 {
		s.st.unsynced = true
		status = s.st.status
	} else {
		s.st.unsynced = false
	}
	s.noteBegin(p, status)
	s.settle(c, p, status)
	x.status = status
	if s.st.status == 'I' && !s.st.unsynced {
		s.returnConn(c, true)
	} else {
		s.conn = c
		s.setRunning(nil, runOther)
	}
	if unknown {
		s.count(p, outcomeUnknown)
		x.held = x.held[:0]
		return s.answerError(unknownOutcome("the commit could not be replicated to a majority in time"), p.synced)
	}
	s.count(p, outcomeAnswered)
	if err := x.releaseHeld(); err != nil {
		return false
	}
	if !x.commit.IsZero() {
		s.out.SetBuffer(wire.AppendParameterStatus(s.out.Buffer(), ownPrefix+"session_position", s.st.vector.String()))
	}
	return s.deliver(p)
}
