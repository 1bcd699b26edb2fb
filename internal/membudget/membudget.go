// Package membudget bounds the bytes that callers and other hosts can make a process hold:
// unfinished messages, messages in work, answers that are not read, and what sessions keep.
//
// Small holdings need no permission, so that ordinary requests go on when the budget is used
// up; large ones wait for their turn or are refused.
//
// Invariant: the bytes that leases hold never exceed the budget.
package membudget

import (
	"errors"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// ErrExhausted means that the budget had not enough bytes left in time.
var ErrExhausted = errors.New("not enough memory for a message of this size now")

const (
	// FreeBytes is what each connection may hold without a lease, for each of a message in
	// work and the values of a session.
	FreeBytes = 8 << 10
	// copies is how often the bytes of a message are held at the same time while it is read,
	// worked on and passed to an instance or another host, garbage included.
	copies = 4
	// budgetFraction is the part of the machine's memory that is the budget, and
	// limitFraction the one that the runtime may use for its heap, stacks and buffers. What
	// remains is for the program's code and what the runtime exceeds its limit by.
	budgetFraction = 0.25
	limitFraction  = 0.7
	// minMessages is the number of the largest messages that a machine of any size takes at
	// the same time.
	minMessages = 2
	// DefaultWait is how long a message waits for its lease.
	DefaultWait = 2 * time.Second
)

// Budget is a number of bytes that leases share. A nil budget has no bound.
type Budget struct {
	refused metrics.Counter
	waited  metrics.Counter

	mu    sync.Mutex
	total int64
	free  int64
	// waiters are served in the order of arrival, so that a large message is not overtaken
	// by small ones for ever.
	waiters []*waiter
}

type waiter struct {
	bytes int64
	ready chan struct{}
}

// New returns a budget of a number of bytes.
func New(total int64, r metrics.Registry) *Budget {
	b := &Budget{
		total: total, free: total,
		refused: metrics.GetOrRegisterCounter("memory.refused_leases_count", r),
		waited:  metrics.GetOrRegisterCounter("memory.waited_leases_count", r),
	}
	r.GetOrRegister("memory.leased_bytes", metrics.NewFunctionalGauge(b.Leased))
	return b
}

// ForMachine returns the budget for a machine with the given memory, whose callers send messages
// up to a size, and sets the memory limit of the runtime. It returns nil, without a bound, if the
// memory is not known.
func ForMachine(memoryBytes int64, largestMessage int, r metrics.Registry) *Budget {
	if memoryBytes <= 0 {
		return nil
	}
	debug.SetMemoryLimit(int64(limitFraction * float64(memoryBytes)))
	return New(max(minMessages*copies*int64(largestMessage), int64(budgetFraction*float64(memoryBytes))), r)
}

// Leased returns the number of bytes that leases hold.
func (b *Budget) Leased() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total - b.free
}

// Lease returns a lease that holds nothing. It may be used by one goroutine at a time. The
// leases of a nil budget have no bound.
func (b *Budget) Lease() *Lease { return &Lease{budget: b} }

// Lease is a part of a budget.
type Lease struct {
	budget *Budget
	held   int64
}

// Hold makes the lease cover a message of the given size, of which FreeBytes need no lease. A
// lease that is too small grows, and waits for that up to the given time. The error is
// ErrExhausted; the lease then holds what it held before.
func (l *Lease) Hold(messageBytes int, wait time.Duration) error {
	if l.budget == nil || messageBytes <= FreeBytes {
		return nil
	}
	missing := int64(messageBytes)*copies - l.held
	if missing <= 0 {
		return nil
	}
	if err := l.budget.acquire(missing, wait); err != nil {
		return err
	}
	l.held += missing
	return nil
}

// Release gives everything back.
func (l *Lease) Release() {
	if l.held == 0 {
		return
	}
	l.budget.release(l.held)
	l.held = 0
}

func (b *Budget) acquire(bytes int64, wait time.Duration) error {
	b.mu.Lock()
	if len(b.waiters) == 0 && b.free >= bytes {
		b.free -= bytes
		b.mu.Unlock()
		return nil
	}
	if bytes > b.total || wait <= 0 {
		b.mu.Unlock()
		b.refused.Inc(1)
		return ErrExhausted
	}
	w := &waiter{bytes: bytes, ready: make(chan struct{})}
	b.waiters = append(b.waiters, w)
	b.mu.Unlock()
	b.waited.Inc(1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.ready:
		return nil
	case <-timer.C:
	}
	if b.giveUp(w) {
		b.refused.Inc(1)
		return ErrExhausted
	}
	return nil
}

// giveUp removes a waiter and reports whether it was still waiting.
func (b *Budget) giveUp(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.waiters {
		if other == w {
			b.waiters = append(b.waiters[:i], b.waiters[i+1:]...)
			b.serve()
			return true
		}
	}
	return false
}

func (b *Budget) release(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free += bytes
	b.serve()
}

// serve gives the first waiters what they wait for. The caller holds the lock.
func (b *Budget) serve() {
	for len(b.waiters) > 0 && b.waiters[0].bytes <= b.free {
		b.free -= b.waiters[0].bytes
		close(b.waiters[0].ready)
		b.waiters = b.waiters[1:]
	}
}
