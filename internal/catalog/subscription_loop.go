package catalog

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/platform"
)

// run reads the prefix and follows its changes until ctx ends. When a watch ends, a new
// one resumes from the last change. After an outage longer than maxResumeOutage, or
// if that revision is compacted, everything is read again.
func (s *subscription) run(ctx context.Context) {
	pause := minRetryDelay
	for ctx.Err() == nil {
		resync := s.resyncRequested()
		if s.followPeers(ctx) {
			continue
		}
		answered, err := s.syncOnce(ctx, resync)
		if ctx.Err() != nil {
			return
		}
		if answered {
			pause = minRetryDelay
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, platform.ErrCompacted):
			s.log.Info("store history compacted; reading the catalog again")
			s.requireFullRead()
			continue
		}
		if s.lost.IsZero() {
			s.lost = s.follower.now()
			s.log.Warn("store lost", zap.Error(err))
		}
		wait(ctx, resync, pause)
		pause = min(maxRetryDelay, 2*pause)
		if s.follower.now().Sub(s.lost) > maxResumeOutage {
			s.requireFullRead()
		}
	}
}

// regained ends an outage of the store with the first answer.
func (s *subscription) regained() {
	if s.lost.IsZero() {
		return
	}
	s.log.Info("store regained", zap.Duration("lost_for", s.follower.now().Sub(s.lost)))
	s.lost = time.Time{}
}

// syncOnce reads all keys unless a watch can resume, and follows the changes until the watch
// ends or has to be opened again. It reports whether the store answered.
func (s *subscription) syncOnce(ctx context.Context, resync <-chan struct{}) (answered bool, err error) {
	read := s.nextRevision() == 0
	if read {
		if err := s.readAll(ctx); err != nil {
			return false, err
		}
		s.regained()
	}
	answered, err = s.follow(ctx, resync)
	return read || answered, err
}

// readAll reads all keys below the prefix.
func (s *subscription) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	asked := s.follower.now()
	items, asOf, err := s.follower.store.List(ctx, s.prefix)
	if err != nil {
		return err
	}
	s.applying.Lock()
	defer s.applying.Unlock()
	generation, _ := platform.SplitRevision(asOf)
	s.follower.initialGeneration.CompareAndSwap(0, int64(generation))
	fresh := s.lacks(asOf)
	s.log.Info("catalog read", zap.Int64(logging.FieldRevision, asOf), zap.Int64("known_revision", s.knownRevision()),
		zap.Int("entries", len(items)), zap.Bool("applied", fresh))
	s.recordRead(items, asOf, asked)
	if fresh {
		s.follower.replace(s.prefix, items, asOf, asked)
	}
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
			if s.peersSuffice() {
				return answered, nil
			}
		case update, open := <-updates:
			if !open {
				return answered, ctx.Err()
			}
			if update.Err != nil {
				return answered, update.Err
			}
			s.regained()
			s.apply(&update)
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
