package gatewayd

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/connpool"
	"github.com/bramleylever/bramleylever/internal/gateway"
	"github.com/bramleylever/bramleylever/internal/hosts"
	"github.com/bramleylever/bramleylever/internal/leadership"
	"github.com/bramleylever/bramleylever/internal/peer"
	"github.com/bramleylever/bramleylever/internal/promotion"
	"github.com/bramleylever/bramleylever/internal/quota"
	"github.com/bramleylever/bramleylever/internal/reachability"
	"github.com/bramleylever/bramleylever/internal/recovery"
	"github.com/bramleylever/bramleylever/internal/relay"
	"github.com/bramleylever/bramleylever/internal/usage"
)

// components are the parts of a daemon.
type components struct {
	follower  *catalog.Follower
	exchange  *catalog.Exchange
	registry  *hosts.Registry
	peers     *peer.Pool
	limiter   *quota.Limiter
	detector  *isolationDetector
	pool      *connpool.Pool
	router    *relay.Router
	leaders   *leadership.Runner
	gateway   *gateway.Gateway
	promotion *promotion.Runner
	// usage is nil if no reports are asked for.
	usage *usage.Runner
}

// assemble creates the parts and connects them; none of them runs yet.
func (d *Daemon) assemble() *components {
	o := d.options
	self := hosts.Host{Name: o.Host, Domain: o.Domain, Address: o.PeerAddress, Capacity: o.Capacity}
	c := &components{peers: peer.NewPool(), registry: hosts.New(self, o.Store, d.log)}
	d.hosts.Store(c.registry)
	c.follower = catalog.NewFollower(o.Store, o.Layout, func() time.Duration { return d.Settings().DrainTime }, d.log)
	c.registry.OnReconnected(c.follower.Resync)
	c.exchange = catalog.NewExchange(c.follower, self, c.registry.Hosts, c.peers, d.log)
	c.detector = &isolationDetector{
		domains: reachability.New(o.Domain), peers: reachability.New(o.Host), silent: reachability.NewDomains(),
		fleet: func() int { count, _ := c.registry.Live(); return count },
	}
	c.limiter = quota.NewLimiter(quota.Options{
		Host: o.Host, Store: o.Store, HostCount: c.registry.Count, HostsKnown: c.registry.Known, Log: d.log,
		Slack: func() quota.Slack { return d.Settings().Slack }, Registry: o.Registry,
		Registered: c.registry.InUse, ConfirmedAt: c.registry.RenewedAt,
		Hosts: c.registry.Hosts, Lender: quota.PeerLender{Peers: c.peers},
		Accounts: func() map[string]*catalog.Account { return accounts(c.follower.Snapshot()) },
	})
	c.pool = connpool.New(connpool.Config{Dialer: o.Dialer, IdleTime: idleTime, Registry: o.Registry})
	c.router = relay.NewRouter(relay.Options{
		Self: o.Host, Pool: c.pool, Peers: c.peers, Hosts: c.registry.Hosts, Catalog: c.follower.Snapshot,
		Revisions: c.follower.RevisionsForPeers, Hint: c.follower.HintFromPeer, Reachability: c.detector.peers, Memory: o.Memory, Log: d.log, Registry: o.Registry,
	})
	c.leaders = leadership.New(leadership.Options{
		Self: o.Host, Store: o.Store, Peers: c.peers, Hosts: c.registry.Hosts, Counted: c.registry.Counted,
		Revisions: c.follower.RevisionsForPeers, Hint: c.follower.HintFromPeer, Catalog: c.exchange, Log: d.log, Registry: o.Registry,
		Observe:    c.detector.observe,
		DemoteHere: func(ctx context.Context, id string, epoch uint64) error { return c.gateway.Demote(ctx, id, epoch) },
		ClosesTerms: func() bool {
			return !d.Settings().Fenced || c.follower.Snapshot().ConfirmsCommits()
		},
	})
	c.registry.SetAlive(c.leaders.HostAlive)
	d.relayCatalog(c)
	counter := d.assembleUsage(c)
	c.gateway = gateway.New(gateway.Options{
		Catalog: c.follower.Snapshot, Changed: c.follower.Changed, Conns: c.router, Admission: c.limiter, Usage: counter,
		Positions: c.router, Terms: c.leaders, Domain: o.Domain, Memory: o.Memory, Reachability: c.detector.domains, Domains: c.detector.silent, Log: d.log, Registry: o.Registry,
	})
	c.promotion = promotion.New(promotion.Options{
		Host: o.Host, Domain: o.Domain, Store: o.Store, Catalog: c.follower.Snapshot, ReadServers: c.follower.ReadServers,
		Lease: c.registry.Lease, Hosts: c.registry.Live, Promoter: o.Promoter, Inspector: c.gateway.Inspector(),
		Failing: c.gateway.Failing, Terms: c.leaders, LeaderEpoch: c.gateway.LeaderEpoch, FindLeader: c.gateway.FindLeader,
		Rank: func(service string) int { return rank(o.Host, service, c) },
		Coordinators: promotion.GRPCCoordinators{
			Peers: c.peers, Ranked: func(service string) []hosts.Host { return ranked(service, c) },
		},
		Fenced: func() bool { return d.Settings().Fenced },
		Log:    d.log, Registry: o.Registry,
	})
	return c
}

// register adds the services for other hosts to a server.
func (c *components) register(server grpc.ServiceRegistrar) {
	c.router.Register(server, c.gateway)
	c.limiter.Register(server)
	c.leaders.Register(server)
	c.exchange.Register(server)
	c.promotion.Register(server)
	if c.usage != nil {
		c.usage.Register(server)
	}
}

// startLoops starts the control loops. Those that must end before a drain run until ctx
// ends, the others until background ends. The returned channel is closed once the host
// is no longer registered.
func (d *Daemon) startLoops(ctx, background context.Context, c *components) <-chan struct{} {
	recovery.Go("catalog", func() { c.follower.Run(background) })
	keep := func(server *catalog.Server) bool { return keepConnections(c.follower.Snapshot(), server) }
	loops := map[string]func(context.Context){
		"quota":            c.limiter.Run,
		"connection pool":  func(ctx context.Context) { c.pool.Run(ctx, keep) },
		"leadership":       c.leaders.Run,
		"catalog exchange": c.exchange.Run,
		"isolation":        func(ctx context.Context) { d.watchIsolation(ctx, c) },
	}
	for name, loop := range loops {
		go recovery.Loop(background, name, loop)
	}
	go recovery.Loop(ctx, "promotion", c.promotion.Run)
	unregistered := make(chan struct{})
	go func() {
		defer close(unregistered)
		recovery.Loop(ctx, "host registration", c.registry.Run)
	}()
	return unregistered
}
