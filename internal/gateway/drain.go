package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/recovery"
	"github.com/bramleylever/bramleylever/internal/statement"
)

// drainPhase is how far the shutdown of a gateway has come.
type drainPhase int32

const (
	// phaseClosingIdle closes each session once it has no open transaction. Before it, all
	// work is accepted.
	phaseClosingIdle drainPhase = iota + 1
	// phaseEndingTransactions accepts no statement and rolls back the open
	// transactions. Statements under way continue.
	phaseEndingTransactions
	// phaseInterrupting interrupts the statements under way.
	phaseInterrupting
)

// DrainCounts counts what the shutdown has done to the callers' work.
type DrainCounts struct {
	// Aborted is the number of open transactions that were rolled back.
	Aborted int64
	// Refused is the number of statements that were refused because they arrived too
	// late, and Interrupted that of statements that were interrupted.
	Refused     int64
	Interrupted int64
}

// OpenStatement is a statement under way.
type OpenStatement struct {
	// Request is the caller's id of the statement.
	Request string
	Kind    statement.Kind
	// SessionAge and Age are the times since the session was opened and since the
	// statement arrived.
	SessionAge time.Duration
	Age        time.Duration
}

// OpenStatements returns the statements under way.
func (g *Gateway) OpenStatements() []OpenStatement {
	var open []OpenStatement
	now := g.now()
	for _, s := range g.allSessions() {
		if r := s.running.Load(); r != nil {
			open = append(open, OpenStatement{
				Request: r.statement.ID, Kind: r.statement.Kind, SessionAge: now.Sub(s.opened), Age: now.Sub(r.arrived),
			})
		}
	}
	return open
}

// Opened returns the number of sessions that were opened so far.
func (g *Gateway) Opened() int64 { return g.opened.Count() }

// drainStats holds the counters of DrainCounts.
type drainStats struct{ aborted, refused, interrupted metrics.Counter }

func newDrainStats(r metrics.Registry) drainStats {
	return drainStats{
		aborted:     metrics.GetOrRegisterCounter("gateway.drain_transactions_aborted_count", r),
		refused:     metrics.GetOrRegisterCounter("gateway.drain_statements_refused_count", r),
		interrupted: metrics.GetOrRegisterCounter("gateway.drain_statements_interrupted_count", r),
	}
}

// DrainCounts returns what the shutdown has done so far.
func (g *Gateway) DrainCounts() DrainCounts {
	return DrainCounts{
		Aborted: g.drainStats.aborted.Count(), Refused: g.drainStats.refused.Count(), Interrupted: g.drainStats.interrupted.Count(),
	}
}

func (g *Gateway) drainPhase() drainPhase { return drainPhase(g.phase.Load()) }

// Drain starts the shutdown: open transactions continue, and each session is closed
// once it has no open transaction.
func (g *Gateway) Drain() { g.enter(phaseClosingIdle) }

// EndTransactions rolls back the open transactions. The next statement of each is
// answered with Aborted, and all other new statements are refused. Statements under way
// continue. A session whose caller has not been told yet stays open until Interrupt.
func (g *Gateway) EndTransactions() { g.enter(phaseEndingTransactions) }

// Interrupt interrupts the statements under way, so that each gets an answer, and closes
// the other sessions.
func (g *Gateway) Interrupt() {
	g.enter(phaseInterrupting)
	g.interruptWork()
	g.options.Conns.Interrupt()
}

// enter begins a phase. It takes the lock under which sessions are added, so that no session
// is opened on a phase that has ended.
func (g *Gateway) enter(p drainPhase) {
	g.mu.Lock()
	g.phase.Store(int32(p))
	g.mu.Unlock()
	g.Sweep()
}

// Sweep closes the sessions, and rolls back the transactions, that the shutdown has to
// end and that no statement occupies. It is called repeatedly, because a session may open,
// or a statement end, after the call that changed the phase.
func (g *Gateway) Sweep() {
	phase := g.drainPhase()
	for _, s := range g.allSessions() {
		s.sweep(phase)
	}
}

// CloseIdle closes the sessions without an open transaction or a running statement,
// so that their callers reconnect, possibly to another host.
func (g *Gateway) CloseIdle() {
	for _, s := range g.allSessions() {
		s.sweep(phaseClosingIdle)
	}
}

