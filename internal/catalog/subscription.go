package catalog

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/platform"
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

// subscription follows the changes of one prefix.
type subscription struct {
	follower *Follower
	prefix   string
	log      *zap.Logger
	// reread requests a full read because another host knows a newer revision.
	reread chan struct{}

	mu sync.Mutex
	// next is the revision from which a watch resumes; 0 requires a full read.
	next int64
	// newest is the revision of the newest change that arrived. covered is the revision
	// up to which all changes are known to have arrived: that of a full read or of a
	// change. A watch that ends without a change proves nothing, because the store may
	// have skipped changes while it compacted its history.
	newest  int64
	covered int64
	// confirmedAt is when the store or another host last confirmed that this host is up
	// to date. behindSince is when a hint first showed a newer revision, or when such a
	// hint last requested a full read; zero if the last hint showed none.
	confirmedAt time.Time
	behindSince time.Time
	// resync is closed, and replaced by a new channel, to request a full read.
	resync chan struct{}
}

func newSubscription(f *Follower, prefix string) *subscription {
	return &subscription{
		follower: f, prefix: prefix, reread: make(chan struct{}, 1), resync: make(chan struct{}),
		log: f.log.With(zap.String(logging.FieldStep, "follow catalog"), zap.String("prefix", prefix)),
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
func (s *subscription) hint(revision int64) {
	now := s.follower.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case revision <= s.covered:
		s.behindSince = time.Time{}
		if revision >= s.newest {
			s.confirmedAt = now
		}
	case s.behindSince.IsZero():
		s.behindSince = now
	case now.Sub(s.behindSince) >= hintGrace:
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
func (s *subscription) recordRead(asOf, newest int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = asOf + 1
	s.covered, s.newest = max(s.covered, asOf), max(s.newest, newest)
	s.confirmedAt = s.follower.now()
}

// recordUpdate records an update that a watch delivered.
func (s *subscription) recordUpdate(update *platform.WatchUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = max(s.next, update.Revision+1)
	if len(update.Events) > 0 {
		s.covered, s.newest = max(s.covered, update.Revision), max(s.newest, update.Revision)
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

// run reads the prefix and follows its changes until ctx ends. When a watch ends, a new
// one resumes from the last change. After an outage longer than maxResumeOutage, or
// if that revision is compacted, everything is read again.
func (s *subscription) run(ctx context.Context) {
	var lost time.Time
	pause := minRetryDelay
	for ctx.Err() == nil {
		resync := s.resyncRequested()
		answered, err := s.syncOnce(ctx, resync)
		if ctx.Err() != nil {
			return
		}
		if answered {
			pause = minRetryDelay
			if !lost.IsZero() {
				s.log.Info("store regained", zap.Duration("lost_for", s.follower.now().Sub(lost)))
				lost = time.Time{}
			}
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, platform.ErrCompacted):
			s.log.Info("store history compacted; reading the catalog again")
			s.requireFullRead()
			continue
		}
		if lost.IsZero() {
			lost = s.follower.now()
			s.log.Warn("store lost", zap.Error(err))
		}
		wait(ctx, resync, pause)
		pause = min(maxRetryDelay, 2*pause)
		if s.follower.now().Sub(lost) > maxResumeOutage {
			s.requireFullRead()
		}
	}
}

// syncOnce reads all keys unless a watch can resume, and follows the changes until the watch
// ends or has to be opened again. It reports whether the store answered.
func (s *subscription) syncOnce(ctx context.Context, resync <-chan struct{}) (answered bool, err error) {
	read := s.nextRevision() == 0
	if read {
		if err := s.readAll(ctx); err != nil {
			return false, err
		}
	}
	answered, err = s.follow(ctx, resync)
	return read || answered, err
}

// readAll reads all keys below the prefix.
func (s *subscription) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	asked := s.follower.now()
	items, revision, err := s.follower.store.List(ctx, s.prefix)
	if err != nil {
		return err
	}
	var newest int64
	for i := range items {
		newest = max(newest, items[i].ModRevision)
	}
	s.follower.replace(s.prefix, items, asked)
	s.recordRead(revision, newest)
	return nil
}

// follow applies changes, starting at the next revision, until the watch ends or has to
// be opened again. It reports whether the store answered.
func (s *subscription) follow(ctx context.Context, resync <-chan struct{}) (answered bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	select {
	case <-s.reread:
	default:
	}
	updates, err := s.follower.store.Watch(ctx, s.prefix, s.nextRevision())
	if err != nil {
		return false, err
	}
	opened := s.follower.now()
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	for {
		select {
		case <-resync:
			s.requireFullRead()
			return answered, nil
		case <-s.reread:
			// A full read is needed: a new watch might be slow to answer and be ended by the
			// next hint.
			s.log.Info("another host has newer catalog revisions; reading the catalog again")
			s.requireFullRead()
			return answered, nil
		case <-check.C:
			if s.sinceConfirmed() > maxSilence && s.follower.now().Sub(opened) > maxSilence {
				return answered, nil
			}
		case update, open := <-updates:
			if !open {
				return answered, ctx.Err()
			}
			if update.Err != nil {
				return answered, update.Err
			}
			s.follower.applyUpdate(s.prefix, &update)
			s.recordUpdate(&update)
			answered = true
		}
	}
}

// wait returns when d has passed, ctx ends or early is closed.
func wait(ctx context.Context, early <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-early:
	case <-timer.C:
	}
}
