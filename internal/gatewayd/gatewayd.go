// Package gatewayd implements the gateway daemon of a host: it follows the catalog, serves
// callers, takes part in control duties such as promotions, and shuts down gracefully.
package gatewayd

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/connpool"
	"github.com/bramleylever/bramleylever/internal/gateway"
	"github.com/bramleylever/bramleylever/internal/hosts"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/membudget"
	"github.com/bramleylever/bramleylever/internal/peer"
	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/internal/promotion"
	"github.com/bramleylever/bramleylever/internal/quota"
	"github.com/bramleylever/bramleylever/internal/usage"
)

const (
	// idleTime is how long an unused connection to an instance stays open. It is below
	// the minute after which instances close idle connections, but well above 20 s:
	// most accounts use an instance less often than every 20 s, and opening a
	// connection occupies one of its slots.
	idleTime = 50 * time.Second
	// removalTime is how long the load balancer takes to stop sending callers to a host
	// that is not ready: it needs two probes, which are a second apart.
	removalTime = 2200 * time.Millisecond
)

// Reloadable holds the settings that may change while the daemon runs.
type Reloadable struct {
	// Grace is the time from the stop signal to the end of the process.
	Grace time.Duration
	// Slack is how far a client account may exceed its limit.
	Slack quota.Slack
	// DrainTime is how long a backend server may still get work after it has announced
	// that it is draining.
	DrainTime time.Duration
	// Fenced says that the platform refuses promotion orders with an old fencing token,
	// and that a primary loses its role when another instance takes it.
	Fenced bool
}

// Options configures a daemon. The functions provide the wire formats of a platform.
type Options struct {
	Host   string
	Domain string
	// Capacity is the host's processor capacity in cores, 0 if it is not known. Ownership of
	// connections and duties go to hosts in proportion to it.
	Capacity float64
	// PeerAddress is the address at which other hosts reach this one.
	PeerAddress string
	Reloadable
	Store  platform.Store
	Layout catalog.Layout
	Dialer connpool.Dialer
	// Promoter sends promotion orders.
	Promoter promotion.Promoter
	// Usage says how the usage of client accounts is reported, and UsageReporter takes the
	// reports. A change needs a restart.
	Usage         usage.Policy
	UsageReporter usage.Reporter
	// ServeCallers accepts callers for the gateway until it is closed.
	ServeCallers func(*gateway.Gateway) (Callers, error)
	// ServeReadiness answers the load balancer's readiness probes.
	ServeReadiness func(ready func() bool) (io.Closer, error)
	// Memory bounds what callers and other hosts can make the process hold; nil means no bound.
	Memory   *membudget.Budget
	Log      *zap.Logger
	Registry metrics.Registry
}

// Callers serves the callers' connections.
type Callers interface {
	// Close stops accepting connections; open ones are still served, and those on which
	// no message has arrived are closed. No connection is added after it returns.
	Close() error
	// Connections returns the number of open connections, also those on which no session
	// has been opened yet.
	Connections() int
}

// Daemon is a running gateway.
type Daemon struct {
	options Options
	log     *zap.Logger
	ready   atomic.Bool
	// isolated is set while the isolation detector reports that the host is isolated.
	isolated atomic.Bool
	current  atomic.Pointer[Reloadable]
	// hosts is set by Run.
	hosts atomic.Pointer[hosts.Registry]
}

// New returns a daemon that does nothing until Run is called.
func New(o Options) *Daemon {
	d := &Daemon{options: o, log: o.Log}
	d.Reload(o.Reloadable)
	return d
}

// Settings returns the current settings.
func (d *Daemon) Settings() Reloadable { return *d.current.Load() }

// Reload replaces the current settings.
func (d *Daemon) Reload(r Reloadable) { d.current.Store(&r) }

const (
	// watchPerWatcher is multiplied by the number of hosts that watch the store to get
	// the length of a watch. As their watches end at different times, about one of them
	// ends every watchPerWatcher, and its host passes what it learned to the others.
	watchPerWatcher = 500 * time.Millisecond
	// minWatch is the minimum length of a watch, also used by a host that gets no
	// hints. A configuration must be in force 3 s after the store is stable again, and
	// becoming stable takes the store 4 s.
	minWatch = 3500 * time.Millisecond
	maxWatch = 6 * time.Second
)

