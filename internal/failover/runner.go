package failover

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/internal/control"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/membership"
	"github.com/bramleylever/bramleylever/internal/peer"
	"github.com/bramleylever/bramleylever/internal/records"
	"github.com/bramleylever/bramleylever/internal/recovery"
	"github.com/bramleylever/bramleylever/internal/topology"
)

const (
	// tickInterval is the resolution of the timers of coordinators and probers.
	tickInterval = 10 * time.Millisecond
	// idleTick is the time between ticks of a coordinator without a promotion or
	// switchover.
	idleTick = 100 * time.Millisecond
	// refreshInterval is the time between reads of the buckets, members and records.
	refreshInterval = 100 * time.Millisecond
	// mailboxSize is the number of functions that can wait for the event loop; senders
	// block when it is full.
	mailboxSize = 1024
)

// Options configures a Runner. Peers may be nil for a host without peers; all other
// pointers and interfaces are required unless noted.
type Options struct {
	Self     peer.Identity
	Feed     *records.Feed
	Buckets  control.Buckets
	Dialer   backend.Dialer
	Topology *topology.Table
	View     membership.View
	Peers    *peer.Pool
	Log      *zap.Logger
	// Metrics may be nil.
	Metrics metrics.Registry
	// SingleDomain allows a promotion on the reports of one failure domain, for deployments
	// whose hosts are all in the same one.
	SingleDomain bool
	// OnClaimsChange, if set, is called with the buckets that this host coordinates when
	// they change, including buckets whose lease lapsed during an outage of the platform.
	// It must not block.
	OnClaimsChange func([]membership.BucketClaim)
}

// Runner runs the coordinators of the buckets that this host holds and the probers of the
// databases that are assigned to it. It owns their timers and connections. Only one Runner
// may use a control epoch.
type Runner struct {
	peerv1.UnimplementedFailoverServer

	options          Options
	mailbox          chan func(now time.Time)
	done             chan struct{}
	probeConns       *controlConns
	coordinatorConns *controlConns
	// ctx is canceled when Run ends. Work started by RPC handlers uses it.
	ctx       context.Context
	cancel    context.CancelFunc
	fetchedAt atomic.Pointer[time.Time]

	// The fields below are accessed only by the event loop.
	epochs      Epochs
	databases   map[string]*database
	members     []membership.Member
	domains     map[string]bool
	liveHosts   []string
	revision    int64
	claims      []membership.BucketClaim
	refreshedAt time.Time
	// pendingSwitchovers holds the reply channels of switchover requests by request ID.
	pendingSwitchovers map[uint64]chan SwitchoverDone
	lastRequest        uint64
}

// database is the state of one database of the snapshot.
type database struct {
	name        string
	bucket      uint32
	instances   []Instance
	prober      *Prober
	coordinator *Coordinator
	tickAt      time.Time
	// reporting is set while a report is being sent to another host.
	reporting bool
}

// NewRunner returns a Runner; Run starts it.
func NewRunner(o Options) *Runner {
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Runner{
		options:            o,
		ctx:                ctx,
		cancel:             cancel,
		mailbox:            make(chan func(time.Time), mailboxSize),
		done:               make(chan struct{}),
		probeConns:         newControlConns(o.Dialer),
		coordinatorConns:   newControlConns(o.Dialer),
		databases:          map[string]*database{},
		pendingSwitchovers: map[uint64]chan SwitchoverDone{},
		revision:           -1,
	}
}

// Run runs the event loop until ctx ends. It must be called once.
func (r *Runner) Run(ctx context.Context) error {
	defer close(r.done)
	defer r.cancel()
	defer r.probeConns.retain(nil)
	defer r.coordinatorConns.retain(nil)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	r.tick(ctx, time.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case run := <-r.mailbox:
			run(time.Now())
		case <-ticker.C:
			r.tick(ctx, time.Now())
		}
	}
}

// post queues f for the event loop. It returns false once the loop has ended.
func (r *Runner) post(f func(now time.Time)) bool {
	select {
	case r.mailbox <- f:
		return true
	case <-r.done:
		return false
	}
}

func (r *Runner) tick(ctx context.Context, now time.Time) {
	if now.Sub(r.refreshedAt) >= refreshInterval {
		r.refreshedAt = now
		r.refresh(ctx, now)
	}
	for _, d := range r.databases {
		if d.prober != nil {
			r.tickProber(ctx, now, d)
		}
		if d.coordinator != nil && (d.coordinator.Busy() || !now.Before(d.tickAt)) {
			d.tickAt = now.Add(idleTick)
			r.step(ctx, now, d, Tick{})
		}
	}
}

// refresh reads the records, the members and the buckets.
func (r *Runner) refresh(ctx context.Context, now time.Time) {
	snapshot := r.options.Feed.Current()
	r.members = r.options.View.Members()
	hosts := r.liveHostNames()
	domains := r.knownDomains(snapshot)
	if snapshot.Revision != r.revision || !slices.Equal(hosts, r.liveHosts) || !maps.Equal(domains, r.domains) {
		r.revision = snapshot.Revision
		r.liveHosts = hosts
		r.domains = domains
		r.configure(ctx, now, snapshot)
	}
	r.refreshEpochs()
	for _, d := range r.databases {
		r.updateCoordination(ctx, now, d)
	}
	r.publishClaims()
}

