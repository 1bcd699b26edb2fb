// Package relay concentrates the connections to each instance on a few hosts.
//
// An instance accepts few connections, and a connection serves only one client account.
// If every host kept its own connections, most operations would have to open one.
// Therefore each pair of an instance and an account has a connection owner, chosen by
// rendezvous hashing among the hosts in the instance's failure domain, and other hosts
// run their work over the owner's connections. A host that cannot reach any owner
// connects to the instance itself.
//
// Invariant: work whose outcome at an owner is unknown is never reported as not run.
package relay

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/connpool"
	"github.com/bramleylever/bramleylever/internal/hosts"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/membudget"
	"github.com/bramleylever/bramleylever/internal/peer"
	"github.com/bramleylever/bramleylever/internal/reachability"
	"github.com/bramleylever/bramleylever/internal/recovery"
)

const (
	// minAvoidTime and maxAvoidTime bound the exponential backoff during which an owner
	// that failed is not used.
	minAvoidTime = 300 * time.Millisecond
	maxAvoidTime = 3 * time.Second
	// streamOpenTimeout bounds how long work waits for a stream to its owner. After it
	// another owner can be used, because nothing has been sent.
	streamOpenTimeout = 200 * time.Millisecond
	// drainingAvoidTime is how long an owner that reported that it is stopping is not
	// used.
	drainingAvoidTime = 10 * time.Second
	// pairAvoidTime is how long an owner is not used for an instance that it cannot
	// reach.
	pairAvoidTime = 1500 * time.Millisecond
	// loadReportTTL is how long an owner's report of its load is used.
	loadReportTTL = 300 * time.Millisecond
)

// Options configures a Router.
type Options struct {
	Self    string
	Pool    *connpool.Pool
	Peers   *peer.Pool
	Hosts   func() []hosts.Host
	Catalog func() *catalog.Snapshot
	// Revisions returns the catalog revisions that this host knows, and Hint takes those
	// that another host knows. Hosts exchange them in their requests and replies.
	Revisions func() *peerv1.CatalogRevisions
	Hint      func(*peerv1.CatalogRevisions)
	// Reachability records which hosts answer.
	Reachability *reachability.Tracker
	// Memory bounds the work of other hosts; nil means no bound.
	Memory *membudget.Budget
	Log    *zap.Logger
	// Registry receives the metrics.
	Registry metrics.Registry
}

// Router hands out connections to instances, its own or those of another host. It
// implements connpool.Source.
type Router struct {
	options  Options
	now      func() time.Time
	sampler  Sampler
	draining atomic.Bool
	// opening is the number of leases of other hosts that wait for a connection.
	opening atomic.Int64
	// leasesEnded says that the leases of other hosts have to end.
	leasesEnded atomic.Bool
	leaseMu     sync.Mutex
	leases      map[*lease]struct{}
	// work ends when the work at other hosts must end.
	work          context.Context
	interruptWork context.CancelFunc

	relayed     metrics.Counter
	direct      metrics.Counter
	endedLeases metrics.Counter

	mu    sync.Mutex
	avoid map[string]avoidance
	// avoidedPairs says until when an owner is not used for an instance that it
	// cannot reach.
	avoidedPairs map[pair]time.Time
	loads        map[string]load
}

// pair is an owner, by its host name, and an instance.
type pair struct{ owner, instance string }

// avoidance says that a host is not used as an owner: until a time, and then until it
// answers a ping.
type avoidance struct {
	until   time.Time
	backoff time.Duration
	probing bool
}

// load is the known load of an instance's connections at other hosts: leases is the number
// of leases that this host has there, and reported is the load that an owner reported at a
// time.
type load struct {
	leases   int
	reported int
	at       time.Time
}

var _ connpool.Source = (*Router)(nil)

