// Package reachability detects whether a host is cut off from all failure domains other
// than its own. Such a host can serve few requests, so callers should use other hosts.
// A Tracker that is given host names in place of failure domains detects whether the
// host is cut off from all other hosts.
//
// Invariant: a single answer from another failure domain ends the isolation.
package reachability

import (
	"sync"
	"time"
)

const (
	// A host counts as isolated if, since the last answer from another failure domain,
	// at least minSilence has passed and at least minFailures failures were recorded.
	minSilence  = 600 * time.Millisecond
	minFailures = 3
)

// Tracker records answers and failures of peers outside the host's own failure domain.
// It is safe for concurrent use.
type Tracker struct {
	own string
	now func() time.Time

	mu          sync.Mutex
	lastReached time.Time
	failures    int
}

// New returns a tracker for a host in the given failure domain.
func New(own string) *Tracker {
	t := &Tracker{own: own, now: time.Now}
	t.lastReached = t.now()
	return t
}

// Reached records an answer from a peer in the given failure domain.
func (t *Tracker) Reached(domain string) {
	if domain == t.own {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastReached, t.failures = t.now(), 0
}

// Failed records that a peer in the given failure domain did not answer.
func (t *Tracker) Failed(domain string) {
	if domain == t.own {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures++
}

// Isolated reports whether the host can reach no other failure domain.
func (t *Tracker) Isolated() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failures >= minFailures && t.now().Sub(t.lastReached) >= minSilence
}
