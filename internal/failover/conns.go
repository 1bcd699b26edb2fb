package failover

import (
	"context"
	"fmt"
	"sync"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/internal/outcome"
)

// controlConn keeps one control connection to an instance. It runs one statement at a time
// and closes the connection after a statement that failed or got no answer; a refused stale
// term leaves it open.
type controlConn struct {
	dialer  backend.Dialer
	address string
	// slot holds the idle connection, or nil if none is open. It is empty while a statement
	// runs.
	slot chan backend.Control
}

func newControlConn(dialer backend.Dialer, address string) *controlConn {
	c := &controlConn{dialer: dialer, address: address, slot: make(chan backend.Control, 1)}
	c.slot <- nil
	return c
}

func (c *controlConn) run(ctx context.Context, statement func(backend.Control) (backend.Status, error)) (backend.Status, error) {
	var conn backend.Control
	select {
	case conn = <-c.slot:
	case <-ctx.Done():
		return backend.Status{}, fmt.Errorf("wait for control connection: %w: %w", outcome.ErrNotRun, ctx.Err())
	}
	if conn == nil {
		var err error
		if conn, err = c.dialer.DialControl(ctx, c.address); err != nil {
			c.slot <- nil
			return backend.Status{}, err
		}
	}
	status, err := statement(conn)
	if err != nil && !isStale(err) {
		_ = conn.Close()
		conn = nil
	}
	c.slot <- conn
	return status, err
}

// close waits for the running statement and closes the connection.
func (c *controlConn) close() {
	if conn := <-c.slot; conn != nil {
		_ = conn.Close()
	}
	c.slot <- nil
}

// controlConns keeps control connections by address. Probes and the coordinator use
// separate sets.
type controlConns struct {
	dialer backend.Dialer

	mu    sync.Mutex
	conns map[string]*controlConn
}

func newControlConns(dialer backend.Dialer) *controlConns {
	return &controlConns{dialer: dialer, conns: map[string]*controlConn{}}
}

func (c *controlConns) get(address string) *controlConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, ok := c.conns[address]
	if !ok {
		conn = newControlConn(c.dialer, address)
		c.conns[address] = conn
	}
	return conn
}

// retain closes the connections to all addresses except the needed ones.
func (c *controlConns) retain(needed map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		if !needed[address] {
			delete(c.conns, address)
			go conn.close()
		}
	}
}

// execute runs the control statement of call within its timeout.
func (c *controlConns) execute(ctx context.Context, call Call) (backend.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	status, err := c.get(call.Address).run(ctx, func(conn backend.Control) (backend.Status, error) {
		switch call.Kind {
		case CallRaise:
			return conn.RaiseTerm(ctx, call.Term)
		case CallPromote:
			return conn.Promote(ctx, call.Term)
		case CallFollow:
			return conn.Follow(ctx, call.Term, call.Primary)
		case CallQuiesce:
			return conn.Quiesce(ctx, call.Limit)
		default:
			return conn.Status(ctx)
		}
	})
	return status, outcome.Wrap(string(call.Kind), call.Instance, err)
}
