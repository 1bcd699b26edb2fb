package frontend

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleylever/bramleylever/internal/pool"
	"github.com/bramleylever/bramleylever/internal/routing"
	"github.com/bramleylever/bramleylever/internal/wire"
)

// endReason is why the server ends a session.
type endReason uint8

const (
	endNone endReason = iota
	endWithdrawn
	endClosed
)

// runKind says what the running request is.
type runKind uint8

const (
	runOther runKind = iota
	// runWrite can commit.
	runWrite
	// runRead writes nothing: it is repeated on another instance, or its
	// read-only transaction is rolled back.
	runRead
)

// session runs one caller's connection: it moves bytes between the caller, the
// state and the backend connection.
type session struct {
	srv    *Server
	in     *wire.Reader
	out    *wire.Writer
	st     *state
	pid    uint32
	secret uint32
	login  atomic.Pointer[login]
	// ending is closed when the server ends the session.
	ending    chan struct{}
	encrypted bool
	// drainTried reports that the caller was given time for a request on its way.
	drainTried bool

	x    exchange
	plan plan
	// ownPlan belongs to the proxy's own queries between requests.
	ownPlan plan
	input   routing.Input

	// begin is the statement that opened the transaction as long as nothing
	// else ran in it, so that it can be opened again on another instance.
	begin []byte
	// conn is the backend connection of an open transaction.
	conn *pool.Conn

	// cancelMu is held while a cancel request is sent; it is taken before mu.
	cancelMu sync.Mutex
	// mu guards what other goroutines read.
	mu        sync.Mutex
	net       net.Conn
	running   *pool.Conn
	runKind   runKind
	endReason endReason
}

func (s *session) run() {
	defer s.srv.remove(s)
	defer s.cleanup()
	if s.startup() {
		s.loop()
	}
}

// cleanup closes both connections. Closing the backend connection rolls an
// open transaction back.
func (s *session) cleanup() {
	if s.conn != nil {
		s.giveBack(s.conn, false)
	}
	s.out.Discard()
	s.mu.Lock()
	_ = s.net.Close()
	s.mu.Unlock()
}

// atBoundary reports that the session is between two transactions.
func (s *session) atBoundary() bool {
	return s.st.status == 'I' && !s.st.unsynced && !s.st.skipUntilSync
}

// loop serves requests until the connection ends.
func (s *session) loop() {
	for {
		if s.in.Buffered() == 0 && len(s.st.batch.messages) == 0 {
			s.in.Release()
			s.st.batch.reset()
		}
		kind, frame, err := s.in.Next()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if s.interrupted() {
				return
			}
			continue
		}
		if err != nil {
			s.readFailed(err)
			return
		}
		if !s.message(kind, frame) {
			return
		}
	}
}

// drainIdle is how long a session must be idle before a drain closes it, so
// that a request that is already on its way is still served.
const drainIdle = 20 * time.Millisecond

// interrupted handles a wake-up while the session waits for the caller. It
// reports whether the session has ended.
func (s *session) interrupted() bool {
	if s.ended(endedNotRun) {
		return true
	}
	idle := s.in.Buffered() == 0 && len(s.st.batch.messages) == 0
	if idle && s.atBoundary() && s.drainTried {
		s.fatal(&sqlError{"57P01", "not run: terminating connection because the proxy drains"})
		return true
	}
	s.drainTried = true
	s.setReadDeadline(time.Now().Add(drainIdle))
	return false
}

func (s *session) readFailed(err error) {
	if errors.Is(err, wire.ErrTooLarge) || errors.Is(err, wire.ErrMalformed) {
		s.fatal(readFailure(err))
	}
}

// message handles one message of the caller and reports whether the session
// goes on.
func (s *session) message(kind byte, frame []byte) bool {
	s.drainTried = false
	switch kind {
	case 'X':
		return false
	case 'd', 'c', 'f':
		// PostgreSQL ignores copy messages outside of a copy.
		return true
	case 'F':
		return s.refuse(&sqlError{"0A000", "not run: function calls are not supported"}, true)
	}
	ends := kind == 'Q' || kind == 'S'
	if s.st.skipUntilSync && kind != 'S' {
		return true
	}
	fatal, refused := s.st.add(kind, frame)
	if fatal != nil {
		s.fatal(fatal)
		return false
	}
	if refused != nil {
		return s.refuse(refused, ends)
	}
	if ends || kind == 'H' {
		return s.serveBatch()
	}
	return true
}

// wake ends the wait for the caller, so that the session sees a drain.
func (s *session) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.net.SetReadDeadline(time.Unix(1, 0))
}

// setReadDeadline bounds the wait for the caller; the zero time removes the
// bound. It does not undo wake and end.
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

// end makes the session end as soon as possible.
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
	_ = s.net.SetWriteDeadline(time.Now().Add(lastWriteTimeout))
}

func (s *session) reason() endReason {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endReason
}

// interruptWrite ends a write that runs on an instance since before that was
// demoted; it cannot be acknowledged any more.
func (s *session) interruptWrite(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running != nil && s.runKind == runWrite && s.running.Instance == instance && s.running.Retired() {
		s.running.Interrupt()
	}
}

// interruptRead ends a read on an instance that does not answer; it is
// repeated elsewhere.
func (s *session) interruptRead(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running != nil && s.runKind == runRead && s.running.Instance == instance {
		s.running.Interrupt()
	}
}

// setRunning records the connection on which the session's request runs, for
// cancel requests. It waits for a cancel request that is being sent.
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

// giveBack returns a backend connection to its pool.
func (s *session) giveBack(c *pool.Conn, clean bool) {
	s.conn = nil
	s.setRunning(nil, runOther)
	s.srv.pools.Release(c, clean)
}

// timedWriter bounds each write to the caller, so that a caller that does not
// read cannot keep a backend connection.
type timedWriter struct {
	conn net.Conn
	// ending is closed when the session ends; the rest must go quickly then.
	ending <-chan struct{}
}

const (
	callerWriteTimeout = time.Minute
	lastWriteTimeout   = time.Second
)

func (w *timedWriter) Write(b []byte) (int, error) {
	_ = w.conn.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	select {
	case <-w.ending:
		_ = w.conn.SetWriteDeadline(time.Now().Add(lastWriteTimeout))
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

// fatal sends a last error; the connection is closed afterwards.
func (s *session) fatal(e *sqlError) {
	_ = s.out.Add(wire.AppendError(nil, "FATAL", e.code, e.message))
	_ = s.out.Flush()
}

// ended answers a caller whose session the server ends, and reports whether it
// does. outcome is what is known of the present request, if any.
func (s *session) ended(outcome ending) bool {
	prefix := "not run: "
	if outcome == endedUnknown {
		prefix = "outcome unknown: "
	}
	switch s.reason() {
	case endWithdrawn:
		s.fatal(&sqlError{"57P01", prefix + "terminating connection because the key was withdrawn"})
	case endClosed:
		s.fatal(&sqlError{"57P01", prefix + "terminating connection because the proxy stops"})
	default:
		return false
	}
	return true
}