// interrupted reports whether statements under way must end now.
func (g *Gateway) interrupted() bool { return g.work.Err() != nil }

func (g *Gateway) allSessions() []*Session {
	g.mu.Lock()
	defer g.mu.Unlock()
	sessions := make([]*Session, 0, len(g.sessions))
	for s := range g.sessions {
		sessions = append(sessions, s)
	}
	return sessions
}

// sweep does what the shutdown requires of a session, unless a statement is under way.
func (s *Session) sweep(phase drainPhase) {
	if !s.mu.TryLock() {
		return
	}
	if s.tx != nil && phase >= phaseEndingTransactions {
		// The instance may be slow to answer, and there are other sessions.
		recovery.Go("end transaction", func() {
			defer s.mu.Unlock()
			s.endTransaction()
		})
		return
	}
	defer s.mu.Unlock()
	if s.closable(phase) && !s.closed {
		s.closed = true
		s.closeWhenIdle()
	}
}

// closable reports whether the session may be closed between two statements in a phase.
func (s *Session) closable(phase drainPhase) bool {
	if phase <= phaseClosingIdle && s.gateway.now().Before(s.keepUntil) {
		return false
	}
	return phase >= s.closableFrom()
}

// CloseNotice returns what the caller is told when its session is closed between two
// statements. It also answers a statement that is on its way then and must not be answered
// in another way.
func (s *Session) CloseNotice() statement.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closeNotice()
}

func (s *Session) closeNotice() statement.Result {
	if s.unreported {
		return statement.Result{Code: statement.Aborted, Detail: "rolled back: the host is stopping"}
	}
	return statement.Result{Code: statement.Busy, Detail: "not run: the host closes its sessions"}
}

// closableFrom returns the phase from which the session is closed between two
// statements. A caller that does not know yet that its transaction was rolled back is
// told as long as possible: a commit that meets a closed connection is in doubt for it.
func (s *Session) closableFrom() drainPhase {
	switch {
	case s.tx != nil || s.unreported:
		return phaseInterrupting
	case s.failed:
		return phaseEndingTransactions
	}
	return phaseClosingIdle
}

// endTransaction rolls back the open transaction, if any, because the host is stopping.
func (s *Session) endTransaction() {
	if s.tx == nil {
		return
	}
	g := s.gateway
	g.drainStats.aborted.Inc(1)
	g.log.Info("transaction ended by the stop of the host", zap.String(logging.FieldDecision, "end_transaction"),
		zap.String(logging.FieldAccount, s.tx.op.account), zap.Duration("open", g.now().Sub(s.tx.op.arrived)))
	s.failTransaction()
	s.unreported = true
}

// refuseStopping answers a statement that arrives after the last moment at which the
// stopping host accepts work. Nothing of an open transaction is kept.
func (s *Session) refuseStopping(st statement.Statement) statement.Result {
	s.gateway.drainStats.refused.Inc(1)
	s.endTransaction()
	switch {
	case s.unreported:
		notice := s.closeNotice()
		s.unreported = false
		result := s.dispatchFailed(st)
		if st.Kind != statement.Rollback {
			result = notice
		}
		return result
	case s.failed:
		return s.dispatchFailed(st)
	}
	return statement.Result{Code: statement.Busy, Detail: "not run: the host is stopping"}
}

// Usage counts the sessions of a gateway by what they are doing.
type Usage struct {
	Sessions int
	// Transactions is the number of open transactions between two statements, and
	// Running the number of statements under way, inside transactions or not.
	Transactions int
	Running      int
}

// Usage returns what the sessions are doing now.
func (g *Gateway) Usage() Usage {
	var u Usage
	for _, s := range g.allSessions() {
		u.Sessions++
		switch running, open := s.activity(); {
		case running:
			u.Running++
		case open:
			u.Transactions++
		}
	}
	return u
}

// activity reports whether a statement is under way, or else whether a transaction is
// open.
func (s *Session) activity() (running, open bool) {
	if !s.mu.TryLock() {
		return true, false
	}
	defer s.mu.Unlock()
	return false, s.tx != nil
}
