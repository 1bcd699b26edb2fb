// Package pool keeps connections to instances open for reuse, within a budget of connections per
// instance. While all of them are in use, requests wait in a queue that is fair between client
// accounts.
//
// Invariant: a connection is reused only if its session released it as clean, its instance was
// not retired after it was opened, and the budget allows it.
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
	// ErrShed reports that the request was removed from a full queue; it matches
	// outcome.ErrNotRun.
	ErrShed = fmt.Errorf("waiting queue is full: %w", outcome.ErrNotRun)
	// ErrTimeout reports that no connection became free in time; it matches
	// outcome.ErrNotRun.
	ErrTimeout = fmt.Errorf("no connection became free in time: %w", outcome.ErrNotRun)
	// ErrUnreachable reports that no connection could be opened; it matches
	// outcome.ErrNotRun.
	ErrUnreachable = fmt.Errorf("instance is unreachable: %w", outcome.ErrNotRun)
	// ErrRetired reports that the instance was retired while the request waited; another
	// instance may have replaced it. It matches outcome.ErrNotRun.
	ErrRetired = fmt.Errorf("instance was retired: %w", outcome.ErrNotRun)
	// ErrClosed reports that the pool was closed or the wait was canceled; it matches
	// outcome.ErrNotRun.
	ErrClosed = fmt.Errorf("pool is closed: %w", outcome.ErrNotRun)
)

// Budget limits the connections that this host may open. Its methods are called on the path of
// requests and must not block.
type Budget interface {
	// Limit returns the number of connections that may be open to an instance.
	Limit(instance string, now time.Time) int
	// Report passes the numbers of open connections and waiting requests, so that the budget
	// can follow the demand.
	Report(instance string, open, waiting int)
}

// Config configures a set of pools.
type Config struct {
	Credentials Credentials
	// Budget limits the connections; nil means DefaultLimit connections per instance.
	Budget Budget
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// MaxWaiting limits the waiting requests per instance; 0 means 500.
	MaxWaiting int
	// MaxStatements limits the prepared statements per connection; 0 means 200.
	MaxStatements int
	// WarmConnections is the number of connections that Tick keeps open to each instance, within
	// the budget.
	WarmConnections int
	// DialTimeout limits the time for connecting and, separately, the time for the start-up
	// handshake; 0 means 1 s.
	DialTimeout time.Duration
	// Dial opens network connections; nil means the TCP dialer.
	Dial     DialFunc
	Registry metrics.Registry
}

// DefaultLimit is the limit of connections per instance if no Budget is configured.
const DefaultLimit = 4

// Set holds the pools of all instances.
type Set struct {
	cfg Config

	mu     sync.RWMutex
	pools  map[string]*instancePool
	closed bool
}

// NewSet returns an empty set. The pool of an instance is created on first use.
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

// Request describes a request for a connection. Weight is the weight of the account in the queue.
type Request struct {
	Target  Target
	Account string
	Weight  int
	// Wait is the longest time in the queue.
	Wait time.Duration
	// Cancel ends the wait with ErrClosed when it is closed; it may be nil.
	Cancel <-chan struct{}
}

// Acquire returns a connection for exclusive use until Release. All its errors match
// outcome.ErrNotRun.
func (s *Set) Acquire(r Request) (*Conn, error) {
	p := s.pool(r.Target)
	if p == nil {
		return nil, ErrClosed
	}
	return p.acquire(r)
}

// Release returns a connection to its pool. It is reused only if clean is set, which requires that
// no transaction is open and that all responses were read.
func (*Set) Release(c *Conn, clean bool) {
	c.pool.release(c, clean)
}

// Retire prevents reuse of all connections that are open to an instance. It is called when the
// instance was demoted or is being taken out of service. Waiting requests get ErrRetired.
func (s *Set) Retire(instance string) {
	s.mu.RLock()
	p := s.pools[instance]
	s.mu.RUnlock()
	if p != nil {
		p.retire()
	}
}

// Ping opens a connection to check whether the instance responds. An ErrorResponse of the instance
// counts as a response.
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

// EnsurePool creates the pool of an instance if it does not exist, so that Tick opens its warm
// connections.
func (s *Set) EnsurePool(t Target) { _ = s.pool(t) }

// Limit returns the number of connections that may be open to an instance.
func (s *Set) Limit(instance string) int {
	if s.cfg.Budget == nil {
		return DefaultLimit
	}
	return s.cfg.Budget.Limit(instance, s.cfg.Now())
}

// Tick closes idle connections above the budget, opens connections for waiting requests and warm
// connections, and reports the demand to the budget. Call it several times per second.
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

// Close closes the idle connections and fails waiting and new requests with ErrClosed.
// Connections in use are closed when they are released.
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

// tooManyConnections reports whether the instance refused a connection because it has reached its
// own connection limit.
func tooManyConnections(err error) bool {
	var refused *ServerError
	return errors.As(err, &refused) && refused.Code == backend.SQLStateTooManyConnections
}
