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
	// connecting, running and pausing is where the time went.
	connecting time.Duration
	running    time.Duration
	pausing    time.Duration
}

// fields describes the attempts in a log line.
func (a *attempts) fields() []zap.Field {
	return []zap.Field{
		zap.Int("attempts", a.count), zap.String("last_attempt", a.last),
		zap.Duration("connecting", a.connecting), zap.Duration("running", a.running), zap.Duration("pausing", a.pausing),
	}
}

func (a *attempts) exclude(server *catalog.Server, reason string) {
	if a.tried == nil {
		a.tried = map[string]bool{}
	}
	a.tried[server.ID] = true
	a.last = reason + " at " + server.ID
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
	op.session.logOutcome(c.statement, op, result, a)
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
			op.session.logOutcome(c.statement, op, result, a)
			return result
		}
		g.stats.retries.Inc(1)
	}
	return op.refused(c, a)
}

// tryRead runs a read at one instance. It reports false if the read may go to
// another one.
func (op *operation) tryRead(c call, t target, deadline time.Time, a *attempts) (statement.Result, bool) {
	g := op.gateway()
	conn, err := op.acquire(t.server, deadline, a)
	if err != nil {
		op.noteAcquire(t.server, err, a)
		return statement.Result{}, false
	}
	defer func() { g.options.Pool.Release(conn) }()
	started := g.now()
	defer func() { a.running += g.now().Sub(started) }()
	st, err := op.apply(conn, c, t.lead, deadline)
	if err != nil {
		op.noteRefusal(t, err, a)
		return statement.Result{}, false
	}
	result, err := op.exchangeRead(conn, st, t, deadline)
	if err != nil {
		g.health.failed(t.server, g.now())
		a.exclude(t.server, err.Error())
		return statement.Result{}, false
	}
	if result.Succeeded() {
		op.noteRead(t, result)
		return result, true
	}
	op.noteCode(t, result, a)
	retry := result.Code.NotRun() || result.Code == statement.Failed || result.Code == statement.Timeout
	return result, !retry
}

// exchangeRead sends a read whose connection is prepared. After a proof of
// leadership the read runs inside the gateway's own transaction, which ends in
// the same packet.
func (op *operation) exchangeRead(conn *connpool.Conn, st statement.Statement, t target, deadline time.Time) (statement.Result, error) {
	g := op.gateway()
	sent := g.now()
	statements := []statement.Statement{st}
	if t.lead {
		statements = append(statements, statement.Statement{Kind: statement.Rollback})
	} else {
		statements[0].After = t.after
	}
	results, err := conn.Exchange(deadline, statements...)
	if len(results) == 0 {
		return statement.Result{}, err
	}
	if results[len(results)-1].State != statement.Idle {
		conn.Break()
	}
	g.health.answered(t.server, g.now().Sub(sent), results[0].Position, g.now())
	return results[0], nil
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
func (op *operation) acquire(server *catalog.Server, deadline time.Time, a *attempts) (*connpool.Conn, error) {
	g := op.gateway()
	started := g.now()
	defer func() { a.connecting += g.now().Sub(started) }()
	wait := deadline.Sub(g.now()) / acquireShare
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	limit := g.connLimit(g.options.Catalog(), server.Service)
	return g.options.Pool.Acquire(ctx, server, op.account, op.session.values, limit)
}

// noteAcquire learns from a connection that could not be had.
func (op *operation) noteAcquire(server *catalog.Server, err error, a *attempts) {
	g := op.gateway()
	a.exclude(server, err.Error())
	var refusal *connpool.Refusal
	waited := errors.Is(err, connpool.ErrNoConnection)
	full := errors.As(err, &refusal) && refusal.Code == statement.MaxConns
	if !waited && !full {
		g.health.failed(server, g.now())
		g.log.Info("instance not reached", zap.String(logging.FieldDecision, "avoid_instance"),
			zap.String(logging.FieldInstance, server.ID), zap.Error(err))
	}
}

// refusalError is an instance's refusal of a statement of the gateway's own.
type refusalError struct{ result statement.Result }

// Error names the code of the refusal.
func (e *refusalError) Error() string {
	return "instance answered " + string(e.result.Code) + " " + e.result.Detail
}

// apply gives a connection the session's values and the prepared statement,
// and opens a transaction if lead is set. It returns the statement to send.
func (op *operation) apply(conn *connpool.Conn, c call, lead bool, deadline time.Time) (statement.Statement, error) {
	prelude, name := conn.Apply(op.session.values, c.prepared)
	st := c.statement
	if c.prepared != nil {
		st.Name = name
	}
	if lead {
		prelude = append(prelude, statement.Statement{Kind: statement.Begin})
	}
	return st, op.runPrelude(conn, prelude, lead, deadline)
}

// runPrelude runs statements of the gateway's own. An error that is not a
// refusal means that the connection failed.
func (op *operation) runPrelude(conn *connpool.Conn, prelude []statement.Statement, lead bool, deadline time.Time) error {
	if len(prelude) == 0 {
		return nil
	}
	g := op.gateway()
	sent := g.now()
	results, err := conn.Exchange(deadline, prelude...)
	if err != nil {
		return err
	}
	for i := range results {
		if results[i].Succeeded() {
			continue
		}
		// The Begin comes last and leaves the values applied if it is refused.
		if !lead || i < len(results)-1 || results[i].State != statement.Idle {
			conn.Break()
		}
		return &refusalError{results[i]}
	}
	if lead {
		last := results[len(results)-1]
		op.noteLeader(conn.Server, sent, last.Position)
	}
	return nil
}

// noteLeader records an answer that only a leader gives.
func (op *operation) noteLeader(server *catalog.Server, sent time.Time, p position.Position) {
	g := op.gateway()
	g.health.leads(server, p.Term, g.now())
	g.bounds.Add(server.Service, sent, p)
}

// noteRefusal learns from a prelude that did not succeed.
func (op *operation) noteRefusal(t target, err error, a *attempts) {
	var refusal *refusalError
	if errors.As(err, &refusal) {
		op.noteCode(t, refusal.result, a)
		return
	}
	g := op.gateway()
	g.health.failed(t.server, g.now())
	a.exclude(t.server, err.Error())
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
			op.session.logOutcome(c.statement, op, result, a)
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
		op.noteAcquire(t.server, err, a)
		return statement.Result{}, false
	}
	defer func() { g.options.Pool.Release(conn) }()
	started := g.now()
	defer func() { a.running += g.now().Sub(started) }()
	st, err := op.apply(conn, c, false, deadline)
	if err != nil {
		op.noteRefusal(t, err, a)
		return statement.Result{}, false
	}
	sent := g.now()
	results, err := conn.Exchange(deadline, st)
	if err != nil || len(results) == 0 {
		g.health.failed(t.server, g.now())
		err = outcome.At("write", t.server.ID, err)
		return statement.Result{Code: statement.InDoubt, Detail: err.Error()}, true
	}
	result := results[0]
	g.health.answered(t.server, g.now().Sub(sent), result.Position, g.now())
	if result.Succeeded() {
		op.noteLeader(t.server, sent, result.Position)
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
