// Package faultnet simulates network partitions between components that run in
// one process, for tests and the development command. Each component has its own
// loopback address, and a rule blocks the traffic between two address prefixes in
// both directions.
//
// Invariant: a cut delays the bytes of an established connection and never drops
// them, like TCP, which retransmits until a timeout ends the connection.
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

// rule blocks the traffic between two prefixes in both directions.
type rule struct{ a, b netip.Prefix }

func (r rule) matches(x, y netip.Addr) bool {
	return r.a.Contains(x) && r.b.Contains(y) || r.a.Contains(y) && r.b.Contains(x)
}

// Network holds the cuts that apply to the connections of its dialers.
type Network struct {
	mu      sync.Mutex
	rules   []rule
	changed chan struct{}
}

// New returns a network without cuts.
func New() *Network { return &Network{changed: make(chan struct{})} }

// Cut blocks the traffic between two prefixes in both directions.
func (n *Network) Cut(a, b netip.Prefix) {
	n.change(func() { n.rules = append(n.rules, rule{a, b}) })
}

// Heal removes all cuts.
func (n *Network) Heal() { n.change(func() { n.rules = nil }) }

// change modifies the rules and wakes all waiting goroutines.
func (n *Network) change(apply func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	apply()
	close(n.changed)
	n.changed = make(chan struct{})
}

// isCut reports whether a rule blocks traffic between two addresses. It also
// returns a channel that is closed when the rules next change.
func (n *Network) isCut(x, y netip.Addr) (cut bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.rules {
		if r.matches(x, y) {
			return true, n.changed
		}
	}
	return false, n.changed
}

// DialFunc opens a connection from a fixed source address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a function that dials from the given source address and applies
// the cuts of the network. The addresses that it dials must be an IP and a port.
func (n *Network) Dialer(source netip.Addr) DialFunc {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: source.AsSlice()}}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		target, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, fmt.Errorf("dial %q: %w", address, err)
		}
		if err := n.waitReachable(ctx.Done(), source, target.Addr()); err != nil {
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

// waitReachable blocks until no rule separates the addresses. It returns an error
// if done is closed first.
func (n *Network) waitReachable(done <-chan struct{}, x, y netip.Addr) error {
	for {
		cut, changed := n.isCut(x, y)
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

// conn delays reads and writes while a rule separates its endpoints.
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

// Read waits for the end of a cut before and after reading, so that bytes that
// arrive during a cut are not returned until it ends.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.waitWhileCut(true); err != nil {
		return 0, err
	}
	count, err := c.Conn.Read(b)
	if err != nil {
		return count, err
	}
	// The bytes already read cannot be returned to the socket, so a read deadline
	// doesn't end this wait; only Close does.
	if err := c.network.waitReachable(c.closed, c.source, c.target); err != nil {
		return 0, net.ErrClosed
	}
	return count, nil
}

func (c *conn) Write(b []byte) (int, error) {
	if err := c.waitWhileCut(false); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// waitWhileCut blocks until no rule separates the endpoints. It returns an error
// if the read or write deadline passes or the connection is closed first.
func (c *conn) waitWhileCut(read bool) error {
	if cut, _ := c.network.isCut(c.source, c.target); !cut {
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
	return c.network.waitReachable(done, c.source, c.target)
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
