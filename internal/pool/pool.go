// Package pool keeps warm connections to instances within a budget, and shares
// them fairly between client accounts when they are scarce.
//
// Invariant: a connection is reused only if its session released it as clean,
// its instance was not retired since it was opened, and the budget allows it.
package pool

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/internal/outcome"
)

var (
	// ErrShed reports a full waiting queue; it matches outcome.ErrNotRun.
	ErrShed = fmt.Errorf("waiting queue is full: %w", outcome.ErrNotRun)
	// ErrTimeout reports that no connection became free in time; it matches
	// outcome.ErrNotRun.
	ErrTimeout = fmt.Errorf("no connection became free in time: %w", outcome.ErrNotRun)
	// ErrUnreachable reports that no connection could be opened; it matches
	// outcome.ErrNotRun.
	ErrUnreachable = fmt.Errorf("instance is unreachable: %w", outcome.ErrNotRun)
	// ErrRetired reports that the instance was retired while the request
	// waited; another one may have taken its place. It matches
	// outcome.ErrNotRun.
	ErrRetired = fmt.Errorf("instance was retired: %w", outcome.ErrNotRun)
	// ErrClosed reports that the pool or the waiting session was closed; it
	// matches outcome.ErrNotRun.
	ErrClosed = fmt.Errorf("pool is closed: %w", outcome.ErrNotRun)
)

// Budget limits the connections that this host may hold. Its methods are called
// for each request and must not block.
type Budget interface {
	// Limit returns the number of connections to an instance.
	Limit(instance string, now time.Time) int
	// Report gives the open connections and the waiting requests, so that the
	// budget can follow the demand.
	Report(instance string, open, waiting int)
}

// Config configures a set of pools.
type Config struct {
	Credentials Credentials
	// Budget limits the connections; nil means DefaultLimit per instance.
	Budget Budget
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// MaxWaiting bounds the waiting requests per instance; 0 means 500.
	MaxWaiting int
	// MaxStatements bounds the prepared statements per connection; 0 means 200.
	MaxStatements int
	// WarmConnections is the number of connections per instance that are kept open; it is
	// limited by the budget.
	WarmConnections int
	// DialTimeout bounds opening a connection; 0 means 1 s.
	DialTimeout time.Duration
	// Dial opens network connections; nil means the TCP dialer.
	Dial     DialFunc
	Registry metrics.Registry
}

// DefaultLimit is the number of connections to an instance without a budget.
const DefaultLimit = 4

// Set holds the pools of all instances.
type Set struct {
	cfg Config

	mu     sync.RWMutex
	pools  map[string]*instancePool
	closed bool
}

// NewSet returns an empty set; pools are created on first use.
func NewSet(cfg Config) *Set {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.MaxWaiting == 0 {
		cfg.MaxWaiting = 500
	}
	if cfg.MaxStatements == 0 {
		cfg.MaxStatements = 200
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = time.Second
	}
	if cfg.Registry == nil {
		cfg.Registry = metrics.NewRegistry()
	}
	return &Set{cfg: cfg, pools: map[string]*instancePool{}}
}

// Target names an instance and the database on it.
type Target struct {
	Instance string
	Address  string
	Database string
}

// Request asks for a connection.
type Request struct {
	Target  Target
	Account string
	Weight  int
	// Wait bounds the time in the queue.
	Wait time.Duration
	// Cancel ends the wait early when it is closed; it may be nil.
	Cancel <-chan struct{}
}

// Acquire returns a connection. All its errors match outcome.ErrNotRun.
func (s *Set) Acquire(r Request) (*Conn, error) {
	p := s.pool(r.Target)
	if p == nil {
		return nil, ErrClosed
	}
	return p.acquire(r)
}

// Release returns a connection. Only a clean connection is reused: it has no
// open transaction and all its answers were read.
func (*Set) Release(c *Conn, clean bool) {
	c.pool.release(c, clean)
}

// Retire keeps all present connections of an instance from being reused, after
// it was demoted or began to leave. Waiting requests get ErrRetired.
func (s *Set) Retire(instance string) {
	s.mu.RLock()
	p := s.pools[instance]
	s.mu.RUnlock()
	if p != nil {
		p.retire()
	}
}

// Ping reports whether an instance answers the start of a connection, be it
// with a refusal.
func (s *Set) Ping(t Target) error {
	c, err := dial(s.dialTarget(t))
	var refused *ServerError
	if errors.As(err, &refused) {
		return nil
	}
	if err == nil {
		c.Close()
	}
	return err
}

func (s *Set) dialTarget(t Target) dialTarget {
	return dialTarget{
		instance:    t.Instance,
		address:     t.Address,
		database:    t.Database,
		credentials: s.cfg.Credentials,
		timeout:     s.cfg.DialTimeout,
		dial:        s.cfg.Dial,
	}
}

// EnsurePool creates the pool of an instance, so that Tick keeps it warm.
func (s *Set) EnsurePool(t Target) { _ = s.pool(t) }

// Limit returns the budget of connections to an instance.
func (s *Set) Limit(instance string) int {
	if s.cfg.Budget == nil {
		return DefaultLimit
	}
	return s.cfg.Budget.Limit(instance, s.cfg.Now())
}

// Tick applies the budget, opens warm connections and reports the demand. Call
// it several times a second.
func (s *Set) Tick() {
	s.mu.RLock()
	pools := make([]*instancePool, 0, len(s.pools))
	for _, p := range s.pools {
		pools = append(pools, p)
	}
	s.mu.RUnlock()
	for _, p := range pools {
		p.tick()
	}
}

// Close closes the idle connections and refuses new requests. Connections in
// use are closed when they are released.
func (s *Set) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, p := range s.pools {
		p.close()
	}
}

func (s *Set) pool(t Target) *instancePool {
	s.mu.RLock()
	p, closed := s.pools[t.Instance], s.closed
	s.mu.RUnlock()
	if closed {
		return nil
	}
	if p != nil && p.target == t {
		return p
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pools[t.Instance]; p != nil {
		if p.target == t {
			return p
		}
		p.close()
	}
	p = newInstancePool(s, t)
	s.pools[t.Instance] = p
	return p
}

// tooManyConnections reports that the instance itself is at its limit.
func tooManyConnections(err error) bool {
	var refused *ServerError
	return errors.As(err, &refused) && refused.Code == backend.SQLStateTooManyConnections
}
