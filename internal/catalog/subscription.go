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
	// minRetryPause and maxRetryPause bound the pause after a failed call; it
	// doubles with each failure in a row, because every host retries and the
	// store counts refused calls too. Resync ends it early.
	minRetryPause = 200 * time.Millisecond
	maxRetryPause = 2 * time.Second
	// hintGrace is how long a host may know less than another before it reads
	// again; the change is usually under way.
	hintGrace = 300 * time.Millisecond
	// resumeTime is how long the store may have been lost for a watch to go on
	// from the last change. After that a read is smaller, because it leaves out
	// the versions in between.
	resumeTime = time.Second
	// checkInterval is how often a watch is checked for silence, and maxSilence
	// how long neither the store nor another host may have confirmed what is
	// known: the store may drop a watch without a word.
	checkInterval = 500 * time.Millisecond
	maxSilence    = 4 * time.Second
)

// Revisions are the store's revisions of the newest changes that a host knows.
// Hosts exchange them, so that one whose watch was dropped learns of it from
// any other.
type Revisions struct {
	Operator int64
	Servers  int64
}

// subscription follows the changes of one prefix.
type subscription struct {
	follower *Follower
	prefix   string
	log      *zap.Logger
	// reread asks for a new read because another host knows more.
	reread chan struct{}

	mu sync.Mutex
	// next is the revision from which a watch goes on; 0 before the first read.
	next int64
	// newest is the revision of the newest change that arrived. covered is the
	// revision up to which changes certainly arrived: that of a read or of a
	// change. A watch that ends without a change proves nothing, because the
	// store may have passed over changes while it dropped its history.
	newest  int64
	covered int64
	// heard is when what is known was last confirmed, and behind since when
	// another host is known to know more.
	heard  time.Time
	behind time.Time
	// resync is closed when the store was found back.
	resync chan struct{}
}

func newSubscription(f *Follower, prefix string) *subscription {
	return &subscription{
		follower: f, prefix: prefix, reread: make(chan struct{}, 1), resync: make(chan struct{}),
		log: f.log.With(zap.String(logging.FieldStep, "follow catalog"), zap.String("prefix", prefix)),
	}
}

// requestResync ends a watch, or a pause between retries, and has the prefix read
// again.
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

// hint compares the revision of the newest change that another host knows with
// what arrived here.
func (s *subscription) hint(revision int64) {
	now := s.follower.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case revision <= s.covered:
		s.behind = time.Time{}
		if revision >= s.newest {
			s.heard = now
		}
	case s.behind.IsZero():
		s.behind = now
	case now.Sub(s.behind) >= hintGrace:
		s.behind = now
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

// noteRead records a read of all keys as of a revision.
func (s *subscription) noteRead(asOf, newest int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = asOf + 1
	s.covered, s.newest = max(s.covered, asOf), max(s.newest, newest)
	s.heard = s.follower.now()
}

// noteUpdate records what a watch delivered.
func (s *subscription) noteUpdate(update *platform.WatchUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = max(s.next, update.Revision+1)
	if len(update.Events) > 0 {
		s.covered, s.newest = max(s.covered, update.Revision), max(s.newest, update.Revision)
	}
	s.heard = s.follower.now()
}

func (s *subscription) nextRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// forget makes the prefix be read again.
func (s *subscription) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = 0
}

func (s *subscription) silence() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower.now().Sub(s.heard)
}

// run reads the prefix and follows its changes until ctx ends. A watch that
// ends goes on from the last change that arrived; after an outage or a gap in
// the history everything is read again.
func (s *subscription) run(ctx context.Context) {
	var lost time.Time
	pause := minRetryPause
	for ctx.Err() == nil {
		resync := s.resyncRequested()
		answered, err := s.advance(ctx, resync)
		if ctx.Err() != nil {
			return
		}
		if answered {
			pause = minRetryPause
			if !lost.IsZero() {
				s.log.Info("store regained", zap.Duration("lost_for", s.follower.now().Sub(lost)))
				lost = time.Time{}
			}
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, platform.ErrCompacted):
			s.log.Info("store history compacted; reading again")
			s.forget()
			continue
		}
		if lost.IsZero() {
			lost = s.follower.now()
			s.log.Warn("store lost", zap.Error(err))
		}
		wait(ctx, resync, pause)
		pause = min(maxRetryPause, 2*pause)
		if s.follower.now().Sub(lost) > resumeTime {
			s.forget()
		}
	}
}

// advance reads the prefix unless a watch can go on, and follows its changes
// until the watch ends or has to be opened again. It reports whether the store
// answered.
func (s *subscription) advance(ctx context.Context, resync <-chan struct{}) (answered bool, err error) {
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
	s.noteRead(revision, newest)
	return nil
}

// follow applies the changes from the next revision on until the watch ends or
// has to be opened again. It reports whether the store answered.
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
			s.forget()
			return answered, nil
		case <-s.reread:
			// A new watch could be slow to answer and be ended by the next hint.
			s.log.Info("another host knows more; reading again")
			s.forget()
			return answered, nil
		case <-check.C:
			if s.silence() > maxSilence && s.follower.now().Sub(opened) > maxSilence {
				return answered, nil
			}
		case update, open := <-updates:
			if !open {
				return answered, ctx.Err()
			}
			if update.Err != nil {
				return answered, update.Err
			}
			s.follower.update(s.prefix, &update)
			s.noteUpdate(&update)
			answered = true
		}
	}
}

// wait pauses until d has passed, ctx ends or early is closed.
func wait(ctx context.Context, early <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-early:
	case <-timer.C:
	}
}
