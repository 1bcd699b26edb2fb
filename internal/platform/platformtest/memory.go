package platformtest

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bramleylever/bramleylever/internal/platform"
)

// progressInterval is the longest time between progress updates of a watch.
const progressInterval = 20 * time.Millisecond

// Memory is an in-memory platform.Store with fault injection, for tests of code
// that uses a store. It passes the contract suite.
type Memory struct {
	mu        sync.Mutex
	now       func() time.Time
	revision  int64
	compacted int64
	items     map[string]platform.KeyValue
	history   []platform.WatchUpdate
	leases    map[platform.LeaseID]*memoryLease
	nextLease platform.LeaseID
	changed   chan struct{}
	fault     Fault
	postponed []platform.Txn
	calls     int
	// generation is 1 plus the number of times that the store has come back from a copy.
	// Revisions are kept as their numbers within it.
	generation platform.Generation
}

// Copy is an older state of a Memory, from which it can be restored.
type Copy struct {
	revision int64
	items    map[string]platform.KeyValue
	history  []platform.WatchUpdate
	leases   map[platform.LeaseID]memoryLease
}

// Copy returns a copy of the present state.
func (m *Memory) Copy() Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := Copy{
		revision: m.revision, items: maps.Clone(m.items), history: slices.Clone(m.history),
		leases: make(map[platform.LeaseID]memoryLease, len(m.leases)),
	}
	for id, l := range m.leases {
		c.leases[id] = *l
	}
	return c
}

// Restore replaces the state by that of a copy: later changes and leases are lost, and
// their revisions are given out again. The leases of the copy start anew.
func (m *Memory) Restore(c Copy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation++
	m.revision, m.items, m.history = c.revision, maps.Clone(c.items), slices.Clone(c.history)
	m.leases = make(map[platform.LeaseID]*memoryLease, len(c.leases))
	for id, l := range c.leases {
		m.leases[id] = &memoryLease{ttl: l.ttl, expires: m.now().Add(l.ttl)}
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// Generation implements platform.Store: it is 1 plus the number of restores.
func (m *Memory) Generation() platform.Generation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.generation
}

// composed returns the revision with a number of the present generation.
func (m *Memory) composed(number int64) int64 { return platform.ComposeRevision(m.generation, number) }

// reported returns an item as it is reported to callers.
func (m *Memory) reported(kv platform.KeyValue) platform.KeyValue {
	kv.ModRevision = m.composed(kv.ModRevision)
	return kv
}

// Fault is a fault to inject into the calls of a Memory.
type Fault struct {
	// Err, if not nil, is returned by each call without running it.
	Err error
	// LoseAnswers makes each Txn take effect but return ErrOutcomeUnknown.
	LoseAnswers bool
	// Postpone makes each Txn return ErrOutcomeUnknown at once and take effect, if its
	// compares still hold, in RunPostponed.
	Postpone bool
}

type memoryLease struct {
	ttl     time.Duration
	expires time.Time
}

var _ platform.Store = (*Memory)(nil)

// NewMemory returns an empty store. Its leases expire by the clock now; nil means
// time.Now.
func NewMemory(now func() time.Time) *Memory {
	if now == nil {
		now = time.Now
	}
	return &Memory{
		now: now, revision: 1, generation: platform.FirstGeneration, items: map[string]platform.KeyValue{},
		leases: map[platform.LeaseID]*memoryLease{}, changed: make(chan struct{}),
	}
}

// SetFault sets the fault for all following calls; the zero value removes it.
func (m *Memory) SetFault(f Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// Calls returns the number of calls so far, excluding Watch.
func (m *Memory) Calls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Compact discards the history up to and including a revision.
func (m *Memory) Compact(revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, number := platform.SplitRevision(revision)
	m.compacted = max(m.compacted, number)
	m.history = slices.DeleteFunc(m.history, func(u platform.WatchUpdate) bool { return u.Revision <= number })
}

// beginCall counts a call, deletes expired leases and returns the injected error. The
// caller holds the lock.
func (m *Memory) beginCall() error {
	m.calls++
	for id, l := range m.leases {
		if !m.now().Before(l.expires) {
			m.deleteLease(id)
		}
	}
	return m.fault.Err
}

// deleteLease deletes a lease and its keys as one revision.
func (m *Memory) deleteLease(id platform.LeaseID) {
	delete(m.leases, id)
	var events []platform.Event
	for key, kv := range m.items {
		if kv.Lease == id {
			events = append(events, m.deleteKey(key))
		}
	}
	m.commit(events)
}

// deleteKey deletes a key and returns the event, which the caller must commit.
func (m *Memory) deleteKey(key string) platform.Event {
	delete(m.items, key)
	return platform.Event{KeyValue: platform.KeyValue{Key: key, ModRevision: m.revision + 1}, Deleted: true}
}

// commit records events as one revision and wakes the watches.
func (m *Memory) commit(events []platform.Event) {
	if len(events) == 0 {
		return
	}
	m.revision++
	m.history = append(m.history, platform.WatchUpdate{Revision: m.revision, Events: events})
	close(m.changed)
	m.changed = make(chan struct{})
}

// Get implements platform.Store.
func (m *Memory) Get(_ context.Context, key string) (platform.KeyValue, int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall(); err != nil {
		return platform.KeyValue{}, 0, err
	}
	kv, ok := m.items[key]
	if !ok {
		kv.Key = key
	}
	return m.reported(kv), m.composed(m.revision), nil
}

// List implements platform.Store.
func (m *Memory) List(_ context.Context, prefix string) ([]platform.KeyValue, int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall(); err != nil {
		return nil, 0, err
	}
	var out []platform.KeyValue
	for key, kv := range m.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, m.reported(kv))
		}
	}
	slices.SortFunc(out, func(a, b platform.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return out, m.composed(m.revision), nil
}

// ListStale implements platform.Store. The result is always current.
func (m *Memory) ListStale(ctx context.Context, prefix string) ([]platform.KeyValue, int64, error) {
	return m.List(ctx, prefix)
}

// Txn implements platform.Store.
func (m *Memory) Txn(_ context.Context, txn platform.Txn) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall(); err != nil {
		return 0, err
	}
	if m.fault.Postpone {
		m.postponed = append(m.postponed, txn)
		return 0, platform.ErrOutcomeUnknown
	}
	if err := m.validate(txn); err != nil {
		return 0, err
	}
	m.apply(txn)
	if m.fault.LoseAnswers {
		return 0, platform.ErrOutcomeUnknown
	}
	return m.composed(m.revision), nil
}