// NewRouter returns a router; Register makes it an owner for other hosts.
func NewRouter(o Options) *Router {
	work, interrupt := context.WithCancel(context.Background())
	return &Router{
		work: work, interruptWork: interrupt, leases: map[*lease]struct{}{},
		options: o, now: time.Now, avoid: map[string]avoidance{}, avoidedPairs: map[pair]time.Time{}, loads: map[string]load{},
		relayed: metrics.GetOrRegisterCounter("relay.leases_count", o.Registry),
		direct:  metrics.GetOrRegisterCounter("relay.direct_count", o.Registry),

		endedLeases: metrics.GetOrRegisterCounter("relay.drain_leases_ended_count", o.Registry),
	}
}

// Register adds the gRPC service for other hosts to a server. The sampler provides the
// leaders' positions for the service.
func (r *Router) Register(s grpc.ServiceRegistrar, sampler Sampler) {
	r.sampler = sampler
	peerv1.RegisterRelayServer(s, service{router: r})
}

// Drain makes the router refuse new leases from other hosts, so that they use another
// owner.
func (r *Router) Drain() { r.draining.Store(true) }

// Interrupt implements connpool.Source.
func (r *Router) Interrupt() {
	r.options.Pool.Interrupt()
	r.interruptWork()
}

const (
	// connsPerOwner is the number of connections that an owner should have, so that it
	// rarely has to close a connection of one account to open one for another.
	connsPerOwner = 12
	// minOwners is the minimum number of owners of an instance, so that one remains if
	// another fails.
	minOwners = 2
)

// rankedOwners returns the hosts that may own connections to an instance, in order of
// preference, and how many of them do. They are the hosts in the instance's failure
// domain or, if there are none, all hosts.
func (r *Router) rankedOwners(server *catalog.Server, conns int) (ranked []hosts.Host, count int) {
	all := r.options.Hosts()
	for _, h := range all {
		if h.Domain == server.Domain {
			ranked = append(ranked, h)
		}
	}
	if len(ranked) == 0 {
		ranked = all
	}
	hosts.Rank(ranked, server.ID)
	return ranked, min(len(ranked), max(minOwners, conns/connsPerOwner))
}

// owner returns the connection owner for a pair of an instance and an account, or false
// if none can be used now.
func (r *Router) owner(server *catalog.Server, account string) (hosts.Host, bool) {
	ranked, count := r.rankedOwners(server, maxConns(r.options.Catalog(), server))
	key := server.ID + "\x00" + account
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var best hosts.Host
	var bestScore hosts.Score
	for _, h := range ranked {
		self := h.Name == r.options.Self
		if !self && (h.Address == "" || r.avoids(h, now)) || now.Before(r.avoidedPairs[pair{h.Name, server.ID}]) {
			continue
		}
		if s := hosts.ScoreOf(key, h); best.Name == "" || s.Above(bestScore) {
			best, bestScore = h, s
		}
		if count--; count == 0 {
			break
		}
	}
	return best, best.Name != ""
}

// avoids reports whether a host is not used as an owner now. After the backoff it is
// pinged first, so that no caller's work waits for a host that is still unreachable. The
// caller holds the lock.
func (r *Router) avoids(h hosts.Host, now time.Time) bool {
	a, avoided := r.avoid[h.Name]
	if avoided && !a.probing && !now.Before(a.until) {
		a.probing = true
		r.avoid[h.Name] = a
		recovery.Go("probe connection owner", func() { r.probe(h) })
	}
	return avoided
}

