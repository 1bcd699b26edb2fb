package connpool

import (
	"context"
	"time"

	"github.com/bramleylever/bramleylever/internal/schedule"
)

const (
	// maxWaiting is the maximum number of requests that wait for a connection to one instance.
	maxWaiting = 256
	// estimateMargin is how many times the remaining time the expected wait must be before a
	// request is refused at once. The expectation is an average over accounts and classes.
	estimateMargin = 2
)

// waiter waits for a connection or for permission to open one.
type waiter struct {
	work schedule.Work
	// ready receives a released connection, or nil for permission to open one. It is
	// closed if the wait has failed with err.
	ready chan *Conn
	err   error
}

// failWaiters ends the wait of all waiters with an error.
func (in *instance) failWaiters(err error) {
	for work, w := range in.waiters {
		in.queue.Remove(work)
		w.err = err
		close(w.ready)
	}
	clear(in.waiters)
}

// remove takes a waiter out of the queue and reports whether it was waiting.
func (in *instance) remove(w *waiter) bool {
	delete(in.waiters, &w.work)
	return in.queue.Remove(&w.work)
}

// choose takes the waiter of some work out of the queue to serve it.
func (in *instance) choose(work *schedule.Work) *waiter {
	w := in.waiters[work]
	delete(in.waiters, work)
	in.queue.Take(work)
	return w
}

// enqueue makes a request wait for a connection. One that would probably not get it in time is
// refused at once, so that its caller can go elsewhere. If too many wait, the least important
// one is given up. The caller holds the lock.
func (p *Pool) enqueue(ctx context.Context, in *instance, request Request) (*waiter, error) {
	now := p.now()
	if deadline, ok := ctx.Deadline(); ok && in.expectedWait(request) > estimateMargin*deadline.Sub(now) {
		p.refusedEarly.Inc(1)
		return nil, ErrNoConnection
	}
	w := &waiter{
		work:  schedule.Work{Class: request.Class, Account: request.Account, Due: request.Due},
		ready: make(chan *Conn, 1),
	}
	in.queue.Add(&w.work)
	in.waiters[&w.work] = w
	if in.queue.Len() <= maxWaiting {
		return w, nil
	}
	p.shed.Inc(1)
	last := in.waiters[in.queue.Last()]
	in.remove(last)
	if last == w {
		return nil, ErrNoConnection
	}
	last.err = ErrNoConnection
	close(last.ready)
	return w, nil
}

// expectedWait estimates how long a request waits: the time for which those that go before it
// use the connections.
func (in *instance) expectedWait(request Request) time.Duration {
	return in.queue.Hold() * time.Duration(in.queue.Ahead(request.Class)) / time.Duration(max(1, in.open))
}

// successor returns the waiting work that gets a connection of an account that becomes free,
// or nil. Work of the account goes before that of others of its class, which would need a new
// connection, but not before more important work.
func (in *instance) successor(account string, now time.Time) *schedule.Work {
	own := in.queue.NextOf(account, now)
	if own == nil {
		return nil
	}
	if next := in.queue.Next(now); next.Class < own.Class {
		return nil
	}
	return own
}

// wait waits until the waiter is served or ctx ends.
func (p *Pool) wait(ctx context.Context, in *instance, w *waiter) (*Conn, error) {
	select {
	case c, ok := <-w.ready:
		if !ok {
			return nil, w.err
		}
		return c, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	waited := in.remove(w)
	p.mu.Unlock()
	if waited {
		return nil, ErrNoConnection
	}
	// The waiter was served just before it gave up.
	c, ok := <-w.ready
	if !ok {
		return nil, w.err
	}
	return c, nil
}