// RunPostponed carries out the transactions that were postponed, as far as their compares
// still hold.
func (m *Memory) RunPostponed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, txn := range m.postponed {
		if m.validate(txn) == nil {
			m.apply(txn)
		}
	}
	m.postponed = nil
}

// apply carries out a transaction. The caller holds the lock.
func (m *Memory) apply(txn platform.Txn) {
	var events []platform.Event
	for _, p := range txn.Puts {
		kv := platform.KeyValue{Key: p.Key, Value: slices.Clone(p.Value), ModRevision: m.revision + 1, Lease: p.Lease}
		m.items[p.Key] = kv
		events = append(events, platform.Event{KeyValue: kv})
	}
	for _, key := range txn.Deletes {
		if _, ok := m.items[key]; ok {
			events = append(events, m.deleteKey(key))
		}
	}
	m.commit(events)
}

// validate returns the error with which the store rejects a transaction, if any.
func (m *Memory) validate(txn platform.Txn) error {
	conflict := false
	current := make([]platform.KeyValue, 0, len(txn.Compares))
	for _, c := range txn.Compares {
		kv := m.items[c.Key]
		kv.Key = c.Key
		current = append(current, m.reported(kv))
		conflict = conflict || m.composed(kv.ModRevision) != c.ModRevision
	}
	if conflict {
		return &platform.ConflictError{Current: current}
	}
	for _, p := range txn.Puts {
		if len(p.Value) > platform.MaxValueBytes {
			return platform.ErrTooLarge
		}
		if _, ok := m.leases[p.Lease]; p.Lease != 0 && !ok {
			return platform.ErrLeaseNotFound
		}
	}
	return nil
}

// GrantLease implements platform.Store.
func (m *Memory) GrantLease(_ context.Context, ttl time.Duration) (platform.LeaseID, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall(); err != nil {
		return 0, err
	}
	m.nextLease++
	m.leases[m.nextLease] = &memoryLease{ttl: ttl, expires: m.now().Add(ttl)}
	return m.nextLease, nil
}

// KeepAlive implements platform.Store.
func (m *Memory) KeepAlive(_ context.Context, id platform.LeaseID) (time.Duration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall(); err != nil {
		return 0, err
	}
	l := m.leases[id]
	if l == nil {
		return 0, platform.ErrLeaseNotFound
	}
	l.expires = m.now().Add(l.ttl)
	return l.ttl, nil
}

// RevokeLease implements platform.Store.
func (m *Memory) RevokeLease(_ context.Context, id platform.LeaseID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall(); err != nil {
		return err
	}
	if m.leases[id] == nil {
		return platform.ErrLeaseNotFound
	}
	m.deleteLease(id)
	return nil
}

// Watch implements platform.Store.
func (m *Memory) Watch(ctx context.Context, prefix string, from int64) (<-chan platform.WatchUpdate, error) {
	updates := make(chan platform.WatchUpdate)
	go func() {
		defer close(updates)
		next := from
		for {
			pending, changed, current := m.updatesSince(prefix, next)
			for _, u := range pending {
				select {
				case updates <- u:
				case <-ctx.Done():
					return
				}
				if u.Err != nil {
					return
				}
			}
			next = current
			select {
			case <-changed:
			case <-time.After(progressInterval):
			case <-ctx.Done():
				return
			}
		}
	}()
	return updates, nil
}

// updatesSince returns the changes from a revision on followed by a progress update, a
// channel that is closed on the next change, and the revision that follows.
func (m *Memory) updatesSince(prefix string, from int64) ([]platform.WatchUpdate, <-chan struct{}, int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := m.composed(m.revision + 1)
	if m.fault.Err != nil {
		return []platform.WatchUpdate{{Err: m.fault.Err}}, m.changed, next
	}
	generation, number := platform.SplitRevision(from)
	if from != 0 && (generation != m.generation || number <= m.compacted || number > m.revision+1) {
		return []platform.WatchUpdate{{Err: platform.ErrCompacted}}, m.changed, next
	}
	var out []platform.WatchUpdate
	for _, u := range m.history {
		var events []platform.Event
		for _, e := range u.Events {
			if strings.HasPrefix(e.Key, prefix) {
				e.KeyValue = m.reported(e.KeyValue)
				events = append(events, e)
			}
		}
		if u.Revision >= number && len(events) > 0 {
			out = append(out, platform.WatchUpdate{Revision: m.composed(u.Revision), Events: events})
		}
	}
	out = append(out, platform.WatchUpdate{Revision: m.composed(m.revision), RequestedAt: time.Now()})
	return out, m.changed, next
}

// Close implements platform.Store.
func (m *Memory) Close() error { return nil }
