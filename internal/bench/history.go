// Package bench is the load and experiment tool.
//
// So far it holds the history check: each non-idempotent write inserts a unique
// id, and at the end the ids in the tables are compared with what the callers
// were told.
package bench

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Outcome is what a caller was told about a write.
type Outcome int

// The outcomes of a write.
const (
	// Acknowledged writes are in the table exactly once.
	Acknowledged Outcome = iota + 1
	// NotRun writes are not in the table.
	NotRun
	// Unknown writes are in the table at most once.
	Unknown
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	switch o {
	case Acknowledged:
		return "acknowledged"
	case NotRun:
		return "not run"
	case Unknown:
		return "outcome unknown"
	default:
		return fmt.Sprintf("outcome %d", int(o))
	}
}

// Write is one write as its caller saw it.
type Write struct {
	ID       string
	Database string
	Outcome  Outcome
	// At is when the outcome was known.
	At time.Time
}

// StaleRead is a session read that did not show the session's own write.
type StaleRead struct {
	Database string
	Session  string
	Missing  string
}

// History collects what callers saw. It is safe for concurrent use.
type History struct {
	mu     sync.Mutex
	writes []Write
	stale  []StaleRead
}

// Add notes the outcome of a write.
func (h *History) Add(w Write) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writes = append(h.writes, w)
}

// AddStale notes a read older than the session's own write.
func (h *History) AddStale(r StaleRead) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stale = append(h.stale, r)
}

// Check compares the history with the ids found per database, in the order in
// which the table returned them, and returns all violations in a fixed order.
func (h *History) Check(found map[string][]string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	times := map[[2]string]int{}
	for database, ids := range found {
		for _, id := range ids {
			times[[2]string{database, id}]++
		}
	}
	var violations []string
	for _, w := range h.writes {
		key := [2]string{w.Database, w.ID}
		count := times[key]
		delete(times, key)
		if count > 1 || count == 1 && w.Outcome == NotRun || count == 0 && w.Outcome == Acknowledged {
			violations = append(violations,
				fmt.Sprintf("write %s on %s: %s, found %d times", w.ID, w.Database, w.Outcome, count))
		}
	}
	for key, count := range times {
		violations = append(violations,
			fmt.Sprintf("write %s on %s: never sent, found %d times", key[1], key[0], count))
	}
	for _, r := range h.stale {
		violations = append(violations,
			fmt.Sprintf("read of session %s on %s: own write %s is missing", r.Session, r.Database, r.Missing))
	}
	slices.Sort(violations)
	return violations
}

// FailoverGap returns the longest interval without an acknowledged write on a
// database within a span of time, both ends of the span included.
func (h *History) FailoverGap(database string, from, to time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	moments := []time.Time{from, to}
	for _, w := range h.writes {
		if w.Database == database && w.Outcome == Acknowledged && w.At.After(from) && w.At.Before(to) {
			moments = append(moments, w.At)
		}
	}
	slices.SortFunc(moments, time.Time.Compare)
	var gap time.Duration
	for i := 1; i < len(moments); i++ {
		gap = max(gap, moments[i].Sub(moments[i-1]))
	}
	return gap
}
