// Package drain takes hosts and database instances out of service without interrupting
// requests, and raises the load on returning instances gradually.
//
// Invariants: a leaving instance has weight 0; a draining host accepts work only while there
// is time for it to end before the host does.
package drain

import (
	"sync"
	"time"

	"github.com/bramleylever/bramleylever/internal/records"
)

const (
	// ReturnRamp is the time until a returned instance has full weight.
	ReturnRamp = 30 * time.Second
	// ReturnInitialWeight is the weight of an instance right after its return. It is low
	// because caches are cold and connections have to be opened.
	ReturnInitialWeight = 0.1
)

// Weights computes the weight of each instance for new work. It is safe for concurrent use.
type Weights struct {
	mu sync.RWMutex
	// leaving holds the instances that are leaving in the last snapshot. returned maps
	// instances that came back to the time of their return.
	leaving  map[string]bool
	returned map[string]time.Time
	revision int64
}

// NewWeights returns Weights without a snapshot. An instance that no snapshot showed as
// leaving has full weight, so a restart of the proxy does not reduce the load on instances
// in service.
func NewWeights() *Weights {
	return &Weights{leaving: map[string]bool{}, returned: map[string]time.Time{}, revision: -1}
}

// Apply records a snapshot that took effect at now. Older snapshots are ignored.
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

// Weight returns the fraction of its normal new work that an instance gets: 0 while it is
// leaving, then rising from ReturnInitialWeight to 1 over ReturnRamp after its return.
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
	return min(1, ReturnInitialWeight+(1-ReturnInitialWeight)*max(0, passed))
}
