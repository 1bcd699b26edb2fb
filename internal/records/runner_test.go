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
	// testBound is the confirmation bound of the tests.
	testBound = 1500 * time.Millisecond
)

// fleet is a set of hosts that see one another in a shared view.
type fleet struct {
	server  *standin.Server
	domains []string

	mu    sync.Mutex
	hosts []*fleetHost
	cut   map[string]bool
}

type fleetHost struct {
	fleet    *fleet
	identity peer.Identity
	runner   *records.Runner
	elector  *control.Elector
	feed     *records.Feed
	stop     func()
}

// view is what one host sees of its fleet.
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

// start adds a host; its calls fail while its domain is cut off from others.
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
		elected := make(chan struct{})
		go func() {
			defer close(elected)
			_ = h.elector.Run(ctx)
		}()
		_ = h.runner.Run(ctx)
		<-elected
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

// intercept refuses calls between domains of which one is cut off.
func (f *fleet) intercept(domain string) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, r any, _ *grpc.UnaryServerInfo, run grpc.UnaryHandler) (any, error) {
		from := r.(interface{ GetSender() *peerv1.Sender }).GetSender().GetDomain()
		f.mu.Lock()
		refused := from != domain && (f.cut[from] || f.cut[domain])
		f.mu.Unlock()
		if refused {
			return nil, fmt.Errorf("cut off")
		}
		return run(ctx, r)
	}
}

func (f *fleet) setCut(domain string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[domain] = cut
}

func newFleet(perDomain int, domains ...string) *fleet {
	f := &fleet{server: startStore(), domains: domains, cut: map[string]bool{}}
	for d, domain := range domains {
		for i := range perDomain {
			f.start(fmt.Sprintf("%s%02d", domain, i), domain, f.dial(d, i))
		}
	}
	return f
}

// dial gives each domain an address range of its own, so that it can be cut.
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

// apply accepts a change and returns its revision.
func (f *fleet) apply(rate string) int64 {
	client := records.NewClient(dialStore(f.server), "ann")
	result, err := client.Apply(context.Background(), []records.Record{account("growers", rate)})
	Expect(err).NotTo(HaveOccurred())
	return result.Revision
}

