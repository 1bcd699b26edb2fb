// Package drain takes hosts and database instances out of service without
// interrupting requests, and brings instances back gradually.
//
// Invariant: an instance that is leaving has weight 0, and a host in drain
// never accepts new work again.
package drain

import (
	"sync"
	"time"

	"github.com/bramleylever/bramleylever/internal/records"
)

const (
	// ReturnRamp is the time until a returned instance has its full weight.
	ReturnRamp = 30 * time.Second
	// ReturnStart is the weight with which a returned instance begins: caches
	// are cold and connections are still to be opened.
	ReturnStart = 0.1
)

// Weights gives the weight of each instance for new work. It is safe for
// concurrent use.
type Weights struct {
	mu sync.RWMutex
	// leaving holds the instances that leave in the last snapshot, and
	// returned those that came back, with the time.
	leaving  map[string]bool
	returned map[string]time.Time
	revision int64
}

// NewWeights returns the weights before the first snapshot. Instances that no
// snapshot showed as leaving have their full weight, so a restarted proxy does
// not slow down instances that stayed in service.
func NewWeights() *Weights {
	return &Weights{leaving: map[string]bool{}, returned: map[string]time.Time{}, revision: -1}
}

// Apply takes a snapshot that came into force at now. Older snapshots change
// nothing.
func (w *Weights) Apply(now time.Time, s *records.Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.Revision < w.revision {
		return
	}
	w.revision = s.Revision
	leaving := map[string]bool{}
	returned := map[string]time.Time{}
	for _, db := range s.Databases {
		for _, in := range db.Instances {
			at, ramping := w.returned[in.Name]
			switch {
			case s.InstanceLeaving(in):
				leaving[in.Name] = true
			case w.leaving[in.Name]:
				returned[in.Name] = now
			case ramping && now.Sub(at) < ReturnRamp:
				returned[in.Name] = at
			}
		}
	}
	w.leaving, w.returned = leaving, returned
}

// Weight returns the part of its usual new work that an instance gets: 0 while
// it leaves, and from ReturnStart to 1 over ReturnRamp after its return.
func (w *Weights) Weight(in records.Instance, now time.Time) float64 {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.leaving[in.Name] {
		return 0
	}
	at, ok := w.returned[in.Name]
	if !ok {
		return 1
	}
	passed := float64(now.Sub(at)) / float64(ReturnRamp)
	return min(1, ReturnStart+(1-ReturnStart)*max(0, passed))
}
