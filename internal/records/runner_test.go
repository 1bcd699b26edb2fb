package records_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
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

const (
	inForceTimeout = 10 * time.Second
	// testBound is the age up to which a contact confirms the records.
	testBound = 1500 * time.Millisecond
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

var _ = Describe("Promise 14: an accepted configuration is in force everywhere and never reverts", func() {
	// Guards against a change that does not reach all hosts.
	It("puts a change in force on every host of every domain", func() {
		f := newFleet(3, "a", "b", "c")
		f.eventuallyInForce(f.apply("5"))
		f.eventuallyInForce(f.apply("6"))
		Expect(f.rates()).To(HaveEach(6.0))
	})

	// Guards against a restarted host that puts an older configuration in force
	// because the store, which has the current one, is down.
	It("starts a host with the records of a majority of domains while the store is down", func() {
		f := newFleet(2, "a", "b", "c")
		at := f.apply("5")
		f.eventuallyInForce(at)
		Eventually(f.confirmed, inForceTimeout).Should(HaveEach(BeTrue()))
		f.server.SetDown(true)
		var seeds []string
		for _, h := range f.hosts {
			seeds = append(seeds, h.identity.Address)
		}
		f.hosts[0].stop()
		restarted := f.start("a00", "a", f.dial(0, 9), seeds...)
		Eventually(restarted.rate, inForceTimeout).Should(Equal(5.0))
		Expect(restarted.feed.Current().Revision).To(BeNumerically(">=", at))
		Expect(restarted.runner.Confirmed(time.Now())).To(BeTrue())
	})

	// Guards against a restarted host that puts in force a revision that only a
	// minority of domains confirms.
	It("does not start a host that reaches only a minority of domains", func() {
		f := newFleet(2, "a", "b", "c")
		f.eventuallyInForce(f.apply("5"))
		f.server.SetDown(true)
		f.setIsolated("a", true)
		// Until its contacts are older than the bound, the peer would pass them on
		// to the restarted host and so confirm its records.
		Eventually(func() bool { return f.hosts[1].runner.Confirmed(time.Now()) }, inForceTimeout).Should(BeFalse())
		seed := f.hosts[1].identity.Address
		f.hosts[0].stop()
		restarted := f.start("a00", "a", f.dial(0, 9), seed)
		Consistently(func() int64 { return restarted.feed.Current().Revision }, 2*testBound).Should(BeZero())
		Expect(restarted.runner.Confirmed(time.Now())).To(BeFalse())
	})

	// Guards against a domain that keeps an outdated configuration after it was
	// isolated from the store and the other domains.
	It("updates a domain that was isolated from the store and from the other domains", func() {
		f := newFleet(2, "a", "b", "c")
		f.eventuallyInForce(f.apply("5"))
		f.server.Cut(netip.MustParsePrefix("127.0.10.0/24"))
		f.setIsolated("a", true)
		second := f.apply("6")
		Eventually(func() []float64 { return f.rates()[2:] }, inForceTimeout).Should(HaveEach(6.0))
		Expect(f.rates()[:2]).To(HaveEach(5.0))
		Eventually(func() []bool { return f.confirmed()[:2] }, inForceTimeout).Should(HaveEach(BeFalse()))
		Expect(f.confirmed()[2:]).To(HaveEach(BeTrue()))
		f.server.Cut()
		f.setIsolated("a", false)
		f.eventuallyInForce(second)
		Eventually(f.confirmed, inForceTimeout).Should(HaveEach(BeTrue()))
	})

	// Guards against hosts that lose their confirmation, and so reject keys, because
	// the store is down.
	It("keeps records confirmed by a majority of domains while the store is down", func() {
		f := newFleet(2, "a", "b", "c")
		f.eventuallyInForce(f.apply("5"))
		f.server.SetDown(true)
		Consistently(f.confirmed, 3*testBound, 50*time.Millisecond).Should(HaveEach(BeTrue()))
		f.server.SetDown(false)
		f.eventuallyInForce(f.apply("6"))
	})

	// Guards against a deadlock when a subscriber of the feed calls the runner.
	It("lets subscribers of the feed call the runner", func() {
		f := newFleet(1, "a")
		h := f.hosts[0]
		results := make(chan bool, 100)
		cancel := h.feed.Subscribe(func(*records.Snapshot) { results <- h.runner.Confirmed(time.Now()) })
		defer cancel()
		f.eventuallyInForce(f.apply("5"))
		Eventually(results, inForceTimeout).Should(Receive(BeTrue()))
	})

	// Guards against a relay that misses changes because the store compacted them
	// before the relay's watch received them.
	It("reads the whole state after a compaction", func() {
		f := newFleet(1, "a")
		f.eventuallyInForce(f.apply("5"))
		f.server.SetDown(true)
		Expect(f.server.SetFaults(standin.Faults{})).To(Succeed())
		at := f.apply("6")
		f.server.Compact(at)
		f.eventuallyInForce(at)
	})
})

var _ = Describe("relays", func() {
	// Guards against a load on the store that grows with the number of hosts.
	It("load the store independently of the number of hosts", func() {
		const window = 2 * time.Second
		relays := 2 * control.RelaysPerDomain
		storeCalls := func(perDomain int) int64 {
			f := newFleet(perDomain, "a", "b")
			f.eventuallyInForce(f.apply("5"))
			Eventually(f.confirmed, inForceTimeout).Should(HaveEach(BeTrue()))
			Eventually(f.relayCount, inForceTimeout).Should(Equal(relays))
			// The calls are counted only after the elections for buckets, in which
			// hosts other than relays call the store too.
			Eventually(f.heldBuckets, inForceTimeout).Should(Equal(control.BucketCount))
			Eventually(func() int { return len(f.storeCallsByHost(quietPeriod)) }, inForceTimeout).Should(BeNumerically("<=", relays))
			calls := f.storeCallsByHost(window)
			Expect(len(calls)).To(BeNumerically("<=", relays), "hosts that called the store: %v", calls)
			for _, h := range slices.Clone(f.hosts) {
				h.stop()
			}
			var sum int64
			for _, n := range calls {
				sum += n
			}
			return sum
		}
		small, large := storeCalls(4), storeCalls(24)
		AddReportEntry("store calls", fmt.Sprintf("2 domains, %v: %d with 8 hosts, %d with 48 hosts", window, small, large))
		// The margin allows for one tick more or less of each relay.
		Expect(large).To(BeNumerically("<=", small+small/4))
	})

	// Guards against a domain without relays after both of them stopped.
	It("are replaced when they stop", func() {
		f := newFleet(4, "a")
		f.eventuallyInForce(f.apply("5"))
		Eventually(f.relayCount, inForceTimeout).Should(Equal(2))
		for _, h := range slices.Clone(f.hosts) {
			if h.elector.Relay() {
				h.stop()
			}
		}
		Eventually(f.relayCount, inForceTimeout).Should(Equal(2))
		f.eventuallyInForce(f.apply("6"))
	})
})

func (f *fleet) relayCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, h := range f.hosts {
		if h.elector.Relay() {
			n++
		}
	}
	return n
}

// quietPeriod is long enough to see that only relays call the store, which means
// that the elections for buckets are over.
const quietPeriod = 300 * time.Millisecond

// heldBuckets returns the number of control buckets that running hosts hold.
func (f *fleet) heldBuckets() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, h := range f.hosts {
		n += len(h.elector.Claims())
	}
	return n
}

// storeCallsByHost waits for a period and returns the number of store calls that
// each host made in it.
func (f *fleet) storeCallsByHost(period time.Duration) map[string]int64 {
	before := f.server.CallsByClient()
	time.Sleep(period)
	out := map[string]int64{}
	for client, kinds := range f.server.CallsByClient() {
		for kind, n := range kinds {
			if n -= before[client][kind]; n > 0 {
				out[client] += n
			}
		}
	}
	return out
}
