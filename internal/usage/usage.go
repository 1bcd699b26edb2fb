// Package usage counts the operations that instances began for each client account, by
// windows of wall-clock time, and reports the counts of each window once.
//
// Every host counts what it sends, and passes its counts on to two collectors. One host holds
// the duty to report. It adds up what the collectors know of a window, seals the sum in a
// record in the store, and reports exactly what the record says.
//
// Invariant: reports of one window never differ. A report is made only of a sealed record,
// and a record is created under the condition that there is none.
package usage

import (
	"maps"
	"time"
)

// Policy says how usage is reported. The zero value asks for no reports.
type Policy struct {
	// Window is the length of a window. Window k begins k times this length after the start
	// of 1970.
	Window time.Duration
	// Tolerance is how far a count may be off, as a fraction of it.
	Tolerance float64
	// ReportTime is how long after the end of a window its report must have been made.
	ReportTime time.Duration
}

// Enabled reports whether usage is reported.
func (p Policy) Enabled() bool { return p.Window > 0 && p.ReportTime > 0 }

// Window is the number of a window.
type Window int64

// At returns the window that a time lies in.
func (p Policy) At(t time.Time) Window { return Window(t.UnixNano() / int64(p.Window)) }

// End returns the end of a window.
func (p Policy) End(w Window) time.Time { return time.Unix(0, (int64(w)+1)*int64(p.Window)) }

// kept returns the number of ended windows of which a host keeps counts and records.
func (p Policy) kept() Window { return 2 + Window((p.ReportTime+p.Window-1)/p.Window) }

// Counts are the numbers of operations by client account.
type Counts map[string]int64

// raise sets each count to the higher one of both.
func (c Counts) raise(other Counts) {
	for account, n := range other {
		c[account] = max(c[account], n)
	}
}

// add adds the counts of another source.
func (c Counts) add(other Counts) {
	for account, n := range other {
		c[account] += n
	}
}

// changedSince returns the counts that differ from earlier ones.
func (c Counts) changedSince(earlier Counts) Counts {
	changed := maps.Clone(c)
	maps.DeleteFunc(changed, func(account string, n int64) bool { return earlier[account] == n })
	return changed
}

// Total returns the sum over all accounts.
func (c Counts) Total() int64 {
	var sum int64
	for _, n := range c {
		sum += n
	}
	return sum
}
