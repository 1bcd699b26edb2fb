// Package clock provides a clock that also advances while the host is suspended. The
// monotonic clock of package time stops then, so a lease that is measured by it would
// seem valid for too long.
//
// Invariant: readings of one process never decrease, whatever happens to the time of
// day.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the boot of the host as a time.Time. It can be compared
// only with other results of Now in the same process.
func Now() time.Time {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return time.Now()
	}
	return time.Unix(now.Unix())
}
