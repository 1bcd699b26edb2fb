package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/connpool"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/internal/recovery"
	"github.com/bramleylever/bramleylever/internal/staleness"
	"github.com/bramleylever/bramleylever/internal/statement"
)

const (
	// rollbackTimeout bounds a rollback; if it expires the connection is closed.
	rollbackTimeout = 200 * time.Millisecond
	// busyRetries is how often a statement in a transaction is sent again after the
	// instance refused it for lack of a slot; busyPause is the initial backoff.
	busyRetries = 6
	busyPause   = 10 * time.Millisecond
)

// transaction is an open transaction of a session. It begins at an instance only with
// its first statement, so that it occupies no connection before that.
type transaction struct {
	op        *operation
	readOnly  bool
	conn      connpool.Handle
	target    target
	wrote     bool
	idleTimer *time.Timer
}

func (s *Session) begin(st statement.Statement, arrived time.Time) statement.Result {
	if s.tx != nil {
		return s.rejectMalformed("a transaction is open already")
	}
	op, refused := s.admit(arrived)
	if op == nil {
		s.logOutcome(call{statement: st, arrived: arrived}, nil, refused, nil)
		return refused
	}
	s.tx = &transaction{op: op, readOnly: st.ReadOnly}
	s.startIdleTimer()
	return statement.Result{}
}

// startIdleTimer starts the timer that rolls the transaction back after the configured
// time without a statement.
func (s *Session) startIdleTimer() {
	limit := s.gateway.options.Catalog().Config.TransactionIdle
	if limit <= 0 {
		return
	}
	tx := s.tx
	tx.idleTimer = time.AfterFunc(limit, func() { recovery.Run("end idle transaction", func() { s.abortIdle(tx) }) })
}

func (s *Session) abortIdle(tx *transaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tx != tx {
		return
	}
	s.gateway.log.Info("idle transaction ended", zap.String(logging.FieldDecision, "end_idle_transaction"),
		zap.String(logging.FieldAccount, tx.op.account))
	s.failTransaction()
}

func (tx *transaction) stopIdleTimer() {
	if tx.idleTimer != nil {
		tx.idleTimer.Stop()
	}
}

// rollback rolls the transaction back at the instance and releases its connection.
func (tx *transaction) rollback() {
	tx.stopIdleTimer()
	if tx.conn == nil {
		return
	}
	w := connpool.Work{Values: tx.op.session.values, Statements: []statement.Statement{{Kind: statement.Rollback}}}
	if _, err := tx.conn.Do(tx.op.gateway().now().Add(rollbackTimeout), w); err != nil {
		tx.op.gateway().log.Debug("rollback failed; the connection is closed", zap.Error(err))
	}
	tx.release()
}

// release returns the connection to the pool, which closes it if it is still inside
// a transaction.
func (tx *transaction) release() {
	if tx.conn != nil {
		tx.conn.Release()
		tx.conn = nil
	}
}

// abort rolls the transaction back. Its commit was not sent, so none of its writes
// can take effect.
func (s *Session) abort(c call, detail string, a *attempts) statement.Result {
	result := statement.Result{Code: statement.Aborted, Detail: "rolled back: " + detail}
	s.logOutcome(c, s.tx.op, result, a)
	s.failTransaction()
	return result
}

// runInTransaction runs a statement of an open transaction.
func (s *Session) runInTransaction(c call) statement.Result {
	tx := s.tx
	tx.stopIdleTimer()
	if refused := tx.op.checkAccount(); !refused.Succeeded() {
		s.logOutcome(c, tx.op, refused, nil)
		s.failTransaction()
		return refused
	}
	deadline := tx.op.deadline(c.arrived)
	a := &attempts{}
	var result statement.Result
	switch {
	case tx.conn == nil:
		var opened bool
		if result, opened = tx.open(c, deadline, a); !opened {
			return s.abort(c, result.Detail, a)
		}
	case s.gateway.outOfService(tx.target.server):
		return s.abort(c, "the instance must not get work any more", a)
	default:
		var err error
		if result, err = tx.send(c, deadline, a); err != nil {
			tx.release()
			return s.abort(c, outcome.Wrap("statement in transaction", tx.target.server.ID, err).Error(), a)
		}
	}
	if !result.Succeeded() {
		if result.Code == statement.ReadOnly {
			s.gateway.health.recordNotLeader(tx.target.server, s.gateway.now())
		}
		return s.abort(c, string(result.Code)+" "+result.Detail, a)
	}
	tx.wrote = tx.wrote || c.writes
	s.logSlow(c.statement, tx.op, c.arrived, a)
	s.startIdleTimer()
	return result
}

