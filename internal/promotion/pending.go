package promotion

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/bramleylever/bramleylever/internal/hosts"
	"github.com/bramleylever/bramleylever/internal/leadership"
	"github.com/bramleylever/bramleylever/internal/platform"
)

// unknownTarget stands for the target of an order that could not be read.
const unknownTarget = "unknown"

// expectOrder records that an order may still be carried out until some time.
func (s *serviceState) expectOrder(order leadership.Record, until time.Time) {
	s.pending, s.pendingUntil = order, until
}

// expectsOrder reports whether an earlier order may still be carried out.
func (s *serviceState) expectsOrder(now time.Time) bool {
	return s.pending.Target != "" && now.Before(s.pendingUntil)
}

// expectLostOrder makes this host wait for an order of which a restored store may have
// lost the record: a term was closed for it, and no instance leads a newer one yet.
func (r *Runner) expectLostOrder(service string, state *serviceState) {
	closed := r.options.Terms.Closed(service)
	_, proved := r.options.Terms.Leader(service)
	if closed == 0 || max(proved, r.options.LeaderEpoch(service)) > closed {
		return
	}
	generation, since := r.observeGeneration()
	until := since.Add(hosts.LeaseTTL + lateOrderTime)
	if generation > platform.FirstGeneration && r.now().Before(until) && until.After(state.pendingUntil) {
		state.expectOrder(leadership.Record{Target: unknownTarget}, until)
	}
}

// adoptOrder learns from the store whether an earlier duty holder has ordered a
// promotion that may still be carried out.
func (r *Runner) adoptOrder(ctx context.Context, service string, state *serviceState) error {
	item, _, err := r.options.Store.Get(ctx, leadership.RecordPrefix+service)
	if err != nil {
		return fmt.Errorf("read hand-over: %w", err)
	}
	if item.ModRevision == 0 {
		return nil
	}
	var record leadership.Record
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return fmt.Errorf("read hand-over: key %s: %w", item.Key, err)
	}
	r.options.Terms.MarkClosed(service, record.ClosedEpoch)
	if record.Ended {
		state.closedEpoch = max(state.closedEpoch, record.ClosedEpoch)
	}
	if until := r.lateUntil(service, record); record.Token != state.pending.Token && until.After(r.now()) {
		// It is not this host's own order.
		state.expectOrder(record, until)
	}
	return nil
}

// lateUntil returns until when the order of an earlier duty holder may be carried out; the zero
// time if it is done.
func (r *Runner) lateUntil(service string, record leadership.Record) time.Time {
	isSucceeded := r.options.Fenced() && r.options.LeaderEpoch(service) > record.ClosedEpoch
	switch {
	case record.Target == "" || isSucceeded || record.Answered && !r.options.Fenced():
		return time.Time{}
	case record.Answered:
		// It takes effect soon.
		return r.now().Add(promotionTimeout)
	}
	return r.now().Add(lateOrderTime)
}

// pendingFirst returns the instance that an earlier order names, as long as that order may
// be carried out: no other one may be ordered. It returns nil if there is no such order, or if
// the platform's fence is enough to refuse it.
func (r *Runner) pendingFirst(state *serviceState, reports []Candidate) (*Candidate, error) {
	if r.reliesOnFence(state) || !state.expectsOrder(r.now()) {
		return nil, nil
	}
	for i := range reports {
		if reports[i].Server.ID == state.pending.Target {
			return &reports[i], nil
		}
	}
	return nil, fmt.Errorf("an order for %s may still be carried out: %w", state.pending.Target, ErrNotReady)
}

// pendingOr returns the instance of an earlier order that may still be carried out, because its
// log was enough when it was chosen and no commit was reported as done since; else the target. A
// process that started again does not have that log: another instance has to take precedence by
// a higher token or, without a fence, wait.
func (r *Runner) pendingOr(state *serviceState, c *comparison, target *Candidate) (*Candidate, error) {
	pending, err := r.pendingFirst(state, c.reports)
	switch {
	case err != nil || pending == nil:
		return target, err
	case pending.Server.Started == state.pending.TargetStarted:
		return pending, nil
	case r.options.Fenced():
		return target, nil
	}
	return nil, fmt.Errorf("%s has started again, and an order for it may still be carried out: %w", pending.Server.ID, ErrNotReady)
}

// closingRecord returns the record that a term is closed. It keeps an order that may still be
// carried out.
func (r *Runner) closingRecord(state *serviceState, epoch uint64) leadership.Record {
	if !state.expectsOrder(r.now()) {
		return leadership.Record{ClosedEpoch: epoch, Token: state.token}
	}
	if state.pending.ClosedEpoch < epoch {
		// The target may lack commits of the terms since.
		state.pending.ClosedEpoch, state.pending.TargetStarted = epoch, logNotEnough
	}
	record := state.pending
	record.Ended = false
	return record
}

// logNotEnough stands for the start time of a process whose log is not enough any more.
const logNotEnough = -1
