package promotion

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/catalog"
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
	state.history.required = state.sync > 0
	err := r.loadHistory(ctx, service, &state.history)
	if err == nil {
		plan, err = r.plan(ctx, service, state, snapshot, primary)
	}
	// Where replicas confirm commits, the old primary does not work any more.
	plan.planned = reason.isPlanned() && state.sync == 0
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
	case state.sync > 0:
		err = r.recordHandOver(ctx, service, state, plan.record(state))
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
	if r.reliesOnFence(state) {
		return
	}
	if orderErr != nil && !errors.Is(orderErr, ErrSuperseded) {
		state.expectOrder(plan.record(state), r.now().Add(lateOrderTime))
		return
	}
	record := plan.record(state)
	record.Answered = true
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
