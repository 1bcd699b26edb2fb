package routing

import (
	"sync"
	"time"

	"github.com/bramleylever/bramleylever/position"
)

// smoothing is the part of a new sample in the moving averages; with it, about
// the last ten requests count.
const smoothing = 0.1

// Estimates holds the observed load and state of the instances.
type Estimates struct {
	mu        sync.RWMutex
	instances map[string]*Estimate
}

// NewEstimates returns estimates without observations.
func NewEstimates() *Estimates { return &Estimates{instances: map[string]*Estimate{}} }

// Of returns the estimate of an instance.
func (e *Estimates) Of(instance string) *Estimate {
	e.mu.RLock()
	found := e.instances[instance]
	e.mu.RUnlock()
	if found != nil {
		return found
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if found := e.instances[instance]; found != nil {
		return found
	}
	found = &Estimate{}
	e.instances[instance] = found
	return found
}

// Estimate is the observed load and state of one instance.
type Estimate struct {
	mu          sync.Mutex
	outstanding int
	latency     float64
	errorRate   float64
	applied     position.Position
	observed    time.Time
	// waitingSince is the last answer, or the first request after an idle
	// time.
	waitingSince time.Time
	down         bool
}

// suspectAfter is the time without any answer after which an instance with
// outstanding requests is suspected to be frozen or cut off.
const suspectAfter = time.Second

// Begin counts a request that is being sent.
func (e *Estimate) Begin(now time.Time) {
	e.mu.Lock()
	if e.outstanding == 0 {
		e.waitingSince = now
	}
	e.outstanding++
	e.mu.Unlock()
}

// End counts the end of a request and notes the position that its connection
// reported.
func (e *Estimate) End(latency time.Duration, failed bool, applied position.Position, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outstanding--
	sample := 0.0
	if failed {
		sample = 1
	} else {
		e.latency += smoothing * (float64(latency) - e.latency)
		e.observed = now
		e.waitingSince = now
		e.down = false
		// The position may go back after a rewind, so it is replaced.
		e.applied = applied
	}
	e.errorRate += smoothing * (sample - e.errorRate)
}

// Observe counts a request that ran in a transaction.
func (e *Estimate) Observe(latency time.Duration, failed bool, applied position.Position, now time.Time) {
	e.Begin(now.Add(-latency))
	e.End(latency, failed, applied, now)
}

// Suspect reports whether the instance refused connections or owes answers for
// a long time. A slow statement looks the same, so a probe must decide.
func (e *Estimate) Suspect(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.suspect(now)
}

func (e *Estimate) suspect(now time.Time) bool {
	return e.down || e.outstanding > 0 && now.Sub(e.waitingSince) > suspectAfter
}

// Answered notes that the instance answered a probe.
func (e *Estimate) Answered(now time.Time) {
	e.mu.Lock()
	e.down = false
	e.waitingSince = now
	e.mu.Unlock()
}

// Fail counts a request that could not be sent. The instance is suspect until
// it answers.
func (e *Estimate) Fail() {
	e.mu.Lock()
	e.down = true
	e.errorRate += smoothing * (1 - e.errorRate)
	e.mu.Unlock()
}

// Fill copies the estimate into a candidate.
func (e *Estimate) Fill(c *Candidate, now time.Time) {
	e.mu.Lock()
	c.Outstanding = e.outstanding
	c.Latency = time.Duration(e.latency)
	c.ErrorRate = e.errorRate
	c.Applied = e.applied
	c.ObservedAge = now.Sub(e.observed)
	c.Suspect = e.suspect(now)
	e.mu.Unlock()
}
