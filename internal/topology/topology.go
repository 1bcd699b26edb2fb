// Package topology holds which instance is the primary of each database, and
// in which term.
//
// Invariant: the term known for a database never decreases, so an announcement
// of an old primary changes nothing.
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

// Group is the primary of one database in one term.
type Group struct {
	Database string
	Term     position.Term
	// Primary is the instance name; empty while a term has no primary yet.
	Primary string
}

// Table is the topology known to one host. Reading takes no lock.
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

// Group returns what is known of a database.
func (t *Table) Group(database string) (Group, bool) {
	g, ok := (*t.groups.Load())[database]
	return g, ok
}

// All returns the known groups in the order of their names.
func (t *Table) All() []Group {
	groups := *t.groups.Load()
	all := make([]Group, 0, len(groups))
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		all = append(all, groups[name])
	}
	return all
}

// Hash returns a digest of all groups; equal tables have equal hashes.
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

// Update records a group and reports whether it changed the table: only a
// higher term, or the primary of a term that had none, does.
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

// Changed returns a channel that is closed at the next change. Take the
// channel before reading the table, so that no change is missed.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}
