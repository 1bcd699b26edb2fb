package shares

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/share"
)

func TestShares(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "shares")
}

// fault is a fault to inject and the service that must remain.
type fault struct {
	name string
	// apply injects the fault after a warm-up.
	apply func(f *testFleet)
	// served is the least fraction of the rate that must be admitted in the next
	// 10 s.
	served float64
}

func faults() []fault {
	pauseHolder := func(f *testFleet) {
		f.hosts[1].paused = true
		f.run(5 * time.Second)
		f.hosts[1].paused = false
	}
	replaceOwner := func(f *testFleet) {
		f.hosts[0].paused = true
		f.platformDown()
		f.run(3 * time.Second)
		f.takeOver("h2")
		f.hosts[0].paused = false
	}
	isolateHolder := func(f *testFleet) { f.hosts[1].isolated = true }
	loseAnswers := func(f *testFleet) { f.hosts[1].loseAnswers = true }
	lowerLimit := func(f *testFleet) { f.changeLimit(testRate/4, testBurst/4) }
	return []fault{
		{"none", func(*testFleet) {}, 0.9},
		{"holder paused past its validity", pauseHolder, 0.9},
		{"owner paused past its lease while a new one grants", replaceOwner, 0.5},
		{"holder isolated", isolateHolder, 0.8},
		{"answers lost", loseAnswers, 0.7},
		{"platform down", func(f *testFleet) { f.platformDown() }, 0.2},
		{"limit lowered", lowerLimit, 0.2},
		{"holder isolated while the owner changes", func(f *testFleet) { isolateHolder(f); replaceOwner(f) }, 0.4},
		{"answers lost while the limit is lowered", func(f *testFleet) { loseAnswers(f); lowerLimit(f) }, 0.15},
		{"holder paused while the owner changes twice", func(f *testFleet) {
			f.hosts[1].paused = true
			f.takeOver("h2")
			f.run(time.Second)
			f.takeOver("h3")
			f.hosts[1].paused = false
		}, 0.5},
	}
}

// Guards against a fleet that, under a fault, admits more than burst + rate * window
// or stops serving. Promise 7 is the guarantee that a fleet never exceeds a limit.
func TestPromise7RateUnderFaults(t *testing.T) {
	for _, row := range faults() {
		t.Run("Promise 7: "+row.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newTestFleet(4)
			f.run(8 * time.Second)
			row.apply(f)
			before := f.admitted
			f.run(10 * time.Second)
			served := float64(f.admitted-before) / (testRate * 10)
			t.Logf("served %.0f%% of the rate, excess over the ideal bucket %.2f", 100*served, f.excess)
			g.Expect(f.excess).To(BeNumerically("<=", 1e-6))
			g.Expect(served).To(BeNumerically(">=", row.served))
		})
	}
}

// Guards against a fleet that, under a fault, opens more connections to an instance
// than its limit, or a host that ends up with none.
func TestPromise7UnitsUnderFaults(t *testing.T) {
	for _, row := range faults() {
		t.Run("Promise 7: units: "+row.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newTestFleet(4)
			open := map[string]int{}
			run := func(d time.Duration) {
				for end := f.now + d; f.now < end; {
					f.step(25*time.Millisecond, 0)
					g.Expect(f.openUnits(open)).To(BeNumerically("<=", testUnits))
				}
			}
			run(20 * time.Second)
			row.apply(f)
			run(20 * time.Second)
			for _, h := range f.hosts {
				g.Expect(open[h.name]).To(BeNumerically(">=", 1), h.name)
			}
		})
	}
}

// Guards against a drain that does not return grants, so that other hosts cannot use
// that part of the limit until the grants expire.
func TestDrainReturnsShares(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(2)
	f.run(5 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	g.Expect(f.hosts[1].runner.Drain(ctx)).To(Succeed())
	g.Expect(f.hosts[1].runner.Admit(testAccount, f.hosts[1].clock())).To(BeFalse())
	f.hosts[1].paused = true
	before := f.admitted
	f.run(2 * time.Second)
	g.Expect(float64(f.admitted-before) / (2 * testRate)).To(BeNumerically(">=", 0.9))
	g.Expect(f.excess).To(BeNumerically("<=", 1e-6))
}

// Guards against admitting requests of accounts, or opening connections to
// instances, that have no record.
func TestUnknownNamesAreRefused(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(1)
	f.run(5 * time.Second)
	g.Expect(f.hosts[0].runner.Admit("nobody", f.hosts[0].clock())).To(BeFalse())
	g.Expect(f.hosts[0].runner.Limit("nowhere", f.hosts[0].clock())).To(BeZero())
}

// Guards against an idle host that refuses the second of two requests while no host owns
// the limit: each call to the owner of before gave the tokens of its base grant away.
func TestIdleHostKeepsItsBaseGrantWhileNobodyOwnsTheLimit(t *testing.T) {
	f := newTestFleet(2)
	const tick = 50 * time.Millisecond
	idle := func(d time.Duration) {
		for end := f.now + d; f.now < end; {
			f.step(tick, 0)
		}
	}
	f.step(tick, 1)
	idle(5 * time.Second)
	f.lapsed = true
	idle(7 * time.Second)
	h := f.hosts[1]
	admitted := 0
	for h.runner.Admit(testAccount, h.clock()) {
		admitted++
	}
	if base := int(share.RateConfig().BaseFraction * testBurst / 2); admitted < base {
		t.Errorf("%d requests admitted at once, the base grant is for %d", admitted, base)
	}
}
