package connpool

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/internal/statement"
)

var (
	// ErrNoConnection marks a request that got no connection in time.
	ErrNoConnection = fmt.Errorf("no connection in time: %w", outcome.ErrNotRun)
	// ErrClosed marks a request to an instance that the pool gave up.
	ErrClosed = fmt.Errorf("instance left: %w", outcome.ErrNotRun)
)

const (
	// fullPause is how long the pool opens no further connection after an
	// instance reported that its limit is reached.
	fullPause = 60 * time.Millisecond
	// sweepInterval is how often idle connections are looked at.
	sweepInterval = 500 * time.Millisecond
)

// Config configures a Pool.
type Config struct {
	Dialer Dialer
	// IdleTime is how long a connection above the floor stays open unused.
	IdleTime time.Duration
	Registry metrics.Registry
}

// Pool holds the connections to all instances.
type Pool struct {
	cfg   Config
	now   func() time.Time
	dials metrics.Counter
	full  metrics.Counter

	mu        sync.Mutex
	instances map[string]*instance
}

// Limit bounds the connections of this host to one instance.
type Limit struct {
	// MaxOpen is the number that may be open, MaxIdle the number of those that stay
	// open while they are not in use.
	MaxOpen int
	MaxIdle int
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	return &Pool{
		cfg: cfg, now: time.Now, instances: map[string]*instance{},
		dials: metrics.GetOrRegisterCounter("connpool.dials_count", cfg.Registry),
		full:  metrics.GetOrRegisterCounter("connpool.limit_reached_count", cfg.Registry),
	}
}

// instance is the pool's state for one incarnation of an instance.
type instance struct {
	activity
	server    *catalog.Server
	limit     Limit
	idle      []*Conn
	open      int
	inUse     int
	waiters   []*waiter
	fullUntil time.Time
	gone      bool
}

// waiter waits for a connection or for the right to open one.
type waiter struct {
	account string
	// ready gets nil for the right to open a connection.
	ready chan *Conn
}

func key(server *catalog.Server) string {
	return fmt.Sprintf("%s/%d", server.ID, server.Started)
}

func (p *Pool) instance(server *catalog.Server) *instance {
	k := key(server)
	in := p.instances[k]
	if in == nil {
		in = &instance{server: server}
		p.instances[k] = in
	}
	return in
}

// Load returns the connections in use and those waiting for one, as a measure
// of the load that this host puts on the instance.
func (p *Pool) Load(server *catalog.Server) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	in := p.instances[key(server)]
	if in == nil {
		return 0
	}
	return in.inUse + len(in.waiters)
}

// Acquire returns a connection for an account whose values need the fewest
// changes. At most limit connections to the instance are open.
func (p *Pool) Acquire(ctx context.Context, server *catalog.Server, account string, values Values, limit Limit) (*Conn, error) {
	for {
		c, err := p.take(ctx, server, account, values, limit)
		if err != nil {
			return nil, outcome.Wrap("get connection", server.ID, err)
		}
		if c != nil {
			if c.Alive() {
				return c, nil
			}
			c.Break()
			p.Release(c)
			continue
		}
		c, err = p.dial(ctx, server, account)
		var refusal *Refusal
		if errors.As(err, &refusal) && refusal.Code == statement.MaxConns && p.canWait(server) {
			continue
		}
		return c, outcome.Wrap("open connection", server.ID, err)
	}
}

// canWait reports whether a connection of this host may become free.
func (p *Pool) canWait(server *catalog.Server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	in := p.instances[key(server)]
	return in != nil && in.open > 0
}

