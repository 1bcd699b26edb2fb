package standin

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/position"
)

// followTimeout bounds how long Follow waits for the first response of the new primary.
// After that, the replica keeps connecting in the background.
const followTimeout = time.Second

func staleTermError(requested, own position.Term) error {
	return failf(backend.SQLStateNotInPrerequisiteState, "stale term %s: the instance is in term %s", requested, own)
}

var errNotStarted = failf(backend.SQLStateNotInPrerequisiteState, "the instance is not started")

// RaiseTerm raises the term to t and fences the instance, which then refuses everything
// of a lower term. The current term is accepted and changes nothing.
func (i *Instance) RaiseTerm(t position.Term) (backend.Status, error) {
	i.mu.Lock()
	err := i.raiseLocked(t)
	i.mu.Unlock()
	return i.Status(), err
}

func (i *Instance) raiseLocked(t position.Term) error {
	switch t.Compare(i.state.term) {
	case -1:
		return staleTermError(t, i.state.term)
	case 0:
		return nil
	}
	i.state.term = t
	i.state.primary = ""
	i.stopFollowerLocked()
	i.closeWriterLocked()
	i.setRoleLocked(backend.RoleFenced)
	return nil
}

// Promote makes a fenced instance the primary of t, which must be its current term. It
// appends the first entry of the term, so that the last log term is t and a majority
// that receives this entry has received all earlier ones.
func (i *Instance) Promote(t position.Term) (backend.Status, error) {
	i.applyMu.Lock()
	defer i.applyMu.Unlock()
	i.mu.Lock()
	if i.state.role == backend.RolePrimary && i.state.term == t {
		i.mu.Unlock()
		return i.Status(), nil
	}
	err := i.checkPromotionLocked(t)
	i.mu.Unlock()
	if err != nil {
		return i.Status(), err
	}
	// A fenced instance receives nothing, so the end of the log can't change here
	// unless the term is raised, which is checked again below.
	for i.applyNextLocked() {
	}
	i.mu.Lock()
	err = i.checkPromotionLocked(t)
	if err == nil {
		err = i.promoteLocked()
	}
	i.mu.Unlock()
	if err == nil {
		i.applyNextLocked()
	}
	return i.Status(), err
}

func (i *Instance) checkPromotionLocked(t position.Term) error {
	st := &i.state
	switch {
	case i.db == nil:
		return errNotStarted
	case t.Less(st.term):
		return staleTermError(t, st.term)
	case t != st.term:
		return failf(backend.SQLStateNotInPrerequisiteState,
			"promotion in term %s: the instance is in term %s and its term must be raised first", t, st.term)
	case t.IsZero():
		return failf(backend.SQLStateNotInPrerequisiteState, "promotion in term %s: the first term is above it", t)
	case st.role != backend.RoleFenced:
		return failf(backend.SQLStateNotInPrerequisiteState,
			"promotion in term %s: the instance follows %s in this term", t, st.primary)
	}
	return nil
}

func (i *Instance) promoteLocked() error {
	if err := i.openWriterLocked(); err != nil {
		return err
	}
	st := &i.state
	st.termStart = st.lastLSN() + 1
	st.confirmed = 0
	st.peers = map[string]*peerProgress{}
	st.pingSequence, st.pingConfirmed = 0, 0
	st.quiescedUntil = time.Time{}
	i.appendLocked(nil)
	i.setRoleLocked(backend.RolePrimary)
	return nil
}

// Follow makes the instance replicate from the primary at address in term t, after
// raising its own term if that is lower. Within a term, an instance follows only one
// primary, because entries that it acknowledged must not be removed.
func (i *Instance) Follow(ctx context.Context, t position.Term, address string) (backend.Status, error) {
	i.mu.Lock()
	err := i.followLocked(t, address)
	f := i.follower
	i.mu.Unlock()
	if err != nil {
		return i.Status(), err
	}
	timer := time.NewTimer(followTimeout)
	defer timer.Stop()
	select {
	case <-f.logAgreed:
	case <-f.ctx.Done():
	case <-timer.C:
	case <-ctx.Done():
	}
	return i.Status(), nil
}

func (i *Instance) followLocked(t position.Term, address string) error {
	if err := i.raiseLocked(t); err != nil {
		return err
	}
	st := &i.state
	switch {
	case i.db == nil:
		return errNotStarted
	case address == "" || t.IsZero():
		return failf(stateInvalidParameter, "follow: a primary address and a term above 0.0 are needed")
	case st.role == backend.RolePrimary:
		return failf(backend.SQLStateNotInPrerequisiteState, "follow: the instance is primary of term %s", t)
	case st.role == backend.RoleReplica && st.primary != address:
		return failf(backend.SQLStateNotInPrerequisiteState, "follow: the instance follows %s in term %s", st.primary, t)
	case st.role == backend.RoleReplica && i.follower != nil:
		return nil
	}
	st.primary = address
	i.setRoleLocked(backend.RoleReplica)
	i.startFollowerLocked()
	return nil
}

