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
	"github.com/bramleylever/bramleylever/internal/statement"
	"github.com/bramleylever/bramleylever/position"
)

const (
	// defaultTimeout applies to statements on routes without a timeout.
	defaultTimeout = 5 * time.Second
	// answerMargin is subtracted from the timeout, so that the answer reaches the
	// caller in time.
	answerMargin = 20 * time.Millisecond
	// choiceRetryInterval is how long an operation waits before it chooses an instance
	// again, unless the catalog changes earlier. It doubles with each refusal for lack
	// of a slot, up to maxBusyInterval: an overloaded instance also pays for refusals.
	choiceRetryInterval = 15 * time.Millisecond
	maxBusyInterval     = 120 * time.Millisecond
	// acquireTimeoutDivisor limits the wait for a connection to this fraction (1/n) of
	// the remaining time, so that another instance can still be tried.
	acquireTimeoutDivisor = 3
)

// operation is one statement outside a transaction, or one transaction.
type operation struct {
	session *Session
	route   *catalog.Route
	account string
	// arrived is when the first byte of the operation arrived.
	arrived time.Time
	// leaderOnly is set after a registered primary lacked the required position,
	// which happens if a promotion rolled it back. Reads then need a proven leader.
	leaderOnly bool
	// waitedForSample is set once the operation has waited for a position sample; it
	// waits only once.
	waitedForSample bool
}

// call is one statement of an operation.
type call struct {
	statement statement.Statement
	prepared  *connpool.Prepared
	writes    bool
	arrived   time.Time
}

func (op *operation) gateway() *Gateway { return op.session.gateway }

// deadline returns when a statement that arrived at the given time must be answered.
func (op *operation) deadline(arrived time.Time) time.Time {
	timeout := op.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return arrived.Add(timeout - answerMargin)
}

// pause clears the excluded instances and waits for choiceRetryInterval or a catalog
// change, whichever comes first. It reports false if the deadline has passed or the
// statement is interrupted.
func (op *operation) pause(a *attempts, deadline time.Time) bool {
	g := op.gateway()
	clear(a.tried)
	started := g.now()
	defer func() { a.pausing += g.now().Sub(started) }()
	remaining := deadline.Sub(started)
	if remaining <= 0 {
		return false
	}
	timer := time.NewTimer(min(a.retryInterval(), remaining))
	defer timer.Stop()
	select {
	case <-g.options.Changed():
	case <-timer.C:
	case <-g.work.Done():
		return false
	}
	return true
}

// mayTry reports whether a statement with the deadline may be tried at an instance now.
func (op *operation) mayTry(deadline time.Time) bool {
	g := op.gateway()
	return !g.interrupted() && g.now().Before(deadline) && op.checkAccount().Succeeded()
}

// refuseEarly reports whether a statement is refused now because it needs a leader and
// this host may not use leaders; another host may.
func (op *operation) refuseEarly(t target) bool {
	return t.requireLeader && op.gateway().options.Terms.Lost() > maxLeaseGap
}

