package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/connpool"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/internal/staleness"
	"github.com/bramleylever/bramleylever/internal/statement"
)

const (
	// rollbackTimeout bounds a rollback; its connection is closed after that.
	rollbackTimeout = 200 * time.Millisecond
	// busyRetries and busyPause bound how often a statement is sent again that
	// an instance refused for lack of a slot inside a transaction.
	busyRetries = 6
	busyPause   = 10 * time.Millisecond
)

// transaction is an open transaction of a session. It opens at an instance
// together with its first statement, so that a pause before it holds no
// connection.
type transaction struct {
	op       *operation
	readOnly bool
	conn     connpool.Handle
	target   target
	wrote    bool
	idle     *time.Timer
}

func (s *Session) begin(st statement.Statement, arrived time.Time) statement.Result {
	if s.tx != nil {
		return s.malformed("a transaction is open already")
	}
	op, refused := s.admit(arrived)
	if op == nil {
		s.logOutcome(call{statement: st, arrived: arrived}, nil, refused, nil)
		return refused
	}
	s.tx = &transaction{op: op, readOnly: st.ReadOnly}
	s.watchIdle()
	return statement.Result{}
}

// watchIdle ends the transaction after the configured time without a
// statement.
func (s *Session) watchIdle() {
	limit := s.gateway.options.Catalog().Config.TransactionIdle
	if limit <= 0 {
		return
	}
	tx := s.tx
	tx.idle = time.AfterFunc(limit, func() { s.endIdle(tx) })
}

func (s *Session) endIdle(tx *transaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tx != tx {
		return
	}
	s.gateway.log.Info("idle transaction ended", zap.String(logging.FieldDecision, "end_idle_transaction"),
		zap.String(logging.FieldAccount, tx.op.account))
	s.failTransaction()
}

func (tx *transaction) stopIdle() {
	if tx.idle != nil {
		tx.idle.Stop()
	}
}

// rollback ends the transaction at the instance and gives the connection back.
func (tx *transaction) rollback() {
	tx.stopIdle()
	if tx.conn == nil {
		return
	}
	w := connpool.Work{Values: tx.op.session.values, Statements: []statement.Statement{{Kind: statement.Rollback}}}
	if _, err := tx.conn.Do(tx.op.gateway().now().Add(rollbackTimeout), w); err != nil {
		tx.op.gateway().log.Debug("rollback failed; the connection is closed", zap.Error(err))
	}
	tx.release()
}

// release gives the connection back; one inside a transaction is closed.
func (tx *transaction) release() {
	if tx.conn != nil {
		tx.conn.Release()
		tx.conn = nil
	}
}

// aborted ends the transaction. As its commit was not sent, nothing of it is
// kept.
func (s *Session) aborted(c call, detail string, a *attempts) statement.Result {
	result := statement.Result{Code: statement.Aborted, Detail: "rolled back: " + detail}
	s.logOutcome(c, s.tx.op, result, a)
	s.failTransaction()
	return result
}

// runInTransaction runs a statement of an open transaction.
func (s *Session) runInTransaction(c call) statement.Result {
	tx := s.tx
	tx.stopIdle()
	if _, _, result := s.authorize(s.gateway.options.Catalog()); result.Code == statement.NoAuth {
		s.failTransaction()
		return result
	}
	deadline := tx.op.deadline(c.arrived)
	a := &attempts{}
	var result statement.Result
	switch {
	case tx.conn == nil:
		var opened bool
		if result, opened = tx.open(c, deadline, a); !opened {
			return s.aborted(c, result.Detail, a)
		}
	case s.gateway.withdrawn(tx.target.server):
		return s.aborted(c, "the instance must not get work any more", a)
	default:
		var err error
		if result, err = tx.send(c, deadline, a); err != nil {
			tx.release()
			return s.aborted(c, outcome.Wrap("statement in transaction", tx.target.server.ID, err).Error(), a)
		}
	}
	if !result.Succeeded() {
		if result.Code == statement.ReadOnly {
			s.gateway.health.refusesLead(tx.target.server, s.gateway.now())
		}
		return s.aborted(c, string(result.Code)+" "+result.Detail, a)
	}
	tx.wrote = tx.wrote || c.writes
	s.logSlow(c.statement, tx.op, c.arrived, a)
	s.watchIdle()
	return result
}

// withdrawn reports whether an instance must not even get the rest of a
// transaction.
func (g *Gateway) withdrawn(server *catalog.Server) bool {
	snapshot := g.options.Catalog()
	current := snapshot.Servers[server.ID]
	return snapshot.Evacuated[server.Domain] || current != nil && current.Drained(g.now())
}