func (r *Runner) liveHostNames() []string {
	var hosts []string
	for _, m := range r.members {
		if m.Domain == r.options.Self.Domain && m.State == membership.StateAlive && !m.Draining {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

// closeUnused closes control connections that no prober or coordinator needs.
func (r *Runner) closeUnused() {
	probed, controlled := map[string]bool{}, map[string]bool{}
	for _, d := range r.databases {
		for _, in := range d.instances {
			if d.prober != nil {
				probed[in.Address] = true
			}
			if d.coordinator != nil && d.coordinator.Epoch() != 0 {
				controlled[in.Address] = true
			}
		}
	}
	r.probeConns.retain(probed)
	r.coordinatorConns.retain(controlled)
}

func (r *Runner) tickProber(ctx context.Context, now time.Time, d *database) {
	prober := d.prober
	calls, report := prober.Tick(now)
	for _, call := range calls {
		recovery.Go("probe", func() {
			started := time.Now()
			status, err := r.probeConns.execute(ctx, Call{
				Kind:     CallStatus,
				Instance: call.Instance,
				Address:  call.Address,
				Timeout:  ProbeTimeout,
			})
			r.post(func(time.Time) { prober.Result(started, call, status, err) })
		})
	}
	if report == nil {
		return
	}
	if primary, term, ok := highestPrimary(report); ok {
		r.update(topology.Group{Database: d.name, Term: term, Primary: primary})
	}
	r.deliverReport(ctx, now, d, report)
}

// update records a primary in the topology table of this host.
func (r *Runner) update(g topology.Group) bool {
	if !r.options.Topology.Update(g) {
		return false
	}
	r.options.Log.Info("topology updated with a new primary",
		zap.String(logging.FieldDecision, "topology"),
		zap.String(logging.FieldDatabase, g.Database),
		zap.String(logging.FieldInstance, g.Primary),
		zap.Stringer(logging.FieldTerm, g.Term))
	return true
}

// step passes an event to the coordinator of a database and executes the resulting actions.
func (r *Runner) step(ctx context.Context, now time.Time, d *database, e Event) {
	for _, action := range d.coordinator.Step(now, e) {
		switch a := action.(type) {
		case Call:
			recovery.Go("failover call", func() { r.execute(ctx, d, a) })
		case Announce:
			r.update(a.Group)
			members := r.members
			recovery.Go("push topology", func() { r.push(ctx, members, []topology.Group{a.Group}) })
		case Decision:
			r.logDecision(d.name, a)
		case SwitchoverDone:
			if reply, ok := r.pendingSwitchovers[a.ID]; ok {
				delete(r.pendingSwitchovers, a.ID)
				reply <- a
			}
		}
	}
}

func (r *Runner) execute(ctx context.Context, d *database, call Call) {
	status, err := r.coordinatorConns.execute(ctx, call)
	r.post(func(now time.Time) {
		r.step(ctx, now, d, Answer{Call: call.ID, Status: status, Err: err})
	})
}

func (r *Runner) logDecision(database string, a Decision) {
	metrics.GetOrRegisterCounter("failover.decisions_"+a.Decision+"_count", r.options.Metrics).Inc(1)
	r.options.Log.Info("failover decision",
		zap.String(logging.FieldDecision, a.Decision),
		zap.String(logging.FieldDatabase, database),
		zap.String(logging.FieldInstance, a.Instance),
		zap.Stringer(logging.FieldTerm, a.Term),
		zap.String(logging.FieldReason, a.Reason))
}

// ErrStopped is returned after the runner has ended.
var ErrStopped = errors.New("failover runner stopped")

// localSwitchover requests a planned switchover from the coordinator on this host.
func (r *Runner) localSwitchover(ctx context.Context, name, target string) (SwitchoverDone, error) {
	reply := make(chan SwitchoverDone, 1)
	ok := r.post(func(now time.Time) {
		d, ok := r.databases[name]
		if !ok || d.coordinator == nil {
			reply <- SwitchoverDone{Reason: fmt.Sprintf("this host does not coordinate database %q", name)}
			return
		}
		r.lastRequest++
		r.pendingSwitchovers[r.lastRequest] = reply
		// The switchover continues if the caller's context ends.
		r.step(r.ctx, now, d, SwitchoverRequest{ID: r.lastRequest, Target: target})
	})
	if !ok {
		return SwitchoverDone{}, ErrStopped
	}
	select {
	case done := <-reply:
		return done, nil
	case <-ctx.Done():
		return SwitchoverDone{}, fmt.Errorf("switchover of database %s: %w", name, ctx.Err())
	case <-r.done:
		return SwitchoverDone{}, ErrStopped
	}
}
