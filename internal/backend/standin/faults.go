package standin

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Duration is a time.Duration that is encoded in JSON as text such as "10ms".
type Duration time.Duration

// MarshalText encodes d in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText decodes a duration and rejects a negative one.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	if parsed < 0 {
		return fmt.Errorf("duration %q is negative", text)
	}
	*d = Duration(parsed)
	return nil
}

// Settings are the properties of an instance, including injected faults, that can be
// changed while it runs. Their JSON form is used by the HTTP server for faults.
type Settings struct {
	// Frozen makes the instance accept connections but not respond, like a stopped
	// process. When it is cleared, the instance continues where it stopped.
	Frozen bool `json:"frozen"`
	// Cut lists the address prefixes of a simulated network partition. Connections to
	// and from these addresses stay open, but transfer no bytes until the prefixes are
	// removed.
	Cut []netip.Prefix `json:"cut"`
	// Lag is the time between receiving and applying a log entry.
	Lag Duration `json:"lag"`
	// ReceiveDelay is the simulated one-way network delay of messages from the primary.
	ReceiveDelay Duration `json:"receive_delay"`
	// ConnectionCost is the time that a connection takes before authentication
	// completes.
	ConnectionCost Duration `json:"connection_cost"`
	// ServiceTime is how long each data statement occupies a slot.
	ServiceTime Duration `json:"service_time"`
	// Slots is the number of data statements that may run at once; 0 means no limit.
	Slots int `json:"slots"`
	// ConnectionLimit is the maximum number of data connections; 0 means no limit.
	ConnectionLimit int `json:"connection_limit"`
}

func (s Settings) validate() error {
	if s.Slots < 0 {
		return fmt.Errorf("slots: %d is negative", s.Slots)
	}
	if s.ConnectionLimit < 0 {
		return fmt.Errorf("connection_limit: %d is negative", s.ConnectionLimit)
	}
	for _, p := range s.Cut {
		if !p.IsValid() {
			return fmt.Errorf("cut: invalid prefix")
		}
	}
	for _, d := range []Duration{s.Lag, s.ReceiveDelay, s.ConnectionCost, s.ServiceTime} {
		if d < 0 {
			return fmt.Errorf("duration %s is negative", time.Duration(d))
		}
	}
	return nil
}

// faultSettings holds the current settings and blocks the traffic that they stop.
type faultSettings struct {
	current atomic.Pointer[Settings]
	mu      sync.Mutex
	changed chan struct{}
}

func newFaultSettings(s Settings) *faultSettings {
	f := &faultSettings{changed: make(chan struct{})}
	f.current.Store(&s)
	return f
}

func (f *faultSettings) get() *Settings { return f.current.Load() }

func (f *faultSettings) update(change func(*Settings)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.current.Load()
	next.Cut = slices.Clone(next.Cut)
	change(&next)
	if err := next.validate(); err != nil {
		return err
	}
	f.current.Store(&next)
	close(f.changed)
	f.changed = make(chan struct{})
	return nil
}

// nextChange returns a channel that is closed when the settings change.
func (f *faultSettings) nextChange() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// blocks reports whether the settings block traffic with peer. The zero address stands
// for work without a peer, which only Frozen blocks.
func (s *Settings) blocks(peer netip.Addr) bool {
	if s.Frozen {
		return true
	}
	return peer.IsValid() && slices.ContainsFunc(s.Cut, func(p netip.Prefix) bool { return p.Contains(peer) })
}

// waitUnblocked waits while the settings block traffic with peer.
func (f *faultSettings) waitUnblocked(ctx context.Context, peer netip.Addr) error {
	for {
		if !f.get().blocks(peer) {
			return ctx.Err()
		}
		wake := f.nextChange()
		if !f.get().blocks(peer) {
			return ctx.Err()
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// faultConn is a connection that delays reads and writes while the settings block its
// peer.
type faultConn struct {
	net.Conn
	settings  *faultSettings
	peer      netip.Addr
	ctx       context.Context
	cancel    context.CancelFunc
	onReceive func(remote net.Addr, data []byte)
}

func newFaultConn(ctx context.Context, conn net.Conn, faults *faultSettings, onReceive func(net.Addr, []byte)) *faultConn {
	c := &faultConn{Conn: conn, settings: faults, peer: addressOf(conn.RemoteAddr()), onReceive: onReceive}
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c
}

func addressOf(a net.Addr) netip.Addr {
	parsed, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return netip.Addr{}
	}
	return parsed.Addr().Unmap()
}

// Read returns received bytes once the connection is not blocked.
func (c *faultConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if held := c.settings.waitUnblocked(c.ctx, c.peer); held != nil {
		return 0, net.ErrClosed
	}
	if n > 0 && c.onReceive != nil {
		c.onReceive(c.RemoteAddr(), p[:n])
	}
	return n, err
}

// Write sends bytes once the connection is not blocked.
func (c *faultConn) Write(p []byte) (int, error) {
	if c.settings.waitUnblocked(c.ctx, c.peer) != nil {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Close closes the connection and ends blocked reads and writes.
func (c *faultConn) Close() error {
	c.cancel()
	return c.Conn.Close()
}

// slots limits how many statements run at once. Waiting statements run in the order of
// their arrival.
type slots struct {
	mu      sync.Mutex
	running int
	queue   []chan struct{}
}

// acquire waits for a free slot. limit is the number of slots at the time of the call;
// 0 means no limit.
func (s *slots) acquire(ctx context.Context, limit int) error {
	s.mu.Lock()
	if limit == 0 || s.running < limit && len(s.queue) == 0 {
		s.running++
		s.mu.Unlock()
		return nil
	}
	granted := make(chan struct{})
	s.queue = append(s.queue, granted)
	s.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.queue, granted); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		return ctx.Err()
	}
	s.releaseLocked(limit)
	return ctx.Err()
}

func (s *slots) release(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked(limit)
}

func (s *slots) releaseLocked(limit int) {
	s.running--
	s.startLocked(limit)
}

// resize starts the waiting statements that a new limit allows.
func (s *slots) resize(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startLocked(limit)
}

func (s *slots) startLocked(limit int) {
	for len(s.queue) > 0 && (limit == 0 || s.running < limit) {
		s.running++
		close(s.queue[0])
		s.queue = s.queue[1:]
	}
}

// RunningStatements returns the number of data statements that occupy a slot.
func (i *Instance) RunningStatements() int {
	i.slots.mu.Lock()
	defer i.slots.mu.Unlock()
	return i.slots.running
}
