// Package faultnet puts partitions between the parts of one process, for tests
// and the development command. Parts have loopback addresses of their own, and
// a rule cuts the traffic between two address prefixes in both directions.
//
// Invariant: a cut delays bytes and never drops them from an established
// connection, as TCP does until a time-out ends the connection.
package faultnet

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// rule cuts traffic between two prefixes.
type rule struct{ a, b netip.Prefix }

func (r rule) matches(x, y netip.Addr) bool {
	return r.a.Contains(x) && r.b.Contains(y) || r.a.Contains(y) && r.b.Contains(x)
}

// Network holds the cuts of one process.
type Network struct {
	mu      sync.Mutex
	rules   []rule
	changed chan struct{}
}

// New returns a network without cuts.
func New() *Network { return &Network{changed: make(chan struct{})} }

// Cut stops the traffic between two prefixes.
func (n *Network) Cut(a, b netip.Prefix) {
	n.change(func() { n.rules = append(n.rules, rule{a, b}) })
}

// Heal removes all cuts.
func (n *Network) Heal() { n.change(func() { n.rules = nil }) }

func (n *Network) change(apply func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	apply()
	close(n.changed)
	n.changed = make(chan struct{})
}

// state reports whether two addresses are cut off from each other, and a
// channel that is closed at the next change.
func (n *Network) state(x, y netip.Addr) (cut bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.rules {
		if r.matches(x, y) {
			return true, n.changed
		}
	}
	return false, n.changed
}

// DialFunc dials from a fixed source address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a dial function for the part with the given source address.
func (n *Network) Dialer(source netip.Addr) DialFunc {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: source.AsSlice()}}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		target, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, fmt.Errorf("dial %q: %w", address, err)
		}
		if err := n.wait(ctx.Done(), source, target.Addr()); err != nil {
			return nil, fmt.Errorf("dial %s: %w", address, ctx.Err())
		}
		inner, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: inner, network: n, source: source, target: target.Addr(),
			closed: make(chan struct{})}, nil
	}
}

// wait returns once the addresses can reach each other, or an error when done
// is closed first.
func (n *Network) wait(done <-chan struct{}, x, y netip.Addr) error {
	for {
		cut, changed := n.state(x, y)
		if !cut {
			return nil
		}
		select {
		case <-changed:
		case <-done:
			return os.ErrDeadlineExceeded
		}
	}
}

// conn delays reads and writes while its ends are cut off.
type conn struct {
	net.Conn
	network        *Network
	source, target netip.Addr

	mu            sync.Mutex
	readDeadline  time.Time
	writeDeadline time.Time

	closeOnce sync.Once
	closed    chan struct{}
}

// Read waits out a cut before and after it read, so that bytes that arrived
// during the cut are not seen early.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.hold(true); err != nil {
		return 0, err
	}
	count, err := c.Conn.Read(b)
	if err != nil {
		return count, err
	}
	// The bytes cannot be put back, so only closing ends this wait.
	if err := c.network.wait(c.closed, c.source, c.target); err != nil {
		return 0, net.ErrClosed
	}
	return count, nil
}

func (c *conn) Write(b []byte) (int, error) {
	if err := c.hold(false); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// hold waits until the ends can reach each other, the deadline passed or the
// connection was closed.
func (c *conn) hold(read bool) error {
	if cut, _ := c.network.state(c.source, c.target); !cut {
		return nil
	}
	c.mu.Lock()
	deadline := c.writeDeadline
	if read {
		deadline = c.readDeadline
	}
	c.mu.Unlock()
	done := make(chan struct{})
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		var expired <-chan time.Time
		if !deadline.IsZero() {
			timer := time.NewTimer(time.Until(deadline))
			defer timer.Stop()
			expired = timer.C
		}
		select {
		case <-expired:
		case <-c.closed:
		case <-stop:
			return
		}
		close(done)
	}()
	return c.network.wait(done, c.source, c.target)
}

func (c *conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline, c.writeDeadline = t, t
	c.mu.Unlock()
	return c.Conn.SetDeadline(t)
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeDeadline = t
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
