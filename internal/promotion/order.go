package promotion

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/logging"
)

// promote chooses an instance and orders its promotion.
func (r *Runner) promote(ctx context.Context, service string, state *serviceState, snapshot *catalog.Snapshot, primary *catalog.Server, reason Reason) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	started := r.now()
	target, err := r.chooseTarget(ctx, service, snapshot, primary)
	if err == nil && state.orderedInstance != "" && state.orderedInstance != target.Server.ID {
		// The earlier order may still be carried out; only an order with a higher
		// token takes precedence over it.
		r.releaseDuty(ctx, service, state)
		return
	}
	if err == nil {
		r.orders.Inc(1)
		state.orderedInstance, state.retryAt = target.Server.ID, r.now().Add(promotionTimeout)
		err = r.order(ctx, service, target.Server.ID, state.token)
	}
	fields := []zap.Field{
		zap.String(logging.FieldDecision, "promote"), zap.String("service", service),
		zap.String(logging.FieldReason, string(reason)), zap.Int64("token", state.token),
		zap.Duration("took", r.now().Sub(started)), zap.Error(err),
	}
	if primary != nil {
		fields = append(fields, zap.String("old_primary", primary.ID))
	}
	if target != nil {
		fields = append(fields, zap.String(logging.FieldInstance, target.Server.ID), zap.Stringer("received", target.Received))
	}
	r.options.Log.Info("promotion ordered", fields...)
	switch {
	case err == nil:
		state.promotedAt = r.now()
	case errors.Is(err, ErrSuperseded):
		r.releaseDuty(ctx, service, state)
	default:
		// The order can be repeated with the same token, because it is idempotent.
		state.retryAt = r.now().Add(orderRetryDelay)
	}
}

// orderTimeout bounds the wait for the reply to an order.
const orderTimeout = 400 * time.Millisecond

func (r *Runner) order(ctx context.Context, service, id string, token int64) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return r.options.Promoter.Promote(ctx, service, id, r.options.Host, token)
}

// chooseTarget asks all candidates for their received position and returns the most
// advanced one. If replicas confirm commits, it pauses the candidates, and resumes them if
// it finds no target.
func (r *Runner) chooseTarget(ctx context.Context, service string, snapshot *catalog.Snapshot, primary *catalog.Server) (*Candidate, error) {
	sync := 0
	if s := snapshot.Service(service); s != nil {
		sync = s.SyncReplicas
	}
	all := eligibleCandidates(snapshot, service, primary)
	reports := r.queryCandidates(ctx, all, sync > 0)
	replicas := len(snapshot.Groups[service]) - 1
	if target := mostAdvanced(reports); target != nil && coversAcknowledged(len(reports), replicas, sync) {
		return target, nil
	}
	if sync > 0 {
		for _, report := range reports {
			if err := r.options.Inspector.Resume(ctx, report.Server); err != nil {
				r.options.Log.Warn("could not resume replication of a candidate", zap.String(logging.FieldInstance, report.Server.ID), zap.Error(err))
			}
		}
	}
	return nil, fmt.Errorf("%d of %d replicas answered: %w", len(reports), replicas, ErrNotReady)
}

// inspectTimeout bounds the wait for the replies of the candidates.
const inspectTimeout = 350 * time.Millisecond

// queryCandidates asks the candidates in parallel and returns those that replied.
func (r *Runner) queryCandidates(ctx context.Context, servers []*catalog.Server, pause bool) []Candidate {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	ask := r.options.Inspector.Status
	if pause {
		ask = r.options.Inspector.Pause
	}
	var mu sync.Mutex
	var reports []Candidate
	var group sync.WaitGroup
	for _, server := range servers {
		group.Go(func() {
			report, err := ask(ctx, server)
			if err != nil {
				r.options.Log.Info("candidate did not report its position", zap.String(logging.FieldStep, "inspect"),
					zap.String(logging.FieldInstance, server.ID), zap.Error(err))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, report)
		})
	}
	group.Wait()
	return reports
}
