package failover

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/position"
)

// newSteadySimulation returns a group with a primary and one acknowledged write, led by
// coordinator 0.
func newSteadySimulation(t *testing.T, domains ...string) *simulation {
	t.Helper()
	sim := newSimulation(domains...)
	sim.elect(0)
	sim.rounds(20)
	if sim.primary() == nil {
		t.Fatal("no primary after the first election")
	}
	sim.group.write(sim.primary())
	sim.rounds(5)
	if len(sim.group.acked) != 1 {
		t.Fatal("the first write was not acknowledged")
	}
	return sim
}

// faults are applied to coordinator 0 or its group during a promotion.
var faults = map[string]func(sim *simulation){
	"none":                          func(*simulation) {},
	"an answer is lost":             func(sim *simulation) { sim.deliverAnswer(sim.coordinators[0], 0, true) },
	"all answers are lost":          func(sim *simulation) { sim.coordinators[0].answers = nil },
	"all calls are lost":            func(sim *simulation) { sim.coordinators[0].calls = nil },
	"second coordinator is elected": func(sim *simulation) { sim.elect(1) },
	"second coordinator is elected, first is isolated": func(sim *simulation) { sim.isolateCoordinator("a"); sim.elect(1) },
	"old primary returns":                              func(sim *simulation) { sim.heal() },
	"candidate goes down": func(sim *simulation) {
		if in := sim.group.get(sim.candidate()); in != nil {
			in.down = true
			sim.group.instances[0].down = false
		}
	},
	"instances restart": func(sim *simulation) {
		for _, in := range sim.group.instances {
			in.restart()
		}
	},
}

func (sim *simulation) isolateCoordinator(side string) {
	for _, in := range sim.group.instances {
		sim.group.partition(side, in.name)
	}
}

func (sim *simulation) candidate() string {
	if a := sim.coordinators[0].core.promotion; a != nil {
		return a.candidate
	}
	return ""
}

// Guards against a promotion that does not survive an interruption: a fault of each kind is
// applied after each message. Afterwards there must be a primary in a higher term, and the
// fake group must show no violation.
func TestPromise2FaultDuringPromotion(t *testing.T) {
	const messages = 14
	for name, fault := range faults {
		for moment := range messages {
			t.Run(fmt.Sprintf("Promise 2: %s after message %d", name, moment), func(t *testing.T) {
				sim := newSteadySimulation(t, "a", "b", "c")
				old := sim.primary()
				old.down = true
				c := sim.coordinators[0]
				for range 40 {
					sim.now = sim.now.Add(50 * time.Millisecond)
					for _, domain := range sim.domains {
						sim.report(domain)
					}
					if sim.step(c, Tick{}); c.core.promotion != nil {
						break
					}
				}
				for i := range moment {
					if i%2 == 0 {
						sim.deliverCall(c, 0)
					} else {
						sim.deliverAnswer(c, 0, false)
					}
				}
				fault(sim)
				sim.rounds(40)
				if p := sim.primary(); p == nil || p.term.Compare(position.Term{Epoch: 1, Sequence: 1}) <= 0 {
					t.Errorf("no primary in a higher term: %+v", p)
				}
				if violations := converge(sim); len(violations) > 0 {
					t.Error(violations)
				}
			})
		}
	}
}

