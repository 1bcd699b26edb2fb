// Package proxy assembles the proxy daemon: it starts the components in the order of their
// dependencies and stops them in reverse order.
//
// Invariant: the proxy reports ready only after a configuration is in force, and a graceful stop
// (Drain) lets accepted requests finish within its timeout.
package proxy

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/admin"
	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/internal/control"
	"github.com/bramleylever/bramleylever/internal/drain"
	"github.com/bramleylever/bramleylever/internal/failover"
	"github.com/bramleylever/bramleylever/internal/frontend"
	"github.com/bramleylever/bramleylever/internal/membership"
	"github.com/bramleylever/bramleylever/internal/peer"
	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/internal/records"
	"github.com/bramleylever/bramleylever/internal/recovery"
	"github.com/bramleylever/bramleylever/internal/settings"
	"github.com/bramleylever/bramleylever/internal/shares"
	"github.com/bramleylever/bramleylever/internal/topology"
)

// DialFunc opens an outgoing network connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options configures a proxy.
type Options struct {
	Settings settings.Settings
	Log      *zap.Logger
	// Dial replaces the TCP dialer, for tests of network partitions; nil means a TCP dialer that
	// uses the source address of the settings.
	Dial DialFunc
	// PeerListener, if set, accepts the connections of peers, and the peer address of the settings
	// is not used.
	PeerListener net.Listener
}

// Proxy is a running proxy daemon.
type Proxy struct {
	settings settings.Settings
	log      *zap.Logger
	dial     DialFunc
	registry metrics.Registry
	identity peer.Identity

	store    platform.Store
	peers    *peer.Pool
	server   *peer.Server
	feed     *records.Feed
	topology *topology.Table
	weights  *drain.Weights
	members  *membership.Runner
	elector  *control.Elector
	records  *records.Runner
	failover *failover.Runner
	shares   *shares.Runner
	frontend *frontend.Server
	admin    *admin.Server

	callerListener net.Listener
	draining       atomic.Bool

	// stopControl cancels the components that startControl started; it is nil before that.
	stopControl context.CancelFunc
	// running waits for the goroutines that run and startFrontend started.
	running   sync.WaitGroup
	closeOnce sync.Once
}

// Start starts a proxy, which runs until Drain or Close. It returns once callers can connect. The
// proxy becomes ready when a configuration is in force.
func Start(o Options) (*Proxy, error) {
	p := &Proxy{
		settings: o.Settings,
		log:      o.Log,
		dial:     o.Dial,
		registry: metrics.NewRegistry(),
		feed:     records.NewFeed(),
		topology: topology.NewTable(),
		weights:  drain.NewWeights(),
	}
	recovery.LogTo(p.log, p.registry)
	if p.dial == nil {
		p.dial = sourceDialer(o.Settings.Backend.SourceAddress)
	}
	if err := p.start(o.PeerListener); err != nil {
		p.Close()
		return nil, fmt.Errorf("start proxy %s: %w", o.Settings.Host, err)
	}
	return p, nil
}

func sourceDialer(source string) DialFunc {
	dialer := &net.Dialer{}
	if address, err := netip.ParseAddr(source); err == nil {
		dialer.LocalAddr = &net.TCPAddr{IP: address.AsSlice()}
	}
	return dialer.DialContext
}

func (p *Proxy) now() time.Time { return time.Now() }

func (p *Proxy) start(peers net.Listener) error {
	if err := p.connect(peers); err != nil {
		return err
	}
	if err := p.startControl(); err != nil {
		return err
	}
	if err := p.startFrontend(); err != nil {
		return err
	}
	var err error
	p.admin, err = admin.Start(admin.Config{
		Address:  p.settings.Listen.Admin,
		Ready:    p.readiness,
		Status:   func() any { return p.Status() },
		Registry: p.registry,
	})
	return err
}

// connect opens the listener for peers, the pool of connections to peers and the client of the
// platform's store.
func (p *Proxy) connect(peers net.Listener) error {
	s := p.settings
	var err error
	if peers != nil {
		p.server = peer.NewServer(peers, p.registry)
	} else if p.server, err = peer.Listen(s.Listen.Peers, p.registry); err != nil {
		return err
	}
	p.identity = peer.Identity{
		Host:        s.Host,
		Domain:      s.FailureDomain,
		Address:     p.server.Address(),
		Incarnation: uint64(time.Now().UnixNano()),
	}
	p.peers = peer.NewPool(peer.WithDial(p.dial), peer.WithTrafficStats(p.registry))
	p.store, err = platform.Dial(context.Background(), platform.Options{
		Endpoints: s.Platform.Endpoints,
		Timeout:   s.Platform.Timeout,
		DialFunc: func(ctx context.Context, address string) (net.Conn, error) {
			return p.dial(ctx, "tcp", address)
		},
	})
	return err
}

// startControl starts the peer server, membership, the elector, records, failover and shares.
func (p *Proxy) startControl() error {
	if err := p.newControl(); err != nil {
		return err
	}
	p.members.Register(p.server)
	peerv1.RegisterRecordsServer(p.server, p.records)
	p.failover.Register(p.server)
	p.shares.Register(p.server)
	ctx, cancel := context.WithCancel(context.Background())
	p.stopControl = cancel
	p.feed.Subscribe(func(snapshot *records.Snapshot) {
		p.weights.Apply(p.now(), snapshot)
		p.members.SetRevision(snapshot.Revision)
	})
	p.run(ctx, "peer server", func(context.Context) error { return p.server.Serve() })
	p.run(ctx, "membership", p.members.Run)
	p.run(ctx, "elector", p.elector.Run)
	p.run(ctx, "records", p.records.Run)
	p.run(ctx, "failover", p.failover.Run)
	p.run(ctx, "shares", p.shares.Run)
	return nil
}

