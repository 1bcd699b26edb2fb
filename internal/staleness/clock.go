package staleness

import (
	"time"

	"golang.org/x/sys/unix"
)

// Timestamp is a point in time that stays comparable across a suspension of the host.
// The monotonic clock of time.Time stops while the host is suspended.
type Timestamp struct {
	At time.Time
	// Suspended is a lower bound of the total time for which the host was suspended
	// between its start and At.
	Suspended time.Duration
}

// sub returns the time elapsed since other, including suspension.
func (m Timestamp) sub(other Timestamp) time.Duration {
	return m.At.Sub(other.At) + m.Suspended - other.Suspended
}

// suspension holds bounds of the total time for which the host has been suspended since
// it started. The bounds differ by the time between two readings of the clock, during
// which the process may have been descheduled.
type suspension struct{ least, most time.Duration }

// readSuspension returns bounds of 0 if the clocks cannot be read.
func readSuspension() suspension {
	var before, total, after unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &before) != nil ||
		unix.ClockGettime(unix.CLOCK_BOOTTIME, &total) != nil ||
		unix.ClockGettime(unix.CLOCK_MONOTONIC, &after) != nil {
		return suspension{}
	}
	return suspension{least: time.Duration(total.Nano() - after.Nano()), most: time.Duration(total.Nano() - before.Nano())}
}
