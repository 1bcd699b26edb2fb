package promotion

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/position"
)

const (
	// historyPrefix is the key prefix of the term histories of the services; the name of
	// the service follows. The value is a termRecord in JSON.
	historyPrefix = "bramleylever/promotion/history/"
	// maxHistoryTerms is the number of terms that a stored history keeps.
	maxHistoryTerms = 16
	// maxHistoryFailures is how often in a row the history may not be read, or not be
	// written, before a promotion goes on without it.
	maxHistoryFailures = 3
	// newestTermWait is how long a promotion waits for an instance whose log is part of
	// the newest term, if only others answer.
	newestTermWait = 10 * time.Second
)

// termRecord is what the store keeps of the terms of a service.
type termRecord struct {
	History position.History `json:"history"`
	// Next is the beginning of a term whose promotion was to be ordered, until it is
	// known whether it was carried out.
	Next *beginning `json:"next,omitempty"`
}

// beginning is the end of the log with which a term begins.
type beginning struct {
	Term position.Term     `json:"term"`
	End  position.Position `json:"end"`
}

// newest returns the newest term that the record names; the zero term without one.
func (r *termRecord) newest() position.Term {
	if r.Next != nil {
		return r.Next.Term
	}
	return r.begun()
}

// begun returns the newest term that is known to have begun; the zero term without one.
func (r *termRecord) begun() position.Term {
	if len(r.History) == 0 {
		return position.Term{}
	}
	return r.History[len(r.History)-1].Term
}

// isBehind reports whether another record names a newer term, or knows that the same term
// has begun.
func (r *termRecord) isBehind(other termRecord) bool {
	c := r.newest().Compare(other.newest())
	return c < 0 || c == 0 && r.Next != nil && other.Next == nil
}

// begin adds the next term to the history, because it has begun.
func (r *termRecord) begin() {
	if r.Next == nil {
		return
	}
	next := r.History.Extend(r.Next.Term, r.Next.End)
	r.History, r.Next = next[max(0, len(next)-maxHistoryTerms):], nil
}

// termHistory is what the holder of a duty knows of the terms of a service.
type termHistory struct {
	termRecord
	// read says that the stored history was read with this duty, and failures is how
	// often in a row that, or a write, has failed.
	read     bool
	failures int
	// generation is that of the store that was last compared with this host's knowledge.
	generation platform.Generation
	// required says that a promotion does not go on without the stored history.
	required bool
	// unconfirmed is a promotion that was ordered and whose target is not known to lead yet.
	unconfirmed *promotionPlan
	confirmBy   time.Time
}

// observe takes note that a term has begun. A term that was ordered and of which nobody
// knows has left no log behind.
func (h *termHistory) observe(epoch uint64) {
	if h.Next != nil && h.Next.Term.Epoch <= epoch {
		h.begin()
	}
}

// loadHistory reads the stored history once for each duty. A store that was restored from
// an older copy may have less than this host remembers; the newer one counts.
func (r *Runner) loadHistory(ctx context.Context, service string, h *termHistory) error {
	if h.read {
		return nil
	}
	stored, _, err := r.readHistory(ctx, service)
	if err != nil {
		return r.historyFailed(service, h, fmt.Errorf("read term history: %w", err))
	}
	h.read, h.failures = true, 0
	if h.isBehind(stored) {
		h.termRecord = stored
	}
	return nil
}

// readHistory returns the stored record and its revision; without one, both are zero.
func (r *Runner) readHistory(ctx context.Context, service string) (termRecord, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, _, err := r.options.Store.Get(ctx, historyPrefix+service)
	if err != nil || item.ModRevision == 0 {
		return termRecord{}, 0, err
	}
	var stored termRecord
	if err = json.Unmarshal(item.Value, &stored); err == nil {
		err = stored.History.Validate()
	}
	if err != nil {
		// It stays unreadable until it is written again.
		r.options.Log.Error("could not decode a term history; ignoring it", zap.String("key", item.Key), zap.Error(err))
		return termRecord{}, item.ModRevision, nil
	}
	return stored, item.ModRevision, nil
}

// restoreHistory writes what this host knows of the terms to a store that was restored from
// an older copy, if the copy has less. Duties are granted again only some time after that.
func (r *Runner) restoreHistory(ctx context.Context, service string, h *termHistory) {
	generation := r.options.Store.Generation()
	if generation == h.generation {
		return
	}
	if h.generation == 0 || h.newest().IsZero() {
		h.generation = generation
		return
	}
	stored, revision, err := r.readHistory(ctx, service)
	if err == nil && stored.isBehind(h.termRecord) {
		var value []byte
		if value, err = json.Marshal(h.termRecord); err == nil {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			key := historyPrefix + service
			_, err = r.options.Store.Txn(ctx, platform.Txn{
				Compares: []platform.Compare{{Key: key, ModRevision: revision}}, Puts: []platform.Put{{Key: key, Value: value}},
			})
		}
		r.options.Log.Info("term history recorded again: the restored store lacks it", zap.String(logging.FieldDecision, "record_term"),
			zap.String("service", service), zap.Stringer(logging.FieldTerm, h.newest()), zap.Error(err))
	}
	if err == nil {
		h.generation = generation
	}
}

