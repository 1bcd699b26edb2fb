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
	At       time.Time
	Position position.Position
}

// Bounds keeps the samples of all services. It may be used concurrently.
type Bounds struct {
	mu       sync.Mutex
	services map[string][]Sample
}

// New returns bounds without samples.
func New() *Bounds { return &Bounds{services: map[string][]Sample{}} }

// Add records a leader's answer to a request that left at sent. It reports
// false for an answer from a term that has ended.
func (b *Bounds) Add(service string, sent time.Time, p position.Position) bool {
	if p.IsZero() {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	samples := b.services[service]
	if len(samples) == 0 {
		b.services[service] = []Sample{{sent, p}}
		return true
	}
	last := samples[len(samples)-1]
	switch p.Term.Compare(last.Position.Term) {
	case -1:
		return false
	case 1:
		// Positions of the ended term may have been rolled back.
		b.services[service] = []Sample{{sent, p}}
		return true
	}
	if sent.Sub(last.At) < spacing {
		return true
	}
	b.services[service] = append(prune(samples, sent), Sample{sent, p})
	return true
}

func prune(samples []Sample, now time.Time) []Sample {
	first := 0
	for first < len(samples) && now.Sub(samples[first].At) > retention {
		first++
	}
	return append(samples[:0], samples[first:]...)
}

// Term returns the highest term in which a leader answered.
func (b *Bounds) Term(service string) position.Term {
	b.mu.Lock()
	defer b.mu.Unlock()
	samples := b.services[service]
	if len(samples) == 0 {
		return position.Term{}
	}
	return samples[len(samples)-1].Position.Term
}

// At returns the oldest sample that is not older than the given time, because
// it is the one that most replicas have reached.
func (b *Bounds) At(service string, notBefore time.Time) (Sample, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.services[service] {
		if !s.At.Before(notBefore) {
			return s, true
		}
	}
	return Sample{}, false
}
