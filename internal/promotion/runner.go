package promotion

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/leadership"
	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/internal/recovery"
)

// The key prefixes of duties and suspicions; the name of the service follows.
const (
	dutyPrefix      = "bramleylever/promotion/duty/"
	suspicionPrefix = "bramleylever/promotion/suspicion/"
)

const (
	// tickInterval is how often a host checks the primaries.
	tickInterval = 100 * time.Millisecond
	callTimeout  = 800 * time.Millisecond
	// acquireInterval is the minimum time between two attempts to take a duty, and
	// suspicionReadInterval that between two reads of the suspicions.
	acquireInterval       = 400 * time.Millisecond
	suspicionReadInterval = 250 * time.Millisecond
	// promotionTimeout is how long a promotion may take to become visible before it
	// is ordered again.
	promotionTimeout = 1500 * time.Millisecond
	// orderRetryDelay is the delay before an order without a reply is repeated.
	orderRetryDelay = 200 * time.Millisecond
	// minPromotionInterval is the minimum time between two unplanned promotions of
	// one service.
	minPromotionInterval = 3 * time.Second
	// maxCoordinators is the number of hosts that act on a service in turn, turnInterval
	// apart. The others follow after othersDelay, turnStep apart.
	maxCoordinators = 3
	turnInterval    = 400 * time.Millisecond
	othersDelay     = 2500 * time.Millisecond
	turnStep        = 100 * time.Millisecond
	// turnDelayPerHost is multiplied by the number of hosts to get the longest delay of
	// a host that does not reach a primary.
	turnDelayPerHost = 5 * time.Millisecond
	// conflictDelayPerHost is multiplied by the number of hosts and added to
	// acquireInterval after another host was found to have the duty.
	conflictDelayPerHost = 8 * time.Millisecond
	// minLeaseValidity is the minimum remaining validity of the host's lease for
	// using a duty, so that the lease does not expire during an order.
	minLeaseValidity = orderTimeout + 100*time.Millisecond
)

var (
	// ErrSuperseded marks an order that was refused because a higher fencing token
	// has been used or because the instance is not running.
	ErrSuperseded = errors.New("order refused")
	// ErrNotReady marks a service for which no instance can be promoted now.
	ErrNotReady = errors.New("no instance to promote")
)

// Promoter has the platform promote instances.
type Promoter interface {
	// Promote makes an instance the primary of its service. It returns ErrSuperseded
	// if the order was refused. After any other error the order may still be carried
	// out later.
	Promote(ctx context.Context, service, id, holder string, token int64) error
	// Check returns nil if the platform takes orders for a service now. It changes nothing,
	// also if it is carried out late.
	Check(ctx context.Context, service, holder string, token int64) error
}

// Inspector asks instances for their replication state.
type Inspector interface {
	// Status returns the position that an instance has received.
	Status(ctx context.Context, server *catalog.Server) (Candidate, error)
	// Pause asks a replica to receive no log entries of a term and of earlier ones, and
	// returns what it reports afterwards. The pause is in force only if the report says so:
	// an instance takes none that is not above the newest term.
	Pause(ctx context.Context, server *catalog.Server, epoch uint64) (Candidate, error)
	// Demote makes the instance a replica if it leads a term below the given one.
	Demote(ctx context.Context, server *catalog.Server, epoch uint64) (Candidate, error)
	// Resume ends a pause.
	Resume(ctx context.Context, server *catalog.Server) error
}

// Options configures a Runner.
type Options struct {
	Host    string
	Domain  string
	Store   platform.Store
	Catalog func() *catalog.Snapshot
	// ReadServers returns every server of a service that has registered before the call.
	ReadServers func(ctx context.Context, service string) ([]*catalog.Server, error)
	Lease       func() (platform.LeaseID, time.Duration)
	Hosts       func() (hosts, domains int)
	Promoter    Promoter
	Inspector   Inspector
	// Failing reports whether this host's own traffic fails to reach the primary of
	// a service.
	Failing func(primary *catalog.Server) bool
	Terms   Terms
	// LeaderEpoch returns the newest term of a service's leader that this host knows,
	// and FindLeader looks for a leader of an open term and reports whether it found
	// one.
	LeaderEpoch func(service string) uint64
	FindLeader  func(service string) bool
	// Rank returns the position of this host in the order in which the hosts that are
	// alive act on a service; 0 is the first. In a small fleet every host is the first.
	Rank func(service string) int
	// Coordinators are told the suspicions of a large fleet. If nil, all are written to the
	// store.
	Coordinators Coordinators
	// Fenced says that the platform refuses orders with an old fencing token, and that
	// a primary loses its role when another one takes it.
	Fenced   func() bool
	Log      *zap.Logger
	Registry metrics.Registry
}

// Runner takes part in the promotion of all services' primaries.
type Runner struct {
	options Options
	now     func() time.Time
	orders  metrics.Counter
	// incomplete counts the promotions without a log that may have acknowledged commits.
	incomplete metrics.Counter
	// identity is the value of the duties of this process. A process of the same host
	// before or after it has another one.
	identity []byte
	heard    heardSuspicions
	// spawn runs a function in the background.
	spawn func(name string, f func())
	// jitter returns a random time below the given one.
	jitter func(limit time.Duration) time.Duration

	mu       sync.Mutex
	services map[string]*serviceState
	// generation is the newest generation of the store that this host has seen, since
	// generationSince.
	generation      platform.Generation
	generationSince time.Time
}

