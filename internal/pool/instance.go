package pool

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// instancePool manages the connections to one instance and the requests that wait for one.
type instancePool struct {
	set    *Set
	target Target
	wait   metrics.Timer
	shed   metrics.Counter

	mu sync.Mutex
	// idle holds the idle connections, the least recently used first.
	idle []*Conn
	// open counts the connections, idle and in use; dialing counts those that are being opened.
	open    int
	dialing int
	// generation counts the calls of retire. Connections of an older generation are not reused.
	generation atomic.Uint64
	closed     bool
	queue      *fairQueue
	waiters    map[uint64]*waiter
	nextID     uint64
}

// waiter is the state of one waiting request. Waiters are reused to avoid an allocation per wait:
// while a waiter is in waiterPool, its channel is empty and its timer is stopped.
type waiter struct {
	result chan waitResult
	timer  *time.Timer
}

var waiterPool = sync.Pool{New: func() any {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return &waiter{result: make(chan waitResult, 1), timer: timer}
}}

// waitResult ends a wait with either a connection or an error.
type waitResult struct {
	conn *Conn
	err  error
}

func newInstancePool(s *Set, t Target) *instancePool {
	return &instancePool{
		set:     s,
		target:  t,
		wait:    metrics.GetOrRegisterTimer("pool.acquire_wait_seconds", s.cfg.Registry),
		shed:    metrics.GetOrRegisterCounter("pool.shed_requests", s.cfg.Registry),
		queue:   newFairQueue(s.cfg.MaxWaiting),
		waiters: map[uint64]*waiter{},
	}
}

func (p *instancePool) acquire(r Request) (*Conn, error) {
	limit := p.set.Limit(p.target.Instance)
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	if p.queue.length == 0 {
		if c := p.takeIdle(limit); c != nil {
			p.mu.Unlock()
			return c, nil
		}
	}
	id, w := p.enqueue(r)
	p.dialIfNeeded(limit)
	p.mu.Unlock()
	return p.await(r, id, w)
}

// takeIdle returns the most recently used idle connection that is alive, or nil. It closes the
// dead ones that it finds, and returns nil while more connections than limit are open.
func (p *instancePool) takeIdle(limit int) *Conn {
	for len(p.idle) > 0 && p.open <= limit {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = p.idle[:last]
		if c.alive() {
			return c
		}
		p.drop(c)
	}
	return nil
}

func (p *instancePool) drop(c *Conn) {
	p.open--
	c.Close()
}

func (p *instancePool) enqueue(r Request) (uint64, *waiter) {
	p.nextID++
	id := p.nextID
	w, _ := waiterPool.Get().(*waiter)
	p.waiters[id] = w
	if shed, full := p.queue.add(r.Account, r.Weight, id); full {
		p.shed.Inc(1)
		p.wake(shed, waitResult{err: ErrShed})
	}
	return id, w
}

func (p *instancePool) wake(id uint64, result waitResult) {
	p.waiters[id].result <- result
	delete(p.waiters, id)
}

// dialIfNeeded starts one dial per waiting request, as far as the limit allows.
func (p *instancePool) dialIfNeeded(limit int) {
	for p.dialing < p.queue.length && p.open+p.dialing < limit {
		p.startDial()
	}
}

func (p *instancePool) startDial() {
	p.dialing++
	go p.dial(p.generation.Load())
}

func (p *instancePool) dial(generation uint64) {
	c, err := dial(p.set.dialTarget(p.target))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if err != nil {
		p.dialFailed(err)
		return
	}
	c.pool = p
	c.generation = generation
	c.Statements = NewStatements(p.set.cfg.MaxStatements)
	p.open++
	p.offer(c)
}

// dialFailed fails all waiting requests, so that they can be routed to other instances. They keep
// waiting if other connections are open or if the instance refused the connection because of its
// own connection limit.
func (p *instancePool) dialFailed(err error) {
	if p.open > 0 || tooManyConnections(err) {
		return
	}
	p.endWaits(fmt.Errorf("connect: peer %s: %w: %w", p.target.Instance, ErrUnreachable, err))
}

// endWaits fails all waiting requests with err.
func (p *instancePool) endWaits(err error) {
	for id, ok := p.queue.next(); ok; id, ok = p.queue.next() {
		p.wake(id, waitResult{err: err})
	}
}

// offer hands a connection to the next waiting request, or keeps it idle if none waits. It closes
// a connection that must not be reused or that exceeds the budget, and then dials for waiting
// requests.
func (p *instancePool) offer(c *Conn) {
	if p.closed || c.Retired() || c.notReusable.Load() ||
		p.open > p.set.Limit(p.target.Instance) {
		p.drop(c)
		p.dialIfNeeded(p.set.Limit(p.target.Instance))
		return
	}
	if id, ok := p.queue.next(); ok {
		p.wake(id, waitResult{conn: c})
		return
	}
	c.idleSince = p.set.cfg.Now()
	p.idle = append(p.idle, c)
}

func (p *instancePool) release(c *Conn, clean bool) {
	c.In.Release()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !clean {
		c.PreventReuse()
	}
	p.offer(c)
}

// await waits for a result until r.Wait has passed or r.Cancel is closed, and then removes the
// request from the queue. If the request has already left the queue, its result counts.
func (p *instancePool) await(r Request, id uint64, w *waiter) (*Conn, error) {
	began := p.set.cfg.Now()
	w.timer.Reset(r.Wait)
	err := ErrTimeout
	select {
	case result := <-w.result:
		return p.finishWait(w, began, result)
	case <-w.timer.C:
	case <-r.Cancel:
		err = ErrClosed
	}
	p.mu.Lock()
	removed := p.queue.remove(r.Account, id)
	if removed {
		delete(p.waiters, id)
	}
	p.mu.Unlock()
	if !removed {
		return p.finishWait(w, began, <-w.result)
	}
	return p.finishWait(w, began, waitResult{err: fmt.Errorf("acquire: peer %s: %w", p.target.Instance, err)})
}

func (p *instancePool) finishWait(w *waiter, began time.Time, result waitResult) (*Conn, error) {
	w.timer.Stop()
	waiterPool.Put(w)
	p.wait.Update(p.set.cfg.Now().Sub(began))
	return result.conn, result.err
}

func (p *instancePool) retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generation.Add(1)
	p.dropIdle(0)
	p.endWaits(ErrRetired)
}

// dropIdle closes idle connections, the least recently used first, until at most keep connections
// are open or none is idle.
func (p *instancePool) dropIdle(keep int) {
	for len(p.idle) > 0 && p.open > keep {
		c := p.idle[0]
		p.idle = p.idle[1:]
		p.drop(c)
	}
}

func (p *instancePool) tick() {
	limit := p.set.Limit(p.target.Instance)
	p.mu.Lock()
	if !p.closed {
		p.dropIdle(limit)
		p.dialIfNeeded(limit)
		for p.open+p.dialing < min(limit, p.set.cfg.WarmConnections) {
			p.startDial()
		}
	}
	open, waiting := p.open, p.queue.length
	p.mu.Unlock()
	if p.set.cfg.Budget != nil {
		p.set.cfg.Budget.Report(p.target.Instance, open, waiting)
	}
}

func (p *instancePool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.dropIdle(0)
	p.endWaits(ErrClosed)
}
