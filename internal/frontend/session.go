package frontend

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleylever/bramleylever/internal/membudget"
	"github.com/bramleylever/bramleylever/internal/pool"
	"github.com/bramleylever/bramleylever/internal/recovery"
	"github.com/bramleylever/bramleylever/internal/routing"
	"github.com/bramleylever/bramleylever/internal/wire"
)

// endReason is why the server ends a session.
type endReason uint8

const (
	endNone endReason = iota
	endKeyWithdrawn
	endServerClosed
)

// runKind classifies the running request by what may interrupt it.
type runKind uint8

const (
	// runOther is interrupted only by the end of the session.
	runOther runKind = iota
	// runWrite can commit. It is interrupted when its instance has been demoted.
	runWrite
	// runRead writes nothing. It is interrupted when its instance does not
	// respond: it is then repeated on another instance, or its read-only
	// transaction is rolled back.
	runRead
)

// session serves the connection of one caller. It passes messages between the
// caller, the protocol state and the backend connection.
type session struct {
	srv *Server
	in  *wire.Reader
	out *wire.Writer
	// memory covers the messages that are not answered yet.
	memory *membudget.Lease
	st     *state
	pid    uint32
	secret uint32
	login  atomic.Pointer[login]
	// ending is closed when the server ends the session.
	ending    chan struct{}
	encrypted bool
	// drainGraceGiven reports that a drain has started to wait drainIdleTimeout
	// for a request in transit. A message of the caller resets it.
	drainGraceGiven bool

	// x matches the answers of the instance with the messages that were sent.
	x    exchange
	plan plan
	// ownPlan is the plan of queries that the proxy itself sends, such as SET
	// and ROLLBACK.
	ownPlan plan
	input   routing.Input

	// beginSQL is the statement that opened the transaction; it is empty once
	// another statement has run. With it, the transaction can be opened again on
	// another instance.
	beginSQL []byte
	// conn is the backend connection of an open transaction.
	conn *pool.Conn

	// cancelMu is held while a cancel request is sent; it is taken before mu.
	cancelMu sync.Mutex
	// mu guards the fields below, which other goroutines access.
	mu        sync.Mutex
	net       net.Conn
	running   *pool.Conn
	runKind   runKind
	endReason endReason
}

func (s *session) run() {
	defer s.srv.removeSession(s)
	defer recovery.Contain("session", nil)
	defer s.cleanup()
	if s.startup() {
		s.loop()
	}
}

// cleanup closes the connections to the caller and to the backend. Closing the
// latter rolls back an open transaction.
func (s *session) cleanup() {
	if s.conn != nil {
		s.returnConn(s.conn, false)
	}
	s.out.Discard()
	s.memory.Release()
	s.mu.Lock()
	_ = s.net.Close()
	s.mu.Unlock()
}

// atBoundary reports whether the session is between two transactions.
func (s *session) atBoundary() bool {
	return s.st.status == 'I' && !s.st.unsynced && !s.st.skipUntilSync
}

// loop serves requests until the connection ends.
func (s *session) loop() {
	for {
		if s.in.Buffered() == 0 && len(s.st.batch.messages) == 0 {
			s.in.Release()
			s.st.batch.reset()
			s.memory.Release()
		}
		kind, frame, err := s.in.Next()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if s.handleReadTimeout() {
				return
			}
			continue
		}
		if err != nil {
			s.handleReadError(err)
			return
		}
		if !s.handleMessage(kind, frame) {
			return
		}
	}
}

// drainIdleTimeout is how long a session must be idle before a drain closes it,
// so that a request in transit is still served.
const drainIdleTimeout = 20 * time.Millisecond

// handleReadTimeout handles an expired read deadline, which a drain or the end
// of the session sets. It reports whether the session has ended.
func (s *session) handleReadTimeout() bool {
	if s.sendTermination(outcomeNotRun) {
		return true
	}
	idle := s.in.Buffered() == 0 && len(s.st.batch.messages) == 0
	if ending := s.drainEnd(); idle && ending != nil && s.drainGraceGiven {
		s.fatal(ending)
		return true
	}
	s.drainGraceGiven = true
	s.setReadDeadline(time.Now().Add(drainIdleTimeout))
	return false
}

// drainEnd returns the error with which a drain closes the session between two
// requests, or nil if the session goes on: its open transaction may still end.
func (s *session) drainEnd() *sqlError {
	switch {
	case s.atBoundary():
		return &sqlError{"57P01", "not run: terminating connection because the proxy drains"}
	case s.srv.endingTransactions.Load():
		return &sqlError{"57P01", "not run: the transaction is rolled back because the proxy drains"}
	}
	return nil
}

func (s *session) handleReadError(err error) {
	if errors.Is(err, wire.ErrTooLarge) || errors.Is(err, wire.ErrMalformed) || errors.Is(err, membudget.ErrExhausted) {
		s.fatal(readFailure(err))
	}
}

// reserve makes the memory budget cover the messages of the batch and one of the given size.
func (s *session) reserve(size int) error {
	pending := 0
	if s.st != nil {
		pending = len(s.st.batch.data)
	}
	return s.memory.Hold(pending+size, membudget.DefaultWait)
}

