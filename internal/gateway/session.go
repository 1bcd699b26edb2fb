package gateway

import (
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/connpool"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/membudget"
	"github.com/bramleylever/bramleylever/internal/statement"
	"github.com/bramleylever/bramleylever/position"
)

// Session is the session of one caller connection. Handle and Close are called from
// one goroutine; the gateway ends idle transactions and idle sessions from others.
type Session struct {
	gateway  *Gateway
	database string
	key      string
	// closeWhenIdle closes the caller's connection once no request is being read or
	// answered on it.
	closeWhenIdle func()
	opened        time.Time
	// running is the statement under way, nil between two statements.
	running atomic.Pointer[call]

	mu       sync.Mutex
	closed   bool
	values   connpool.Values
	prepared map[string]connpool.Prepared
	// kept is the size of the values and prepared statements in bytes, and memory the lease
	// that covers it.
	kept   int
	memory *membudget.Lease
	// position is the log position of the session's newest commit, learned at
	// positionAt.
	position   position.Position
	positionAt time.Time
	tx         *transaction
	// failed is set if the transaction was rolled back by the gateway and the caller
	// has not ended it yet.
	failed bool
	// keepUntil is when the session may be closed between two statements at the earliest,
	// because its caller is about to send a statement.
	keepUntil time.Time
	// unreported is set if the gateway's shutdown rolled the transaction back and no
	// answer has said so yet.
	unreported bool
}

// firstStatementTime is how long a caller may take to send its first operation, and the one
// after a statement that only prepares the session for it, before a session is closed.
const firstStatementTime = 250 * time.Millisecond

// Open starts a session on a database for the account of an API key. If the session
// is refused it returns nil and the reason. closeWhenIdle must close the caller's
// connection, after CloseNotice, once no request is being read or answered on it, and may
// be called from any goroutine. A request that is handled after that is refused.
func (g *Gateway) Open(database, key string, closeWhenIdle func()) (*Session, statement.Result) {
	s := &Session{
		gateway: g, database: database, key: key, closeWhenIdle: closeWhenIdle, opened: g.now(),
		prepared: map[string]connpool.Prepared{}, memory: g.options.Memory.Lease(),
	}
	s.keepUntil = s.opened.Add(firstStatementTime)
	if _, _, result := s.authorize(g.options.Catalog()); !result.Succeeded() {
		g.stats.result(result.Code)
		g.log.Info("session refused", zap.String(logging.FieldDecision, "refuse_session"),
			zap.String("route_database", database), zap.String(logging.FieldReason, string(result.Code)))
		return nil, result
	}
	if !g.addSession(s) {
		g.stats.result(statement.Busy)
		return nil, statement.Result{Code: statement.Busy, Detail: "not run: the host is stopping", State: statement.Idle}
	}
	g.opened.Inc(1)
	return s, statement.Result{State: statement.Idle}
}

// addSession registers a session. It reports false if the host accepts none any more.
func (g *Gateway) addSession(s *Session) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.drainPhase() >= phaseEndingTransactions {
		return false
	}
	g.sessions[s] = struct{}{}
	return true
}

// authorize looks up the route and the account of the session in the current
// configuration.
func (s *Session) authorize(snapshot *catalog.Snapshot) (*catalog.Route, *catalog.Account, statement.Result) {
	if snapshot.Config == nil {
		return nil, nil, statement.Result{Code: statement.Busy, Detail: "no configuration yet", State: statement.Idle}
	}
	route := snapshot.Config.Routes[s.database]
	if route == nil {
		return nil, nil, statement.Result{
			Code: statement.NoDB, State: statement.Idle,
			Detail: fmt.Sprintf("database %q does not exist", s.database),
		}
	}
	account := s.account(snapshot.Config, route)
	if account == nil {
		return nil, nil, statement.Result{Code: statement.NoAuth, Detail: "the key is not valid", State: statement.Idle}
	}
	return route, account, statement.Result{}
}

// account returns the account that the session's key belongs to. On an open route a caller
// without a valid key is anonymous; on others the result is nil.
func (s *Session) account(config *catalog.Config, route *catalog.Route) *catalog.Account {
	account := config.Keys[s.key]
	if account == nil && route.Open {
		return anonymousAccount
	}
	return account
}

// anonymous is the account name for callers without a valid key on open routes and
// for the gateway's own statements.
const anonymous = "-"

// anonymousAccount is the account of callers without a valid key on open routes.
var anonymousAccount = &catalog.Account{Name: anonymous}

