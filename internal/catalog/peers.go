package catalog

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/revision"
)

const (
	// maxPeerSilence is how old the knowledge of a host that follows others may become
	// before it asks the store itself. While the store is away, all hosts need not find
	// that out.
	maxPeerSilence = 15 * time.Second
	// relayedHintGrace takes the place of hintGrace where hosts follow each other: a
	// change needs a moment to reach all of them.
	relayedHintGrace = 1500 * time.Millisecond
	// startupWait is how long a host that has read the catalog waits for the other
	// hosts before it opens a watch.
	startupWait = 2 * time.Second
)

// Part is a part of the catalog that is followed on its own.
type Part int

// The parts of the catalog.
const (
	OperatorPart Part = iota
	ServersPart
	partCount
)

// Relaying says how the hosts of a fleet follow the catalog.
type Relaying struct {
	// Known says that this host knows how many hosts there are.
	Known func() bool
	// Enabled says that some hosts follow the store and the others follow them.
	Enabled func() bool
	// Watches reports whether this host follows the store.
	Watches func() bool
	// Isolated reports whether no other host has answered this one lately.
	Isolated func() bool
}

// SetRelaying makes the follower leave the watching of the store to other hosts while
// it need not do that itself. It must be called before Run.
func (f *Follower) SetRelaying(r Relaying) { f.relaying = r }

// relayed reports whether hosts follow each other.
func (f *Follower) relayed() bool { return f.relaying.Enabled != nil && f.relaying.Enabled() }

// Watches reports whether this host follows the store for others.
func (f *Follower) Watches() bool { return f.relayed() && f.relaying.Watches() }

func (f *Follower) part(p Part) *subscription {
	if p == OperatorPart {
		return f.operator
	}
	return f.servers
}

// Confirmation tells how far this host knows a part of the catalog.
func (f *Follower) Confirmation(p Part) revision.Confirmation {
	s := f.part(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Confirmation(f.now())
}

// ConfirmByPeer records how far another host knows a part of the catalog, as it
// answered to a request that was sent at the given time. It reports true if that host
// has changes that this host lacks.
func (f *Follower) ConfirmByPeer(p Part, sent time.Time, c revision.Confirmation) (behind bool) {
	s := f.part(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Revision > s.replica.Revision() {
		return true
	}
	if !sameGeneration(c.Revision, s.replica.Revision()) {
		// The store that confirmed that host is not the one of this host's entries.
		return false
	}
	before := s.replica.Status(f.now()).StoreAge
	if s.replica.ConfirmByPeer(f.now(), sent, c) && s.replica.Status(f.now()).StoreAge != before {
		s.confirmedAt = f.now().Add(-s.replica.Status(f.now()).StoreAge)
	}
	return false
}

func sameGeneration(a, b int64) bool {
	generationA, _ := platform.SplitRevision(a)
	generationB, _ := platform.SplitRevision(b)
	return generationA == generationB
}

// Update is what a host sends to another one that lacks changes of a part: the
// changes, or all entries at a revision.
type Update struct {
	SnapshotRevision int64
	Entries          []platform.KeyValue
	Changes          []revision.Change[[]platform.Event]
}

// Since returns what a host lacks that knows a part up to a revision.
func (f *Follower) Since(p Part, after int64) Update {
	s := f.part(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	if changes, ok := s.replica.Since(after); ok {
		return Update{Changes: changes}
	}
	u := Update{SnapshotRevision: s.replica.Revision()}
	for _, item := range s.replica.State() {
		u.Entries = append(u.Entries, item)
	}
	return u
}

// Apply applies an update from another host.
func (f *Follower) Apply(p Part, u Update) {
	s := f.part(p)
	s.applying.Lock()
	defer s.applying.Unlock()
	if u.SnapshotRevision > 0 {
		if s.adopt(u) {
			f.replace(s.prefix, u.Entries, u.SnapshotRevision, time.Time{})
		}
		return
	}
	for _, change := range u.Changes {
		if !s.applyChange(change) {
			return
		}
		f.applyUpdate(s.prefix, &platform.WatchUpdate{Revision: change.Revision, Events: change.Body})
	}
}

// adopt takes over all entries from another host and reports whether they are newer.
func (s *subscription) adopt(u Update) bool {
	state := make(entries, len(u.Entries))
	var newest int64
	for _, item := range u.Entries {
		newest = max(newest, item.ModRevision)
		state[item.Key] = item
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.replica.Adopt(u.SnapshotRevision, state) {
		return false
	}
	s.next, s.newest = u.SnapshotRevision+1, max(s.newest, newest)
	return true
}

// applyChange applies a change from another host and reports whether later ones can
// follow.
func (s *subscription) applyChange(change revision.Change[[]platform.Event]) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := s.replica.Apply(change)
	if result == revision.Applied {
		s.next, s.newest = change.Revision+1, max(s.newest, change.Revision)
	}
	return result != revision.Gap
}

// peersSuffice reports whether this host can rely on the other hosts for the changes of
// the prefix.
func (s *subscription) peersSuffice() bool {
	f := s.follower
	if f.relaying.Enabled == nil {
		return false
	}
	starting := f.Snapshot().Complete && f.now().Sub(f.started) < startupWait
	if !f.relaying.Known() {
		return starting
	}
	if !f.relayed() {
		return false
	}
	s.mu.Lock()
	age, known := s.replica.Status(f.now()).StoreAge, s.next != 0
	s.mu.Unlock()
	if !known {
		return false
	}
	return starting || !f.relaying.Watches() && !f.relaying.Isolated() && age < maxPeerSilence
}

// followPeers waits for a while if other hosts provide the changes. It reports whether
// it did.
func (s *subscription) followPeers(ctx context.Context) bool {
	if !s.peersSuffice() {
		return false
	}
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.reread:
		s.log.Info("no other host has provided a newer catalog revision; reading the catalog", zap.Duration("after", relayedHintGrace))
		s.requireFullRead()
	}
	return true
}
