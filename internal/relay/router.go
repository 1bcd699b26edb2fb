// Package relay concentrates the connections to each instance on few hosts.
//
// Instances accept few connections, and a connection serves one client account.
// If every host kept its own, most operations would have to open one. So each
// pair of an instance and an account has a holder, chosen by rendezvous hashing
// among the hosts in the instance's failure domain; other hosts run their work
// over the holder's connections. A host that reaches no holder connects to the
// instance itself.
//
// Invariant: work whose outcome at a holder is not known is never reported as
// not run.
package relay

import (
	"context"
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
	"github.com/bramleylever/bramleylever/internal/peer"
	"github.com/bramleylever/bramleylever/internal/reachability"
)

const (
	// minAvoid and maxAvoid bound how long a holder that failed is not used.
	minAvoid = 300 * time.Millisecond
	maxAvoid = 3 * time.Second
	// openTimeout bounds how long work waits for a stream to its holder. Then
	// another holder is used, because nothing was sent.
	openTimeout = 200 * time.Millisecond
	// leavingAvoid is how long a host that said that it stops is not used.
	leavingAvoid = 10 * time.Second
	// useValidity is how long a holder's report of its load counts.
	useValidity = 300 * time.Millisecond
)

// Options configures a Router.
type Options struct {
	Self    string
	Pool    *connpool.Pool
	Peers   *peer.Pool
	Hosts   func() []hosts.Host
	Catalog func() *catalog.Snapshot
	// Revisions and Hint exchange with other hosts how much of the catalog is
	// known.
	Revisions func() catalog.Revisions
	Hint      func(catalog.Revisions)
	// Reach learns which hosts answer.
	Reach *reachability.Tracker
	Log   *zap.Logger
	// Registry receives the metrics.
	Registry metrics.Registry
}

// Router hands out connections, own or relayed. It implements
// connpool.Source.
type Router struct {
	options Options
	now     func() time.Time
	sampler Sampler
	leaving atomic.Bool
	relayed metrics.Counter
	direct  metrics.Counter

	mu     sync.Mutex
	avoid  map[string]avoidance
	remote map[string]load
}

// avoidance says that a host is not used as holder: until a time, and then until
// it answers a ping.
type avoidance struct {
	until   time.Time
	backoff time.Duration
	probing bool
}

// load is what is known of the use of an instance's connections elsewhere.
type load struct {
	own      int
	reported int
	at       time.Time
}

var _ connpool.Source = (*Router)(nil)

// NewRouter returns a router; Register makes it a holder for others.
func NewRouter(o Options) *Router {
	return &Router{
		options: o, now: time.Now, avoid: map[string]avoidance{}, remote: map[string]load{},
		relayed: metrics.GetOrRegisterCounter("relay.leases_count", o.Registry),
		direct:  metrics.GetOrRegisterCounter("relay.direct_count", o.Registry),
	}
}

// Register serves other hosts on a gRPC server. The sampler tells them the
// positions of leaders.
func (r *Router) Register(s grpc.ServiceRegistrar, sampler Sampler) {
	r.sampler = sampler
	peerv1.RegisterRelayServer(s, service{router: r})
}

// Drain makes the router refuse new leases, so that other hosts turn away.
func (r *Router) Drain() { r.leaving.Store(true) }

const (
	// connsPerHolder is the number of connections that a holder should have, so
	// that it seldom has to close one account's for another's.
	connsPerHolder = 12
	// minHolders is the least number of holders of an instance, so that one
	// that fails leaves another.
	minHolders = 2
)

// holders returns the hosts that may hold connections to an instance, the
// preferred ones first, and how many of them do. They are in the instance's
// failure domain, if there is any host.
func (r *Router) holders(server *catalog.Server, conns int) (ranked []hosts.Host, count int) {
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
	return ranked, min(len(ranked), max(minHolders, conns/connsPerHolder))
}