func (f *fleet) eventuallyAt(at int64) {
	GinkgoHelper()
	Eventually(f.revisions, inForceTimeout, 20*time.Millisecond).Should(HaveEach(BeNumerically(">=", at)))
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
	// Guards against hosts that a change does not reach.
	It("reaches every host of every domain", func() {
		f := newFleet(3, "a", "b", "c")
		f.eventuallyAt(f.apply("5"))
		f.eventuallyAt(f.apply("6"))
		Expect(f.rates()).To(HaveEach(6.0))
	})

	// Guards against a host that comes back with an older configuration because
	// the store cannot tell it the present one.
	It("starts a host from a majority of domains while the store is down", func() {
		f := newFleet(2, "a", "b", "c")
		at := f.apply("5")
		f.eventuallyAt(at)
		Eventually(f.confirmed, inForceTimeout).Should(HaveEach(BeTrue()))
		f.server.SetDown(true)
		var seeds []string
		for _, h := range f.hosts {
			seeds = append(seeds, h.identity.Address)
		}
		f.hosts[0].stop()
		again := f.start("a00", "a", f.dial(0, 9), seeds...)
		Eventually(again.rate, inForceTimeout).Should(Equal(5.0))
		Expect(again.feed.Current().Revision).To(BeNumerically(">=", at))
		Expect(again.runner.Confirmed(time.Now())).To(BeTrue())
	})

	// Guards against a restarted host that serves what only a minority shows.
	It("does not start a host that reaches only a minority of domains", func() {
		f := newFleet(2, "a", "b", "c")
		f.eventuallyAt(f.apply("5"))
		f.server.SetDown(true)
		f.setCut("a", true)
		// A peer may pass on contacts that are not yet older than the bound.
		Eventually(func() bool { return f.hosts[1].runner.Confirmed(time.Now()) }, inForceTimeout).Should(BeFalse())
		seed := f.hosts[1].identity.Address
		f.hosts[0].stop()
		again := f.start("a00", "a", f.dial(0, 9), seed)
		Consistently(func() int64 { return again.feed.Current().Revision }, 2*testBound).Should(BeZero())
		Expect(again.runner.Confirmed(time.Now())).To(BeFalse())
	})

	// Guards against a domain that keeps an old configuration after a cut.
	It("catches up after a cut from the store and from the other domains", func() {
		f := newFleet(2, "a", "b", "c")
		f.eventuallyAt(f.apply("5"))
		f.server.Cut(netip.MustParsePrefix("127.0.10.0/24"))
		f.setCut("a", true)
		second := f.apply("6")
		Eventually(func() []float64 { return f.rates()[2:] }, inForceTimeout).Should(HaveEach(6.0))
		Expect(f.rates()[:2]).To(HaveEach(5.0))
		Eventually(func() []bool { return f.confirmed()[:2] }, inForceTimeout).Should(HaveEach(BeFalse()))
		Expect(f.confirmed()[2:]).To(HaveEach(BeTrue()))
		f.server.Cut()
		f.setCut("a", false)
		f.eventuallyAt(second)
		Eventually(f.confirmed, inForceTimeout).Should(HaveEach(BeTrue()))
	})

	// Guards against refusing every key because the store is down.
	It("stays confirmed by a majority of domains while the store is down", func() {
		f := newFleet(2, "a", "b", "c")
		f.eventuallyAt(f.apply("5"))
		f.server.SetDown(true)
		Consistently(f.confirmed, 3*testBound, 50*time.Millisecond).Should(HaveEach(BeTrue()))
		f.server.SetDown(false)
		f.eventuallyAt(f.apply("6"))
	})

	// Guards against a subscriber that blocks the dissemination by asking about
	// it.
	It("lets subscribers of the feed ask the runner", func() {
		f := newFleet(1, "a")
		h := f.hosts[0]
		asked := make(chan bool, 100)
		cancel := h.feed.Subscribe(func(*records.Snapshot) { asked <- h.runner.Confirmed(time.Now()) })
		defer cancel()
		f.eventuallyAt(f.apply("5"))
		Eventually(asked, inForceTimeout).Should(Receive(BeTrue()))
	})

	// Guards against a relay that misses changes which the store compacted.
	It("reads the whole state after a compaction", func() {
		f := newFleet(1, "a")
		f.eventuallyAt(f.apply("5"))
		f.server.SetDown(true)
		Expect(f.server.SetFaults(standin.Faults{})).To(Succeed())
		at := f.apply("6")
		f.server.Compact(at)
		f.eventuallyAt(at)
	})
})

var _ = Describe("relays", func() {
	// Guards against a store load that grows with the fleet.
	It("cost the store the same whatever the number of hosts", func() {
		const window = 2 * time.Second
		relays := 2 * control.RelaysPerDomain
		load := func(perDomain int) int64 {
			f := newFleet(perDomain, "a", "b")
			f.eventuallyAt(f.apply("5"))
			Eventually(f.confirmed, inForceTimeout).Should(HaveEach(BeTrue()))
			Eventually(f.relays, inForceTimeout).Should(Equal(relays))
			// The contest for buckets ends before the measurement begins.
			Eventually(f.buckets, inForceTimeout).Should(Equal(control.BucketCount))
			Eventually(func() int { return len(f.callers(settled)) }, inForceTimeout).Should(BeNumerically("<=", relays))
			calls := f.callers(window)
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
		small, large := load(4), load(24)
		AddReportEntry("store calls", fmt.Sprintf("2 domains, %v: %d with 8 hosts, %d with 48 hosts", window, small, large))
		// A tick more or less of each relay is within the margin.
		Expect(large).To(BeNumerically("<=", small+small/4))
	})

	// Guards against a domain without relays after both of them died.
	It("are replaced when they die", func() {
		f := newFleet(4, "a")
		f.eventuallyAt(f.apply("5"))
		Eventually(f.relays, inForceTimeout).Should(Equal(2))
		for _, h := range slices.Clone(f.hosts) {
			if h.elector.Relay() {
				h.stop()
			}
		}
		Eventually(f.relays, inForceTimeout).Should(Equal(2))
		f.eventuallyAt(f.apply("6"))
	})
})

func (f *fleet) relays() int {
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

// settled is a period in which only relays call the store once the contests
// are over.
const settled = 300 * time.Millisecond

// buckets returns the number of control buckets that are held.
func (f *fleet) buckets() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, h := range f.hosts {
		n += len(h.elector.Claims())
	}
	return n
}

// callers returns the store calls of each host during a period.
func (f *fleet) callers(period time.Duration) map[string]int64 {
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