// historyFailed counts a failure of the store. It returns the error, or nil if the
// promotion goes on: a service without a primary is worse than a beginning that the next
// duty holder does not know, unless a later promotion could lose commits by that.
func (r *Runner) historyFailed(service string, h *termHistory, err error) error {
	h.failures++
	if h.required || h.failures < maxHistoryFailures {
		return err
	}
	r.options.Log.Warn("promotion goes on without the stored term history", zap.String("service", service), zap.Error(err))
	return nil
}

// recordBeginning records the log with which the next term begins, before its promotion is
// ordered. A planned promotion is recorded once the new primary leads, because the old one
// still sends entries to it.
func (r *Runner) recordBeginning(ctx context.Context, service string, state *serviceState, plan promotionPlan) error {
	if plan.planned {
		return nil
	}
	next := state.history.termRecord
	end := plan.target.Received
	next.Next = &beginning{Term: position.Term{Epoch: max(plan.epoch, end.Term.Epoch) + 1}, End: end}
	return r.writeHistory(ctx, service, state, next)
}

// recordOrdered records that the order of a promotion was answered: the recorded term
// begins. Where replicas confirm commits, it counts only once the target leads: the target may
// fail before that. If this cannot be stored, the next duty holder finds it out from the term that
// hosts and instances know.
func (r *Runner) recordOrdered(ctx context.Context, service string, state *serviceState, plan *promotionPlan) {
	if plan.planned || state.sync > 0 {
		state.history.unconfirmed, state.history.confirmBy = plan, r.now().Add(promotionTimeout)
		return
	}
	next := state.history.termRecord
	next.begin()
	if err := r.writeHistory(ctx, service, state, next); err != nil {
		r.options.Log.Warn("could not record that a term begins", zap.String("service", service), zap.Error(err))
	}
}

// writeHistory records what is known of the terms if this host still holds the duty.
func (r *Runner) writeHistory(ctx context.Context, service string, state *serviceState, next termRecord) error {
	h := &state.history
	if reflect.DeepEqual(next, h.termRecord) {
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode term history: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = r.options.Store.Txn(ctx, platform.Txn{
		Compares: []platform.Compare{{Key: dutyPrefix + service, ModRevision: state.token}},
		Puts:     []platform.Put{{Key: historyPrefix + service, Value: value}},
	})
	if errors.Is(err, platform.ErrConflict) {
		return fmt.Errorf("record term history: the duty was lost: %w", ErrSuperseded)
	}
	if err != nil {
		if err = r.historyFailed(service, h, fmt.Errorf("record term history: %w", err)); err != nil {
			return err
		}
	}
	h.termRecord, h.failures = next, 0
	r.options.Log.Info("term history recorded", zap.String(logging.FieldDecision, "record_term"), zap.String("service", service),
		zap.Stringer(logging.FieldTerm, next.newest()), zap.Any("next", next.Next), zap.Any("history", next.History))
	return nil
}

// confirmBeginning asks the target of a promotion whether it leads, and then records the
// beginning of its term: what was recorded before the order, or else what it has.
func (r *Runner) confirmBeginning(ctx context.Context, service string, state *serviceState) {
	plan := state.history.unconfirmed
	if plan == nil {
		return
	}
	if !r.now().Before(state.history.confirmBy) || !r.holdsDuty(state) {
		state.history.unconfirmed = nil
		return
	}
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	report, err := r.options.Inspector.Status(ctx, plan.target.Server)
	if err != nil || !report.Primary || report.Epoch <= plan.epoch {
		return
	}
	next := state.history.termRecord
	if state.sync == 0 || next.Next == nil || next.Next.Term.Epoch != report.Epoch {
		next.Next = &beginning{
			Term: position.Term{Epoch: report.Epoch},
			End:  position.Position{Term: plan.target.Received.Term, LSN: report.Received.LSN},
		}
	}
	next.begin()
	if r.writeHistory(ctx, service, state, next) == nil {
		state.history.unconfirmed = nil
	}
}

// checkNewestTerm returns an error while the promotion of the target has to wait for an
// instance whose log is part of the newest term. The wait is counted from when this host
// found the reason for the promotion, whoever holds the duty.
func (r *Runner) checkNewestTerm(service string, state *serviceState, target *Candidate) error {
	h := &state.history
	if h.History.Includes(target.Received) {
		return nil
	}
	if r.now().Sub(state.reasonSince) < newestTermWait {
		return fmt.Errorf("the log of %s, which ends at %s, was left by term %s: %w",
			target.Server.ID, target.Received, h.newest(), ErrNotReady)
	}
	r.options.Log.Error("promotion gives up the newest term: no instance with its log has answered",
		zap.String(logging.FieldDecision, "give_up_term"), zap.String("service", service), zap.Stringer(logging.FieldTerm, h.newest()),
		zap.String(logging.FieldInstance, target.Server.ID), zap.Stringer("received", target.Received))
	return nil
}
