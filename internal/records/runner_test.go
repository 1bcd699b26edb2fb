package records_test

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/control"
	"github.com/bramleylever/bramleylever/internal/platform/standin"
	"github.com/bramleylever/bramleylever/internal/records"
)

const (
	inForceTimeout = 10 * time.Second
	// testBound is the age up to which a contact confirms the records.
	testBound = 1500 * time.Millisecond
)

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
