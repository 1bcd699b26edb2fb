package connpool

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/internal/schedule"
	"github.com/bramleylever/bramleylever/internal/statement"
)

var (
	// ErrNoConnection means that no connection became available in time.
	ErrNoConnection = fmt.Errorf("no connection in time: %w", outcome.ErrNotRun)
	// ErrClosed means that the pool no longer keeps connections to the instance.
	ErrClosed = fmt.Errorf("instance left: %w", outcome.ErrNotRun)
)

const (
	// maxDialing is the number of connections to one instance that this host opens at
	// the same time. Each occupies a slot of the instance for a while, so that after a
	// restart of many hosts the openings would take all slots.
	maxDialing = 2
	// limitBackoff is how long the pool opens no further connection to an instance
	// after the instance reported that its connection limit is reached.
	limitBackoff = 60 * time.Millisecond
	// maxRetainedValues is the largest size of a session's variables with which a connection
	// stays open after its use, in bytes.
	maxRetainedValues = 16 << 10
	// sweepInterval is how often idle connections are checked.
	sweepInterval = 500 * time.Millisecond
)

// Config configures a Pool.
type Config struct {
	Dialer Dialer
	// IdleTime is how long an unused connection stays open.
	IdleTime time.Duration
	Registry metrics.Registry
}

// Pool holds the connections to all instances.
type Pool struct {
	cfg          Config
	now          func() time.Time
	dials        metrics.Counter
	limitReached metrics.Counter
	refusedEarly metrics.Counter
	shed         metrics.Counter
	// interrupted is set by Interrupt.
	interrupted atomic.Bool

	mu        sync.Mutex
	instances map[string]*instance
}

// Limit bounds the connections of this host to one instance.
type Limit struct {
	// MaxOpen is the maximum number of open connections, MaxIdle the maximum number of
	// idle ones among them.
	MaxOpen int
	MaxIdle int
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	return &Pool{
		cfg: cfg, now: time.Now, instances: map[string]*instance{},
		dials:        metrics.GetOrRegisterCounter("connpool.dials_count", cfg.Registry),
		limitReached: metrics.GetOrRegisterCounter("connpool.limit_reached_count", cfg.Registry),
		refusedEarly: metrics.GetOrRegisterCounter("connpool.refused_early_count", cfg.Registry),
		shed:         metrics.GetOrRegisterCounter("connpool.shed_count", cfg.Registry),
	}
}

// instance is the pool's state for one incarnation of an instance.
type instance struct {
	activity
	server *catalog.Server
	// interrupted is that of the pool.
	interrupted *atomic.Bool
	limit       Limit
	idle        []*Conn
	open        int
	inUse       int
	dialing     int
	// queue orders the waiters, which waiters holds by their work in the queue.
	queue       schedule.Queue
	waiters     map[*schedule.Work]*waiter
	noDialUntil time.Time
	removed     bool
}

func key(server *catalog.Server) string {
	return fmt.Sprintf("%s/%d", server.ID, server.Started)
}

func (p *Pool) instance(server *catalog.Server) *instance {
	k := key(server)
	in := p.instances[k]
	if in == nil {
		in = &instance{server: server, interrupted: &p.interrupted, waiters: map[*schedule.Work]*waiter{}}
		p.instances[k] = in
	}
	return in
}

// Interrupt ends the statements that run on the connections as if their deadlines had
// passed. Statements that are sent later end in the same way.
func (p *Pool) Interrupt() { p.interrupted.Store(true) }

// Load returns the number of connections in use plus the number of requests waiting
// for one, as a measure of the load that this host puts on the instance.
func (p *Pool) Load(server *catalog.Server) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	in := p.instances[key(server)]
	if in == nil {
		return 0
	}
	return in.inUse + in.queue.Len()
}

// Acquire returns a connection of the account, preferably the idle one whose values
// need the fewest changes. The connections to the instance stay within limit.
func (p *Pool) Acquire(ctx context.Context, server *catalog.Server, request Request, limit Limit) (*Conn, error) {
	for {
		c, err := p.take(ctx, server, request, limit)
		if err != nil {
			return nil, outcome.Wrap("get connection", server.ID, err)
		}
		if c != nil {
			if c.Alive() {
				return c, nil
			}
			c.MarkBroken()
			p.Release(c)
			continue
		}
		c, err = p.dial(ctx, server, request.Account)
		var refusal *Refusal
		if errors.As(err, &refusal) && refusal.Code == statement.MaxConns && p.canWait(server) {
			continue
		}
		return c, outcome.Wrap("open connection", server.ID, err)
	}
}

// canWait reports whether this host has a connection to the instance that may become
// free.
func (p *Pool) canWait(server *catalog.Server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	in := p.instances[key(server)]
	return in != nil && in.open > 0
}

