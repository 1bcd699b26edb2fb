// Package lease provides a lease clock, which tells the holder of a lease at the
// moment of use whether the lease is still valid.
//
// Validity is measured on the holder's own monotonic clock. It starts before
// the request for the lease was sent and is shortened by a margin for
// different clock rates, so it ends before the grantor lets the lease expire.
// Clocks of different hosts are never compared, and neither a slow answer nor a
// pause of the holder can extend it. The method is that of C. Gray and D. Cheriton,
// "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
// Consistency", SOSP 1989.
//
// The clock must advance while the process is stopped. On Linux, Go's monotonic
// clock does, except while the whole host is suspended.
//
// Invariant: Valid reports true only while the grantor has not let the lease
// expire.
package lease

import (
	"sync"
	"time"
)

// DefaultMargin is the fraction of a time to live by which validity is shortened to
// allow for different clock rates: a holder's clock 1% slow and a grantor's 1% fast.
const DefaultMargin = 0.02

// Clock tracks the validity of one lease. It is safe for concurrent use. The zero
// value is the clock of a lease that was not granted yet, without a margin; use New.
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
// to a request that was sent at the given time. Answers may arrive in any order:
// Renew never shortens the validity. After End it has no effect.
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

// Valid reports whether the lease is valid at the given time. Call it with the
// present time right before each use; do not cache the result.
func (c *Clock) Valid(now time.Time) bool { return c.Remaining(now) > 0 }

// Remaining returns how long the lease stays valid without a renewal; 0 if it is not
// valid.
func (c *Clock) Remaining(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return 0
	}
	return max(c.until.Sub(now), 0)
}

// End ends the validity for good, so that a renewal that is still in flight has no
// effect. Call it before the lease is revoked.
func (c *Clock) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
}
