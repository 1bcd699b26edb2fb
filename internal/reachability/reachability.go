// Package reachability tells whether a host is cut off from all failure domains but
// its own. Such a host serves little; callers are better led to others.
//
// Invariant: one answer from another failure domain ends the isolation.
package reachability

import (
	"sync"
	"time"
)

const (
	// silence is how long nothing from another failure domain must have
	// answered, and minFailures how often something there must have failed
	// meanwhile.
	silence     = 600 * time.Millisecond
	minFailures = 3
)

// Tracker follows answers and failures by failure domain. It may be used
// concurrently.
type Tracker struct {
	own string
	now func() time.Time

	mu       sync.Mutex
	reached  time.Time
	failures int
}

// New returns a tracker for a host in a failure domain.
func New(own string) *Tracker {
	t := &Tracker{own: own, now: time.Now}
	t.reached = t.now()
	return t
}

// Reached records an answer of a peer in a failure domain.
func (t *Tracker) Reached(domain string) {
	if domain == t.own {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reached, t.failures = t.now(), 0
}

// Failed records a peer in a failure domain that did not answer.
func (t *Tracker) Failed(domain string) {
	if domain == t.own {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures++
}

// Isolated reports whether no other failure domain is reached.
func (t *Tracker) Isolated() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failures >= minFailures && t.now().Sub(t.reached) >= silence
}
