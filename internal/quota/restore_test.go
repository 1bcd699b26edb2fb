package quota

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/internal/platform/platformtest"
)

// Guards against allocations that end, so that operations within the rate are refused,
// because each write fails on a ledger that the store, restored from an older copy, holds
// at a lower revision than the one that the host knew.
func TestAllocationsAreRenewedAfterTheStoreIsRestored(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2, 100)
	// run lets the first host serve 80% of the rate, and returns what it refused.
	run := func(d time.Duration) (refused int) {
		for end := f.now.Add(d); f.now.Before(end); {
			f.step(tickInterval, nil)
			for range 8 {
				if !f.admit(0) {
					refused++
				}
			}
		}
		return refused
	}
	run(15 * time.Second)
	older := f.memory.Copy()
	run(9 * time.Second)
	f.memory.Restore(older)
	g.Expect(run(40 * time.Second)).To(BeZero())
	g.Expect(f.limiters[0].account("a").expired(f.now)).To(BeFalse())
}

// restoredFleet is a fleet whose store comes back from older copies of itself.
type restoredFleet struct {
	*fleet
	// hold says that hosts do not raise their allocations after a restore, and ownOnly that
	// a host that starts takes over only allocations of the present generation.
	hold, ownOnly bool

	copy     *platformtest.Copy
	copiedAt time.Time
}

const restoredFleetSize = 3

// event lets something happen to the store or to a host.
func (r *restoredFleet) event(t *rapid.T) {
	switch rapid.IntRange(0, 6).Draw(t, "event") {
	case 0:
		older := r.memory.Copy()
		r.copy, r.copiedAt = &older, r.now
	case 1, 2:
		if r.copy != nil {
			r.memory.Restore(*r.copy)
		}
	case 3:
		i := rapid.IntRange(0, restoredFleetSize-1).Draw(t, "restarted")
		r.now = r.now.Add(minRestartTime)
		l := r.start(r.limiters[i].options.Host, restoredFleetSize)
		l.restore(context.Background())
		if !r.ownOnly {
			r.takeRecorded(l)
		}
		r.limiters[i] = l
	}
}

// takeRecorded makes a host take over whatever the store holds for it.
func (r *restoredFleet) takeRecorded(l *Limiter) {
	own := l.ledgers[shardOf("a")]["a"][l.options.Host]
	a := l.account("a")
	a.fraction, a.renewedAt, a.hosts = own.Fraction, r.now, restoredFleetSize
}

// excess runs a random history and returns the highest sum of the fractions in use.
func excess(t *rapid.T, hold, ownOnly bool) float64 {
	r := &restoredFleet{fleet: newFleet(restoredFleetSize, 40), hold: hold, ownOnly: ownOnly}
	highest := 0.0
	hot := 0
	for range rapid.IntRange(5, 40).Draw(t, "steps") {
		if rapid.IntRange(0, 3).Draw(t, "moves") == 0 {
			hot = rapid.IntRange(0, restoredFleetSize-1).Draw(t, "hot host")
		}
		r.event(t)
		for range rapid.IntRange(1, 20).Draw(t, "ticks") {
			for range 8 {
				r.admit(hot)
			}
			r.step(200*time.Millisecond, nil)
			sum := 0.0
			for _, l := range r.limiters {
				if !r.hold {
					l.store.raiseAfter = time.Time{}
				}
				a := l.account("a")
				a.hosts = restoredFleetSize
				sum += a.usableFraction(r.now)
			}
			highest = max(highest, sum)
		}
	}
	return highest
}

// Guards against limits that are used twice after the store came back from an older copy:
// the copy says that a host uses less than it does, and another host takes the rest.
func TestRestoredStoreDoesNotRaiseLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if sum := excess(t, true, true); sum > 1+fractionEpsilon {
			t.Fatalf("the hosts use %v of the limit", sum)
		}
	})
}

// Guards against a history test that could not fail: without either safeguard, some
// history uses more than the limit.
func TestEachSafeguardOfRestoredLimitsIsNeeded(t *testing.T) {
	const histories = 2000
	for name, guards := range map[string]struct{ hold, ownOnly bool }{
		"holding allocations":               {hold: false, ownOnly: true},
		"allocations of earlier generation": {hold: true, ownOnly: false},
	} {
		t.Run(name, func(t *testing.T) {
			history := rapid.Custom(func(t *rapid.T) float64 { return excess(t, guards.hold, guards.ownOnly) })
			for seed := range histories {
				if history.Example(seed) > 1+fractionEpsilon {
					return
				}
			}
			t.Errorf("no excess in %d histories", histories)
		})
	}
}

// Guards against hosts that hold their allocations after every start, long after the store
// was restored.
func TestSettledGenerationEndsTheHold(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2, 40)
	f.step(startupDelay+renewCheckInterval, nil)
	f.memory.Restore(f.memory.Copy())
	for range int((reclaimAfter + 2*renewCheckInterval) / tickInterval) {
		f.step(tickInterval, nil)
	}
	item, _, err := f.memory.Get(context.Background(), settledKey)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(item.Value)).To(Equal(`{"generation":2}`))
	later := f.start("host-2", 2)
	later.restore(context.Background())
	g.Expect(later.store.settled).To(Equal(platform.Generation(2)))
	g.Expect(later.mayRaise(f.now)).To(BeTrue())
}
