package promotion

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/hosts"
)

// fakeCoordinators are the first hosts of a fakeFleet. Messages to the hosts in unreached are
// lost.
type fakeCoordinators struct {
	fleet     *fakeFleet
	unreached []string
}

func (c *fakeCoordinators) Of(string) []hosts.Host {
	var first []hosts.Host
	for _, r := range c.fleet.hosts[:maxCoordinators] {
		first = append(first, hosts.Host{Name: r.options.Host})
	}
	return first
}

func (c *fakeCoordinators) Suspect(_ context.Context, to hosts.Host, service string, s Suspicion) error {
	if slices.Contains(c.unreached, to.Name) {
		return errors.New("cut off")
	}
	for _, r := range c.fleet.hosts {
		if r.options.Host == to.Name {
			r.heard.add(service, s, c.fleet.now)
		}
	}
	return nil
}

var _ = Describe("The suspicions of a large fleet", func() {
	const fleetSize = 60
	// newFleet returns a fleet in which the hosts with the given numbers do not reach the primary.
	newFleet := func(c *fakeCoordinators, failing func(i int) bool) *fakeFleet {
		w := newFakeFleet(fleetSize, 0)
		c.fleet = w
		w.ranks = map[string]int{}
		for i, r := range w.hosts {
			r.options.Coordinators = c
			r.spawn = func(_ string, f func()) { f() }
			name := fmt.Sprintf("h%d", i)
			w.ranks[name] = i
			w.failing[name] = failing(i)
		}
		return w
	}
	runFor := func(w *fakeFleet, d time.Duration) { w.run(int(d / tickInterval)) }

	// Guards against calls to the store by every host that suspects a primary: they were the
	// most calls on days with failures.
	It("go to the hosts that act first, not to the store", func() {
		w := newFleet(&fakeCoordinators{}, func(int) bool { return true })
		before := w.memory.Calls()
		runFor(w, recordDelay-2*tickInterval)
		Expect(w.orders).NotTo(BeEmpty())
		Expect(w.orders[0].holder).To(Equal("h0"))
		Expect(w.memory.Calls() - before).To(BeNumerically("<=", 10))
	})

	// Guards against a coordinator that does not replace a primary because none of its own
	// callers use it.
	It("count at a coordinator that reaches the primary, or does not use it", func() {
		w := newFleet(&fakeCoordinators{}, func(i int) bool { return i >= fleetSize/2 })
		runFor(w, recordDelay-2*tickInterval)
		Expect(w.orders).NotTo(BeEmpty())
	})

	// Guards against a primary that is replaced for the suspicions of too few hosts.
	It("replace nothing without a quorum", func() {
		w := newFleet(&fakeCoordinators{}, func(i int) bool { return i < fleetSize/suspectQuorumDivisor-1 })
		runFor(w, 4*time.Second)
		Expect(w.orders).To(BeEmpty())
	})

	// Guards against a primary that stays because the hosts that act first are cut off, or are
	// of a build that takes no suspicions.
	It("go to the store if the hosts that act first do not act", func() {
		w := newFleet(&fakeCoordinators{unreached: []string{"h0", "h1", "h2"}}, func(i int) bool { return i >= maxCoordinators })
		runFor(w, 2*recordDelay)
		Expect(w.orders).NotTo(BeEmpty())
		Expect(w.ranks[w.orders[0].holder]).To(BeNumerically(">=", maxCoordinators))
	})

	// Guards against suspicions that count after their hosts have ended or withdrawn them.
	It("end with their withdrawal and with their time", func() {
		h, now := &heardSuspicions{}, time.Now()
		h.add("x", Suspicion{Host: "a", Server: "p"}, now)
		h.add("x", Suspicion{Host: "b", Server: "p"}, now)
		h.add("x", Suspicion{Host: "b"}, now)
		Expect(h.of("x", now)).To(HaveLen(1))
		Expect(h.of("x", now.Add(heardTTL+1))).To(BeEmpty())
	})
})
