package share

import (
	"math"
	"time"
)

// demandTimeConstant is the time constant of the exponential average of the
// demand.
const demandTimeConstant = time.Second

// demandEstimate estimates the rate at which requests arrive and counts those
// that were refused.
type demandEstimate struct {
	arrived     float64
	unmet       float64
	rate        float64
	windowStart time.Time
	lastRequest time.Time
}

// count records one request.
func (d *demandEstimate) count(now time.Time) {
	if d.windowStart.IsZero() {
		d.windowStart = now
	}
	d.arrived++
	d.lastRequest = now
}

// minDemandWindow is the shortest window from which a rate is computed; over a
// shorter one, a few requests in quick succession would look like a high rate.
const minDemandWindow = 50 * time.Millisecond

// estimate returns the exponentially weighted moving average of the request rate
// per second.
func (d *demandEstimate) estimate(now time.Time) float64 {
	window := now.Sub(d.windowStart)
	if d.windowStart.IsZero() || window < minDemandWindow {
		return max(d.rate, d.arrived/demandTimeConstant.Seconds())
	}
	weight := 1 - math.Exp(-window.Seconds()/demandTimeConstant.Seconds())
	d.rate += weight * (d.arrived/window.Seconds() - d.rate)
	d.arrived = 0
	d.windowStart = now
	return d.rate
}

// idle reports whether no request arrived within the given time.
func (d *demandEstimate) idle(now time.Time, after time.Duration) bool {
	return d.lastRequest.IsZero() || now.Sub(d.lastRequest) > after
}
