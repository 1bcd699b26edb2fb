package share

import (
	"math"
	"time"
)

// demandMemory is the time constant of the demand estimate.
const demandMemory = time.Second

// demand estimates the rate at which requests arrive.
type demand struct {
	arrived float64
	unmet   float64
	rate    float64
	since   time.Time
	last    time.Time
}

// count notes one request.
func (d *demand) count(now time.Time) {
	if d.since.IsZero() {
		d.since = now
	}
	d.arrived++
	d.last = now
}

// minDemandWindow keeps a few requests in quick succession from being taken
// for a high rate.
const minDemandWindow = 50 * time.Millisecond

// estimate returns the exponentially weighted rate in requests per second.
func (d *demand) estimate(now time.Time) float64 {
	window := now.Sub(d.since)
	if d.since.IsZero() || window < minDemandWindow {
		return max(d.rate, d.arrived/demandMemory.Seconds())
	}
	weight := 1 - math.Exp(-window.Seconds()/demandMemory.Seconds())
	d.rate += weight * (d.arrived/window.Seconds() - d.rate)
	d.arrived = 0
	d.since = now
	return d.rate
}

// idle reports whether no request came for the given time.
func (d *demand) idle(now time.Time, after time.Duration) bool {
	return d.last.IsZero() || now.Sub(d.last) > after
}
