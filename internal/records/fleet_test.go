package records_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/control"
	"github.com/bramleylever/bramleylever/internal/membership"
	"github.com/bramleylever/bramleylever/internal/peer"
	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/internal/platform/standin"
	"github.com/bramleylever/bramleylever/internal/records"
)

// fleet is a set of hosts with a common member table, each with a records runner
// and an elector, that use one store.
type fleet struct {
	server  *standin.Server
	domains []string

	mu       sync.Mutex
	hosts    []*fleetHost
	isolated map[string]bool
}

type fleetHost struct {
	fleet    *fleet
	identity peer.Identity
	runner   *records.Runner
	elector  *control.Elector
	feed     *records.Feed
	stop     func()
}

// view implements membership.View for one host: all running hosts are alive.
type view struct{ host *fleetHost }

func (v view) Self() membership.Member {
	id := v.host.identity
	return membership.Member{Host: id.Host, Domain: id.Domain, Address: id.Address, State: membership.StateAlive}
}

func (v view) Members() []membership.Member {
	f := v.host.fleet
	f.mu.Lock()
	hosts := slices.Clone(f.hosts)
	f.mu.Unlock()
	var out []membership.Member
	for _, h := range hosts {
		m := view{h}.Self()
		m.Relay = h.elector.Relay()
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b membership.Member) int { return strings.Compare(a.Host, b.Host) })
	return out
}

// start adds a host. Calls between it and other domains fail while its domain is
// isolated.
func (f *fleet) start(name, domain string, store platform.Store, seeds ...string) *fleetHost {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	h := &fleetHost{fleet: f, feed: records.NewFeed(), identity: peer.Identity{
		Host: name, Domain: domain, Address: listener.Addr().String(), Incarnation: 1,
	}}
	pool := peer.NewPool()
	h.elector = control.NewElector(control.Options{
		Self: h.identity, Store: store, View: view{h}, Log: zap.NewNop(), Seed: uint64(len(f.hosts)),
	})
	h.runner, err = records.NewRunner(records.RunnerOptions{
		Identity: h.identity, Domains: f.domains, Store: store, Pool: pool, View: view{h},
		Relay: h.elector.Relay, Seeds: seeds, Feed: h.feed, FetchInterval: 200 * time.Millisecond,
		RelayInterval: 100 * time.Millisecond, Bound: testBound, Seed: uint64(len(f.hosts)),
	})
	Expect(err).NotTo(HaveOccurred())
	server := grpc.NewServer(grpc.UnaryInterceptor(f.intercept(domain)))
	peerv1.RegisterRecordsServer(server, h.runner)
	go func() { _ = server.Serve(listener) }()
	f.mu.Lock()
	f.hosts = append(f.hosts, h)
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		electorDone := make(chan struct{})
		go func() {
			defer close(electorDone)
			_ = h.elector.Run(ctx)
		}()
		_ = h.runner.Run(ctx)
		<-electorDone
	}()
	h.stop = sync.OnceFunc(func() {
		f.mu.Lock()
		f.hosts = slices.DeleteFunc(f.hosts, func(other *fleetHost) bool { return other == h })
		f.mu.Unlock()
		cancel()
		server.Stop()
		<-done
		_ = pool.Close()
	})
	DeferCleanup(h.stop)
	return h
}

// intercept rejects calls between two domains if one of them is isolated.
func (f *fleet) intercept(domain string) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, r any, _ *grpc.UnaryServerInfo, run grpc.UnaryHandler) (any, error) {
		from := r.(interface{ GetSender() *peerv1.Sender }).GetSender().GetDomain()
		f.mu.Lock()
		refused := from != domain && (f.isolated[from] || f.isolated[domain])
		f.mu.Unlock()
		if refused {
			return nil, fmt.Errorf("domain is isolated")
		}
		return run(ctx, r)
	}
}

func (f *fleet) setIsolated(domain string, isolated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolated[domain] = isolated
}

func newFleet(perDomain int, domains ...string) *fleet {
	f := &fleet{server: startStore(), domains: domains, isolated: map[string]bool{}}
	for d, domain := range domains {
		for i := range perDomain {
			f.start(fmt.Sprintf("%s%02d", domain, i), domain, f.dial(d, i))
		}
	}
	return f
}

// dial connects to the store from an address in the domain's own range, so that
// the store can be made unreachable for the domain.
func (f *fleet) dial(domain, host int) platform.Store {
	store, err := platform.Dial(context.Background(), platform.Options{
		Endpoints:        []string{f.server.Address()},
		LocalAddress:     fmt.Sprintf("127.0.%d.%d", 10+domain, 1+host),
		Timeout:          300 * time.Millisecond,
		ProgressInterval: 100 * time.Millisecond,
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(store.Close)
	return store
}

func (h *fleetHost) rate() float64 {
	return h.feed.Current().Accounts["growers"].RequestsPerSecond
}

func (f *fleet) rates() []float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []float64
	for _, h := range f.hosts {
		out = append(out, h.rate())
	}
	return out
}

func (f *fleet) revisions() []int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []int64
	for _, h := range f.hosts {
		out = append(out, h.feed.Current().Revision)
	}
	return out
}

// apply sets the rate of an account and returns the revision of the change.
func (f *fleet) apply(rate string) int64 {
	client := records.NewClient(dialStore(f.server), "ann")
	result, err := client.Apply(context.Background(), []records.Record{newAccount("growers", rate)})
	Expect(err).NotTo(HaveOccurred())
	return result.Revision
}

func (f *fleet) eventuallyInForce(rev int64) {
	GinkgoHelper()
	Eventually(f.revisions, inForceTimeout, 20*time.Millisecond).Should(HaveEach(BeNumerically(">=", rev)))
}

func (f *fleet) confirmed() []bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []bool
	for _, h := range f.hosts {
		out = append(out, h.runner.Confirmed(time.Now()))
	}
	return out
}
