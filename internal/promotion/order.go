package promotion

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/leadership"
	"github.com/bramleylever/bramleylever/internal/logging"
)

// promotionPlan is what a promotion is based on.
type promotionPlan struct {
	target *Candidate
	// epoch is the newest term that an instance of the service knows.
	epoch uint64
	// planned says that the old primary still works.
	planned bool
}

// promote chooses an instance, ends the use of the old primary and orders the
// promotion.
func (r *Runner) promote(ctx context.Context, service string, state *serviceState, snapshot *catalog.Snapshot, primary *catalog.Server, reason Reason) {
	started := r.now()
	var plan promotionPlan
	state.history.required = syncReplicas(snapshot, service) > 0
	err := r.loadHistory(ctx, service, &state.history)
	if err == nil {
		plan, err = r.plan(ctx, service, state, snapshot, primary)
	}
	plan.planned = reason.isPlanned()
	switch {
	case err != nil:
	case plan.target == nil:
		// An instance leads a newer term already.
		return
	case state.orderedInstance != "" && state.orderedInstance != plan.target.Server.ID:
		// The earlier order may still be carried out; only an order with a higher
		// token takes precedence over it.
		r.releaseDuty(ctx, service, state)
		return
	case !r.options.Fenced():
		err = r.handOver(ctx, service, state, primary, plan)
	}
	if err == nil {
		err = r.recordBeginning(ctx, service, state, plan)
	}
	if err == nil && !r.holdsDuty(state) {
		err = fmt.Errorf("order promotion: the lease of the duty ends: %w", ErrSuperseded)
	}
	if err == nil {
		r.orders.Inc(1)
		state.orderedInstance, state.retryAt = plan.target.Server.ID, r.now().Add(promotionTimeout)
		// The candidates must not go on before the order is known not to be carried out.
		state.resumeAfter = r.now().Add(lateOrderTime)
		err = r.order(ctx, service, plan.target.Server.ID, state.token)
		r.recordAnswer(ctx, service, state, plan, err)
	}
	r.logPromotion(service, state, primary, plan, reason, r.now().Sub(started), err)
	switch {
	case err == nil:
		// A promotion ends the pauses.
		state.promotedAt, state.paused = r.now(), nil
		r.recordOrdered(ctx, service, state, &plan)
	case errors.Is(err, ErrSuperseded):
		r.releaseDuty(ctx, service, state)
	default:
		// The order can be repeated with the same token, because it is idempotent.
		state.retryAt = r.now().Add(orderRetryDelay)
	}
}

func (r *Runner) logPromotion(service string, state *serviceState, primary *catalog.Server, plan promotionPlan, reason Reason, took time.Duration, err error) {
	fields := []zap.Field{
		zap.String(logging.FieldDecision, "promote"), zap.String("service", service),
		zap.String(logging.FieldReason, string(reason)), zap.Int64("token", state.token),
		zap.Duration("took", took), zap.Error(err),
	}
	if primary != nil {
		fields = append(fields, zap.String("old_primary", primary.ID))
	}
	if plan.target != nil {
		fields = append(fields, zap.String(logging.FieldInstance, plan.target.Server.ID), zap.Stringer("received", plan.target.Received),
			zap.Uint64(logging.FieldTerm, plan.epoch))
	}
	r.options.Log.Info("promotion ordered", fields...)
}

// recordAnswer records that the order was answered, so that the next duty holder needs
// not expect it to be carried out late.
func (r *Runner) recordAnswer(ctx context.Context, service string, state *serviceState, plan promotionPlan, orderErr error) {
	if r.options.Fenced() {
		return
	}
	if orderErr != nil && !errors.Is(orderErr, ErrSuperseded) {
		state.expectOrder(plan.target.Server.ID, state.token, r.now())
		return
	}
	record := leadership.Record{ClosedEpoch: plan.epoch, Target: plan.target.Server.ID, Token: state.token, Answered: true}
	if err := r.recordHandOver(ctx, service, state, record); err != nil {
		r.options.Log.Warn("could not record that the order was answered", zap.String("service", service), zap.Error(err))
	}
}

// orderTimeout bounds the wait for the reply to an order.
const orderTimeout = 400 * time.Millisecond

func (r *Runner) order(ctx context.Context, service, id string, token int64) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return r.options.Promoter.Promote(ctx, service, id, r.options.Host, token)
}

// mayBePaused reports whether the pause of an instance may be in force still. A restart ends
// it.
func (s *serviceState) mayBePaused(server *catalog.Server, snapshot *catalog.Snapshot) bool {
	if current := snapshot.Servers[server.ID]; current != nil {
		return current.Started == server.Started
	}
	return slices.ContainsFunc(s.members.stored, func(m Member) bool { return m.isProcess(server) })
}

// resumeRetryDelay is how long a candidate that could not be resumed is left alone.
const resumeRetryDelay = time.Second

// resumePaused resumes the candidates whose replication was paused for a promotion that was
// not ordered, or whose order is not carried out any more. It takes the duty first, because
// another holder may have paused them for its own comparison.
func (r *Runner) resumePaused(ctx context.Context, service string, state *serviceState, snapshot *catalog.Snapshot) {
	if len(state.paused) == 0 || r.now().Before(state.resumeAfter) {
		return
	}
	if !r.holdsDuty(state) && !r.acquireDuty(ctx, service, state) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	var left []*catalog.Server
	for _, server := range state.paused {
		if !state.mayBePaused(server, snapshot) {
			continue
		}
		if err := r.options.Inspector.Resume(ctx, server); err != nil {
			r.options.Log.Warn("could not resume replication of a candidate", zap.String("service", service),
				zap.String(logging.FieldInstance, server.ID), zap.Error(err))
			left = append(left, server)
		}
	}
	state.paused = left
	if len(left) > 0 {
		state.resumeAfter = r.now().Add(resumeRetryDelay)
	}
}