// probe pings an avoided host and uses it again if it answers.
func (r *Router) probe(h hosts.Host) {
	err := r.Ping(context.Background(), h)
	if err != nil {
		// The connection may be broken without an error while a new one would work. It
		// is not closed before, because the owner may only be slow, and other work is
		// under way on the same connection.
		r.options.Peers.CloseConn(h.Address)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.avoid[h.Name]
	if err == nil {
		delete(r.avoid, h.Name)
		r.options.Log.Info("connection owner reached again", zap.String(logging.FieldDecision, "use_holder"),
			zap.String(logging.FieldPeer, h.Name))
		return
	}
	r.avoid[h.Name] = a.extended(r.now())
}

// extended returns the avoidance after another failure.
func (a avoidance) extended(now time.Time) avoidance {
	backoff := min(maxAvoidTime, max(minAvoidTime, 2*a.backoff))
	return avoidance{until: now.Add(backoff), backoff: backoff}
}

// Acquire implements connpool.Source. A relayed connection is opened when its first work
// is sent. An instance that is not registered is known to no owner and so reached directly.
func (r *Router) Acquire(ctx context.Context, server *catalog.Server, request connpool.Request) (connpool.Handle, error) {
	if snapshot := r.options.Catalog(); snapshot.Servers[server.ID] == nil {
		return r.options.Pool.AcquireHandle(ctx, server, request, r.connLimit(snapshot, server))
	}
	owner, ok := r.owner(server, request.Account)
	if ok && owner.Name != r.options.Self {
		r.relayed.Inc(1)
		r.addLeases(server, 1)
		return &remoteHandle{router: r, owner: owner, server: server, request: request}, nil
	}
	if !ok {
		r.direct.Inc(1)
	}
	handle, err := r.options.Pool.AcquireHandle(ctx, server, request, r.connLimit(r.options.Catalog(), server))
	if ok && errors.Is(err, connpool.ErrUnreachable) {
		self := hosts.Host{Name: r.options.Self}
		r.avoidPair(self, server)
		return nil, &connpool.OwnerError{Owner: self.Name, Err: err}
	}
	return handle, err
}

// addLeases changes the number of leases that this host has at other owners.
func (r *Router) addLeases(server *catalog.Server, change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.loads[server.ID]
	l.leases += change
	r.loads[server.ID] = l
}

// recordLoad records the load that an owner reported: how many operations use or wait for
// its connections to the instance.
func (r *Router) recordLoad(server *catalog.Server, reportedLoad int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.loads[server.ID]
	l.reported, l.at = reportedLoad, r.now()
	r.loads[server.ID] = l
}

// Load implements connpool.Source.
func (r *Router) Load(server *catalog.Server) int {
	own := r.options.Pool.Load(server)
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.loads[server.ID]
	if r.now().Sub(l.at) < loadReportTTL {
		return max(own, l.leases, l.reported)
	}
	return max(own, l.leases)
}

// ownerFailed stops using an owner that did not answer, for a backoff.
func (r *Router) ownerFailed(owner hosts.Host, err error) {
	r.mu.Lock()
	a, avoided := r.avoid[owner.Name]
	if !avoided {
		a = a.extended(r.now())
		r.avoid[owner.Name] = a
	}
	r.mu.Unlock()
	r.options.Reachability.Failed(owner.Name)
	if avoided {
		return
	}
	r.options.Log.Info("connection owner not reached", zap.String(logging.FieldDecision, "avoid_holder"),
		zap.String(logging.FieldPeer, owner.Name), zap.Duration("backoff", a.backoff), zap.Error(err))
}

// avoidPair stops using an owner for an instance that it cannot reach.
func (r *Router) avoidPair(owner hosts.Host, server *catalog.Server) {
	r.mu.Lock()
	now := r.now()
	for p, until := range r.avoidedPairs {
		if now.After(until) {
			delete(r.avoidedPairs, p)
		}
	}
	r.avoidedPairs[pair{owner.Name, server.ID}] = now.Add(pairAvoidTime)
	r.mu.Unlock()
	r.options.Log.Info("connection owner does not reach the instance", zap.String(logging.FieldDecision, "avoid_holder"),
		zap.String(logging.FieldPeer, owner.Name), zap.String(logging.FieldInstance, server.ID), zap.Duration("backoff", pairAvoidTime))
}

// ownerDraining stops using an owner that reported that it is stopping.
func (r *Router) ownerDraining(owner hosts.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoid[owner.Name] = avoidance{until: r.now().Add(drainingAvoidTime)}
}
