package records

import (
	"sync"
	"sync/atomic"
)

// Feed publishes configuration snapshots to the request path. Reads take no lock.
//
// Invariant: the revision of Current never decreases.
type Feed struct {
	current atomic.Pointer[Snapshot]

	mu          sync.Mutex
	subscribers map[int]func(*Snapshot)
	next        int
}

// NewFeed returns a feed whose snapshot is empty and has revision 0.
func NewFeed() *Feed {
	f := &Feed{subscribers: map[int]func(*Snapshot){}}
	f.current.Store(&Snapshot{})
	return f
}

// Current returns the snapshot in force; it is never nil.
func (f *Feed) Current() *Snapshot { return f.current.Load() }

// Publish puts a snapshot in force and calls the subscribers, which receive the
// snapshots in the order of their revisions. It returns false and changes nothing
// if the revision is not higher than the one in force.
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

// Subscribe calls notify with the current snapshot and with each one published
// later. notify must not block and must not call Publish, Subscribe or a cancel
// function of the feed. The returned function ends the subscription.
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