// Close ends the session and rolls back its open transaction, if any.
func (s *Session) Close() {
	g := s.gateway
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.sessions, s)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	defer s.memory.Release()
	if tx := s.tx; tx != nil {
		s.tx = nil
		tx.rollback()
	}
}

// Handle runs one statement whose first byte arrived at the given time. If closeConn
// is true, the caller's connection must be closed after the answer and CloseNotice have been
// sent.
func (s *Session) Handle(st statement.Statement, arrived time.Time) (result statement.Result, closeConn bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.gateway
	if s.closed && !s.unreported {
		g.drainStats.refused.Inc(1)
		return statement.Result{Code: statement.Busy, Detail: "session is closed", State: statement.Idle}, true
	}
	s.running.Store(&call{statement: st, arrived: arrived})
	defer s.running.Store(nil)
	result = s.dispatch(st, arrived)
	if g.interrupted() && !result.Succeeded() {
		g.drainStats.interrupted.Inc(1)
	}
	result.State = s.state()
	result.Position = position.Position{}
	g.stats.result(result.Code)
	g.stats.latency.Update(g.now().Sub(arrived).Microseconds())
	s.keepUntil = time.Time{}
	if result.Succeeded() && st.Kind.PreparesSession() {
		s.keepUntil = arrived.Add(firstStatementTime)
	}
	closeConn = s.closable(g.drainPhase())
	s.closed = s.closed || closeConn
	return result, closeConn
}

func (s *Session) state() statement.State {
	switch {
	case s.failed:
		return statement.InFailed
	case s.tx != nil:
		return statement.InTransaction
	}
	return statement.Idle
}

func (s *Session) dispatch(st statement.Statement, arrived time.Time) statement.Result {
	if s.gateway.drainPhase() >= phaseEndingTransactions {
		return s.refuseStopping(st)
	}
	if s.failed {
		return s.dispatchFailed(st)
	}
	switch st.Kind {
	case statement.Set:
		return s.set(st)
	case statement.Prepare:
		return s.prepare(st)
	case statement.Deallocate:
		if old, known := s.prepared[st.Name]; known {
			s.kept -= len(st.Name) + len(old.Shape)
			delete(s.prepared, st.Name)
		}
		return statement.Result{}
	case statement.Begin:
		return s.begin(st, arrived)
	case statement.Commit, statement.Rollback:
		return s.end(st, arrived)
	case statement.Read, statement.Write, statement.Execute:
		return s.run(st, arrived)
	}
	return s.rejectMalformed(st.Problem)
}

// rejectMalformed refuses a statement that is invalid, or not valid in this state. An
// open transaction is rolled back and enters the failed state.
func (s *Session) rejectMalformed(detail string) statement.Result {
	s.failTransaction()
	return statement.Result{Code: statement.Malformed, Detail: detail}
}

// failTransaction rolls back the open transaction, if any, and puts the session into
// the failed state.
func (s *Session) failTransaction() {
	if s.tx == nil {
		return
	}
	s.tx.rollback()
	s.tx = nil
	s.failed = true
}

// dispatchFailed handles a statement in the failed state, which only the end of the
// transaction leaves.
func (s *Session) dispatchFailed(st statement.Statement) statement.Result {
	switch st.Kind {
	case statement.Rollback:
		s.failed = false
		return statement.Result{}
	case statement.Commit:
		s.failed = false
		return statement.Result{Code: statement.Aborted, Detail: "the transaction failed before and was rolled back"}
	}
	return statement.Result{Code: statement.Malformed, Detail: "the transaction failed; only its end is accepted"}
}

func (s *Session) prepare(st statement.Statement) statement.Result {
	old, known := s.prepared[st.Name]
	if refused := s.keep(st, len(old.Shape), known); !refused.Succeeded() {
		return refused
	}
	s.prepared[st.Name] = connpool.Prepared{Writes: st.Writes, Shape: st.Value}
	return statement.Result{}
}

// keep accounts for the name and the value of a statement, which the session keeps in place
// of an old value if the name is known. It refuses what the memory budget has no room for.
func (s *Session) keep(st statement.Statement, oldBytes int, known bool) statement.Result {
	kept := s.kept + len(st.Value) - oldBytes
	if !known {
		kept += len(st.Name)
	}
	if err := s.memory.Hold(kept, 0); err != nil {
		return statement.Result{Code: statement.Busy, Detail: "not run: " + err.Error()}
	}
	s.kept = kept
	return statement.Result{}
}

func (s *Session) set(st statement.Statement) statement.Result {
	old, known := s.values[st.Name]
	if refused := s.keep(st, len(old), known); !refused.Succeeded() {
		return refused
	}
	// Work on a connection refers to the map, so it is copied, not modified.
	values := maps.Clone(s.values)
	if values == nil {
		values = connpool.Values{}
	}
	values[st.Name] = st.Value
	s.values = values
	return statement.Result{}
}

