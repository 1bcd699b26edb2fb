// Package staleness provides the log position that a read with a staleness limit must
// reach. A sample is the log position of a leader, together with the time at which the
// request was sent that the leader answered. Every commit that was acknowledged before
// that time is at or below the position.
//
// Invariant: samples come only from answers that only a leader can give.
package staleness

import (
	"sync"
	"time"

	"github.com/bramleylever/bramleylever/position"
)

const (
	// spacing is the minimum time between two samples that are kept.
	spacing = 50 * time.Millisecond
	// retention is how long samples are kept. Routes with a higher staleness limit use
	// a newer sample than they need.
	retention = 10 * time.Second
)

// Sample is a position that covers every commit acknowledged before a time.
type Sample struct {
	// At is that time relative to the current clock reading. It is moved back by the
	// time for which the host may have been suspended since.
	At       time.Time
	Position position.Position
}

// sample is a position with the timestamp of its request.
type sample struct {
	sentAt   Timestamp
	position position.Position
}

// at returns the Sample, given an upper bound of the host's total suspension until now.
func (s *sample) at(suspended time.Duration) Sample {
	return Sample{At: s.sentAt.At.Add(s.sentAt.Suspended - suspended), Position: s.position}
}

// Bounds keeps the samples of all services. It may be used concurrently.
type Bounds struct {
	now        func() time.Time
	suspension func() suspension

	mu       sync.Mutex
	services map[string][]sample
}

// New returns an empty set of samples.
func New() *Bounds {
	return &Bounds{now: time.Now, suspension: readSuspension, services: map[string][]sample{}}
}

// Now returns the current time, or a slightly earlier one. It must be called before the
// request is sent.
func (b *Bounds) Now() Timestamp { return Timestamp{At: b.now(), Suspended: b.suspension().least} }

// Add records the position from a leader's answer to a request sent at the given time.
// It reports false if the answer is of a term that has ended.
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
		// The promotion may have rolled back positions of the ended term.
		b.services[service] = []sample{{sent, p}}
		return true
	}
	if sent.sub(last.sentAt) < spacing {
		return true
	}
	b.services[service] = append(prune(samples, sent), sample{sent, p})
	return true
}

// prune removes the samples older than retention.
func prune(samples []sample, now Timestamp) []sample {
	first := 0
	for first < len(samples) && now.sub(samples[first].sentAt) > retention {
		first++
	}
	return append(samples[:0], samples[first:]...)
}

// Lookup returns the oldest sample that is not older than notBefore, because it is the
// one that most replicas have reached, and the time of the newest sample. ok is false
// if no sample is recent enough.
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

// Newest returns the newest sample of a service; it reports false if there is none.
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