// quiesce refuses new write transactions until limit has passed and waits for the open
// one to end. On failure, new ones are accepted again at once.
func (i *Instance) quiesce(ctx context.Context, limit time.Duration) error {
	i.mu.Lock()
	w := i.writer
	if w == nil {
		i.mu.Unlock()
		return failf(backend.SQLStateNotInPrerequisiteState, "quiesce: the instance is not primary")
	}
	i.state.quiescedUntil = time.Now().Add(limit)
	close(w.quiesced)
	w.quiesced = make(chan struct{})
	i.mu.Unlock()
	select {
	case w.lock <- struct{}{}:
		w.release()
		return nil
	case <-w.aborted:
		return failf(backend.SQLStateNotInPrerequisiteState, "quiesce: the instance is no longer primary")
	case <-ctx.Done():
	}
	i.mu.Lock()
	i.state.quiescedUntil = time.Time{}
	i.mu.Unlock()
	return ctx.Err()
}

// waitReplicated waits until a majority has received p in the current term. It doesn't
// wait for the zero position.
func (i *Instance) waitReplicated(ctx context.Context, p position.Position) error {
	if p.IsZero() {
		return nil
	}
	return i.await(ctx, func() (bool, error) {
		st := &i.state
		if st.role != backend.RolePrimary || st.term != p.Term {
			return false, failf(backend.SQLStateNotInPrerequisiteState,
				"position %s: the instance is %s in term %s", p, st.role, st.term)
		}
		if p.LSN > st.lastLSN() {
			return false, failf(backend.SQLStateNotInPrerequisiteState, "position %s is not in the log", p)
		}
		return st.confirmed >= p.LSN, nil
	})
}

// confirmPrimary waits until a majority has acknowledged the term since the call began.
func (i *Instance) confirmPrimary(ctx context.Context) (position.Term, error) {
	i.mu.Lock()
	term := i.state.term
	ping := i.beginPingLocked()
	i.mu.Unlock()
	err := i.await(ctx, func() (bool, error) {
		st := &i.state
		if st.role != backend.RolePrimary || st.term != term {
			return false, failf(backend.SQLStateNotInPrerequisiteState,
				"confirm primary: the instance is %s in term %s", st.role, st.term)
		}
		return st.pingConfirmed >= ping, nil
	})
	return term, err
}

// guard waits until the applied log contains wanted and, if maxAge is not negative,
// until the data contains everything that was committed maxAge before the call began.
func (i *Instance) guard(ctx context.Context, wanted position.Position, maxAge time.Duration) (readGuardResult, error) {
	began := time.Now()
	if err := i.await(ctx, func() (bool, error) { return i.positionAppliedLocked(wanted) }); err != nil {
		return readGuardResult{}, err
	}
	age := time.Duration(-1)
	if maxAge >= 0 {
		var err error
		if age, err = i.awaitFreshness(ctx, began, maxAge); err != nil {
			return readGuardResult{}, err
		}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	out := readGuardResult{Applied: i.state.positionAt(i.state.applied), AgeMS: age.Milliseconds()}
	if age < 0 {
		out.AgeMS = -1
	}
	return out, nil
}

// positionAppliedLocked reports whether wanted is applied. It returns an error if
// wanted can never be applied, because it is on a fork or after the end of a past term.
func (i *Instance) positionAppliedLocked(wanted position.Position) (bool, error) {
	st := &i.state
	if st.history.Satisfies(st.applied, wanted) {
		return true, nil
	}
	if !st.history.Contains(wanted) && wanted.Term.Compare(st.lastTerm()) <= 0 {
		return false, failf(backend.SQLStateNotInPrerequisiteState,
			"position %s is not in the history of this instance", wanted)
	}
	return false, nil
}

// awaitFreshness waits until the data is at most maxAge older than began and returns
// its age at began.
func (i *Instance) awaitFreshness(ctx context.Context, began time.Time, maxAge time.Duration) (time.Duration, error) {
	i.mu.Lock()
	primary := i.state.role == backend.RolePrimary
	if f := i.follower; f != nil && began.Sub(i.state.freshAsOf) > maxAge {
		f.requestPositionNow()
	}
	i.mu.Unlock()
	if primary {
		// A primary's data is current only if no other instance was promoted.
		_, err := i.confirmPrimary(ctx)
		return 0, err
	}
	var age time.Duration
	err := i.await(ctx, func() (bool, error) {
		age = max(0, began.Sub(i.state.freshAsOf))
		return age <= maxAge, nil
	})
	return age, err
}

// logReplicationFailure logs a failed step of a replication connection.
func (i *Instance) logReplicationFailure(step, peer string, err error) {
	i.log.Warn("replication", zap.String(logging.FieldStep, step), zap.String(logging.FieldPeer, peer), zap.Error(err))
}