// outOfService reports whether an instance must get no statements at all, not even
// those of a transaction that is open there.
func (g *Gateway) outOfService(server *catalog.Server) bool {
	snapshot := g.options.Catalog()
	current := snapshot.Servers[server.ID]
	return snapshot.Evacuated[server.Domain] || current != nil && current.Drained(g.now())
}

// send runs one statement on the transaction's connection. A statement that was
// refused for lack of a slot did not run, so it is sent again.
func (tx *transaction) send(c call, deadline time.Time, a *attempts) (statement.Result, error) {
	op := tx.op
	w := connpool.Work{Values: op.session.values, Prepared: c.prepared, Statements: []statement.Statement{c.statement}}
	for try := 0; ; try++ {
		answer, err := op.do(tx.conn, tx.target, w, deadline, a)
		if answer.Refused != nil {
			return *answer.Refused, nil
		}
		if len(answer.Results) == 0 {
			op.handleConnError(tx.target.server, err, a)
			return statement.Result{}, err
		}
		result := answer.Results[0]
		if result.Succeeded() && tx.target.requireLeader && c.statement.Kind != statement.Commit {
			op.gateway().recordLeaderAnswer(tx.target.server, a.sent, result.Position)
		}
		again := result.Code == statement.Busy && result.State == statement.InTransaction && try < busyRetries
		if !again {
			return result, nil
		}
		time.Sleep(busyPause << min(try, 2))
	}
}

// open begins the transaction at an instance and runs its first statement there. It
// may try several instances, because nothing takes effect before a commit. It reports
// false if none of them ran the statement; the detail then says why.
func (tx *transaction) open(c call, deadline time.Time, a *attempts) (statement.Result, bool) {
	op := tx.op
	g := op.gateway()
	for op.mayTry(deadline) {
		t := tx.choose(a)
		if t.server == nil {
			if op.refuseEarly(t) || !op.pause(a, deadline) {
				break
			}
			continue
		}
		if result, ok := tx.openAt(c, t, deadline, a); ok {
			return result, true
		}
		g.stats.retries.Inc(1)
	}
	return statement.Result{Detail: "not opened at an instance in time; last attempt: " + a.last}, false
}

func (tx *transaction) choose(a *attempts) target {
	g := tx.op.gateway()
	snapshot := g.options.Catalog()
	if tx.readOnly {
		return g.chooseRead(snapshot, tx.op, a.tried, g.now())
	}
	server := g.chooseLeader(snapshot, tx.op.route.Service, a.tried, g.now())
	return target{server: server, requireLeader: true, reason: reasonWrite}
}

// openAt tries to begin the transaction at one instance. It reports whether the first
// statement succeeded there.
func (tx *transaction) openAt(c call, t target, deadline time.Time, a *attempts) (statement.Result, bool) {
	op := tx.op
	conn, err := op.acquire(t.server, deadline, a)
	if err != nil {
		op.handleConnError(t.server, err, a)
		return statement.Result{}, false
	}
	begin := &statement.Statement{Kind: statement.Begin}
	if !t.requireLeader {
		begin.ReadOnly, begin.After = true, t.after
	}
	w := connpool.Work{
		Values: op.session.values, Prepared: c.prepared, Begin: begin,
		Statements: []statement.Statement{c.statement},
	}
	answer, err := op.start(conn, t, w, deadline, a)
	if answer.Refused != nil {
		op.handleErrorCode(t, *answer.Refused, a)
		conn.Release()
		return statement.Result{}, false
	}
	if len(answer.Results) == 0 {
		// Without a commit nothing takes effect, whatever ran.
		op.handleConnError(t.server, err, a)
		conn.Release()
		return statement.Result{}, false
	}
	if !t.requireLeader {
		op.gateway().health.recordCaughtUp(t.server, t.age)
	}
	tx.conn, tx.target = conn, t
	result := answer.Results[0]
	if result.Succeeded() {
		return result, true
	}
	op.handleErrorCode(t, result, a)
	tx.rollback()
	return result, false
}

