package records

import (
	"sync"
	"sync/atomic"
)

// Feed publishes snapshots to the request path. Reading takes no lock.
//
// Invariant: the revision of Current never decreases.
type Feed struct {
	current atomic.Pointer[Snapshot]

	mu          sync.Mutex
	subscribers map[int]func(*Snapshot)
	next        int
}

// NewFeed returns a feed with an empty snapshot of revision 0.
func NewFeed() *Feed {
	f := &Feed{subscribers: map[int]func(*Snapshot){}}
	f.current.Store(&Snapshot{})
	return f
}

// Current returns the snapshot in force; it is never nil.
func (f *Feed) Current() *Snapshot { return f.current.Load() }

// Publish puts a snapshot in force and calls the subscribers in order. It
// reports false and changes nothing if the revision is not higher than the
// one in force.
func (f *Feed) Publish(s *Snapshot) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Revision <= f.current.Load().Revision {
		return false
	}
	f.current.Store(s)
	for _, notify := range f.subscribers {
		notify(s)
	}
	return true
}

// Subscribe calls notify with each snapshot from now on, and once with the
// present one. notify must not block and must not call the feed's writers. The
// returned function ends the subscription.
func (f *Feed) Subscribe(notify func(*Snapshot)) (cancel func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := f.next
	f.next++
	f.subscribers[id] = notify
	notify(f.current.Load())
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.subscribers, id)
	}
}
