package leadership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/clock"
	"github.com/bramleylever/bramleylever/internal/hosts"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/peer"
	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/internal/recovery"
)

const (
	// tickInterval is how often a host asks some of its neighbors.
	tickInterval = 150 * time.Millisecond
	// callsPerTick is the number of neighbors that are asked in one tick.
	callsPerTick = 2
	// heartbeatTimeout bounds one call to a neighbor.
	heartbeatTimeout = 300 * time.Millisecond
	// isolationTime is how long no other host has answered if this host is isolated.
	isolationTime = 2 * time.Second
	// storeTimeout bounds a read of the closed terms.
	storeTimeout = 800 * time.Millisecond
	// fleetReadInterval is the mean time between two reads of the closed terms by any
	// host of the fleet, while all is well.
	fleetReadInterval = 2 * time.Second
	// urgentReadInterval is the time between two reads of a host without a quorum.
	urgentReadInterval = 400 * time.Millisecond
	// generationSpread is multiplied by the number of hosts to get the longest delay after
	// which a host reads the closed terms in a new generation of the store, or settles
	// it; maxGenerationSpread bounds it.
	generationSpread    = 50 * time.Millisecond
	maxGenerationSpread = 2 * time.Second
	// lowRemaining is the remaining validity of the lease below which the host reads
	// the store.
	lowRemaining = confirmationTTL / 4
)

// Options configures a Runner.
type Options struct {
	Self  string
	Store platform.Store
	Peers *peer.Pool
	// Hosts returns the registered hosts, and Counted also those that are not
	// registered any more but may still be running.
	Hosts   func() []hosts.Host
	Counted func() []hosts.Host
	// Revisions returns the catalog revisions that this host knows, and Hint takes
	// those that another host knows.
	Revisions func() *peerv1.CatalogRevisions
	Hint      func(*peerv1.CatalogRevisions)
	// Catalog exchanges changes of the catalog with other hosts.
	Catalog *catalog.Exchange
	// Observe is called after each heartbeat with whether the other host answered. It may be nil.
	Observe func(h hosts.Host, answered bool)
	// DemoteHere asks an instance, over this host's connections, to become a replica.
	DemoteHere func(ctx context.Context, serverID string, epoch uint64) error
	// ClosesTerms says that terms are closed in this deployment: the platform does not check
	// fencing tokens, or replicas confirm commits. Where none is, a restored store has lost none.
	ClosesTerms func() bool

	Log      *zap.Logger
	Registry metrics.Registry
}

// Runner exchanges heartbeats with other hosts and closes terms.
type Runner struct {
	options Options
	core    *Core
	now     func() time.Time
	lost    metrics.Counter

	mu sync.Mutex
	// asking holds the neighbors with a call in flight.
	asking map[string]bool
	// lastRead is when the last read of the store ended, and nextRead when the next one
	// is due unless it is urgent. reading says that a read is running.
	lastRead time.Time
	nextRead time.Time
	reading  bool
	// settleAt is when this host settles the generation of the store unless another one
	// has; zero while it may not.
	settleAt time.Time
	// answeredAt is when another host last answered a heartbeat.
	answeredAt time.Time
	// valid is whether the lease was held at the last tick.
	valid bool
}

// New returns a runner; Run starts it.
func New(o Options) *Runner {
	return &Runner{
		options: o, core: NewCore(o.Self), now: clock.Now, asking: map[string]bool{},
		lost: metrics.GetOrRegisterCounter("leadership.lease_lost_count", o.Registry),
	}
}

// Lost returns for how long this host has not been allowed to use leaders; zero while
// it is.
func (r *Runner) Lost() time.Duration { return r.core.Lost(r.now()) }

// Closed returns the newest closed term of a service; 0 if none is closed.
func (r *Runner) Closed(service string) uint64 { return r.core.Closed(service) }

// Isolated reports whether no other host has answered a heartbeat lately.
func (r *Runner) Isolated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now().Sub(r.answeredAt) >= isolationTime
}

// HostAlive reports whether a host was running recently.
func (r *Runner) HostAlive(name string) bool { return r.core.Alive(name, r.now()) }

// Alive returns the registered hosts that were running recently, this host included.
func (r *Runner) Alive() []hosts.Host {
	now := r.now()
	all := r.options.Hosts()
	alive := make([]hosts.Host, 0, len(all))
	for _, h := range all {
		if h.Name == r.options.Self || r.core.Alive(h.Name, now) {
			alive = append(alive, h)
		}
	}
	return alive
}

// Leader returns the instance that has proved to lead the newest term of a service, and
// that term; the term is 0 if none is known. Only services that had a closed term have
// one.
func (r *Runner) Leader(service string) (instance string, epoch uint64) {
	leader, _ := r.core.Leader(service)
	return leader.Instance, leader.Epoch
}

// AddLeader records that an instance has proved to lead a term of a service. The other
// hosts learn of it from heartbeats.
func (r *Runner) AddLeader(service, instance string, epoch uint64) {
	r.core.AddLeader(service, Leader{Instance: instance, Epoch: epoch})
}

// Run exchanges heartbeats until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		r.tick(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *Runner) tick(ctx context.Context) {
	now := r.now()
	r.core.SetMembers(names(r.options.Counted()))
	r.core.Tick(now)
	r.followGeneration(now)
	r.logTransition(now)
	for _, h := range r.chooseNeighbors() {
		recovery.Go("heartbeat", func() { r.ask(ctx, h) })
	}
	if r.startRead(now) {
		recovery.Go("read closed terms", func() { r.readStore(ctx) })
	}
}