// admit authorizes an operation and counts it against the account's rate limit.
func (s *Session) admit(arrived time.Time) (*operation, statement.Result) {
	g := s.gateway
	snapshot := g.options.Catalog()
	route, account, result := s.authorize(snapshot)
	if !result.Succeeded() {
		return nil, result
	}
	if !g.options.Admission.Admit(account, route.Class, g.now()) {
		return nil, statement.Result{Code: statement.Busy, Detail: "the rate of account " + account.Name + " is used up"}
	}
	op := &operation{session: s, route: route, account: account.Name, arrived: arrived}
	return op, statement.Result{}
}

// resolve returns the prepared statement of an Execute and whether the statement
// writes. ok is false if the prepared statement does not exist.
func (s *Session) resolve(st statement.Statement) (prepared *connpool.Prepared, writes bool, ok bool) {
	if st.Kind != statement.Execute {
		return nil, st.Kind == statement.Write, true
	}
	p, ok := s.prepared[st.Name]
	return &p, p.Writes, ok
}

func (s *Session) run(st statement.Statement, arrived time.Time) statement.Result {
	prepared, writes, ok := s.resolve(st)
	if !ok {
		s.failTransaction()
		return statement.Result{Code: statement.NoStmt, Detail: fmt.Sprintf("prepared statement %q does not exist", st.Name)}
	}
	call := call{statement: st, prepared: prepared, writes: writes, arrived: arrived}
	if s.tx != nil {
		return s.runInTransaction(call)
	}
	op, refused := s.admit(arrived)
	if op == nil {
		s.logOutcome(call, nil, refused, nil)
		return refused
	}
	if writes {
		return op.write(call)
	}
	return op.read(call)
}

// slowDivisor sets the threshold for logging a served statement as slow: the latency
// objective divided by it.
const slowDivisor = 2

// logOutcome logs a statement that was not served; served statements are logged if
// they were slow or are in the log sample.
func (s *Session) logOutcome(c call, op *operation, result statement.Result, a *attempts) {
	st := c.statement
	if result.Succeeded() {
		if a != nil {
			s.logSlow(st, op, c.arrived, a)
		}
		s.logServedSample(st, op, result)
		return
	}
	fields := append(s.logFields(st, op), zap.String("code", string(result.Code)), zap.String(logging.FieldReason, result.Detail))
	if a != nil {
		fields = append(fields, a.logFields()...)
	}
	s.gateway.log.Info("statement not served", fields...)
}

// servedLogInterval is the number of served statements per logged one.
const servedLogInterval = 200

// logServedSample logs one in servedLogInterval of the served statements.
func (s *Session) logServedSample(st statement.Statement, op *operation, result statement.Result) {
	if s.gateway.servedCount.Add(1)%servedLogInterval != 0 {
		return
	}
	fields := append(s.logFields(st, op), zap.Stringer("position", result.Position), zap.Stringer("session_position", s.position))
	s.gateway.log.Info("statement served", fields...)
}

// logSlow logs a statement that took at least the objective divided by slowDivisor.
func (s *Session) logSlow(st statement.Statement, op *operation, since time.Time, a *attempts) {
	took := s.gateway.now().Sub(since)
	if took < op.route.Objective/slowDivisor || op.route.Objective <= 0 {
		return
	}
	fields := append(s.logFields(st, op), zap.Duration("took", took))
	s.gateway.log.Info("statement slow", append(fields, a.logFields()...)...)
}

// logFields returns the log fields that describe a statement, its operation and the
// age of the configuration that the host used.
func (s *Session) logFields(st statement.Statement, op *operation) []zap.Field {
	fields := []zap.Field{
		zap.String(logging.FieldDecision, "answer"), zap.String("request", st.ID),
		zap.Stringer(logging.FieldStatement, st.Kind), zap.String("route_database", s.database),
	}
	if snapshot := s.gateway.options.Catalog(); snapshot.Config != nil {
		fields = append(fields, zap.Int64("config_version", snapshot.Config.Version),
			zap.Duration("catalog_age", s.gateway.now().Sub(snapshot.ConfirmedAt)))
	}
	if op != nil {
		fields = append(fields, zap.String(logging.FieldAccount, op.account), zap.String("service", op.route.Service),
			zap.Stringer("consistency", op.route.Consistency), zap.Duration("elapsed", s.gateway.now().Sub(op.arrived)))
	}
	return fields
}
