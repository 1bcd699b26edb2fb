package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/connpool"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/internal/staleness"
	"github.com/bramleylever/bramleylever/internal/statement"
	"github.com/bramleylever/bramleylever/position"
)

const (
	// defaultTimeout limits a statement on routes without a timeout.
	defaultTimeout = 5 * time.Second
	// answerMargin is kept from the deadline, so that the answer arrives in
	// time.
	answerMargin = 20 * time.Millisecond
	// choicePause is how long an operation waits before it looks again for an
	// instance, unless the catalog changes earlier.
	choicePause = 15 * time.Millisecond
	// acquireShare is the part of the remaining time that an attempt may wait
	// for a connection, so that another instance can still be tried.
	acquireShare = 3
)

// operation is one statement outside a transaction, or one transaction.
type operation struct {
	session *Session
	route   *catalog.Route
	account string
	// arrived is when its first byte arrived.
	arrived time.Time
	// needLeader is set after a leader itself lacked the position that was
	// asked for, which a promotion rolled back.
	needLeader bool
	// sampled is set once the operation has waited for a position sample.
	sampled bool
}

// call is one statement of an operation.
type call struct {
	statement statement.Statement
	prepared  *connpool.Prepared
	writes    bool
	arrived   time.Time
}

func (op *operation) gateway() *Gateway { return op.session.gateway }

// deadline is when a statement that arrived at the given time must be answered.
func (op *operation) deadline(arrived time.Time) time.Time {
	timeout := op.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return arrived.Add(timeout - answerMargin)
}

// attempts counts the tries of one statement and remembers which instances are
// not asked again in this round.
type attempts struct {
	tried map[string]bool
	count int
	last  string
	// history is the instances asked and what they answered, at most
	// maxHistory of them.
	history []string
	// reason is why the last instance was chosen, and sent when the last statement
	// left for an instance that was asked to lead.
	reason string
	sent   staleness.Timestamp
	// connecting, running and pausing is where the time went.
	connecting time.Duration
	running    time.Duration
	pausing    time.Duration
}

// maxHistory bounds the attempts that a log line names.
const maxHistory = 5

// fields describes the attempts in a log line.
func (a *attempts) fields() []zap.Field {
	return []zap.Field{
		zap.Int("attempts", a.count), zap.String("choice", a.reason), zap.String("last_attempt", a.last), zap.Strings("tried", a.history),
		zap.Duration("connecting", a.connecting), zap.Duration("running", a.running), zap.Duration("pausing", a.pausing),
	}
}

func (a *attempts) exclude(server *catalog.Server, reason string) {
	if a.tried == nil {
		a.tried = map[string]bool{}
	}
	a.tried[server.ID] = true
	a.note(server, reason)
}

// note records an attempt.
func (a *attempts) note(server *catalog.Server, reason string) {
	a.last = reason + " at " + server.ID
	if len(a.history) < maxHistory {
		a.history = append(a.history, a.last)
	}
	a.count++
}

// pause waits for a change of the catalog or a moment, then allows all
// instances again. It reports false once the deadline has passed.
func (op *operation) pause(a *attempts, deadline time.Time) bool {
	g := op.gateway()
	clear(a.tried)
	started := g.now()
	defer func() { a.pausing += g.now().Sub(started) }()
	remaining := deadline.Sub(started)
	if remaining <= 0 {
		return false
	}
	timer := time.NewTimer(min(choicePause, remaining))
	defer timer.Stop()
	select {
	case <-g.options.Changed():
	case <-timer.C:
	}
	return true
}

// refused is the result of a statement that ran nowhere.
func (op *operation) refused(c call, a *attempts) statement.Result {
	detail := a.last
	if detail == "" {
		detail = "no instance to ask"
	}
	result := statement.Result{Code: statement.Busy, Detail: "not run: " + detail}
	op.session.logOutcome(c, op, result, a)
	return result
}

