package promotion

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/leadership"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/platform"
)

// recordSuspicion writes or withdraws this host's suspicion. The entry is bound to the
// host's lease, so that the suspicion of a host that is gone does not count. It has to be
// written again under each new lease.
func (r *Runner) recordSuspicion(ctx context.Context, service string, state *serviceState, suspected string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := &state.suspicion
	key.Key = suspicionPrefix + service + "/" + r.options.Host
	id, valid := r.options.Lease()
	var err error
	if suspected == "" && !key.MayBeLate() {
		err = key.Delete(ctx, r.options.Store)
	} else {
		if valid <= 0 {
			return
		}
		// One that names no instance withdraws an earlier one.
		var value []byte
		if value, err = json.Marshal(Suspicion{Host: r.options.Host, Domain: r.options.Domain, Server: suspected}); err != nil {
			return
		}
		err = key.Put(ctx, r.options.Store, value, id)
	}
	r.options.Log.Info("primary suspected", zap.String(logging.FieldDecision, "suspect_primary"),
		zap.String("service", service), zap.String(logging.FieldInstance, suspected),
		zap.String("suspected_before", state.reportedSuspect), zap.Error(err))
	if err == nil {
		state.reportedSuspect, state.reportedLease = suspected, id
	}
}

// holdsDuty reports whether this host holds a duty and its lease lasts long enough for
// an order. A duty ends with the generation of the store that granted it.
func (r *Runner) holdsDuty(state *serviceState) bool {
	id, valid := r.options.Lease()
	generation, _ := platform.SplitRevision(state.token)
	return state.token != 0 && generation == r.options.Store.Generation() && state.lease == id && valid > minLeaseValidity
}

// acquireDuty takes the duty for a service or confirms that this host still holds it.
func (r *Runner) acquireDuty(ctx context.Context, service string, state *serviceState) bool {
	if r.holdsDuty(state) {
		return true
	}
	id, valid := r.options.Lease()
	state.token, state.orderedInstance = 0, ""
	now := r.now()
	if valid <= minLeaseValidity || now.Before(state.acquireAfter) || !r.options.Terms.Settled() {
		return false
	}
	state.acquireAfter = now.Add(acquireInterval)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := platform.CreateOwned(ctx, r.options.Store, platform.Put{Key: dutyPrefix + service, Value: r.identity, Lease: id})
	if err != nil {
		if errors.Is(err, platform.ErrConflict) {
			hosts, _ := r.options.Hosts()
			state.acquireAfter = now.Add(acquireInterval + time.Duration(hosts)*conflictDelayPerHost)
		} else {
			state.doubtDuty(now)
			r.options.Log.Warn("could not take the promotion duty", zap.String(logging.FieldStep, "take duty"),
				zap.String("service", service), zap.Error(err))
		}
		return false
	}
	if !r.reliesOnFence(state) {
		if err := r.adoptOrder(ctx, service, state); err != nil {
			r.options.Log.Warn("could not learn of an earlier order", zap.String("service", service), zap.Error(err))
			state.expectOrder(leadership.Record{Target: unknownTarget}, r.now().Add(lateOrderTime))
		}
		r.expectLostOrder(service, state)
	}
	state.token, state.lease, state.history.read = revision, id, false
	r.options.Log.Info("promotion duty taken", zap.String(logging.FieldDecision, "take_duty"),
		zap.String("service", service), zap.Int64("token", revision))
	return true
}

// releaseDuty gives up the duty for a service. The next holder gets a higher token. If the
// store does not take the release, this host finds its key when it acts again, and takes
// the duty with a higher token.
func (r *Runner) releaseDuty(ctx context.Context, service string, state *serviceState) {
	token := state.token
	state.token, state.orderedInstance = 0, ""
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := dutyPrefix + service
	_, err := r.options.Store.Txn(ctx, platform.Txn{
		Compares: []platform.Compare{{Key: key, ModRevision: token}}, Deletes: []string{key},
	})
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		state.doubtDuty(r.now())
	}
	r.options.Log.Info("promotion duty released", zap.String(logging.FieldDecision, "give_up_duty"),
		zap.String("service", service), zap.Int64("token", token), zap.Error(err))
}

const (
	// dutyCheckInterval is how often a host looks for a duty that it may hold without
	// knowing, and lateWriteTime for how long after a write without an answer.
	dutyCheckInterval = time.Second
	lateWriteTime     = 8 * time.Second
)

// doubtDuty makes the host look for a while whether the store says that it holds the duty.
func (s *serviceState) doubtDuty(now time.Time) {
	s.checkDutyAt, s.checkDutyUntil = now.Add(dutyCheckInterval), now.Add(lateWriteTime+dutyCheckInterval)
}

// checkDuty gives up a duty that this host holds without knowing: the creation of its key
// was carried out late, or its deletion not at all. Nobody else could take it.
func (r *Runner) checkDuty(ctx context.Context, service string, state *serviceState) {
	now := r.now()
	if state.checkDutyAt.IsZero() || now.Before(state.checkDutyAt) {
		return
	}
	state.checkDutyAt = now.Add(dutyCheckInterval)
	if !now.Before(state.checkDutyUntil) {
		state.checkDutyAt = time.Time{}
	}
	if state.token != 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := dutyPrefix + service
	item, _, err := r.options.Store.Get(ctx, key)
	if err == nil && bytes.Equal(item.Value, r.identity) {
		_, err = r.options.Store.Txn(ctx, platform.Txn{
			Compares: []platform.Compare{{Key: key, ModRevision: item.ModRevision}}, Deletes: []string{key},
		})
		r.options.Log.Info("promotion duty released that was held without knowing", zap.String(logging.FieldDecision, "give_up_duty"),
			zap.String("service", service), zap.Int64("token", item.ModRevision), zap.Error(err))
	}
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		state.doubtDuty(now)
	}
}

// suspicionsHaveQuorum reports whether enough hosts cannot reach the primary.
func (r *Runner) suspicionsHaveQuorum(ctx context.Context, service string, state *serviceState, primary *catalog.Server) bool {
	now := r.now()
	if now.Before(state.readAfter) {
		return false
	}
	state.readAfter = now.Add(suspicionReadInterval)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	items, _, err := r.options.Store.List(ctx, suspicionPrefix+service+"/")
	if err != nil {
		r.options.Log.Warn("could not read the suspicions", zap.String(logging.FieldStep, "read suspicions"), zap.Error(err))
		return false
	}
	var suspicions []Suspicion
	for _, item := range items {
		var s Suspicion
		if err := json.Unmarshal(item.Value, &s); err != nil {
			r.options.Log.Warn("could not decode a suspicion; ignoring it", zap.String("key", item.Key), zap.Error(err))
			continue
		}
		suspicions = append(suspicions, s)
	}
	hosts, domains := r.options.Hosts()
	return hasQuorum(suspicions, primary.ID, hosts, domains)
}