func (p *Proxy) newControl() error {
	s := p.settings
	p.members = membership.NewRunner(membership.Options{
		Self:   p.identity,
		Seeds:  s.Peers.Seeds,
		Peers:  p.peers,
		Log:    p.log.Named("membership"),
		Digest: p.digest,
	})
	p.elector = control.NewElector(control.Options{
		Self:     p.identity,
		Store:    p.store,
		View:     p.members,
		OnChange: p.announceRelay,
		Log:      p.log.Named("control"),
		Registry: p.registry,
	})
	var err error
	p.records, err = records.NewRunner(records.RunnerOptions{
		Identity: p.identity,
		Domains:  s.FailureDomains,
		Store:    p.store,
		Pool:     p.peers,
		View:     p.members,
		Relay:    p.elector.Relay,
		Seeds:    s.Peers.Seeds,
		Feed:     p.feed,
		Log:      p.log.Named("records"),
		Seed:     p.identity.Incarnation,
	})
	if err != nil {
		return err
	}
	password, err := p.backendPassword()
	if err != nil {
		return err
	}
	if s.Backend.ControlPassword != "" {
		password = s.Backend.ControlPassword
	}
	p.failover = failover.NewRunner(failover.Options{
		Self:    p.identity,
		Feed:    p.feed,
		Buckets: p.elector,
		Dialer: backend.PGDialer{
			Password: password,
			Timeout:  s.Backend.ConnectTimeout,
			DialFunc: p.dial,
		},
		Topology:       p.topology,
		View:           p.members,
		Peers:          p.peers,
		Log:            p.log.Named("failover"),
		Metrics:        p.registry,
		SingleDomain:   len(s.FailureDomains) == 1,
		OnClaimsChange: p.members.SetBuckets,
	})
	p.members.OnDigest(func(from membership.Member, d membership.Digest) {
		p.failover.OnDigest(from, d.TopologyHash)
	})
	p.shares = shares.New(shares.Options{
		Identity: p.identity,
		Feed:     p.feed,
		Members:  p.members,
		Buckets:  p.elector,
		Peers:    p.peers,
		Metrics:  p.registry,
		Log:      p.log.Named("shares"),
	})
	return nil
}

func (p *Proxy) digest() membership.Digest {
	return membership.Digest{
		Revision:     p.feed.Current().Revision,
		ConfirmedAge: -1,
		TopologyHash: p.topology.Hash(),
	}
}

func (p *Proxy) announceRelay() {
	p.members.SetRelay(p.elector.Relay())
}

// run starts a component in a goroutine. It logs an error that the component returns before ctx
// is canceled.
func (p *Proxy) run(ctx context.Context, name string, component func(context.Context) error) {
	p.running.Go(func() {
		recovery.Loop(ctx, name, func(ctx context.Context) {
			if err := component(ctx); err != nil && ctx.Err() == nil {
				p.log.Error("component stopped with an error", zap.String("part", name), zap.Error(err))
			}
		})
	})
}

func (p *Proxy) backendPassword() (string, error) {
	if p.settings.Backend.PasswordFile == "" {
		return p.settings.Backend.Password, nil
	}
	content, err := os.ReadFile(p.settings.Backend.PasswordFile)
	if err != nil {
		return "", fmt.Errorf("backend.password_file: %w", err)
	}
	return strings.TrimRight(string(content), "\r\n"), nil
}

// startFrontend starts the server for callers.
func (p *Proxy) startFrontend() error {
	config, err := p.frontendConfig()
	if err != nil {
		return err
	}
	p.frontend = frontend.New(config)
	p.callerListener, err = net.Listen("tcp", p.settings.Listen.Callers)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	p.running.Go(func() { _ = p.frontend.Serve(p.callerListener) })
	return nil
}

func (p *Proxy) tlsConfig() (*tls.Config, error) {
	if p.settings.TLS.CertificateFile == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(p.settings.TLS.CertificateFile, p.settings.TLS.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, nil
}

// CallerAddress returns the address on which the proxy listens for callers.
func (p *Proxy) CallerAddress() string { return p.callerListener.Addr().String() }

// PeerAddress returns the address on which the proxy listens for other proxies.
func (p *Proxy) PeerAddress() string { return p.server.Address() }

// AdminAddress returns the address on which the admin server listens.
func (p *Proxy) AdminAddress() string { return p.admin.Address() }

// Registry returns the proxy's metrics.
func (p *Proxy) Registry() metrics.Registry { return p.registry }

func (p *Proxy) confirmed(now time.Time) bool { return p.records.Confirmed(now) }

// readiness returns the readiness that the admin server reports to the load balancer.
func (p *Proxy) readiness() admin.Readiness {
	snapshot := p.feed.Current()
	switch {
	case p.draining.Load():
		return admin.Readiness{Reason: "draining"}
	case snapshot.Revision == 0:
		return admin.Readiness{Reason: "no configuration yet"}
	case snapshot.HostLeaving(p.identity.Host, p.identity.Domain):
		return admin.Readiness{Reason: "taken out of service by a record"}
	default:
		return admin.Readiness{Ready: true}
	}
}