// read runs a read outside a transaction.
func (op *operation) read(c call) statement.Result {
	g := op.gateway()
	deadline := op.deadline(c.arrived)
	a := &attempts{}
	for g.now().Before(deadline) {
		t := g.chooseRead(g.options.Catalog(), op, a.tried, g.now())
		if t.server == nil {
			if !op.pause(a, deadline) {
				break
			}
			continue
		}
		result, done := op.tryRead(c, t, deadline, a)
		if done {
			op.session.logOutcome(c, op, result, a)
			return result
		}
		g.stats.retries.Inc(1)
	}
	return op.refused(c, a)
}

// tryRead runs a read at one instance. It reports false if the read may go to
// another one. With a proof of leadership the read runs inside the gateway's own
// transaction, which ends in the same packet.
func (op *operation) tryRead(c call, t target, deadline time.Time, a *attempts) (statement.Result, bool) {
	st := c.statement
	w := connpool.Work{Values: op.session.values, Prepared: c.prepared}
	if t.lead {
		w.Begin = &statement.Statement{Kind: statement.Begin}
		w.Statements = []statement.Statement{st, {Kind: statement.Rollback}}
	} else {
		st.After = t.after
		w.Statements = []statement.Statement{st}
	}
	answer, ok := op.attempt(t, w, deadline, a)
	if !ok {
		return statement.Result{}, false
	}
	result := answer.Results[0]
	if result.Succeeded() {
		op.noteRead(t, result)
		return result, true
	}
	op.noteCode(t, result, a)
	retry := result.Code.NotRun() || result.Code == statement.Failed || result.Code == statement.Timeout
	return result, !retry
}

// attempt runs work that may be repeated on a connection of its own. It reports
// false if there is no answer to the work's first statement.
func (op *operation) attempt(t target, w connpool.Work, deadline time.Time, a *attempts) (connpool.Answer, bool) {
	conn, err := op.acquire(t.server, deadline, a)
	if err != nil {
		op.noteFailure(t.server, err, a)
		return connpool.Answer{}, false
	}
	defer conn.Release()
	answer, err := op.do(conn, t, w, deadline, a)
	switch {
	case answer.Refused != nil:
		op.noteCode(t, *answer.Refused, a)
		return answer, false
	case len(answer.Results) == 0:
		op.noteFailure(t.server, err, a)
		return answer, false
	}
	return answer, true
}

// do runs work on a connection and learns from the answer.
func (op *operation) do(conn connpool.Handle, t target, w connpool.Work, deadline time.Time, a *attempts) (connpool.Answer, error) {
	g := op.gateway()
	g.stats.choices[t.reason].Inc(1)
	a.reason = t.reason
	if t.lead {
		a.sent = g.bounds.Now()
	}
	sent := g.now()
	answer, err := conn.Do(deadline, w)
	took := g.now().Sub(sent)
	a.running += took
	if w.Begin != nil && !w.Begin.ReadOnly && answer.Refused == nil && !answer.BeginPosition.IsZero() {
		g.noteLeader(t.server, a.sent, answer.BeginPosition)
	}
	if len(answer.Results) > 0 {
		g.health.answered(t.server, took, answer.Results[0].Position, g.now())
	}
	return answer, err
}

// noteRead learns from a read that was served.
func (op *operation) noteRead(t target, result statement.Result) {
	g := op.gateway()
	if !t.lead {
		g.health.caughtUp(t.server, t.age)
	}
	if entry := g.log.Check(zap.DebugLevel, "statement served"); entry != nil {
		entry.Write(zap.String(logging.FieldDecision, "route"), zap.String(logging.FieldInstance, t.server.ID),
			zap.String(logging.FieldReason, t.reason), zap.Stringer("position", result.Position))
	}
}

// noteCode learns from an instance that refused or failed a statement.
func (op *operation) noteCode(t target, result statement.Result, a *attempts) {
	g := op.gateway()
	a.exclude(t.server, string(result.Code))
	switch result.Code {
	case statement.ReadOnly:
		g.health.refusesLead(t.server, g.now())
	case statement.Lagging:
		op.noteLagging(t, result)
	case statement.Misrouted:
		g.health.failed(t.server, g.now())
	}
}