// Guards against a promotion when too few failure domains suspect the primary, and against
// a missing one when enough do.
func TestPromise2SuspicionRule(t *testing.T) {
	for _, c := range []struct {
		name            string
		domains         []string
		unreachableFrom []string
		notReporting    []string
		promotes        bool
	}{
		{name: "one of three domains does not suffice", domains: []string{"a", "b", "c"}, unreachableFrom: []string{"b"}},
		{name: "two of three domains suffice", domains: []string{"a", "b", "c"}, unreachableFrom: []string{"b", "c"}, promotes: true},
		{name: "two of four domains are no majority", domains: []string{"a", "b", "c", "d"}, unreachableFrom: []string{"b", "c"}},
		{name: "three of four domains suffice", domains: []string{"a", "b", "c", "d"}, unreachableFrom: []string{"a", "b", "c"}, promotes: true},
		{name: "the only domain that reports does not suffice", domains: []string{"a", "b", "c"}, unreachableFrom: []string{"a"}, notReporting: []string{"b", "c"}},
		{name: "two domains suffice while one does not report", domains: []string{"a", "b", "c"}, unreachableFrom: []string{"a", "b"}, notReporting: []string{"c"}, promotes: true},
		{name: "two domains suffice while two do not report", domains: []string{"a", "b", "c", "d"}, unreachableFrom: []string{"a", "b"}, notReporting: []string{"c", "d"}, promotes: true},
		{name: "the only domain of a deployment suffices", domains: []string{"a"}, unreachableFrom: []string{"a"}, promotes: true},
	} {
		t.Run("Promise 2: "+c.name, func(t *testing.T) {
			sim := newSteadySimulation(t, c.domains...)
			old := sim.primary()
			for _, domain := range c.unreachableFrom {
				sim.group.partition(domain, old.name)
			}
			for _, domain := range c.notReporting {
				for _, coordinator := range sim.coordinators {
					sim.group.partition(domain, coordinator.side)
				}
			}
			sim.rounds(50)
			if promoted := sim.primary().term != (position.Term{Epoch: 1, Sequence: 1}); promoted != c.promotes {
				t.Errorf("promoted: %v, expected %v", promoted, c.promotes)
			}
			if len(sim.group.violations) > 0 {
				t.Error(sim.group.violations)
			}
		})
	}
}

// Guards against an isolated primary that acknowledges writes after another one was
// promoted.
func TestPromise2IsolatedPrimary(t *testing.T) {
	t.Run("Promise 2: an isolated primary acknowledges nothing", func(t *testing.T) {
		sim := newSteadySimulation(t, "a", "b", "c")
		old := sim.primary()
		for _, side := range []string{"i1", "i2", "i3", "b", "c"} {
			sim.group.partition(old.name, side)
		}
		for range 40 {
			sim.group.write(old)
			sim.round()
		}
		g := NewWithT(t)
		g.Expect(sim.primary()).NotTo(BeIdenticalTo(old))
		g.Expect(sim.group.violations).To(BeEmpty())
		g.Expect(converge(sim)).To(BeEmpty())
		g.Expect(old.role).To(Equal(backend.RoleReplica))
	})
}

// Guards against the promotion of a replica that lacks an acknowledged write, which only
// the other replica received.
func TestPromise2LaggingReplica(t *testing.T) {
	for lagging := 1; lagging < 3; lagging++ {
		t.Run(fmt.Sprintf("Promise 2: lagging replica %d is not promoted", lagging), func(t *testing.T) {
			g := NewWithT(t)
			sim := newSteadySimulation(t, "a", "b", "c")
			old := sim.primary()
			sim.majorityWrite(sim.group.instances[lagging])
			g.Expect(sim.group.acked).To(HaveLen(2))
			old.down = true
			sim.rounds(30)
			g.Expect(sim.primary()).NotTo(BeIdenticalTo(sim.group.instances[lagging]))
			g.Expect(converge(sim)).To(BeEmpty())
		})
	}
}

// Guards against a coordinator that continues after another one was elected.
func TestPromise2Superseded(t *testing.T) {
	t.Run("Promise 2: a superseded coordinator steps down", func(t *testing.T) {
		g := NewWithT(t)
		sim := newSteadySimulation(t, "a", "b", "c")
		sim.isolateCoordinator("a")
		for _, domain := range sim.domains[1:] {
			sim.group.partition("a", domain)
		}
		sim.elect(1)
		sim.primary().down = true
		sim.rounds(30)
		g.Expect(sim.primary().term.Epoch).To(Equal(uint64(2)))
		g.Expect(sim.coordinators[0].core.Epoch()).To(Equal(uint64(1)))
		sim.heal()
		sim.rounds(10)
		g.Expect(sim.coordinators[0].core.Epoch()).To(BeZero())
		sim.step(sim.coordinators[0], Lead{Epoch: 1})
		g.Expect(sim.coordinators[0].core.Epoch()).To(BeZero())
		sim.epoch = 2
		sim.elect(0)
		g.Expect(sim.coordinators[0].core.Epoch()).To(Equal(uint64(3)))
		g.Expect(converge(sim)).To(BeEmpty())
	})
}