// notRunResult logs and returns the result of a statement that did not run at any
// instance.
func (op *operation) notRunResult(c call, a *attempts) statement.Result {
	detail := a.last
	refused := op.checkAccount()
	switch {
	case !refused.Succeeded():
		detail = refused.Detail
	case detail == "":
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
	for op.mayTry(deadline) {
		t := g.chooseRead(g.options.Catalog(), op, a.tried, g.now())
		if t.server == nil {
			if op.refuseEarly(t) || !op.pause(a, deadline) {
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
	return op.notRunResult(c, a)
}

// tryRead runs a read at one instance. It reports false if the read may be retried at
// another instance. If leadership must be proven, the read runs in a transaction of
// the gateway, and the rollback is sent in the same packet as the read.
func (op *operation) tryRead(c call, t target, deadline time.Time, a *attempts) (statement.Result, bool) {
	st := c.statement
	w := connpool.Work{Values: op.session.values, Prepared: c.prepared}
	if t.requireLeader {
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
		op.recordRead(t, result)
		return result, true
	}
	op.handleErrorCode(t, result, a)
	retry := result.Code.NotRun() || result.Code == statement.Failed || result.Code == statement.Timeout
	return result, !retry
}

// attempt acquires a connection and runs work on it that is safe to repeat. It reports
// false if the first statement of the work was not answered.
func (op *operation) attempt(t target, w connpool.Work, deadline time.Time, a *attempts) (connpool.Answer, bool) {
	conn, err := op.acquire(t.server, deadline, a)
	if err != nil {
		op.handleConnError(t.server, err, a)
		return connpool.Answer{}, false
	}
	defer conn.Release()
	answer, err := op.start(conn, t, w, deadline, a)
	switch {
	case answer.Refused != nil:
		op.handleErrorCode(t, *answer.Refused, a)
		return answer, false
	case len(answer.Results) == 0:
		op.handleConnError(t.server, err, a)
		return answer, false
	}
	return answer, true
}

// do runs work on a connection and updates health and leader samples from the answer.
func (op *operation) do(conn connpool.Handle, t target, w connpool.Work, deadline time.Time, a *attempts) (connpool.Answer, error) {
	g := op.gateway()
	g.stats.choices[t.reason].Inc(1)
	a.reason = t.reason
	if !op.checkAccount().Succeeded() {
		return connpool.Answer{}, errAccountChanged
	}
	if t.requireLeader {
		a.sent = g.bounds.Now()
		if !g.mayUse(t.server) {
			return connpool.Answer{}, errLeaderUnusable
		}
	}
	sent := g.now()
	answer, err := conn.Do(deadline, w)
	took := g.now().Sub(sent)
	a.running += took
	if w.Begin != nil && !w.Begin.ReadOnly && answer.Refused == nil && !answer.BeginPosition.IsZero() {
		g.recordLeaderAnswer(t.server, a.sent, answer.BeginPosition)
	}
	if len(answer.Results) > 0 {
		g.health.recordAnswer(t.server, took, answer.Results[0].Position, g.now())
	}
	return answer, err
}

// recordRead updates the health of the instance that served a read.
func (op *operation) recordRead(t target, result statement.Result) {
	g := op.gateway()
	if !t.requireLeader {
		g.health.recordCaughtUp(t.server, t.age)
	}
	if entry := g.log.Check(zap.DebugLevel, "statement served"); entry != nil {
		entry.Write(zap.String(logging.FieldDecision, "route"), zap.String(logging.FieldInstance, t.server.ID),
			zap.String(logging.FieldReason, t.reason), zap.Stringer("position", result.Position))
	}
}

// handleErrorCode excludes an instance that refused or failed a statement and updates
// its health according to the code.
func (op *operation) handleErrorCode(t target, result statement.Result, a *attempts) {
	g := op.gateway()
	a.exclude(t.server, string(result.Code))
	switch result.Code {
	case statement.Busy, statement.MaxConns:
		a.refused = true
	case statement.ReadOnly:
		g.health.recordNotLeader(t.server, g.now())
	case statement.Lagging:
		op.handleLagging(t, result)
	case statement.Misrouted:
		g.health.recordFailure(t.server, g.now())
	}
}

// handleLagging handles an instance that has not applied the required position. A
// primary of a newer term lacks a position only if a promotion rolled it back, so the
// session gives that position up.
func (op *operation) handleLagging(t target, result statement.Result) {
	g := op.gateway()
	g.health.recordLag(t.server, t.age)
	if t.server.Role != catalog.Primary {
		return
	}
	op.leaderOnly = true
	s := op.session
	if s.position == t.after && t.after.Term.Less(result.Position.Term) {
		g.log.Info("session position was rolled back by a promotion",
			zap.String(logging.FieldInstance, t.server.ID), zap.Stringer("position", s.position),
			zap.Stringer("instance_position", result.Position))
		s.position = position.Position{}
	}
}

// acquire gets a connection within a fraction of the remaining time.
func (op *operation) acquire(server *catalog.Server, deadline time.Time, a *attempts) (connpool.Handle, error) {
	g := op.gateway()
	started := g.now()
	defer func() { a.connecting += g.now().Sub(started) }()
	ctx, cancel := context.WithTimeout(g.work, deadline.Sub(started)/acquireTimeoutDivisor)
	defer cancel()
	return g.options.Conns.Acquire(ctx, server, op.request())
}

// request describes the operation to the source of connections.
func (op *operation) request() connpool.Request {
	r := connpool.Request{Account: op.account, Values: op.session.values, Class: op.route.Class}
	if op.route.Objective > 0 {
		r.Due = op.arrived.Add(op.route.Objective)
	}
	return r
}

// handleConnError handles a connection that could not be acquired or that failed.
func (op *operation) handleConnError(server *catalog.Server, err error, a *attempts) {
	g := op.gateway()
	var refusal *connpool.Refusal
	var ownerErr *connpool.OwnerError
	switch {
	case errors.As(err, &ownerErr):
		// The instance is not excluded: another connection owner, or a direct
		// connection of this host, may still reach it.
		a.record(server, err.Error())
		g.health.recordOwnerFailure(server, ownerErr.Owner, g.now())
		return
	case errors.Is(err, errLeaderUnusable):
		a.exclude(server, err.Error())
		return
	case errors.Is(err, errAccountChanged):
		a.record(server, err.Error())
		return
	case errors.Is(err, connpool.ErrNoConnection), errors.As(err, &refusal) && refusal.Code == statement.MaxConns:
		a.exclude(server, err.Error())
		a.refused = true
		return
	}
	a.exclude(server, err.Error())
	g.health.recordFailure(server, g.now())
	g.log.Info("instance not reached", zap.String(logging.FieldDecision, "avoid_instance"),
		zap.String(logging.FieldInstance, server.ID), zap.Error(err))
}

// write runs a write outside a transaction. It is sent again only if the previous
// attempt certainly did not run.
func (op *operation) write(c call) statement.Result {
	g := op.gateway()
	deadline := op.deadline(c.arrived)
	a := &attempts{}
	for op.mayTry(deadline) {
		server := g.chooseLeader(g.options.Catalog(), op.route.Service, a.tried, g.now())
		if server == nil {
			if op.refuseEarly(target{requireLeader: true}) || !op.pause(a, deadline) {
				break
			}
			continue
		}
		result, done := op.tryWrite(c, target{server: server, requireLeader: true, reason: reasonWrite}, deadline, a)
		if done {
			op.session.logOutcome(c, op, result, a)
			return result
		}
		g.stats.retries.Inc(1)
	}
	return op.notRunResult(c, a)
}

// tryWrite sends a write to one instance. It reports false if the write did not run
// and may be sent again.
func (op *operation) tryWrite(c call, t target, deadline time.Time, a *attempts) (statement.Result, bool) {
	g := op.gateway()
	conn, err := op.acquire(t.server, deadline, a)
	if err != nil {
		op.handleConnError(t.server, err, a)
		return statement.Result{}, false
	}
	defer conn.Release()
	w := connpool.Work{Values: op.session.values, Prepared: c.prepared, Statements: []statement.Statement{c.statement}}
	answer, err := op.start(conn, t, w, deadline, a)
	switch {
	case answer.Refused != nil:
		op.handleErrorCode(t, *answer.Refused, a)
		return statement.Result{}, false
	case len(answer.Results) == 0:
		op.handleConnError(t.server, err, a)
		if outcome.RetrySafe(err) {
			return statement.Result{}, false
		}
		err = outcome.Wrap("write", t.server.ID, err)
		return statement.Result{Code: statement.InDoubt, Detail: err.Error()}, true
	}
	result := answer.Results[0]
	if result.Succeeded() {
		if !g.mayUse(t.server) {
			return endedInDoubt("write", t.server), true
		}
		g.recordLeaderAnswer(t.server, a.sent, result.Position)
		op.session.recordCommit(result.Position, g.now())
		return result, true
	}
	if result.Code.NotRun() {
		op.handleErrorCode(t, result, a)
		return result, false
	}
	return result, true
}

// endedInDoubt is the result of a write that was acknowledged by an instance that may
// have lost its role before the write: another instance may not have it.
func endedInDoubt(step string, server *catalog.Server) statement.Result {
	return statement.Result{Code: statement.InDoubt, Detail: step + ": peer " + server.ID + ": the term of the instance may have ended"}
}

// recordCommit advances the session's position to that of a commit.
func (s *Session) recordCommit(p position.Position, now time.Time) {
	if s.position.Compare(p) < 0 {
		s.position, s.positionAt = p, now
	}
}
