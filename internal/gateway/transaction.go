package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/connpool"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/outcome"
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
// with its first statement, so that a pause before it holds no connection.
type transaction struct {
	op       *operation
	readOnly bool
	conn     *connpool.Conn
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
		s.logOutcome(st, nil, refused, nil)
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

// rollback gives the connection back, or closes it if the rollback fails.
func (tx *transaction) rollback() {
	if tx.idle != nil {
		tx.idle.Stop()
	}
	if tx.conn == nil {
		return
	}
	g := tx.op.gateway()
	conn := tx.conn
	tx.conn = nil
	results, err := conn.Exchange(g.now().Add(rollbackTimeout), statement.Statement{Kind: statement.Rollback})
	if err == nil && (!results[0].Succeeded() || results[0].State != statement.Idle) {
		conn.Break()
	}
	g.options.Pool.Release(conn)
}

// abandon closes the connection, which rolls back.
func (tx *transaction) abandon() {
	if tx.conn == nil {
		return
	}
	tx.conn.Break()
	tx.op.gateway().options.Pool.Release(tx.conn)
	tx.conn = nil
}

// aborted ends the transaction. As its commit was not sent, nothing of it is
// kept.
func (s *Session) aborted(c call, detail string) statement.Result {
	result := statement.Result{Code: statement.Aborted, Detail: "rolled back: " + detail}
	s.logOutcome(c.statement, s.tx.op, result, nil)
	s.failTransaction()
	return result
}

func (s *Session) runInTransaction(c call) statement.Result {
	tx := s.tx
	if tx.idle != nil {
		tx.idle.Stop()
	}
	if _, _, result := s.authorize(s.gateway.options.Catalog()); result.Code == statement.NoAuth {
		s.failTransaction()
		return result
	}
	deadline := tx.op.deadline(c.arrived)
	if tx.conn == nil {
		if result := s.openTransaction(c, deadline); !result.Succeeded() {
			return result
		}
	}
	st, err := tx.op.apply(tx.conn, c, false, deadline)
	if err != nil {
		tx.abandon()
		return s.aborted(c, err.Error())
	}
	result, err := tx.send(st, deadline)
	if err != nil {
		tx.abandon()
		return s.aborted(c, outcome.At("statement in transaction", tx.target.server.ID, err).Error())
	}
	if !result.Succeeded() {
		if result.Code == statement.ReadOnly {
			s.gateway.health.refusesLead(tx.target.server, s.gateway.now())
		}
		return s.aborted(c, string(result.Code)+" "+result.Detail)
	}
	tx.wrote = tx.wrote || c.writes
	s.watchIdle()
	return result
}

// send runs one statement on the transaction's connection. A statement that
// found no slot is sent again, because it did not run.
func (tx *transaction) send(st statement.Statement, deadline time.Time) (statement.Result, error) {
	g := tx.op.gateway()
	for try := 0; ; try++ {
		sent := g.now()
		results, err := tx.conn.Exchange(deadline, st)
		if err != nil {
			g.health.failed(tx.target.server, g.now())
			return statement.Result{}, err
		}
		result := results[0]
		g.health.answered(tx.target.server, g.now().Sub(sent), result.Position, g.now())
		if result.Succeeded() && tx.target.lead && st.Kind != statement.Commit {
			tx.op.noteLeader(tx.target.server, sent, result.Position)
		}
		again := result.Code == statement.Busy && result.State == statement.InTransaction && try < busyRetries
		if !again {
			return result, nil
		}
		time.Sleep(busyPause << min(try, 2))
	}
}

// openTransaction opens the transaction at an instance.
func (s *Session) openTransaction(c call, deadline time.Time) statement.Result {
	g := s.gateway
	tx := s.tx
	a := &attempts{}
	for g.now().Before(deadline) {
		t := tx.choose(a)
		if t.server == nil {
			if !tx.op.pause(a, deadline) {
				break
			}
			continue
		}
		if tx.openAt(t, deadline, a) {
			s.logSlow(c.statement, tx.op, c.arrived, a)
			return statement.Result{}
		}
		g.stats.retries.Inc(1)
	}
	result := tx.op.refused(c, a)
	s.failTransaction()
	return result
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
func (tx *transaction) openAt(t target, deadline time.Time, a *attempts) bool {
	op := tx.op
	conn, err := op.acquire(t.server, deadline, a)
	if err != nil {
		op.noteAcquire(t.server, err, a)
		return false
	}
	started := op.gateway().now()
	defer func() { a.running += op.gateway().now().Sub(started) }()
	if t.lead {
		_, err = op.apply(conn, call{}, true, deadline)
	} else {
		err = op.beginReadOnly(conn, t, deadline)
	}
	if err != nil {
		op.noteRefusal(t, err, a)
		op.gateway().options.Pool.Release(conn)
		return false
	}
	tx.conn, tx.target = conn, t
	return true
}

// beginReadOnly opens a transaction that only reads and that needs no leader.
func (op *operation) beginReadOnly(conn *connpool.Conn, t target, deadline time.Time) error {
	prelude, _ := conn.Apply(op.session.values, nil)
	prelude = append(prelude, statement.Statement{Kind: statement.Begin, ReadOnly: true, After: t.after})
	results, err := conn.Exchange(deadline, prelude...)
	if err != nil {
		return err
	}
	for i := range results {
		if results[i].Succeeded() {
			continue
		}
		if i < len(results)-1 || results[i].State != statement.Idle {
			conn.Break()
		}
		return &refusalError{results[i]}
	}
	op.gateway().health.caughtUp(t.server, t.age)
	return nil
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
	if tx.idle != nil {
		tx.idle.Stop()
	}
	deadline := tx.op.deadline(c.arrived)
	if tx.conn == nil {
		if result := s.openTransaction(c, deadline); !result.Succeeded() {
			s.failed = false
			return result
		}
	}
	g := s.gateway
	sent := g.now()
	result, err := tx.send(c.statement, deadline)
	s.tx = nil
	if err != nil {
		result = tx.commitUnknown(err)
		tx.abandon()
	} else {
		result = tx.commitAnswered(s, result, sent)
	}
	s.logOutcome(c.statement, tx.op, result, nil)
	return result
}

// commitUnknown is the result of a commit without an answer. A transaction
// that only read keeps nothing in any case.
func (tx *transaction) commitUnknown(err error) statement.Result {
	err = outcome.At("commit", tx.target.server.ID, err)
	if tx.wrote {
		return statement.Result{Code: statement.InDoubt, Detail: err.Error()}
	}
	return statement.Result{Code: statement.Aborted, Detail: err.Error()}
}

// commitAnswered settles a commit that was answered.
func (tx *transaction) commitAnswered(s *Session, result statement.Result, sent time.Time) statement.Result {
	g := s.gateway
	if result.Succeeded() {
		if tx.wrote {
			tx.op.noteLeader(tx.target.server, sent, result.Position)
			s.committed(result.Position, g.now())
		}
		if result.State != statement.Idle {
			tx.conn.Break()
		}
		g.options.Pool.Release(tx.conn)
		tx.conn = nil
		return result
	}
	refused := result.Code.NotRun()
	detail := string(result.Code) + " " + result.Detail
	if result.State == statement.Idle {
		g.options.Pool.Release(tx.conn)
		tx.conn = nil
	} else {
		tx.rollback()
	}
	if refused || !tx.wrote {
		return statement.Result{Code: statement.Aborted, Detail: "rolled back: " + detail}
	}
	return statement.Result{Code: statement.InDoubt, Detail: detail}
}