func names(all []hosts.Host) []string {
	out := make([]string, 0, len(all))
	for _, h := range all {
		out = append(out, h.Name)
	}
	slices.Sort(out)
	return out
}

// logTransition logs when the right to use leaders is lost or obtained.
func (r *Runner) logTransition(now time.Time) {
	valid := r.core.Valid(now)
	r.mu.Lock()
	changed := valid != r.valid
	r.valid = valid
	r.mu.Unlock()
	if !changed {
		return
	}
	if !valid {
		r.lost.Inc(1)
	}
	r.options.Log.Info("lease for the use of leaders changed", zap.String(logging.FieldDecision, "use_leaders"),
		zap.Bool("valid", valid), zap.Int("hosts", len(r.options.Counted())))
}

// chooseNeighbors picks the neighbors to ask in this tick and marks them as asked.
func (r *Runner) chooseNeighbors() []hosts.Host {
	candidates := neighbors(r.options.Self, r.options.Hosts(), r.Alive())
	r.mu.Lock()
	defer r.mu.Unlock()
	var chosen []hosts.Host
	for _, i := range rand.Perm(len(candidates)) {
		if h := candidates[i]; !r.asking[h.Name] && len(chosen) < callsPerTick {
			r.asking[h.Name] = true
			chosen = append(chosen, h)
		}
	}
	return chosen
}

// ask requests a heartbeat from another host.
func (r *Runner) ask(ctx context.Context, h hosts.Host) {
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.asking, h.Name)
	}()
	conn, err := r.options.Peers.Conn(h.Address)
	if err != nil {
		return
	}
	callers := ctx
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	members, membersHash := r.core.Members()
	request := &peerv1.HeartbeatRequest{
		Closed: closedToProto(r.core.ClosedTerms()), Revisions: r.options.Revisions(),
		MembersHash: membersHash,
	}
	sent, requested := r.now(), time.Now()
	reply, err := peerv1.NewLeadershipClient(conn).Heartbeat(ctx, request)
	if r.options.Observe != nil && callers.Err() == nil {
		r.options.Observe(h, err == nil)
	}
	if err != nil {
		return
	}
	r.mu.Lock()
	r.answeredAt = r.now()
	r.mu.Unlock()
	r.core.Merge(sent, r.now(), heartbeatFromProto(reply, members))
	r.core.RecordAnswer(h.Name, sent, reply.GetConfirms())
	r.options.Hint(reply.GetRevisions())
	r.options.Catalog.Confirm(callers, h, requested, reply.GetCatalog())
}

// followGeneration schedules what a restored store requires: to record closed terms again
// and to settle its generation.
func (r *Runner) followGeneration(now time.Time) {
	advanced := r.core.ObserveGeneration(r.options.Store.Generation(), now)
	maySettle := r.core.MaySettle(now)
	spread := min(maxGenerationSpread, time.Duration(max(1, len(r.options.Hosts())))*generationSpread)
	r.mu.Lock()
	defer r.mu.Unlock()
	if at := now.Add(rand.N(spread)); advanced && r.nextRead.After(at) {
		r.nextRead = at
	}
	switch {
	case !maySettle:
		r.settleAt = time.Time{}
	case r.settleAt.IsZero():
		r.settleAt = now.Add(rand.N(spread))
	}
}

// startRead reports whether a read of the store is due, and marks it as running.
func (r *Runner) startRead(now time.Time) bool {
	urgent := r.core.Remaining(now) < lowRemaining
	r.mu.Lock()
	defer r.mu.Unlock()
	urgent = urgent || !r.settleAt.IsZero() && !now.Before(r.settleAt)
	due := !now.Before(r.nextRead) || urgent && now.Sub(r.lastRead) >= urgentReadInterval
	if r.reading || !due {
		return false
	}
	r.reading = true
	return true
}

// readInterval returns the time until the next read of the store by this host. It is
// random, so that the reads of the hosts are spread, also when they started together.
// The first reads are denser: with the mean interval, one fleet of 84 hosts in 2,600 had
// none within maxStoreSilence.
func readInterval(fleet int, first bool) time.Duration {
	mean := time.Duration(max(1, fleet)) * fleetReadInterval
	if first {
		return rand.N(mean / 3)
	}
	return mean/2 + rand.N(mean)
}

// readStore reads the closed terms from the store.
func (r *Runner) readStore(ctx context.Context) {
	interval := readInterval(len(r.options.Hosts()), !r.core.Confirms())
	defer func() {
		if !r.core.Confirms() {
			// Until the first read this host confirms nobody.
			interval = urgentReadInterval
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.reading = false
		r.lastRead = r.now()
		r.nextRead = r.lastRead.Add(interval)
	}()
	stored, err := r.loadRecords(ctx)
	if err != nil {
		return
	}
	if !r.options.ClosesTerms() {
		stored.Settled = stored.Generation
	}
	r.core.RecordStoreRead(r.now(), stored.StoreRead)
	if stored.Generation <= platform.FirstGeneration || !r.options.ClosesTerms() {
		return
	}
	err = r.restoreRecords(ctx, &stored)
	if err == nil {
		err = r.settle(ctx, &stored)
	}
	if err != nil {
		r.options.Log.Info("could not complete the records of a restored store", zap.String(logging.FieldStep, "record closed terms"), zap.Error(err))
	}
}

// Settled reports whether duties may be taken: the store holds all closed terms, and no
// duty that an earlier generation of it had granted is in use.
func (r *Runner) Settled() bool { return r.core.Settled() }
