// Package connlimit bounds the connections of callers by the descriptors of a process, and
// decides which connection is closed to make room for a new one.
//
// Invariant: a connection with a request under way is never chosen.
package connlimit

import "time"

// UnfinishedTimeout limits the time in which more of an unfinished message arrives.
const UnfinishedTimeout = 30 * time.Second

const (
	// fileDescriptors is the number of descriptors that are kept for files.
	fileDescriptors = 200
	// reserveDivisor sets the descriptors that are kept for instances, other hosts, the store
	// and probes, as a fraction (1/n) of all, within minReserve and maxReserve.
	reserveDivisor = 4
	minReserve     = 64
	maxReserve     = 400
)

// Max returns the number of callers that a process with a number of descriptors may serve; 0
// means that there is no limit.
func Max(descriptors int) int {
	if descriptors <= 0 {
		return 0
	}
	reserve := min(maxReserve, max(minReserve, descriptors/reserveDivisor))
	if descriptors > 2*(fileDescriptors+reserve) {
		reserve += fileDescriptors
	}
	return max(1, descriptors-reserve)
}

// Conn is a connection of a caller.
type Conn interface {
	comparable
	// Busy reports whether a request is being read or answered.
	Busy() bool
	// Handled returns the number of requests that were answered.
	Handled() int64
	// Accepted returns when the connection was accepted.
	Accepted() time.Time
}

// Victim returns the connection that is closed before another one is accepted: of those that
// are not busy the one that has done least, and of these the oldest. It returns false if there
// is room, or if every connection is busy; the new one then exceeds the limit and uses the
// reserve. A limit of 0 is none.
func Victim[C Conn](open map[C]struct{}, limit int) (victim C, ok bool) {
	if limit <= 0 || len(open) < limit {
		return victim, false
	}
	for c := range open {
		if !c.Busy() && (!ok || doneLess(c, victim)) {
			victim, ok = c, true
		}
	}
	return victim, ok
}

// doneLess orders connections by what would be lost with them.
func doneLess[C Conn](a, b C) bool {
	if a.Handled() != b.Handled() {
		return a.Handled() < b.Handled()
	}
	return a.Accepted().Before(b.Accepted())
}