// serviceState is the state of one service. It is used by one goroutine at a time.
type serviceState struct {
	busy bool
	// sync is the number of replicas that confirm each commit.
	sync int
	// reportedSuspect is the instance of this host's suspicion in the store, and
	// reportedLease the lease to which the suspicion is bound.
	reportedSuspect string
	reportedLease   platform.LeaseID
	// toldSuspect is the instance of the suspicion that the coordinators were told at toldAt,
	// and suspectedSince since when this host suspects the primary.
	toldSuspect    string
	toldAt         time.Time
	suspectedSince time.Time
	suspicion      platform.OwnedKey
	missingSince   time.Time
	// replicaSince is since when the proved leader registers itself as a replica; zero if it
	// does not.
	replicaSince time.Time
	// reason is why the primary is to be replaced, since reasonSince. turnDelay is how
	// long this host waits before it acts on it.
	reason      Reason
	reasonSince time.Time
	turnDelay   time.Duration
	// lostSince is since when the service has no primary that works, as far as this host
	// knows; zero with one.
	lostSince time.Time
	// leaderlessSince is since when the newest term is closed without a known
	// successor.
	leaderlessSince time.Time
	acquireAfter    time.Time
	readAfter       time.Time
	promotedAt      time.Time
	// token is the fencing token of this host's duty, or 0 without the duty; lease is the
	// host's lease to which the duty is bound.
	token int64
	lease platform.LeaseID
	// checkDutyAt is when this host looks again whether it holds the duty without knowing;
	// zero if it need not. It does so until checkDutyUntil.
	checkDutyAt    time.Time
	checkDutyUntil time.Time
	// orderedInstance is the instance whose promotion was ordered with the token.
	orderedInstance string
	retryAt         time.Time
	// pending is an order by this host or an earlier duty holder that may be carried out until
	// pendingUntil. It names no target without one.
	pending      leadership.Record
	pendingUntil time.Time
	// paused holds the candidates whose replication this host has paused, or may have. They
	// are resumed from resumeAfter on.
	paused      []*catalog.Server
	resumeAfter time.Time
	// findPausedAt is when this host looks again for replicas that another host has paused.
	findPausedAt time.Time
	// closedEpoch is the newest term of which this host knows that no host uses its
	// leader.
	closedEpoch uint64
	// history is what this host knows of the service's terms, and members of the instances
	// that may hold its acknowledged commits.
	history termHistory
	members memberRecord
}

// New returns a runner; Run starts it.
func New(o Options) *Runner {
	if o.Coordinators == nil {
		o.Coordinators = noCoordinators{}
	}
	return &Runner{
		options: o, now: time.Now, spawn: recovery.Go, jitter: rand.N[time.Duration], services: map[string]*serviceState{},
		identity: fmt.Appendf(nil, "%s %016x", o.Host, rand.Uint64()),
		orders:   metrics.GetOrRegisterCounter("promotion.orders_count", o.Registry),

		incomplete: metrics.GetOrRegisterCounter("promotion.incomplete_count", o.Registry),
	}
}

// Run monitors the primaries until ctx ends.
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

// start runs one step for a service unless the previous one is still running.
func (r *Runner) start(ctx context.Context, service string, snapshot *catalog.Snapshot) {
	r.mu.Lock()
	state := r.services[service]
	if state == nil {
		state = &serviceState{}
		r.services[service] = state
	}
	busy := state.busy
	state.busy = true
	r.mu.Unlock()
	if busy {
		return
	}
	recovery.Go("promotion of "+service, func() {
		finished := false
		defer func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			state.busy = false
			if !finished {
				// The state may be half changed; the next step begins without a duty.
				delete(r.services, service)
			}
		}()
		r.step(ctx, service, state, snapshot)
		finished = true
	})
}

// observeGeneration returns the generation of the store and since when this host knows it.
func (r *Runner) observeGeneration() (platform.Generation, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g := r.options.Store.Generation(); g != r.generation {
		r.generation, r.generationSince = g, r.now()
	}
	return r.generation, r.generationSince
}

// step checks the primary of one service and replaces it if there is a reason.
func (r *Runner) step(ctx context.Context, service string, state *serviceState, snapshot *catalog.Snapshot) {
	defer r.maintainMembers(ctx, service, state, snapshot)
	defer r.resumePaused(ctx, service, state, snapshot)
	state.sync = syncReplicas(snapshot, service)
	r.observeGeneration()
	r.checkDuty(ctx, service, state)
	r.restoreHistory(ctx, service, &state.history)
	r.confirmBeginning(ctx, service, state)
	primary := r.workingPrimary(snapshot, service, state)
	reason := plannedReason(snapshot, primary)
	if reason == NoReason {
		reason = r.updateSuspicion(ctx, service, state, primary)
	}
	now := r.now()
	if reason != state.reason {
		state.reason, state.reasonSince, state.turnDelay = reason, now, r.turnDelay()
	}
	state.observePrimary(primary != nil && !r.isTermOver(service), reason, now)
	if reason == NoReason {
		r.findPaused(ctx, service, state, snapshot)
		return
	}
	if !r.isTurn(service, state, now) {
		return
	}
	if state.orderedInstance != "" && now.Before(state.retryAt) {
		return
	}
	if !reason.isPlanned() && now.Sub(state.promotedAt) < minPromotionInterval {
		return
	}
	if reason == Unreachable && r.waitsForCoordinators(service, state, primary) {
		return
	}
	if !r.acquireDuty(ctx, service, state) {
		return
	}
	if reason == Unreachable && !r.heardQuorum(service, primary) && !r.suspicionsHaveQuorum(ctx, service, state, primary) {
		return
	}
	r.promote(ctx, service, state, snapshot, primary, reason)
}