// end commits or rolls back the open transaction.
func (s *Session) end(st statement.Statement, arrived time.Time) statement.Result {
	if s.tx == nil {
		return statement.Result{Code: statement.Malformed, Detail: "no transaction is open"}
	}
	if st.Kind == statement.Rollback {
		s.tx.rollback()
		s.tx = nil
		return statement.Result{}
	}
	return s.commit(call{statement: st, arrived: arrived})
}

func (s *Session) commit(c call) statement.Result {
	tx := s.tx
	tx.stopIdleTimer()
	deadline := tx.op.deadline(c.arrived)
	a := &attempts{}
	s.tx = nil
	var result statement.Result
	if refused := s.refuseCommit(tx); !refused.Succeeded() {
		// The connection is closed, which rolls back.
		tx.release()
		s.logOutcome(c, tx.op, refused, a)
		return refused
	}
	if tx.conn == nil {
		// No statement ran, so there is nothing to lose if this fails.
		var opened bool
		if result, opened = tx.open(c, deadline, a); !opened {
			result.Code = statement.Aborted
		}
	} else {
		var err error
		if result, err = tx.send(c, deadline, a); err != nil {
			result = tx.commitUnanswered(err)
		} else {
			result = tx.commitAnswered(s, result, a.sent)
		}
	}
	tx.release()
	s.logOutcome(c, tx.op, result, a)
	return result
}

// refuseCommit checks what may have changed since the last statement of a transaction: the
// caller's key and the failure domain of the instance. A draining instance may still commit.
func (s *Session) refuseCommit(tx *transaction) statement.Result {
	if refused := tx.op.checkAccount(); !refused.Succeeded() {
		return refused
	}
	if tx.conn != nil && s.gateway.options.Catalog().Evacuated[tx.target.server.Domain] {
		return statement.Result{Code: statement.Aborted, Detail: "rolled back: the failure domain of the instance is evacuated"}
	}
	return statement.Result{}
}

// commitUnanswered returns the result of a commit without an answer. A transaction
// that only read is never in doubt, because it has no effect.
func (tx *transaction) commitUnanswered(err error) statement.Result {
	if tx.wrote && !outcome.RetrySafe(err) {
		return statement.Result{Code: statement.InDoubt, Detail: outcome.Wrap("commit", tx.target.server.ID, err).Error()}
	}
	return statement.Result{Code: statement.Aborted, Detail: outcome.Wrap("commit", tx.target.server.ID, err).Error()}
}

// commitAnswered returns the result of a commit that was answered. If the commit was
// refused as not run, the transaction is rolled back when its connection closes.
func (tx *transaction) commitAnswered(s *Session, result statement.Result, sent staleness.Timestamp) statement.Result {
	if result.Succeeded() {
		if tx.wrote {
			if !s.gateway.mayUse(tx.target.server) {
				return endedInDoubt("commit", tx.target.server)
			}
			tx.op.gateway().recordLeaderAnswer(tx.target.server, sent, result.Position)
			s.recordCommit(result.Position, s.gateway.now())
		}
		return result
	}
	detail := string(result.Code) + " " + result.Detail
	if result.Code.NotRun() || !tx.wrote {
		return statement.Result{Code: statement.Aborted, Detail: "rolled back: " + detail}
	}
	return statement.Result{Code: statement.InDoubt, Detail: detail}
}
