package promotion

import (
	"context"
	"encoding/json"
	"errors"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/platform"
)

// report records or withdraws the host's suspicion. It hangs on the host's
// lease, so that a host that is gone counts no longer.
func (r *Runner) report(ctx context.Context, service string, g *group, suspected string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := suspicionPrefix + service + "/" + r.options.Host
	txn := platform.Txn{Deletes: []string{key}}
	if suspected != "" {
		id, valid := r.options.Lease()
		value, err := json.Marshal(Suspicion{Host: r.options.Host, Domain: r.options.Domain, Server: suspected})
		if err != nil || valid <= 0 {
			return
		}
		txn = platform.Txn{Puts: []platform.Put{{Key: key, Value: value, Lease: id}}}
	}
	_, err := r.options.Store.Txn(ctx, txn)
	r.options.Log.Info("primary suspected", zap.String(logging.FieldDecision, "suspect_primary"),
		zap.String("service", service), zap.String(logging.FieldInstance, suspected),
		zap.String("suspected_before", g.suspected), zap.Error(err))
	if err == nil {
		g.suspected = suspected
	}
}

// acquire takes the duty for a service or confirms that this host holds it.
func (r *Runner) acquire(ctx context.Context, service string, g *group) bool {
	id, valid := r.options.Lease()
	if g.token != 0 && g.lease == id && valid > minLease {
		return true
	}
	g.token, g.ordered = 0, ""
	now := r.now()
	if valid <= minLease || now.Before(g.acquireAfter) {
		return false
	}
	g.acquireAfter = now.Add(acquirePause)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := dutyPrefix + service
	revision, err := r.options.Store.Txn(ctx, platform.Txn{
		Compares: []platform.Compare{{Key: key}},
		Puts:     []platform.Put{{Key: key, Value: []byte(r.options.Host), Lease: id}},
	})
	if err != nil {
		if !errors.Is(err, platform.ErrConflict) {
			r.options.Log.Warn("promotion duty not taken", zap.String(logging.FieldStep, "take duty"),
				zap.String("service", service), zap.Error(err))
		}
		return false
	}
	g.token, g.lease = revision, id
	r.options.Log.Info("promotion duty taken", zap.String(logging.FieldDecision, "take_duty"),
		zap.String("service", service), zap.Int64("token", revision))
	return true
}

// release gives the duty up, so that its next holder gets a higher token.
func (r *Runner) release(ctx context.Context, service string, g *group) {
	token := g.token
	g.token, g.ordered = 0, ""
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := dutyPrefix + service
	_, err := r.options.Store.Txn(ctx, platform.Txn{
		Compares: []platform.Compare{{Key: key, ModRevision: token}}, Deletes: []string{key},
	})
	r.options.Log.Info("promotion duty given up", zap.String(logging.FieldDecision, "give_up_duty"),
		zap.String("service", service), zap.Int64("token", token), zap.Error(err))
}

// quorum reports whether enough hosts do not reach the primary.
func (r *Runner) quorum(ctx context.Context, service string, g *group, primary *catalog.Server) bool {
	now := r.now()
	if now.Before(g.readAfter) {
		return false
	}
	g.readAfter = now.Add(suspicionPause)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	items, _, err := r.options.Store.List(ctx, suspicionPrefix+service+"/")
	if err != nil {
		r.options.Log.Warn("suspicions not read", zap.String(logging.FieldStep, "read suspicions"), zap.Error(err))
		return false
	}
	var suspicions []Suspicion
	for _, item := range items {
		var s Suspicion
		if err := json.Unmarshal(item.Value, &s); err != nil {
			r.options.Log.Warn("suspicion not readable", zap.String("key", item.Key), zap.Error(err))
			continue
		}
		suspicions = append(suspicions, s)
	}
	hosts, domains := r.options.Hosts()
	return confirmed(suspicions, primary.ID, hosts, domains)
}
