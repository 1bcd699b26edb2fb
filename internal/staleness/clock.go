package staleness

import (
	"time"

	"golang.org/x/sys/unix"
)

// Timestamp is a moment that stays comparable after the host was suspended.
// time.Time alone does not: its monotonic reading stands still meanwhile.
type Timestamp struct {
	At time.Time
	// Suspended is how long the host had been suspended since it started, at
	// least.
	Suspended time.Duration
}

// sub returns the time from another mark to this one, suspension included.
func (m Timestamp) sub(other Timestamp) time.Duration {
	return m.At.Sub(other.At) + m.Suspended - other.Suspended
}

// suspension bounds how long the host has been suspended since it started. The
// bounds differ by the time between two readings of the clock, for which the
// process may have been without the processor.
type suspension struct{ least, most time.Duration }

// readSuspension returns 0 where the system does not tell.
func readSuspension() suspension {
	var before, total, after unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &before) != nil ||
		unix.ClockGettime(unix.CLOCK_BOOTTIME, &total) != nil ||
		unix.ClockGettime(unix.CLOCK_MONOTONIC, &after) != nil {
		return suspension{}
	}
	return suspension{least: time.Duration(total.Nano() - after.Nano()), most: time.Duration(total.Nano() - before.Nano())}
}