// take returns a connection, or nil for permission to open one, which is then already
// counted as open and in use.
func (p *Pool) take(ctx context.Context, server *catalog.Server, request Request, limit Limit) (*Conn, error) {
	p.mu.Lock()
	in := p.instance(server)
	if in.removed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	if in.unreachable() {
		p.mu.Unlock()
		return nil, ErrUnreachable
	}
	in.limit = limit
	if c := in.takeIdle(request.Account, request.Values); c != nil {
		in.inUse++
		c.takenAt = p.now()
		p.mu.Unlock()
		return c, nil
	}
	if p.mayOpen(in, limit) {
		in.open++
		in.inUse++
		in.dialing++
		p.mu.Unlock()
		return nil, nil
	}
	w, err := p.enqueue(ctx, in, request)
	p.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return p.wait(ctx, in, w)
}

// mayOpen reports whether a connection may be opened. At the limit, or during the
// backoff, it makes room by closing an idle connection of another account.
func (p *Pool) mayOpen(in *instance, limit Limit) bool {
	if in.dialing >= maxDialing {
		return false
	}
	if in.open < limit.MaxOpen && !p.now().Before(in.noDialUntil) {
		return true
	}
	if len(in.idle) == 0 {
		return false
	}
	in.closeOldestIdle()
	return true
}

// closeOldestIdle closes the connection that has been idle longest.
func (in *instance) closeOldestIdle() {
	oldest := in.idle[0]
	in.idle = in.idle[1:]
	in.open--
	oldest.Close()
}

// takeIdle removes and returns the account's idle connection with the lowest setup
// cost, or nil if there is none.
func (in *instance) takeIdle(account string, values Values) *Conn {
	best := -1
	for i, c := range in.idle {
		if c.Account == account && (best < 0 || c.setupCost(values) <= in.idle[best].setupCost(values)) {
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
	started := p.now()
	link, err := p.cfg.Dialer.Dial(ctx, server, account)
	p.mu.Lock()
	defer p.mu.Unlock()
	in := p.instance(server)
	in.dialing--
	if err != nil {
		in.open--
		in.inUse--
		var refusal *Refusal
		if errors.As(err, &refusal) && refusal.Code == statement.MaxConns {
			p.limitReached.Inc(1)
			in.noDialUntil = p.now().Add(limitBackoff)
		}
		if in.open == 0 && p.now().Before(in.noDialUntil) {
			// No connection will be released that could wake them.
			in.failWaiters(ErrNoConnection)
		}
		p.openForWaiters(in)
		// A dial that was given up early, or at an overloaded instance that still answers
		// on other connections, proves nothing.
		if refusal == nil && (ctx.Err() == nil || in.silent(started)) {
			in.recordUnreached()
			err = fmt.Errorf("%w: %w", ErrUnreachable, err)
		}
		return nil, err
	}
	p.openForWaiters(in)
	return &Conn{Link: link, Server: server, Account: account, instance: in, state: statement.Idle, takenAt: p.now()}, nil
}

// admitWaiter lets the first waiter open a connection.
func (p *Pool) admitWaiter(in *instance) {
	w := in.choose(in.queue.Next(p.now()))
	in.open++
	in.inUse++
	in.dialing++
	w.ready <- nil
}

// openForWaiters lets the first waiters open connections, as many as may be opened.
func (p *Pool) openForWaiters(in *instance) {
	for in.queue.Len() > 0 && p.mayOpen(in, in.limit) {
		p.admitWaiter(in)
	}
}

// Release returns a connection to the pool, or closes it if it is broken.
func (p *Pool) Release(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	in := c.instance
	in.inUse--
	now := p.now()
	in.queue.Charge(c.Account, now.Sub(c.takenAt))
	if c.broken || in.removed || c.valuesBytes() > maxRetainedValues {
		c.Close()
		in.open--
		p.openForWaiters(in)
		return
	}
	if work := in.successor(c.Account, now); work != nil {
		in.inUse++
		c.takenAt = now
		in.choose(work).ready <- c
		return
	}
	c.idleSince = now
	in.idle = append(in.idle, c)
	if len(in.idle) > in.limit.MaxIdle {
		in.closeOldestIdle()
	}
	p.openForWaiters(in)
}

// Run closes connections that were idle for too long and connections to instances for
// which keep returns false, until ctx ends.
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
		in.removed = !keep(in.server)
		kept := in.idle[:0]
		for _, c := range in.idle {
			if in.removed || now.Sub(c.idleSince) > p.cfg.IdleTime || !c.Alive() {
				c.Close()
				in.open--
				continue
			}
			kept = append(kept, c)
		}
		in.idle = kept
		if !in.removed {
			continue
		}
		in.failWaiters(ErrClosed)
		if in.open == 0 {
			delete(p.instances, k)
		}
	}
}
