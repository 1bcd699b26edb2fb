// Package schedule orders work that waits for a connection to an instance.
//
// More important classes go first. Within a class the account goes first that has used the
// least connection time (start-time fair queueing: P. Goyal, H. Vin and H. Cheng, 1997), and
// among an account's own work the one whose objective ends first, unless it can no longer be
// met.
//
// Invariant: work leaves the queue exactly once, and no class starves: after floorInterval
// choices that passed a less important class, the work that has waited longest goes first.
package schedule

import (
	"slices"
	"time"

	"github.com/bramleylever/bramleylever/internal/catalog"
)

// floorInterval is the number of choices in a row that may pass waiting work of a less
// important class.
const floorInterval = 10

// Work is what waits.
type Work struct {
	Class   catalog.Class
	Account string
	// Due is when the work must be answered to meet its objective; zero if it has none.
	Due time.Time

	sequence uint64
}

// Queue is the work that waits for one instance. The zero value is empty. It does no I/O; its
// caller serializes the calls.
type Queue struct {
	waiting  []*Work
	sequence uint64
	// passed counts the choices in a row that passed work of a less important class.
	passed int
	// used is the virtual time of each account: the connection time that it has used, or the
	// virtual time at which it came back after a pause.
	used map[string]time.Duration
	// virtual is the virtual time of the account that was served last.
	virtual time.Duration
	// hold is the moving average of the time for which work uses a connection.
	hold time.Duration
}

// smoothing is the weight of a new value in the moving average.
const smoothing = 0.1

// Len returns the number of waiting work.
func (q *Queue) Len() int { return len(q.waiting) }

// Ahead returns the number of waiting work that is at least as important as a class.
func (q *Queue) Ahead(class catalog.Class) int {
	n := 0
	for _, w := range q.waiting {
		if w.Class <= class {
			n++
		}
	}
	return n
}

// Add appends work.
func (q *Queue) Add(w *Work) {
	q.sequence++
	w.sequence = q.sequence
	q.waiting = append(q.waiting, w)
	// An account that used little for a while must not shut out the others until it has
	// caught up.
	q.setUsed(w.Account, max(q.used[w.Account], q.virtual))
}

// Remove removes work and reports whether it was waiting.
func (q *Queue) Remove(w *Work) bool {
	i := slices.Index(q.waiting, w)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Next returns the work that goes next, or nil if none waits. It stays in the queue.
func (q *Queue) Next(now time.Time) *Work {
	best := q.first(now, func(*Work) bool { return true })
	if best != nil && q.passed >= floorInterval {
		return slices.MinFunc(q.waiting, func(a, b *Work) int { return int(a.sequence) - int(b.sequence) })
	}
	return best
}

// NextOf returns the work of an account that goes next, or nil.
func (q *Queue) NextOf(account string, now time.Time) *Work {
	return q.first(now, func(w *Work) bool { return w.Account == account })
}

// Take removes work that has been chosen.
func (q *Queue) Take(w *Work) {
	if !q.Remove(w) {
		return
	}
	q.virtual = max(q.virtual, q.used[w.Account])
	if slices.ContainsFunc(q.waiting, func(other *Work) bool { return other.Class > w.Class }) {
		q.passed++
	} else {
		q.passed = 0
	}
}

// Charge counts the time that an account has used a connection.
func (q *Queue) Charge(account string, d time.Duration) {
	q.hold += time.Duration(smoothing * float64(d-q.hold))
	q.setUsed(account, max(q.used[account], q.virtual)+d)
}

// Hold returns the average time for which work uses a connection.
func (q *Queue) Hold() time.Duration { return q.hold }

// Last returns the work that is given up first if there is too much: the least important, and
// of that the newest.
func (q *Queue) Last() *Work {
	var last *Work
	for _, w := range q.waiting {
		if last == nil || w.Class >= last.Class {
			last = w
		}
	}
	return last
}

// maxIdleAccounts bounds the accounts whose virtual time is kept without need.
const maxIdleAccounts = 1024

func (q *Queue) setUsed(account string, d time.Duration) {
	if q.used == nil {
		q.used = map[string]time.Duration{}
	}
	q.used[account] = d
	if len(q.used) > maxIdleAccounts {
		for name, used := range q.used {
			if used <= q.virtual {
				delete(q.used, name)
			}
		}
	}
}

// first returns the matching work that goes before all other.
func (q *Queue) first(now time.Time, matches func(*Work) bool) *Work {
	var best *Work
	for _, w := range q.waiting {
		if matches(w) && (best == nil || q.before(w, best, now)) {
			best = w
		}
	}
	return best
}

// before reports whether work goes before other work.
func (q *Queue) before(a, b *Work, now time.Time) bool {
	if a.Class != b.Class {
		return a.Class < b.Class
	}
	if a.Account != b.Account {
		if usedA, usedB := q.used[a.Account], q.used[b.Account]; usedA != usedB {
			return usedA < usedB
		}
	}
	if inTimeA, inTimeB := q.inTime(a, now), q.inTime(b, now); inTimeA != inTimeB {
		return inTimeA
	}
	if !a.Due.Equal(b.Due) && !a.Due.IsZero() && !b.Due.IsZero() {
		return a.Due.Before(b.Due)
	}
	return a.sequence < b.sequence
}

// inTime reports whether the work can still meet its objective if it goes now.
func (q *Queue) inTime(w *Work, now time.Time) bool {
	return w.Due.IsZero() || !now.Add(q.hold).After(w.Due)
}
