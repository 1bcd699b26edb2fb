package promotion

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/leadership"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/internal/recovery"
	"github.com/bramleylever/bramleylever/position"
)

// Terms ends the use of leaders by all hosts.
type Terms interface {
	// Closed returns the newest closed term of a service; 0 if none is closed.
	Closed(service string) uint64
	// Leader returns the instance that has proved to lead the newest term of a service;
	// the term is 0 if none is known.
	Leader(service string) (instance string, epoch uint64)
	// MarkClosed records that a term has ended, for a leader that has lost its role.
	MarkClosed(service string, epoch uint64)
	// CloseTerm returns nil once no host uses a leader of the term or an earlier one.
	CloseTerm(ctx context.Context, service string, epoch uint64) error
	// Demote makes an instance a replica if it leads a term below the given one.
	Demote(ctx context.Context, serverID string, epoch uint64) error
	// Settled reports whether no duty is in use that an earlier generation of the store
	// has granted.
	Settled() bool
}

const (
	// handOverTimeout bounds the wait until no host uses the old primary any more.
	handOverTimeout = 20 * time.Second
	// catchUpTimeout is how long a promotion waits for the target to receive the log
	// of a primary that was demoted for it, and catchUpInterval how often it checks.
	catchUpTimeout  = 400 * time.Millisecond
	catchUpInterval = 15 * time.Millisecond
	// lateOrderTime is how long an order without a reply may still be carried out. The platform
	// may take 12 s to begin.
	lateOrderTime = 13 * time.Second
)

// currentPrimary returns the primary of a service, or nil if there is none. Once a term
// was closed it is the proved leader of a newer one: an old primary that comes back
// registers itself as the primary again.
func (r *Runner) currentPrimary(snapshot *catalog.Snapshot, service string) *catalog.Server {
	closed := r.options.Terms.Closed(service)
	id, epoch := r.options.Terms.Leader(service)
	if leader := snapshot.Servers[id]; closed > 0 && epoch > closed && leader != nil {
		return leader
	}
	return snapshot.Primary(service)
}

// formerLeaderDelay is how long a proved leader registers itself as a replica before it does not
// count as the primary. Its entry may be older than the proof.
const formerLeaderDelay = 5 * time.Second

// workingPrimary returns the primary of a service, but not a proved leader that has lost its role
// since, to an instance that no host has found.
func (r *Runner) workingPrimary(snapshot *catalog.Snapshot, service string, state *serviceState) *catalog.Server {
	primary := r.currentPrimary(snapshot, service)
	now := r.now()
	switch {
	case primary == nil || primary.Role == catalog.Primary:
		state.replicaSince = time.Time{}
	case state.replicaSince.IsZero():
		state.replicaSince = now
	case now.Sub(state.replicaSince) >= formerLeaderDelay && !r.options.FindLeader(service):
		return nil
	}
	return primary
}

// reliesOnFence reports whether a promotion is ordered while hosts may still use the old
// primary: the platform refuses late orders and takes the role from the old primary. That is not
// enough where replicas confirm commits: they would until then.
func (r *Runner) reliesOnFence(state *serviceState) bool {
	return r.options.Fenced() && state.sync == 0
}

// handOver makes sure that no host uses the old primary before another instance is
// promoted. The promotion must follow while the duty is held.
func (r *Runner) handOver(ctx context.Context, service string, state *serviceState, primary *catalog.Server, plan promotionPlan) error {
	plan.epoch = max(plan.epoch, r.options.LeaderEpoch(service))
	if err := r.recordHandOver(ctx, service, state, plan.record(state)); err != nil {
		return err
	}
	epoch := plan.epoch
	if state.closedEpoch >= epoch {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if primary != nil && plan.planned {
		if err := r.demote(ctx, service, primary, epoch); err == nil {
			r.waitCaughtUp(ctx, primary, plan.target)
			state.closedEpoch = epoch
			return nil
		}
	}
	results := make(chan error, 2)
	start := func(call func() error) { results <- recovery.Call("hand over", call) }
	calls := 1
	go start(func() error { return r.options.Terms.CloseTerm(ctx, service, epoch) })
	if primary != nil && !plan.planned {
		calls++
		go start(func() error { return r.demote(ctx, service, primary, epoch) })
	}
	var errs []error
	for range calls {
		err := <-results
		if err == nil {
			state.closedEpoch = epoch
			return nil
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// record returns the record of the plan's order, which is written before the order is sent, so that
// the next duty holder expects that it may be carried out late.
func (p *promotionPlan) record(state *serviceState) leadership.Record {
	server := p.target.Server
	return leadership.Record{
		ClosedEpoch: p.epoch, Ended: state.sync > 0 && state.closedEpoch >= p.epoch,
		Target: server.ID, TargetStarted: server.Started, Token: state.token,
	}
}

// demote takes the lead from the old primary. Afterwards nothing can be written there,
// whichever host tries.
func (r *Runner) demote(ctx context.Context, service string, primary *catalog.Server, epoch uint64) error {
	err := r.options.Terms.Demote(ctx, primary.ID, epoch+1)
	r.options.Log.Info("old primary demoted", zap.String(logging.FieldDecision, "demote"), zap.String("service", service),
		zap.String(logging.FieldInstance, primary.ID), zap.Uint64(logging.FieldTerm, epoch), zap.Error(err))
	if err == nil {
		r.options.Terms.MarkClosed(service, epoch)
	}
	return err
}

// waitCaughtUp waits until the target has received the log of the primary, so that a planned
// change loses no commit. Writes that were under way may still be added to the log.
func (r *Runner) waitCaughtUp(ctx context.Context, primary *catalog.Server, target *Candidate) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	var end position.Position
	for ctx.Err() == nil {
		if report, err := r.options.Inspector.Status(ctx, primary); err == nil {
			end = report.Received
		}
		report, err := r.options.Inspector.Status(ctx, target.Server)
		if err == nil && !end.IsZero() && report.Received.Compare(end) >= 0 {
			target.Received = report.Received
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(catchUpInterval):
		}
	}
	r.options.Log.Warn("target of the promotion has not caught up", zap.String(logging.FieldStep, "catch up"),
		zap.String(logging.FieldInstance, target.Server.ID), zap.Stringer("received", target.Received), zap.Stringer("expected", end))
}

// recordHandOver writes the record of a hand-over, if this host still holds the duty.
func (r *Runner) recordHandOver(ctx context.Context, service string, state *serviceState, record leadership.Record) error {
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = r.options.Store.Txn(ctx, platform.Txn{
		Compares: []platform.Compare{{Key: dutyPrefix + service, ModRevision: state.token}},
		Puts:     []platform.Put{{Key: leadership.RecordPrefix + service, Value: value}},
	})
	if errors.Is(err, platform.ErrConflict) {
		return fmt.Errorf("record hand-over: the duty was lost: %w", ErrSuperseded)
	}
	if err != nil {
		return fmt.Errorf("record hand-over: %w", err)
	}
	return nil
}
