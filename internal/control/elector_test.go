package control_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/control"
	"github.com/bramleylever/bramleylever/internal/membership"
	"github.com/bramleylever/bramleylever/internal/peer"
	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/internal/platform/standin"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}

const eventuallyTimeout = 20 * time.Second

// fleet is a member table that all of its hosts see without delay.
type fleet struct {
	mu    sync.Mutex
	hosts map[string]*host
	// fixedMembers, if set, is the member list that every host sees.
	fixedMembers []membership.Member
}

// host is an elector whose clock can be moved forward, which simulates a paused process.
type host struct {
	fleet       *fleet
	name        string
	domain      string
	elector     *control.Elector
	stop        context.CancelFunc
	done        chan struct{}
	mu          sync.Mutex
	clockOffset time.Duration
}

func (h *host) now() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Now().Add(h.clockOffset)
}

func (h *host) advanceClock(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clockOffset += d
}

func (h *host) Self() membership.Member {
	return membership.Member{Host: h.name, Domain: h.domain, State: membership.StateAlive}
}

func (h *host) Members() []membership.Member {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	if h.fleet.fixedMembers != nil {
		return h.fleet.fixedMembers
	}
	var members []membership.Member
	for _, other := range h.fleet.hosts {
		m := other.Self()
		if other.elector != nil {
			m.Relay = other.elector.Relay()
			m.Buckets = other.elector.Claims()
		}
		members = append(members, m)
	}
	return members
}

func (f *fleet) start(server *standin.Server, name, domain string) *host {
	store, err := platform.Dial(context.Background(), platform.Options{
		Endpoints:    []string{server.Address()},
		LocalAddress: fmt.Sprintf("127.0.9.%d", len(f.hosts)+1),
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(store.Close)
	h := &host{fleet: f, name: name, domain: domain, done: make(chan struct{})}
	elector := control.NewElector(control.Options{
		Self:  peer.Identity{Host: name, Domain: domain},
		Store: store,
		View:  h,
		Log:   zap.NewNop(),
		Now:   h.now,
		Seed:  uint64(len(f.hosts)),
	})
	f.mu.Lock()
	h.elector = elector
	f.hosts[name] = h
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	go func() {
		defer close(h.done)
		_ = elector.Run(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		<-h.done
	})
	return h
}

// held returns the holders and the epoch of each bucket that is held.
func (f *fleet) held() (holders map[uint32][]string, epochs map[uint32]uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	holders, epochs = map[uint32][]string{}, map[uint32]uint64{}
	for name, h := range f.hosts {
		for _, claim := range h.elector.Claims() {
			holders[claim.Bucket] = append(holders[claim.Bucket], name)
			epochs[claim.Bucket] = claim.Epoch
		}
	}
	return holders, epochs
}

// waitForRelays waits until the member list shows count relays and returns the list.
func (f *fleet) waitForRelays(count int) []membership.Member {
	var members []membership.Member
	Eventually(func() int {
		for _, observer := range f.hosts {
			members = observer.Members()
			break
		}
		relays := 0
		for _, m := range members {
			if m.Relay {
				relays++
			}
		}
		return relays
	}, eventuallyTimeout).Should(Equal(count))
	return members
}

func (f *fleet) allHeld() bool {
	holders, _ := f.held()
	return len(holders) == control.BucketCount
}

var _ = Describe("Elector", func() {
	var (
		server *standin.Server
		f      *fleet
	)

	BeforeEach(func() {
		var err error
		server, err = standin.Start("127.0.0.1:0", standin.Options{})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		f = &fleet{hosts: map[string]*host{}}
	})

	// Guards against buckets that no host holds, or that two hosts hold.
	It("assigns each bucket to one relay and raises the epoch when the holder changes", func() {
		first := f.start(server, "h1", "a")
		f.start(server, "h2", "a")
		f.start(server, "h3", "b")
		Eventually(f.allHeld, eventuallyTimeout).Should(BeTrue())
		holders, before := f.held()
		for bucket, names := range holders {
			Expect(names).To(HaveLen(1), "bucket %d", bucket)
		}
		lost := first.elector.Claims()
		first.stop()
		<-first.done
		Expect(first.elector.Claims()).To(BeEmpty())
		Eventually(f.allHeld, eventuallyTimeout).Should(BeTrue())
		_, after := f.held()
		for _, claim := range lost {
			Expect(after[claim.Bucket]).To(BeNumerically(">", before[claim.Bucket]))
		}
	})

	// Guards against a holder that continues to act after it was paused longer than its
	// lease.
	It("holds nothing after its lease expired on the local clock", func() {
		h := f.start(server, "h1", "a")
		Eventually(f.allHeld, eventuallyTimeout).Should(BeTrue())
		h.advanceClock(time.Minute)
		_, ok := h.elector.Held(0)
		Expect(ok).To(BeFalse())
		Expect(h.elector.Relay()).To(BeFalse())
	})

	// Guards against buckets that stay vacant after an outage of the store, or after the
	// answer to a claim was lost.
	DescribeTable("acquires all buckets after", func(disturb, restore func(*standin.Server)) {
		f.start(server, "h1", "a")
		f.start(server, "h2", "b")
		disturb(server)
		time.Sleep(100 * time.Millisecond)
		restore(server)
		Eventually(f.allHeld, eventuallyTimeout).Should(BeTrue())
	},
		Entry("an outage of the store at the start",
			func(s *standin.Server) { s.SetDown(true) }, func(s *standin.Server) { s.SetDown(false) }),
		Entry("lost answers to calls that took effect",
			func(s *standin.Server) { s.LoseAnswers(6) }, func(*standin.Server) {}),
	)

	// Guards against store load that grows with the fleet.
	It("makes store calls from at most as many hosts as there are relays", func() {
		for n := range 12 {
			f.start(server, fmt.Sprintf("h%d", n), "a")
		}
		Eventually(f.allHeld, eventuallyTimeout).Should(BeTrue())
		// Fix the member list, so that other hosts make no claims when a lease lapses on a
		// slow machine.
		steady := f.waitForRelays(control.RelaysPerDomain)
		f.mu.Lock()
		f.fixedMembers = steady
		f.mu.Unlock()
		// Calls that began before must end before they are counted.
		time.Sleep(2 * time.Second)
		before := server.CallsByClient()
		Eventually(func() int64 {
			return server.Calls()[standin.CallKeepAlive]
		}, eventuallyTimeout).Should(BeNumerically(">", total(before, standin.CallKeepAlive)+4))
		clients := 0
		for client, calls := range server.CallsByClient() {
			if total(map[string]map[standin.CallKind]int64{client: calls}, "") >
				total(map[string]map[standin.CallKind]int64{client: before[client]}, "") {
				clients++
			}
		}
		Expect(clients).To(BeNumerically("<=", control.RelaysPerDomain))
	})
})

// total returns the number of calls of one kind, or of all kinds if kind is empty.
func total(calls map[string]map[standin.CallKind]int64, kind standin.CallKind) int64 {
	var sum int64
	for _, kinds := range calls {
		for k, count := range kinds {
			if kind == "" || k == kind {
				sum += count
			}
		}
	}
	return sum
}
