package usage

import (
	"maps"
	"sync"
	"time"
)

// settleTime is how long after the end of a window a host still counts operations in it, so
// that answers which are on their way at the end are counted in the right window.
const settleTime = 700 * time.Millisecond

// Recorder counts the operations of one process. It is safe for concurrent use.
type Recorder struct {
	policy Policy
	now    func() time.Time

	mu     sync.Mutex
	counts map[Window]Counts
	// closed is the newest window in which nothing is counted any more.
	closed Window
}

// NewRecorder returns a recorder that counts from now on.
func NewRecorder(p Policy, now func() time.Time) *Recorder {
	return &Recorder{policy: p, now: now, counts: map[Window]Counts{}, closed: p.At(now()) - 1}
}

// Count counts an operation of an account that an instance began some time ago. One that
// became known too late for its window counts in the oldest open one.
func (r *Recorder) Count(account string, ago time.Duration) {
	began := r.now().Add(-ago)
	r.mu.Lock()
	defer r.mu.Unlock()
	w := max(r.policy.At(began), r.closed+1)
	if r.counts[w] == nil {
		r.counts[w] = Counts{}
	}
	r.counts[w][account]++
}

// Close ends the windows that were over settleTime ago and forgets old ones.
func (r *Recorder) Close() {
	r.closeUntil(r.policy.At(r.now().Add(-settleTime)) - 1)
}

// CloseAll ends all windows up to the present one, before the process exits.
func (r *Recorder) CloseAll() { r.closeUntil(r.policy.At(r.now())) }

func (r *Recorder) closeUntil(w Window) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = max(r.closed, w)
	oldest := r.closed - r.policy.kept()
	maps.DeleteFunc(r.counts, func(w Window, _ Counts) bool { return w < oldest })
}

// Snapshot returns the counts of a window and whether they are final.
func (r *Recorder) Snapshot(w Window) (counts Counts, final bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.counts[w]), w <= r.closed
}

// Closed returns the newest window in which nothing is counted any more.
func (r *Recorder) Closed() Window {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}
