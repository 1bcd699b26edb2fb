// Package lease is a lease clock: it tells the holder of a lease, at the
// moment of use, whether the lease still belongs to it.
//
// Validity is measured on the holder's own monotonic clock. It starts before
// the request for the lease was sent and is shortened by a margin for
// different clock rates, so it ends before the grantor lets the lease expire.
// No clocks are compared, and neither slow answers nor a pause of the holder
// can prolong it. The method is that of C. Gray and D. Cheriton, "Leases: An
// Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency",
// SOSP 1989.
//
// The clock must go on while the process is stopped. Go's monotonic reading
// does so on Linux, except while the whole machine is suspended.
//
// Invariant: Valid reports true only while the grantor holds the lease for its
// holder.
package lease

import (
	"sync"
	"time"
)

// DefaultMargin is the part of a time to live that is given up for different
// clock rates: it covers a holder 1% slow and a grantor 1% fast.
const DefaultMargin = 0.02

// Clock is the validity of one lease. It may be used concurrently. The zero
// value is a lease that was not granted yet, with no margin; use New.
type Clock struct {
	margin float64

	mu    sync.Mutex
	until time.Time
	ended bool
}

// New returns the clock of a lease that was not granted yet. The margin is a
// fraction of the time to live and is limited to the range 0 to 1.
func New(margin float64) *Clock {
	return &Clock{margin: min(max(margin, 0), 1)}
}

// Renew records that the grantor granted or renewed the lease for ttl in answer
// to a request that was sent at the given time. Answers may come in any order:
// validity is never shortened. After End it has no effect.
func (c *Clock) Renew(sent time.Time, ttl time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || ttl <= 0 {
		return
	}
	usable := ttl - time.Duration(float64(ttl)*c.margin)
	if until := sent.Add(usable); until.After(c.until) {
		c.until = until
	}
}

// Valid reports whether the lease is held at the given moment. Call it right
// before each use with the present time; a stored answer loses its meaning.
func (c *Clock) Valid(now time.Time) bool { return c.Remaining(now) > 0 }

// Remaining returns how long the lease stays valid without a renewal, at least
// 0.
func (c *Clock) Remaining(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return 0
	}
	return max(c.until.Sub(now), 0)
}

// End gives the lease up for good: it is not valid anymore, and a renewal that
// was still on its way changes nothing. Call it before the lease is revoked.
func (c *Clock) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
}
