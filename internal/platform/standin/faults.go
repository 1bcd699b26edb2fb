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

// errAnswerLost is the error that a client sees if its connection breaks after the
// request arrived.
var errAnswerLost = status.Error(codes.Unavailable, "connection lost before the answer")

// Faults is the set of faults that the stand-in injects.
type Faults struct {
	// Down closes all connections and rejects new ones.
	Down bool `json:"down"`
	// DelayMS delays each request by this number of milliseconds before it
	// runs. A request runs even if its caller canceled it in the meantime.
	DelayMS int64 `json:"delay_ms"`
	// LoseAnswers is the number of following writes, including lease calls,
	// that take effect but whose response is lost.
	LoseAnswers int `json:"lose_answers"`
	// Cut lists address prefixes of clients that are partitioned from the
	// stand-in: data from and to them is held back until the prefix is removed.
	Cut []string `json:"cut"`
}

// maxDelayMS limits DelayMS in case a large value is set by mistake.
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

// faults holds the active faults and the open connections that they affect.
type faults struct {
	mu       sync.Mutex
	active   Faults
	prefixes []netip.Prefix
	conns    map[*faultConn]struct{}
	changed  chan struct{}
	closed   bool
}

func newFaults() *faults {
	return &faults{conns: map[*faultConn]struct{}{}, changed: make(chan struct{})}
}

// Faults returns the active faults.
func (s *Server) Faults() Faults {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	out := s.faults.active
	out.Cut = slices.Clone(out.Cut)
	return out
}

// SetFaults replaces the active faults; the zero value removes all of them.
func (s *Server) SetFaults(f Faults) error {
	prefixes, err := f.validate()
	if err != nil {
		return fmt.Errorf("set faults: %w", err)
	}
	s.faults.apply(f, prefixes)
	return nil
}

// SetDown takes the stand-in down or brings it back up.
func (s *Server) SetDown(down bool) {
	s.faults.update(func(f *Faults) { f.Down = down })
}

// SetDelay delays each request before it runs.
func (s *Server) SetDelay(d time.Duration) {
	s.faults.update(func(f *Faults) { f.DelayMS = d.Milliseconds() })
}

// LoseAnswers makes the next n writes take effect but lose their responses.
func (s *Server) LoseAnswers(n int) {
	s.faults.update(func(f *Faults) { f.LoseAnswers = n })
}

// Cut simulates a network partition from the clients whose address is in one of the
// prefixes; without prefixes it ends the partition.
func (s *Server) Cut(prefixes ...netip.Prefix) {
	s.faults.update(func(f *Faults) {
		f.Cut = nil
		for _, p := range prefixes {
			f.Cut = append(f.Cut, p.String())
		}
	})
}

// update edits a copy of the faults and makes it active, unless it is invalid.
func (f *faults) update(edit func(*Faults)) {
	f.mu.Lock()
	next := f.active
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
	f.active, f.prefixes = next, prefixes
	close(f.changed)
	f.changed = make(chan struct{})
	var closing []*faultConn
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

// applyToRequest fails a request if the stand-in is down, and delays it otherwise. It
// ignores the context's cancellation because a request that is already in transit
// arrives even if its caller has given up.
func (f *faults) applyToRequest(context.Context) error {
	f.mu.Lock()
	delay, down := time.Duration(f.active.DelayMS)*time.Millisecond, f.active.Down
	f.mu.Unlock()
	if down {
		return status.Error(codes.Unavailable, "etcdserver: stopped")
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	return nil
}

// loseAnswer reports whether to lose the response of the current write, and counts it.
func (f *faults) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active.LoseAnswers == 0 {
		return false
	}
	f.active.LoseAnswers--
	return true
}

// faultListener rejects connections while the stand-in is down.
type faultListener struct {
	net.Listener
	faults *faults
}

func (l *faultListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		wrapped := &faultConn{Conn: conn, faults: l.faults, done: make(chan struct{})}
		if l.faults.track(wrapped) {
			return wrapped, nil
		}
		_ = conn.Close()
	}
}

// track registers a connection; it returns false if the connection must be rejected.
func (f *faults) track(conn *faultConn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active.Down || f.closed {
		return false
	}
	f.conns[conn] = struct{}{}
	return true
}

// faultConn holds back data in both directions while its client is partitioned.
type faultConn struct {
	net.Conn
	faults    *faults
	closeOnce sync.Once
	done      chan struct{}
}

func (c *faultConn) source() netip.Addr {
	address, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr().Unmap()
}

// waitWhileCut blocks until the client is not partitioned or the connection is closed.
func (c *faultConn) waitWhileCut() error {
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

func (c *faultConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if waitErr := c.waitWhileCut(); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

func (c *faultConn) Write(b []byte) (int, error) {
	if err := c.waitWhileCut(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *faultConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.done)
		c.faults.mu.Lock()
		delete(c.faults.conns, c)
		c.faults.mu.Unlock()
	})
	return c.Conn.Close()
}