// handleMessage handles one message of the caller and reports whether the
// session continues.
func (s *session) handleMessage(kind byte, frame []byte) bool {
	s.drainGraceGiven = false
	switch kind {
	case 'X':
		return false
	case 'd', 'c', 'f':
		// PostgreSQL ignores COPY messages outside of a COPY.
		return true
	case 'F':
		return s.refuse(&sqlError{"0A000", "not run: function calls are not supported"}, true)
	}
	if err := s.reserve(len(frame)); err != nil {
		s.fatal(readFailure(err))
		return false
	}
	synced := kind == 'Q' || kind == 'S'
	if s.st.skipUntilSync && kind != 'S' {
		return true
	}
	fatal, refused := s.st.add(kind, frame)
	if fatal != nil {
		s.fatal(fatal)
		return false
	}
	if refused != nil {
		return s.refuse(refused, synced)
	}
	if synced || kind == 'H' {
		return s.serveBatch()
	}
	return true
}

// wake makes a pending read from the caller time out, so that the session
// notices a drain.
func (s *session) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.net.SetReadDeadline(time.Unix(1, 0))
}

// setReadDeadline sets the deadline of reads from the caller; the zero time
// removes it. It has no effect after end, and removing the deadline does not
// undo wake.
func (s *session) setReadDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.endReason != endNone:
	case t.IsZero() && s.srv.draining.Load():
		_ = s.net.SetReadDeadline(time.Unix(1, 0))
	default:
		_ = s.net.SetReadDeadline(t)
	}
}

// end terminates the session as soon as possible: it interrupts the running
// request and reads from the caller, and limits the time of further writes.
func (s *session) end(reason endReason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endReason == endNone {
		close(s.ending)
	}
	s.endReason = max(s.endReason, reason)
	if s.running != nil {
		s.running.Interrupt()
	}
	_ = s.net.SetReadDeadline(time.Unix(1, 0))
	_ = s.net.SetWriteDeadline(time.Now().Add(finalWriteTimeout))
}

func (s *session) reason() endReason {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endReason
}

// interruptWrite interrupts a write that has been running since before its
// instance was demoted, because it can no longer be acknowledged.
func (s *session) interruptWrite(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running != nil && s.runKind == runWrite && s.running.Instance == instance && s.running.Retired() {
		s.running.Interrupt()
	}
}

// interruptRead interrupts a read on an instance that does not respond; the
// read is repeated on another instance.
func (s *session) interruptRead(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running != nil && s.runKind == runRead && s.running.Instance == instance {
		s.running.Interrupt()
	}
}

// setRunning records the connection on which the session's request runs, as
// the target of cancel requests and interrupts. It blocks while a cancel request
// is being sent, so that the cancel request cannot hit a later statement.
func (s *session) setRunning(c *pool.Conn, kind runKind) {
	s.cancelMu.Lock()
	defer s.cancelMu.Unlock()
	s.mu.Lock()
	s.running, s.runKind = c, kind
	if c != nil && s.endReason != endNone {
		c.Interrupt()
	}
	s.mu.Unlock()
}

// returnConn returns a backend connection to its pool.
func (s *session) returnConn(c *pool.Conn, clean bool) {
	s.conn = nil
	s.setRunning(nil, runOther)
	s.srv.pools.Release(c, clean)
}

// deadlineWriter sets a deadline for each write to the caller, so that a caller
// that does not read cannot occupy a backend connection.
type deadlineWriter struct {
	conn net.Conn
	// ending is closed when the server ends the session; from then on, the
	// deadline is finalWriteTimeout.
	ending <-chan struct{}
}

const (
	callerWriteTimeout = time.Minute
	finalWriteTimeout  = time.Second
)

func (w *deadlineWriter) Write(b []byte) (int, error) {
	_ = w.conn.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	select {
	case <-w.ending:
		_ = w.conn.SetWriteDeadline(time.Now().Add(finalWriteTimeout))
	default:
	}
	return w.conn.Write(b)
}

func (s *session) send(m pgproto3.BackendMessage) error {
	b, err := m.Encode(s.out.Buffer())
	if err != nil {
		return err
	}
	s.out.SetBuffer(b)
	return s.out.Flush()
}

// fatal sends an error of severity FATAL, after which the connection is closed.
func (s *session) fatal(e *sqlError) {
	_ = s.out.Add(wire.AppendErrorResponse(nil, "FATAL", e.code, e.message))
	_ = s.out.Flush()
}

// sendTermination tells the caller why the server ends the session and reports
// whether the server ends it; otherwise it sends nothing. outcome is the outcome
// of the current request, if any.
func (s *session) sendTermination(outcome requestOutcome) bool {
	prefix := "not run: "
	if outcome == outcomeUnknown {
		prefix = "outcome unknown: "
	}
	switch s.reason() {
	case endKeyWithdrawn:
		s.fatal(&sqlError{"57P01", prefix + "terminating connection because the key was withdrawn"})
	case endServerClosed:
		s.fatal(&sqlError{"57P01", prefix + "terminating connection because the proxy stops"})
	default:
		return false
	}
	return true
}
