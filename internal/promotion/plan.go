package promotion

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/recovery"
)

// errTermBegun says that an instance leads a newer term than the closed ones already.
var errTermBegun = errors.New("a newer term has begun")

// plan asks the candidates for their received positions and chooses the next primary. The
// target is nil if an instance leads a newer term than the closed ones already.
func (r *Runner) plan(ctx context.Context, service string, state *serviceState, snapshot *catalog.Snapshot, primary *catalog.Server) (promotionPlan, error) {
	choose := r.planAsynchronous
	if syncReplicas(snapshot, service) > 0 {
		choose = r.planConfirmed
	}
	plan, err := choose(ctx, service, state, snapshot, primary)
	if errors.Is(err, errTermBegun) {
		return promotionPlan{}, nil
	}
	return plan, err
}

// planAsynchronous chooses the most advanced of the candidates that answer, for a service
// whose replicas do not confirm commits.
func (r *Runner) planAsynchronous(ctx context.Context, service string, state *serviceState, snapshot *catalog.Snapshot, primary *catalog.Server) (promotionPlan, error) {
	all := eligibleCandidates(snapshot, service, primary)
	reports := r.queryCandidates(ctx, all, r.options.Inspector.Status)
	plan, err := r.newPlan(service, state, reports)
	if err != nil {
		return plan, err
	}
	target, err := r.pendingFirst(state, reports)
	if err == nil && target == nil {
		target = mostAdvanced(reports, state.history.History)
	}
	if err == nil && target == nil {
		err = fmt.Errorf("%d of %d replicas answered: %w", len(reports), len(all), ErrNotReady)
	}
	if err == nil {
		err = r.checkNewestTerm(service, state, target)
	}
	if err == nil {
		plan.target = target
	}
	return plan, err
}

// checkReports returns a plan without a target, and an error unless the reports suffice.
func (r *Runner) checkReports(service string, state *serviceState, c *comparison) (promotionPlan, error) {
	plan, err := r.newPlan(service, state, c.reports)
	if err == nil {
		err = c.check()
	}
	return plan, err
}

// newPlan returns a plan without a target, based on the terms that the reports name.
func (r *Runner) newPlan(service string, state *serviceState, reports []Candidate) (promotionPlan, error) {
	closed := r.options.Terms.Closed(service)
	for i := range reports {
		if !r.options.Fenced() && reports[i].Primary && reports[i].Epoch > closed {
			return promotionPlan{}, errTermBegun
		}
	}
	plan := promotionPlan{epoch: max(newestEpoch(reports), r.options.LeaderEpoch(service), closed)}
	state.history.observe(plan.epoch)
	return plan, nil
}

// servers returns the instances that reported.
func servers(reports []Candidate) []*catalog.Server {
	out := make([]*catalog.Server, len(reports))
	for i := range reports {
		out[i] = reports[i].Server
	}
	return out
}

// checkBeginning returns an error while the promotion of the target has to wait for a log
// with all that the newest term began with: whatever was acknowledged before that term is
// certain to be in such a log only. Such a log is not lost while an instance that leads
// answers, or while one that does not answer is registered.
func (r *Runner) checkBeginning(service string, state *serviceState, c *comparison, target *Candidate) error {
	h := &state.history
	if h.History.Reaches(target.Received) {
		return nil
	}
	if !c.expired || leaderReport(c.reports, h.begun().Epoch) != nil || len(c.registeredMissing()) > 0 {
		return fmt.Errorf("the log of %s, which ends at %s, lacks the beginning of term %s: %w",
			target.Server.ID, target.Received, h.begun(), ErrNotReady)
	}
	r.incomplete.Inc(1)
	r.options.Log.Error("promotion gives up commits: no instance with the beginning of the newest term has answered",
		zap.String(logging.FieldDecision, "give_up_term"), zap.String("service", service), zap.Stringer(logging.FieldTerm, h.begun()),
		zap.String(logging.FieldInstance, target.Server.ID), zap.Stringer("received", target.Received))
	return nil
}

// logGivenUp logs the members whose logs a promotion does without although they may hold
// acknowledged commits.
func (r *Runner) logGivenUp(service string, c *comparison, target *Candidate) {
	members := c.givenUp()
	if len(members) == 0 {
		return
	}
	r.incomplete.Inc(1)
	r.options.Log.Error("promotion gives up the logs of members that are not registered and do not answer",
		zap.String(logging.FieldDecision, "give_up_members"), zap.String("service", service), zap.Any("members", members),
		zap.String(logging.FieldInstance, target.Server.ID), zap.Stringer("received", target.Received))
}

// inspectTimeout bounds the wait for the replies of the candidates.
const inspectTimeout = 350 * time.Millisecond

// inspect asks one instance for its report.
type inspect func(ctx context.Context, server *catalog.Server) (Candidate, error)

// queryCandidates asks the candidates in parallel and returns those that replied.
func (r *Runner) queryCandidates(ctx context.Context, servers []*catalog.Server, ask inspect) []Candidate {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	var mu sync.Mutex
	var reports []Candidate
	var group sync.WaitGroup
	for _, server := range servers {
		group.Go(func() {
			defer recovery.Contain("inspect candidate", nil)
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
	slices.SortFunc(reports, func(a, b Candidate) int { return strings.Compare(a.Server.ID, b.Server.ID) })
	return reports
}
