// Package topology stores the primary of each database and the term in which it was
// promoted.
//
// Invariant: the term of a database never decreases, so a late announcement of an old
// primary has no effect.
package topology

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleylever/bramleylever/position"
)

// Group is the topology entry of one database group: its primary and term.
type Group struct {
	Database string
	Term     position.Term
	// Primary is the name of the primary instance; empty while the term has none.
	Primary string
}

// Table is the topology known to one host. Group, All and Hash take no lock.
type Table struct {
	groups atomic.Pointer[map[string]Group]

	mu      sync.Mutex
	changed chan struct{}
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{changed: make(chan struct{})}
	t.groups.Store(&map[string]Group{})
	return t
}

// Group returns the entry of a database and whether there is one.
func (t *Table) Group(database string) (Group, bool) {
	g, ok := (*t.groups.Load())[database]
	return g, ok
}

// All returns all entries in the order of the database names.
func (t *Table) All() []Group {
	groups := *t.groups.Load()
	all := make([]Group, 0, len(groups))
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		all = append(all, groups[name])
	}
	return all
}

// Hash returns a hash of all entries; equal tables have equal hashes.
func (t *Table) Hash() uint64 {
	h := xxhash.New()
	var number [8]byte
	for _, g := range t.All() {
		_, _ = h.WriteString(g.Database)
		_, _ = h.Write([]byte{0})
		_, _ = h.WriteString(g.Primary)
		_, _ = h.Write([]byte{0})
		binary.BigEndian.PutUint64(number[:], g.Term.Epoch)
		_, _ = h.Write(number[:])
		binary.BigEndian.PutUint64(number[:], g.Term.Sequence)
		_, _ = h.Write(number[:])
	}
	return h.Sum64()
}

// Update records an entry and reports whether the table changed. It accepts only a higher
// term, or the primary of a term that had none.
func (t *Table) Update(g Group) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := *t.groups.Load()
	known, ok := old[g.Database]
	order := g.Term.Compare(known.Term)
	if ok && (order < 0 || order == 0 && (known.Primary != "" || g.Primary == "")) {
		return false
	}
	next := maps.Clone(old)
	next[g.Database] = g
	t.groups.Store(&next)
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed at the next change. Get the channel before
// reading the table; otherwise a change in between is missed.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}
