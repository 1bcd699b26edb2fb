package promotion

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/platform"
)

// The keys below which duties and suspicions lie; a service's name follows.
const (
	dutyPrefix      = "bramleylever/promotion/duty/"
	suspicionPrefix = "bramleylever/promotion/suspicion/"
)

const (
	// tickInterval is how often a host looks at the primaries.
	tickInterval = 100 * time.Millisecond
	callTimeout  = 800 * time.Millisecond
	// acquirePause is the least time between two attempts to take a duty, and
	// suspicionPause the one between two reads of the suspicions.
	acquirePause   = 400 * time.Millisecond
	suspicionPause = 250 * time.Millisecond
	// promotionTime is how long a promotion may take until it shows.
	promotionTime = 1500 * time.Millisecond
	// repeatPause is the pause before an order without an answer is repeated.
	repeatPause = 200 * time.Millisecond
	// settleTime is the least time between two promotions of one service that
	// are not planned.
	settleTime = 3 * time.Second
	// minLease is the least validity of the host's lease with which a duty is
	// used, so that it does not lapse under way.
	minLease = 300 * time.Millisecond
)

var (
	// ErrSuperseded marks an order that was refused, because a higher fencing
	// token was used or because the instance does not run.
	ErrSuperseded = errors.New("order refused")
	// ErrNotReady marks a service for which no order can be given now.
	ErrNotReady = errors.New("no instance to promote")
)

// Orderer orders promotions from the platform.
type Orderer interface {
	// Promote makes an instance the primary of its service. The error is
	// ErrSuperseded if the order was refused. After another error it may be
	// carried out later.
	Promote(ctx context.Context, service, id, holder string, token int64) error
}

// Inspector asks instances how far they are.
type Inspector interface {
	// Status returns what an instance received.
	Status(ctx context.Context, server *catalog.Server) (Candidate, error)
	// Pause stops a replica from receiving from primaries of terms below the
	// next one, and returns what it received.
	Pause(ctx context.Context, server *catalog.Server) (Candidate, error)
	// Resume ends a pause.
	Resume(ctx context.Context, server *catalog.Server) error
}

// Options configures a Runner.
type Options struct {
	Host      string
	Domain    string
	Store     platform.Store
	Catalog   func() *catalog.Snapshot
	Lease     func() (platform.LeaseID, time.Duration)
	Hosts     func() (hosts, domains int)
	Orderer   Orderer
	Inspector Inspector
	// Failing reports whether this host's own traffic does not reach the
	// primary of a service.
	Failing  func(primary *catalog.Server) bool
	Log      *zap.Logger
	Registry metrics.Registry
}

// Runner takes part in the promotion duty of all services.
type Runner struct {
	options Options
	now     func() time.Time
	orders  metrics.Counter

	mu     sync.Mutex
	groups map[string]*group
}

// group is the state for one service. It is used by one goroutine at a time.
type group struct {
	busy         bool
	suspected    string
	missingSince time.Time
	acquireAfter time.Time
	readAfter    time.Time
	settled      time.Time
	token        int64
	lease        platform.LeaseID
	// ordered is the instance for which the token was used.
	ordered string
	due     time.Time
}

// New returns a runner; Run starts it.
func New(o Options) *Runner {
	return &Runner{
		options: o, now: time.Now, groups: map[string]*group{},
		orders: metrics.GetOrRegisterCounter("promotion.orders_count", o.Registry),
	}
}

// Run looks after the primaries until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		snapshot := r.options.Catalog()
		if !snapshot.Complete {
			continue
		}
		for service := range snapshot.Groups {
			r.start(ctx, service, snapshot)
		}
	}
}

// start runs one step for a service unless the previous one is under way.
func (r *Runner) start(ctx context.Context, service string, snapshot *catalog.Snapshot) {
	r.mu.Lock()
	g := r.groups[service]
	if g == nil {
		g = &group{}
		r.groups[service] = g
	}
	busy := g.busy
	g.busy = true
	r.mu.Unlock()
	if busy {
		return
	}
	go func() {
		r.step(ctx, service, g, snapshot)
		r.mu.Lock()
		g.busy = false
		r.mu.Unlock()
	}()
}