// WatchTime returns how long the next watch of the store waits for a change. It is
// randomized, so that the watches of the hosts do not end at the same time.
func (d *Daemon) WatchTime() time.Duration {
	registry := d.hosts.Load()
	if registry == nil {
		return minWatch
	}
	known, domains := registry.Live()
	if known <= hosts.MaxSmallFleet {
		return minWatch
	}
	limit := min(maxWatch, time.Duration(domains*catalog.WatchersPerDomain)*watchPerWatcher)
	return max(minWatch, limit/2+rand.N(limit/2+1))
}

// Run serves callers until ctx ends, then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	o := d.options
	d.log.Info("start", zap.String("host", o.Host), zap.String(logging.FieldDomain, o.Domain))
	background, stop := context.WithCancel(context.Background())
	defer stop()
	c := d.assemble()
	defer func() { _ = c.peers.Close() }()
	server, err := peer.Listen(o.PeerAddress, o.Registry)
	if err != nil {
		return err
	}
	defer server.Stop()
	c.register(server)
	go func() {
		if err := server.Serve(); err != nil {
			d.log.Error("peer server failed", zap.Error(err))
		}
	}()
	readiness, err := o.ServeReadiness(func() bool { return d.ready.Load() && !d.isolated.Load() })
	if err != nil {
		return fmt.Errorf("serve readiness: %w", err)
	}
	defer func() { _ = readiness.Close() }()
	callers, err := o.ServeCallers(c.gateway)
	if err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	defer func() { _ = callers.Close() }()
	unregistered := d.startLoops(ctx, background, c)
	stopUsage := c.startUsage(background)
	defer stopUsage()
	if c.follower.WaitReady(ctx) == nil {
		c.limiter.WaitRestored(ctx)
		d.ready.Store(true)
		d.log.Info("ready", zap.Int64("config_version", c.follower.Snapshot().Config.Version))
	}
	<-ctx.Done()
	d.drain(c.gateway, callers, c.router, unregistered)
	return nil
}

// relayCatalog makes a few hosts of each failure domain follow the store for the others
// in a large fleet.
func (d *Daemon) relayCatalog(c *components) {
	c.follower.SetRelaying(catalog.Relaying{
		Known:    c.registry.Known,
		Isolated: c.leaders.Isolated,
		Enabled: func() bool {
			known, _ := c.registry.Live()
			return known > hosts.MaxSmallFleet
		},
		Watches: func() bool {
			watchers := catalog.Watchers(d.options.Domain, c.leaders.Alive())
			return slices.ContainsFunc(watchers, func(h hosts.Host) bool { return h.Name == d.options.Host })
		},
	})
}

// rank returns the position of a host in the order in which the hosts that are alive act
// on a service. In a small fleet every host is the first.
func rank(self, service string, c *components) int {
	return max(0, slices.IndexFunc(ranked(service, c), func(h hosts.Host) bool { return h.Name == self }))
}

// ranked returns the hosts that are alive in the order in which they act on a service; nil in
// a small fleet.
func ranked(service string, c *components) []hosts.Host {
	if known, _ := c.registry.Live(); known <= hosts.MaxSmallFleet {
		return nil
	}
	all := c.leaders.Alive()
	hosts.Rank(all, service)
	return all
}

// accounts returns the accounts of the current configuration, or nil without one.
func accounts(snapshot *catalog.Snapshot) map[string]*catalog.Account {
	if snapshot.Config == nil {
		return nil
	}
	return snapshot.Config.Accounts
}

// keepConnections reports whether the connections to a server stay open: the same
// incarnation is still registered, and neither drained nor evacuated.
func keepConnections(snapshot *catalog.Snapshot, server *catalog.Server) bool {
	current := snapshot.Servers[server.ID]
	return current != nil && current.Started == server.Started && !current.Drained(time.Now()) && !snapshot.Evacuated[current.Domain]
}