// noteLagging handles an instance that lacks the position asked for. A primary
// of a newer term lacks it only if a promotion rolled it back.
func (op *operation) noteLagging(t target, result statement.Result) {
	g := op.gateway()
	g.health.lagged(t.server, t.age)
	if t.server.Role != catalog.Primary {
		return
	}
	op.needLeader = true
	s := op.session
	if s.position == t.after && t.after.Term.Less(result.Position.Term) {
		g.log.Info("session position was rolled back by a promotion",
			zap.String(logging.FieldInstance, t.server.ID), zap.Stringer("position", s.position),
			zap.Stringer("instance_position", result.Position))
		s.position = position.Position{}
	}
}

// acquire gets a connection within a part of the remaining time.
func (op *operation) acquire(server *catalog.Server, deadline time.Time, a *attempts) (connpool.Handle, error) {
	g := op.gateway()
	started := g.now()
	defer func() { a.connecting += g.now().Sub(started) }()
	ctx, cancel := context.WithTimeout(context.Background(), deadline.Sub(started)/acquireShare)
	defer cancel()
	return g.options.Conns.Acquire(ctx, server, op.account, op.session.values)
}

// noteFailure learns from a connection that could not be had or that failed.
func (op *operation) noteFailure(server *catalog.Server, err error, a *attempts) {
	g := op.gateway()
	var refusal *connpool.Refusal
	var holder *connpool.OwnerError
	switch {
	case errors.As(err, &holder):
		// Another holder, or a connection of this host, may still reach it.
		a.note(server, err.Error())
		g.health.holderFailed(server, holder.Owner, g.now())
		return
	case errors.Is(err, connpool.ErrNoConnection), errors.As(err, &refusal) && refusal.Code == statement.MaxConns:
		a.exclude(server, err.Error())
		return
	}
	a.exclude(server, err.Error())
	g.health.failed(server, g.now())
	g.log.Info("instance not reached", zap.String(logging.FieldDecision, "avoid_instance"),
		zap.String(logging.FieldInstance, server.ID), zap.Error(err))
}

// write runs a write outside a transaction. It is sent again only after an
// answer that says that it did not run.
func (op *operation) write(c call) statement.Result {
	g := op.gateway()
	deadline := op.deadline(c.arrived)
	a := &attempts{}
	for g.now().Before(deadline) {
		server := g.chooseLeader(g.options.Catalog(), op.route.Service, a.tried, g.now())
		if server == nil {
			if !op.pause(a, deadline) {
				break
			}
			continue
		}
		result, done := op.tryWrite(c, target{server: server, lead: true, reason: reasonWrite}, deadline, a)
		if done {
			op.session.logOutcome(c, op, result, a)
			return result
		}
		g.stats.retries.Inc(1)
	}
	return op.refused(c, a)
}

// tryWrite sends a write to one instance. It reports false if the write did not
// run and may be sent again.
func (op *operation) tryWrite(c call, t target, deadline time.Time, a *attempts) (statement.Result, bool) {
	g := op.gateway()
	conn, err := op.acquire(t.server, deadline, a)
	if err != nil {
		op.noteFailure(t.server, err, a)
		return statement.Result{}, false
	}
	defer conn.Release()
	w := connpool.Work{Values: op.session.values, Prepared: c.prepared, Statements: []statement.Statement{c.statement}}
	answer, err := op.do(conn, t, w, deadline, a)
	switch {
	case answer.Refused != nil:
		op.noteCode(t, *answer.Refused, a)
		return statement.Result{}, false
	case len(answer.Results) == 0:
		op.noteFailure(t.server, err, a)
		if outcome.RetrySafe(err) {
			return statement.Result{}, false
		}
		err = outcome.Wrap("write", t.server.ID, err)
		return statement.Result{Code: statement.InDoubt, Detail: err.Error()}, true
	}
	result := answer.Results[0]
	if result.Succeeded() {
		g.noteLeader(t.server, a.sent, result.Position)
		op.session.committed(result.Position, g.now())
		return result, true
	}
	if result.Code.NotRun() {
		op.noteCode(t, result, a)
		return result, false
	}
	return result, true
}

// committed records the position of a commit of the session.
func (s *Session) committed(p position.Position, now time.Time) {
	if s.position.Compare(p) < 0 {
		s.position, s.positionAt = p, now
	}
}