// Guards against a planned switchover that loses or aborts a write, or that leaves writes
// refused when it cannot complete.
func TestPromise13Switchover(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(sim *simulation, target *fakeInstance)
		done  bool
	}{
		{name: "completes without a fault", fault: func(*simulation, *fakeInstance) {}, done: true},
		{name: "is cancelled if the target never catches up", fault: func(sim *simulation, target *fakeInstance) {
			target.follows = ""
			sim.group.partition(target.name, sim.primary().name)
		}},
		{name: "is cancelled if transactions stay open", fault: func(sim *simulation, _ *fakeInstance) { sim.primary().busy = true }},
		{name: "is cancelled if the target is down", fault: func(_ *simulation, target *fakeInstance) { target.down = true }},
	} {
		t.Run("Promise 13: switchover "+c.name, func(t *testing.T) {
			g := NewWithT(t)
			sim := newSteadySimulation(t, "a", "b", "c")
			old := sim.primary()
			target := sim.group.instances[2]
			sim.group.write(old)
			c.fault(sim, target)
			sim.step(sim.coordinators[0], SwitchoverRequest{ID: 7, Target: target.name})
			sim.rounds(200)
			g.Expect(sim.done).To(HaveLen(1))
			g.Expect(sim.done[0].Done).To(Equal(c.done), sim.done[0].Reason)
			g.Expect(sim.primary() == target).To(Equal(c.done))
			g.Expect(sim.primary().quiescedUntil.After(sim.now)).To(BeFalse())
			sim.heal()
			g.Expect(converge(sim)).To(BeEmpty())
		})
	}
	t.Run("Promise 13: a switchover succeeds once open transactions end", func(t *testing.T) {
		g := NewWithT(t)
		sim := newSteadySimulation(t, "a", "b", "c")
		old := sim.primary()
		old.busy = true
		sim.step(sim.coordinators[0], SwitchoverRequest{ID: 7})
		sim.rounds(15)
		g.Expect(sim.done).To(BeEmpty())
		old.busy = false
		sim.rounds(25)
		g.Expect(sim.done).To(ConsistOf(HaveField("Done", true)))
		g.Expect(sim.primary()).NotTo(BeIdenticalTo(old))
	})
}

// Guards against a primary that stays on a leaving instance, and against a switchover to
// another leaving one.
func TestPromise12LeavingPrimary(t *testing.T) {
	t.Run("Promise 12: a leaving primary is switched over", func(t *testing.T) {
		g := NewWithT(t)
		sim := newSteadySimulation(t, "a", "b", "c")
		old := sim.primary()
		sim.leaving[old.name] = true
		sim.leaving[sim.group.instances[1].name] = true
		sim.configure()
		sim.rounds(20)
		g.Expect(sim.primary()).To(BeIdenticalTo(sim.group.instances[2]))
		sim.leaving[sim.group.instances[2].name] = true
		sim.configure()
		term := sim.primary().term
		sim.rounds(30)
		g.Expect(sim.primary().term).To(Equal(term), "every instance is leaving")
		g.Expect(converge(sim)).To(BeEmpty())
	})
}

// Guards against the promotion of a leaving instance while an equal one is not leaving.
func TestPromise12LeavingCandidate(t *testing.T) {
	t.Run("Promise 12: an equal candidate that is not leaving is preferred", func(t *testing.T) {
		sim := newSteadySimulation(t, "a", "b", "c")
		sim.primary().down = true
		sim.leaving[sim.group.instances[1].name] = true
		sim.leaving[sim.group.instances[2].name] = false
		sim.configure()
		sim.rounds(30)
		g := NewWithT(t)
		g.Expect(sim.primary()).To(BeIdenticalTo(sim.group.instances[2]))
		g.Expect(sim.primary().term).To(Equal(position.Term{Epoch: 1, Sequence: 2}), "expected one promotion without a later switchover")
	})
}