// send runs one statement on the transaction's connection. A statement that
// found no slot is sent again, because it did not run.
func (tx *transaction) send(c call, deadline time.Time, a *attempts) (statement.Result, error) {
	op := tx.op
	w := connpool.Work{Values: op.session.values, Prepared: c.prepared, Statements: []statement.Statement{c.statement}}
	for try := 0; ; try++ {
		answer, err := op.do(tx.conn, tx.target, w, deadline, a)
		if answer.Refused != nil {
			return *answer.Refused, nil
		}
		if len(answer.Results) == 0 {
			op.noteFailure(tx.target.server, err, a)
			return statement.Result{}, err
		}
		result := answer.Results[0]
		if result.Succeeded() && tx.target.lead && c.statement.Kind != statement.Commit {
			op.gateway().noteLeader(tx.target.server, a.sent, result.Position)
		}
		again := result.Code == statement.Busy && result.State == statement.InTransaction && try < busyRetries
		if !again {
			return result, nil
		}
		time.Sleep(busyPause << min(try, 2))
	}
}

// open opens the transaction at an instance and runs its first statement there.
// It may go to several instances, because nothing is kept before a commit. It
// reports false if none of them ran the statement; the detail says why.
func (tx *transaction) open(c call, deadline time.Time, a *attempts) (statement.Result, bool) {
	op := tx.op
	g := op.gateway()
	for g.now().Before(deadline) {
		t := tx.choose(a)
		if t.server == nil {
			if !op.pause(a, deadline) {
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
	return target{server: server, lead: true, reason: reasonWrite}
}

// openAt tries to open the transaction at one instance.
func (tx *transaction) openAt(c call, t target, deadline time.Time, a *attempts) (statement.Result, bool) {
	op := tx.op
	conn, err := op.acquire(t.server, deadline, a)
	if err != nil {
		op.noteFailure(t.server, err, a)
		return statement.Result{}, false
	}
	begin := &statement.Statement{Kind: statement.Begin}
	if !t.lead {
		begin.ReadOnly, begin.After = true, t.after
	}
	w := connpool.Work{
		Values: op.session.values, Prepared: c.prepared, Begin: begin,
		Statements: []statement.Statement{c.statement},
	}
	answer, err := op.do(conn, t, w, deadline, a)
	if answer.Refused != nil {
		op.noteCode(t, *answer.Refused, a)
		conn.Release()
		return statement.Result{}, false
	}
	if len(answer.Results) == 0 {
		// Nothing is kept of a transaction without a commit, whatever ran.
		op.noteFailure(t.server, err, a)
		conn.Release()
		return statement.Result{}, false
	}
	if !t.lead {
		op.gateway().health.caughtUp(t.server, t.age)
	}
	tx.conn, tx.target = conn, t
	result := answer.Results[0]
	if result.Succeeded() {
		return result, true
	}
	op.noteCode(t, result, a)
	tx.rollback()
	return result, false
}

// end commits or rolls back.
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
	tx.stopIdle()
	deadline := tx.op.deadline(c.arrived)
	a := &attempts{}
	s.tx = nil
	var result statement.Result
	if tx.conn == nil {
		// A transaction without a statement has nothing to keep.
		var opened bool
		if result, opened = tx.open(c, deadline, a); !opened {
			result.Code = statement.Aborted
		}
	} else {
		var err error
		if result, err = tx.send(c, deadline, a); err != nil {
			result = tx.commitUnknown(err)
		} else {
			result = tx.commitAnswered(s, result, a.sent)
		}
	}
	tx.release()
	s.logOutcome(c, tx.op, result, a)
	return result
}

// commitUnknown is the result of a commit without an answer. A transaction
// that only read keeps nothing in any case.
func (tx *transaction) commitUnknown(err error) statement.Result {
	if tx.wrote && !outcome.RetrySafe(err) {
		return statement.Result{Code: statement.InDoubt, Detail: outcome.Wrap("commit", tx.target.server.ID, err).Error()}
	}
	return statement.Result{Code: statement.Aborted, Detail: outcome.Wrap("commit", tx.target.server.ID, err).Error()}
}

// commitAnswered settles a commit that was answered. A commit that was refused
// as not run leaves a transaction that its connection's end rolls back.
func (tx *transaction) commitAnswered(s *Session, result statement.Result, sent staleness.Timestamp) statement.Result {
	if result.Succeeded() {
		if tx.wrote {
			tx.op.gateway().noteLeader(tx.target.server, sent, result.Position)
			s.committed(result.Position, s.gateway.now())
		}
		return result
	}
	detail := string(result.Code) + " " + result.Detail
	if result.Code.NotRun() || !tx.wrote {
		return statement.Result{Code: statement.Aborted, Detail: "rolled back: " + detail}
	}
	return statement.Result{Code: statement.InDoubt, Detail: detail}
}