// take returns an idle connection, or nil for the right to open one, which is
// already counted as open and in use.
func (p *Pool) take(ctx context.Context, server *catalog.Server, account string, values Values, limit Limit) (*Conn, error) {
	p.mu.Lock()
	in := p.instance(server)
	if in.gone {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	in.limit = limit
	if c := in.pop(account, values); c != nil {
		in.inUse++
		p.mu.Unlock()
		return c, nil
	}
	if p.mayOpen(in, limit) {
		in.open++
		in.inUse++
		p.mu.Unlock()
		return nil, nil
	}
	w := &waiter{account: account, ready: make(chan *Conn, 1)}
	in.waiters = append(in.waiters, w)
	p.mu.Unlock()
	return p.wait(ctx, in, w)
}

// mayOpen makes room for one more connection, by closing an idle one of
// another account if the limit is reached.
func (p *Pool) mayOpen(in *instance, limit Limit) bool {
	if in.open < limit.MaxOpen && !p.now().Before(in.fullUntil) {
		return true
	}
	if len(in.idle) == 0 {
		return false
	}
	in.dropOldest()
	return true
}

// dropOldest closes the connection that has been idle for the longest time.
func (in *instance) dropOldest() {
	oldest := in.idle[0]
	in.idle = in.idle[1:]
	in.open--
	oldest.Close()
}

func (p *Pool) wait(ctx context.Context, in *instance, w *waiter) (*Conn, error) {
	select {
	case c, ok := <-w.ready:
		if !ok {
			return nil, ErrClosed
		}
		return c, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	for i, other := range in.waiters {
		if other == w {
			in.waiters = append(in.waiters[:i], in.waiters[i+1:]...)
			p.mu.Unlock()
			return nil, ErrNoConnection
		}
	}
	p.mu.Unlock()
	// The connection was handed over at the same moment.
	c, ok := <-w.ready
	if !ok {
		return nil, ErrClosed
	}
	return c, nil
}

// pop removes the idle connection of the account that suits the values best.
func (in *instance) pop(account string, values Values) *Conn {
	best := -1
	for i, c := range in.idle {
		if c.Account == account && (best < 0 || c.cost(values) <= in.idle[best].cost(values)) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	c := in.idle[best]
	in.idle = append(in.idle[:best], in.idle[best+1:]...)
	return c
}

func (p *Pool) dial(ctx context.Context, server *catalog.Server, account string) (*Conn, error) {
	p.dials.Inc(1)
	link, err := p.cfg.Dialer.Dial(ctx, server, account)
	p.mu.Lock()
	defer p.mu.Unlock()
	in := p.instance(server)
	if err != nil {
		in.open--
		in.inUse--
		var refusal *Refusal
		if errors.As(err, &refusal) && refusal.Code == statement.MaxConns {
			p.full.Inc(1)
			in.fullUntil = p.now().Add(fullPause)
		} else {
			p.passOn(in)
		}
		return nil, err
	}
	return &Conn{Link: link, Server: server, Account: account, instance: in, state: statement.Idle}, nil
}

// passOn lets the first waiter open a connection in the place of one that is
// gone.
func (p *Pool) passOn(in *instance) {
	if len(in.waiters) == 0 {
		return
	}
	w := in.waiters[0]
	in.waiters = in.waiters[1:]
	in.open++
	in.inUse++
	w.ready <- nil
}

// Release gives a connection back. A broken one is closed.
func (p *Pool) Release(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	in := c.instance
	in.inUse--
	if c.broken || in.gone {
		c.Close()
		in.open--
		p.passOn(in)
		return
	}
	for i, w := range in.waiters {
		if w.account != c.Account {
			continue
		}
		in.waiters = append(in.waiters[:i], in.waiters[i+1:]...)
		in.inUse++
		w.ready <- c
		return
	}
	if len(in.waiters) > 0 {
		c.Close()
		in.open--
		p.passOn(in)
		return
	}
	c.idleFrom = p.now()
	in.idle = append(in.idle, c)
	if len(in.idle) > in.limit.MaxIdle {
		in.dropOldest()
	}
}

// Run closes idle connections and those to instances for which keep reports
// false, until ctx ends.
func (p *Pool) Run(ctx context.Context, keep func(*catalog.Server) bool) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.sweep(keep)
		}
	}
}

func (p *Pool) sweep(keep func(*catalog.Server) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for k, in := range p.instances {
		in.gone = !keep(in.server)
		kept := in.idle[:0]
		for _, c := range in.idle {
			if in.gone || now.Sub(c.idleFrom) > p.cfg.IdleTime || !c.Alive() {
				c.Close()
				in.open--
				continue
			}
			kept = append(kept, c)
		}
		in.idle = kept
		if !in.gone {
			continue
		}
		for _, w := range in.waiters {
			close(w.ready)
		}
		in.waiters = nil
		if in.open == 0 {
			delete(p.instances, k)
		}
	}
}
