package standin

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// errAnswerLost is what a client sees when its connection breaks after the
// request arrived.
var errAnswerLost = status.Error(codes.Unavailable, "connection lost before the answer")

// Faults is the set of faults in force.
type Faults struct {
	// Down closes all connections and refuses new ones.
	Down bool `json:"down"`
	// DelayMS holds each request for so many milliseconds before it runs. A
	// request runs even if its caller gave up in the meantime.
	DelayMS int64 `json:"delay_ms"`
	// LoseAnswers is the number of writes yet to come that take effect
	// without an answer.
	LoseAnswers int `json:"lose_answers"`
	// Cut lists source address prefixes whose packets are held until the cut
	// ends.
	Cut []string `json:"cut"`
}

// maxDelayMS bounds a delay that is set by mistake.
const maxDelayMS = 60_000

func (f Faults) validate() ([]netip.Prefix, error) {
	if f.DelayMS < 0 || f.DelayMS > maxDelayMS {
		return nil, fmt.Errorf("delay_ms: %d is not between 0 and %d", f.DelayMS, maxDelayMS)
	}
	if f.LoseAnswers < 0 {
		return nil, fmt.Errorf("lose_answers: %d is negative", f.LoseAnswers)
	}
	var prefixes []netip.Prefix
	for i, text := range f.Cut {
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			return nil, fmt.Errorf("cut[%d]: %w", i, err)
		}
		prefixes = append(prefixes, prefix)
	}
	return prefixes, nil
}

type faults struct {
	mu       sync.Mutex
	set      Faults
	prefixes []netip.Prefix
	conns    map[*faultyConn]struct{}
	changed  chan struct{}
	closed   bool
}

func newFaults() *faults {
	return &faults{conns: map[*faultyConn]struct{}{}, changed: make(chan struct{})}
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	out := s.faults.set
	out.Cut = slices.Clone(out.Cut)
	return out
}

// SetFaults replaces the faults in force; the zero value ends all of them.
func (s *Server) SetFaults(f Faults) error {
	prefixes, err := f.validate()
	if err != nil {
		return fmt.Errorf("set faults: %w", err)
	}
	s.faults.apply(f, prefixes)
	return nil
}

// SetDown takes the service down or brings it back.
func (s *Server) SetDown(down bool) {
	s.faults.update(func(f *Faults) { f.Down = down })
}

// SetDelay holds each request before it runs.
func (s *Server) SetDelay(d time.Duration) {
	s.faults.update(func(f *Faults) { f.DelayMS = d.Milliseconds() })
}

// LoseAnswers loses the answers of the next n writes.
func (s *Server) LoseAnswers(n int) {
	s.faults.update(func(f *Faults) { f.LoseAnswers = n })
}

// Cut holds the packets of clients whose address is in one of the prefixes; no
// prefix ends the cut.
func (s *Server) Cut(prefixes ...netip.Prefix) {
	s.faults.update(func(f *Faults) {
		f.Cut = nil
		for _, p := range prefixes {
			f.Cut = append(f.Cut, p.String())
		}
	})
}

// update changes the faults by a function that keeps them valid.
func (f *faults) update(edit func(*Faults)) {
	f.mu.Lock()
	next := f.set
	f.mu.Unlock()
	edit(&next)
	prefixes, err := next.validate()
	if err != nil {
		return
	}
	f.apply(next, prefixes)
}

func (f *faults) apply(next Faults, prefixes []netip.Prefix) {
	f.mu.Lock()
	f.set, f.prefixes = next, prefixes
	close(f.changed)
	f.changed = make(chan struct{})
	var closing []*faultyConn
	if next.Down {
		for conn := range f.conns {
			closing = append(closing, conn)
		}
	}
	f.mu.Unlock()
	for _, conn := range closing {
		_ = conn.Close()
	}
}

func (f *faults) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	close(f.changed)
	f.changed = make(chan struct{})
}

// before holds a request for the delay. The context's end is ignored on
// purpose: a request on its way arrives although its caller gave up.
func (f *faults) before(context.Context) error {
	f.mu.Lock()
	delay, down := time.Duration(f.set.DelayMS)*time.Millisecond, f.set.Down
	f.mu.Unlock()
	if down {
		return status.Error(codes.Unavailable, "etcdserver: stopped")
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	return nil
}

func (f *faults) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.set.LoseAnswers == 0 {
		return false
	}
	f.set.LoseAnswers--
	return true
}

// faultyListener refuses connections while the service is down.
type faultyListener struct {
	net.Listener
	faults *faults
}

func (l *faultyListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		wrapped := &faultyConn{Conn: conn, faults: l.faults, done: make(chan struct{})}
		if l.faults.admit(wrapped) {
			return wrapped, nil
		}
		_ = conn.Close()
	}
}

func (f *faults) admit(conn *faultyConn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.set.Down || f.closed {
		return false
	}
	f.conns[conn] = struct{}{}
	return true
}

// faultyConn holds data in both directions while its client is cut off.
type faultyConn struct {
	net.Conn
	faults *faults
	once   sync.Once
	done   chan struct{}
}

func (c *faultyConn) source() netip.Addr {
	address, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr().Unmap()
}

// wait returns once the client is not cut off.
func (c *faultyConn) wait() error {
	for {
		c.faults.mu.Lock()
		changed, closed := c.faults.changed, c.faults.closed
		cut := slices.ContainsFunc(c.faults.prefixes, func(p netip.Prefix) bool {
			return p.Contains(c.source())
		})
		c.faults.mu.Unlock()
		if !cut {
			return nil
		}
		if closed {
			return net.ErrClosed
		}
		select {
		case <-changed:
		case <-c.done:
			return net.ErrClosed
		}
	}
}

func (c *faultyConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if waitErr := c.wait(); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

func (c *faultyConn) Write(b []byte) (int, error) {
	if err := c.wait(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *faultyConn) Close() error {
	c.once.Do(func() {
		close(c.done)
		c.faults.mu.Lock()
		delete(c.faults.conns, c)
		c.faults.mu.Unlock()
	})
	return c.Conn.Close()
}
