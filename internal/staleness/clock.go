package staleness

import (
	"time"

	"golang.org/x/sys/unix"
)

// Mark is a moment that stays comparable after the host was suspended.
// time.Time alone does not: its monotonic reading stands still meanwhile.
type Mark struct {
	At time.Time
	// Suspended is how long the host had been suspended since it started.
	Suspended time.Duration
}

// sub returns the time from another mark to this one, suspension included.
func (m Mark) sub(other Mark) time.Duration {
	return m.At.Sub(other.At) + m.Suspended - other.Suspended
}

// suspended returns how long the host has been suspended since it started. It
// returns 0 where the system does not tell.
func suspended() time.Duration {
	var running, total unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &running) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &total) != nil {
		return 0
	}
	return time.Duration(total.Nano() - running.Nano())
}
