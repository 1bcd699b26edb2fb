package routing

import (
	"sync"
	"time"

	"github.com/bramleylever/bramleylever/position"
)

// smoothing is the weight of a new sample in the exponential moving averages. With it,
// they cover about the last ten requests.
const smoothing = 0.1

// Estimates holds the estimates of all instances. It may be used concurrently.
type Estimates struct {
	mu        sync.RWMutex
	instances map[string]*Estimate
}

// NewEstimates returns an empty set of estimates.
func NewEstimates() *Estimates { return &Estimates{instances: map[string]*Estimate{}} }

// Of returns the estimate of an instance and creates it if necessary.
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
	// waitingSince is when the last answer arrived, or when the first request was sent
	// after there was none outstanding.
	waitingSince time.Time
	unreachable  bool
}

// suspectAfter is the time without any answer after which an instance with outstanding
// requests is suspected to be frozen or unreachable.
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

// End counts the end of a request and records the position that its connection
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
		e.unreachable = false
		// The position is replaced even by a lower one, because a rewind of the instance
		// moves it back.
		e.applied = applied
	}
	e.errorRate += smoothing * (sample - e.errorRate)
}

// Observe counts a request that ran in a transaction.
func (e *Estimate) Observe(latency time.Duration, failed bool, applied position.Position, now time.Time) {
	e.Begin(now.Add(-latency))
	e.End(latency, failed, applied, now)
}

// Suspect reports whether the instance refused connections, or has outstanding requests
// but has not answered for longer than suspectAfter. A slow statement has the same
// effect, so a probe must confirm the suspicion.
func (e *Estimate) Suspect(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.suspectLocked(now)
}

func (e *Estimate) suspectLocked(now time.Time) bool {
	return e.unreachable || e.outstanding > 0 && now.Sub(e.waitingSince) > suspectAfter
}

// Answered records that the instance answered a probe.
func (e *Estimate) Answered(now time.Time) {
	e.mu.Lock()
	e.unreachable = false
	e.waitingSince = now
	e.mu.Unlock()
}

// Fail records a request that could not be sent. The instance is suspect until it
// answers.
func (e *Estimate) Fail() {
	e.mu.Lock()
	e.unreachable = true
	e.errorRate += smoothing * (1 - e.errorRate)
	e.mu.Unlock()
}

// Fill copies the estimate into the fields of a candidate.
func (e *Estimate) Fill(c *Candidate, now time.Time) {
	e.mu.Lock()
	c.Outstanding = e.outstanding
	c.Latency = time.Duration(e.latency)
	c.ErrorRate = e.errorRate
	c.Applied = e.applied
	c.ObservedAge = now.Sub(e.observed)
	c.Suspect = e.suspectLocked(now)
	e.mu.Unlock()
}
