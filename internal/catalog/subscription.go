package catalog

import (
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/revision"
)

const (
	// minRetryDelay and maxRetryDelay bound the delay after a failed call. It doubles
	// with each consecutive failure, because every host retries and the store counts
	// refused calls as well. Resync ends it early.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// hintGrace is how long another host may know a newer revision before this host
	// reads the catalog again; usually the change is about to arrive.
	hintGrace = 300 * time.Millisecond
	// maxResumeOutage is the longest outage after which a watch resumes from the last
	// change. After a longer one a full read is smaller, because it omits the
	// intermediate versions.
	maxResumeOutage = time.Second
	// checkInterval is how often a watch is checked for silence. maxSilence is how long
	// a watch stays open although neither the store nor another host confirms that
	// this host is up to date: the store may drop a watch without notice.
	checkInterval = 500 * time.Millisecond
	maxSilence    = 4 * time.Second
)

// Revisions are the store's revisions of the newest changes that a host knows. Hosts
// exchange them, so that a host whose watch was dropped learns from any other host that
// it is behind.
type Revisions struct {
	Operator int64
	Servers  int64
}

// entries are the values below a prefix, by key. A value of this type is not modified
// once it is the state of a replica.
type entries map[string]platform.KeyValue

// applyEvents returns the entries after some changes.
func applyEvents(old entries, events []platform.Event) entries {
	next := maps.Clone(old)
	for _, event := range events {
		if event.Deleted {
			delete(next, event.Key)
			continue
		}
		next[event.Key] = event.KeyValue
	}
	return next
}

// subscription follows the changes of one prefix.
type subscription struct {
	follower *Follower
	prefix   string
	log      *zap.Logger
	// reread requests a full read because another host knows a newer revision.
	reread chan struct{}

	mu sync.Mutex
	// replica holds the entries and the recent changes for other hosts. Its revision is
	// that of the last full read or of the last change: a watch that ends without a
	// change proves nothing, because the store may have skipped changes while it
	// compacted its history.
	replica *revision.Replica[entries, []platform.Event]
	// next is the revision from which a watch resumes; 0 requires a full read.
	next int64
	// newest is the revision of the newest change that arrived.
	newest int64
	// confirmedAt is when the store or another host last confirmed that this host is up
	// to date. behindSince is when a hint first showed a newer revision, or when such a
	// hint last requested a full read; zero if the last hint showed none.
	confirmedAt time.Time
	behindSince time.Time
	// resync is closed, and replaced by a new channel, to request a full read.
	resync chan struct{}

	// applying serializes the updates from the store and from other hosts.
	applying sync.Mutex

	// lost is since when the store has not answered; zero if it answers. It is used by run
	// only.
	lost time.Time
}

// keptChanges is the number of changes that are kept for other hosts; a host that
// lacks more gets all entries.
const keptChanges = 128

func newSubscription(f *Follower, prefix string) *subscription {
	return &subscription{
		follower: f, prefix: prefix, reread: make(chan struct{}, 1), resync: make(chan struct{}),
		replica: revision.New(revision.Options{Keep: keptChanges}, applyEvents),
		log:     f.log.With(zap.String(logging.FieldStep, "follow catalog"), zap.String("prefix", prefix)),
	}
}

// requestResync ends the current watch or retry delay and requests a full read.
func (s *subscription) requestResync() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.resync)
	s.resync = make(chan struct{})
}

func (s *subscription) resyncRequested() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resync
}

// hint compares the revision of the newest change that another host knows with the
// changes that arrived here.
func (s *subscription) hint(known int64) {
	now := s.follower.now()
	relayed := s.follower.relayed()
	grace := hintGrace
	if relayed {
		grace = relayedHintGrace
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case known <= s.replica.Revision():
		s.behindSince = time.Time{}
		// Where hosts follow each other, a hint does not tell how old the other
		// host's knowledge is.
		if known >= s.newest && !relayed {
			s.confirmedAt = now
		}
	case s.behindSince.IsZero():
		s.behindSince = now
	case now.Sub(s.behindSince) >= grace:
		s.behindSince = now
		select {
		case s.reread <- struct{}{}:
		default:
		}
	}
}

func (s *subscription) newestRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest
}

// recordRead records a full read: the revision of the read and of its newest change.
func (s *subscription) recordRead(items []platform.KeyValue, asOf int64, asked time.Time) {
	state := make(entries, len(items))
	var newest int64
	for _, item := range items {
		newest = max(newest, item.ModRevision)
		state[item.Key] = item
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = asOf + 1
	s.newest = max(s.newest, newest)
	s.adoptRead(state, newest, asOf)
	s.confirm(asked)
}

// adoptRead makes the result of a full read the state of the replica if it differs. Its
// revision is that of the newest entry and not that of the read: otherwise each host that
// starts would seem to know more than all others, and they would fetch everything from
// it. The caller holds the lock.
func (s *subscription) adoptRead(state entries, newest, asOf int64) {
	known := s.replica.Revision()
	if known > 0 && sameGeneration(known, asOf) && maps.EqualFunc(state, s.replica.State(), sameRevision) {
		return
	}
	if newest <= known || newest == 0 {
		// A deletion was missed, or there are no entries.
		newest = asOf
	}
	s.replica.Adopt(newest, state)
}

func sameRevision(a, b platform.KeyValue) bool { return a.ModRevision == b.ModRevision }

// confirm records that the store had no later change at the given time. The caller
// holds the lock.
func (s *subscription) confirm(at time.Time) {
	now := s.follower.now()
	s.replica.ConfirmByStore(now, at)
	s.confirmedAt = now
}

// lacks reports whether the changes up to a revision have not all arrived.
func (s *subscription) lacks(revision int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return revision >= s.replica.Revision()
}

// knownRevision returns the revision of the newest change that has been applied.
func (s *subscription) knownRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Revision()
}

// apply applies an update that a watch delivered, unless it has arrived from another
// host before.
func (s *subscription) apply(update *platform.WatchUpdate) {
	s.applying.Lock()
	defer s.applying.Unlock()
	fresh := len(update.Events) == 0 || s.lacks(update.Revision)
	if !fresh {
		s.log.Info("catalog change left out: a newer one is known", zap.Int64(logging.FieldRevision, update.Revision),
			zap.Int64("known_revision", s.knownRevision()), zap.Int("events", len(update.Events)))
	}
	// Recorded first, so that whoever is woken by the new view sees its revision.
	s.recordUpdate(update)
	if fresh {
		s.follower.applyUpdate(s.prefix, update)
	}
}

// recordUpdate records an update that a watch delivered.
func (s *subscription) recordUpdate(update *platform.WatchUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = max(s.next, update.Revision+1)
	if len(update.Events) > 0 {
		s.newest = max(s.newest, update.Revision)
		s.replica.Apply(revision.Change[[]platform.Event]{
			Previous: s.replica.Revision(), Revision: update.Revision, Body: update.Events,
		})
	}
	if !update.RequestedAt.IsZero() {
		s.confirm(update.RequestedAt)
	}
	s.confirmedAt = s.follower.now()
}

func (s *subscription) nextRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// requireFullRead makes the next syncOnce read all keys.
func (s *subscription) requireFullRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = 0
}

func (s *subscription) sinceConfirmed() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower.now().Sub(s.confirmedAt)
}
