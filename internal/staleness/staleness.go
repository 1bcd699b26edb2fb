// Package staleness keeps lower bounds for reads that may be of a stated age.
// A sample is the log position of a primary together with the time at which
// the request left that the primary answered as leader. Every commit that was
// acknowledged before that time is at or below the position.
//
// Invariant: only answers that a leader alone gives make samples.
package staleness

import (
	"sync"
	"time"

	"github.com/bramleylever/bramleylever/position"
)

const (
	// spacing is the least time between two samples that are kept.
	spacing = 50 * time.Millisecond
	// retention is how long samples are kept; routes with a larger bound use
	// a younger sample than they need.
	retention = 10 * time.Second
)

// Sample is a position that the leader had at or after a time.
type Sample struct {
	// At is that time by the present reading of the clock, or earlier: time for
	// which the host may have been suspended makes it earlier.
	At       time.Time
	Position position.Position
}

// sample is a Sample as it was taken.
type sample struct {
	mark     Timestamp
	position position.Position
}

func (s *sample) at(suspended time.Duration) Sample {
	return Sample{At: s.mark.At.Add(s.mark.Suspended - suspended), Position: s.position}
}

// Bounds keeps the samples of all services. It may be used concurrently.
type Bounds struct {
	now        func() time.Time
	suspension func() suspension

	mu       sync.Mutex
	services map[string][]sample
}

// New returns bounds without samples.
func New() *Bounds {
	return &Bounds{now: time.Now, suspension: readSuspension, services: map[string][]sample{}}
}

// Now returns the present moment, or one a little earlier. It is taken before a
// request leaves.
func (b *Bounds) Now() Timestamp { return Timestamp{At: b.now(), Suspended: b.suspension().least} }

// Add records a leader's answer to a request that left at sent. It reports
// false for an answer from a term that has ended.
func (b *Bounds) Add(service string, sent Timestamp, p position.Position) bool {
	if p.IsZero() {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	samples := b.services[service]
	if len(samples) == 0 {
		b.services[service] = []sample{{sent, p}}
		return true
	}
	last := samples[len(samples)-1]
	switch p.Term.Compare(last.position.Term) {
	case -1:
		return false
	case 1:
		// Positions of the ended term may have been rolled back.
		b.services[service] = []sample{{sent, p}}
		return true
	}
	if sent.sub(last.mark) < spacing {
		return true
	}
	b.services[service] = append(prune(samples, sent), sample{sent, p})
	return true
}

func prune(samples []sample, now Timestamp) []sample {
	first := 0
	for first < len(samples) && now.sub(samples[first].mark) > retention {
		first++
	}
	return append(samples[:0], samples[first:]...)
}

// Lookup returns the oldest sample that is not older than the given time, because
// it is the one that most replicas have reached, and when the newest sample was
// taken. ok is false if no sample is young enough.
func (b *Bounds) Lookup(service string, notBefore time.Time) (oldest Sample, newest time.Time, ok bool) {
	suspended := b.suspension().most
	b.mu.Lock()
	defer b.mu.Unlock()
	samples := b.services[service]
	if len(samples) == 0 {
		return Sample{}, time.Time{}, false
	}
	newest = samples[len(samples)-1].at(suspended).At
	for i := range samples {
		if s := samples[i].at(suspended); !s.At.Before(notBefore) {
			return s, newest, true
		}
	}
	return Sample{}, newest, false
}

// Newest returns the newest sample.
func (b *Bounds) Newest(service string) (Sample, bool) {
	suspended := b.suspension().most
	b.mu.Lock()
	defer b.mu.Unlock()
	samples := b.services[service]
	if len(samples) == 0 {
		return Sample{}, false
	}
	return samples[len(samples)-1].at(suspended), true
}