// step looks at one service once.
func (r *Runner) step(ctx context.Context, service string, g *group, snapshot *catalog.Snapshot) {
	primary := snapshot.Primary(service)
	reason := planned(snapshot, primary)
	if reason == NoReason {
		reason = r.suspect(ctx, service, g, primary)
	}
	if reason == NoReason {
		return
	}
	now := r.now()
	if g.ordered != "" && now.Before(g.due) {
		return
	}
	if (reason == Unreachable || reason == Missing) && now.Sub(g.settled) < settleTime {
		return
	}
	if !r.acquire(ctx, service, g) {
		return
	}
	if reason == Unreachable && !r.quorum(ctx, service, g, primary) {
		return
	}
	r.promote(ctx, service, g, snapshot, primary, reason)
}

// suspect keeps this host's suspicion in the store in step with what its own
// traffic shows.
func (r *Runner) suspect(ctx context.Context, service string, g *group, primary *catalog.Server) Reason {
	if primary == nil {
		if g.missingSince.IsZero() {
			g.missingSince = r.now()
		}
		if r.now().Sub(g.missingSince) < missingTime {
			return NoReason
		}
		return Missing
	}
	g.missingSince = time.Time{}
	suspected := ""
	if r.options.Failing(primary) {
		suspected = primary.ID
	}
	if suspected != g.suspected {
		r.report(ctx, service, g, suspected)
	}
	if suspected == "" {
		return NoReason
	}
	return Unreachable
}

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

// promote chooses an instance and orders its promotion.
func (r *Runner) promote(ctx context.Context, service string, g *group, snapshot *catalog.Snapshot, primary *catalog.Server, reason Reason) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	started := r.now()
	target, err := r.choose(ctx, service, snapshot, primary)
	if err == nil && g.ordered != "" && g.ordered != target.Server.ID {
		// The earlier order may still be carried out; only a higher token
		// supersedes it.
		r.release(ctx, service, g)
		return
	}
	if err == nil {
		r.orders.Inc(1)
		g.ordered, g.due = target.Server.ID, r.now().Add(promotionTime)
		err = r.order(ctx, service, target.Server.ID, g.token)
	}
	fields := []zap.Field{
		zap.String(logging.FieldDecision, "promote"), zap.String("service", service),
		zap.String(logging.FieldReason, string(reason)), zap.Int64("token", g.token),
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
		g.settled = r.now()
	case errors.Is(err, ErrSuperseded):
		r.release(ctx, service, g)
	default:
		// The same order may be given again: it is the same change.
		g.due = r.now().Add(repeatPause)
	}
}

// orderTimeout bounds the wait for the answer to an order.
const orderTimeout = 400 * time.Millisecond

func (r *Runner) order(ctx context.Context, service, id string, token int64) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return r.options.Orderer.Promote(ctx, service, id, r.options.Host, token)
}

// choose asks all candidates how far they are and returns the one that received
// most.
func (r *Runner) choose(ctx context.Context, service string, snapshot *catalog.Snapshot, primary *catalog.Server) (*Candidate, error) {
	sync := 0
	if s := snapshot.Service(service); s != nil {
		sync = s.SyncReplicas
	}
	all := candidates(snapshot, service, primary)
	reports := r.inspect(ctx, all, sync > 0)
	replicas := len(snapshot.Groups[service]) - 1
	if target := best(reports); target != nil && sufficient(len(reports), replicas, sync) {
		return target, nil
	}
	if sync > 0 {
		for _, report := range reports {
			if err := r.options.Inspector.Resume(ctx, report.Server); err != nil {
				r.options.Log.Warn("replica not resumed", zap.String(logging.FieldInstance, report.Server.ID), zap.Error(err))
			}
		}
	}
	return nil, fmt.Errorf("%d of %d replicas answered: %w", len(reports), replicas, ErrNotReady)
}

// inspectTimeout bounds the wait for the candidates.
const inspectTimeout = 350 * time.Millisecond

// inspect asks the candidates in parallel and returns those that answered.
func (r *Runner) inspect(ctx context.Context, servers []*catalog.Server, pause bool) []Candidate {
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
				r.options.Log.Info("candidate did not answer", zap.String(logging.FieldStep, "inspect"),
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