// holder returns the holder for a pair of an instance and an account, or false
// if none can be used now.
func (r *Router) holder(server *catalog.Server, account string) (hosts.Host, bool) {
	ranked, count := r.holders(server, maxConns(r.options.Catalog(), server))
	pair := server.ID + "\x00" + account
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var best hosts.Host
	var bestScore uint64
	for _, h := range ranked {
		self := h.Name == r.options.Self
		if !self && (h.Address == "" || r.avoids(h, now)) {
			continue
		}
		if s := hosts.Score(pair, h); best.Name == "" || s > bestScore {
			best, bestScore = h, s
		}
		if count--; count == 0 {
			break
		}
	}
	return best, best.Name != ""
}

// avoids reports whether a host is not used now. When its time is over it is
// pinged, so that no caller's work waits for a host that is still not reached.
// The caller holds the lock.
func (r *Router) avoids(h hosts.Host, now time.Time) bool {
	a, avoided := r.avoid[h.Name]
	if avoided && !a.probing && !now.Before(a.until) {
		a.probing = true
		r.avoid[h.Name] = a
		go r.probe(h)
	}
	return avoided
}

// probe pings a host that is avoided and uses it again if it answers.
func (r *Router) probe(h hosts.Host) {
	err := r.Ping(context.Background(), h)
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.avoid[h.Name]
	if err == nil {
		delete(r.avoid, h.Name)
		r.options.Log.Info("holder reached again", zap.String(logging.FieldDecision, "use_holder"),
			zap.String(logging.FieldPeer, h.Name))
		return
	}
	r.avoid[h.Name] = a.extended(r.now())
}

// extended returns the avoidance after one more failure.
func (a avoidance) extended(now time.Time) avoidance {
	backoff := min(maxAvoid, max(minAvoid, 2*a.backoff))
	return avoidance{until: now.Add(backoff), backoff: backoff}
}

// Acquire implements connpool.Source. A relayed connection is opened with its
// first work.
func (r *Router) Acquire(ctx context.Context, server *catalog.Server, account string, values connpool.Values) (connpool.Handle, error) {
	holder, ok := r.holder(server, account)
	if ok && holder.Name != r.options.Self {
		r.relayed.Inc(1)
		r.count(server, 1)
		return &remote{router: r, holder: holder, server: server, account: account}, nil
	}
	if !ok {
		r.direct.Inc(1)
	}
	return r.options.Pool.AcquireHandle(ctx, server, account, values, r.limit(r.options.Catalog(), server))
}

// count changes the number of leases of this host at other holders.
func (r *Router) count(server *catalog.Server, change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.remote[server.ID]
	l.own += change
	r.remote[server.ID] = l
}

// report records the load that a holder reported.
func (r *Router) report(server *catalog.Server, use int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.remote[server.ID]
	l.reported, l.at = use, r.now()
	r.remote[server.ID] = l
}

// Load implements connpool.Source.
func (r *Router) Load(server *catalog.Server) int {
	use := r.options.Pool.Load(server)
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.remote[server.ID]
	if r.now().Sub(l.at) < useValidity {
		return max(use, l.own, l.reported)
	}
	return max(use, l.own)
}

// failed turns away from a holder that did not answer.
func (r *Router) failed(holder hosts.Host, err error) {
	r.mu.Lock()
	a, avoided := r.avoid[holder.Name]
	if !avoided {
		a = a.extended(r.now())
		r.avoid[holder.Name] = a
	}
	r.mu.Unlock()
	r.options.Reach.Failed(holder.Name)
	if avoided {
		return
	}
	// The connection may have gone silent, while a new one would work.
	r.options.Peers.CloseConn(holder.Address)
	r.options.Log.Info("holder not reached", zap.String(logging.FieldDecision, "avoid_holder"),
		zap.String(logging.FieldPeer, holder.Name), zap.Duration("backoff", a.backoff), zap.Error(err))
}

// left turns away from a holder that said that it stops.
func (r *Router) left(holder hosts.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoid[holder.Name] = avoidance{until: r.now().Add(leavingAvoid)}
}
