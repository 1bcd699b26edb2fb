package failover

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/position"
)

// steady returns a group with a primary, one acknowledged write and
// coordinator 0 leading.
func steady(t *testing.T, domains ...string) *world {
	t.Helper()
	w := newWorld(domains...)
	w.lead(0)
	w.rounds(20)
	if w.primary() == nil {
		t.Fatal("no first primary")
	}
	w.group.write(w.primary())
	w.rounds(5)
	if len(w.group.acked) != 1 {
		t.Fatal("first write is not acknowledged")
	}
	return w
}

// faults happen to coordinator 0 or its group while it promotes.
var faults = map[string]func(w *world){
	"none":                  func(*world) {},
	"an answer is lost":     func(w *world) { w.deliverAnswer(w.coordinators[0], 0, true) },
	"all answers are lost":  func(w *world) { w.coordinators[0].answers = nil },
	"all calls are lost":    func(w *world) { w.coordinators[0].calls = nil },
	"second coordinator":    func(w *world) { w.lead(1) },
	"second, first cut off": func(w *world) { w.cutCoordinator("a"); w.lead(1) },
	"old primary returns":   func(w *world) { w.heal() },
	"candidate dies": func(w *world) {
		if in := w.group.get(w.candidate()); in != nil {
			in.down = true
			w.group.instances[0].down = false
		}
	},
	"instances restart": func(w *world) {
		for _, in := range w.group.instances {
			in.restart()
		}
	},
}

func (w *world) cutCoordinator(side string) {
	for _, in := range w.group.instances {
		w.group.setCut(side, in.name)
	}
}

func (w *world) candidate() string {
	if a := w.coordinators[0].core.attempt; a != nil {
		return a.candidate
	}
	return ""
}

// Guards against a step of a promotion that cannot be interrupted, whatever
// fails and when. The expected end is a primary in a higher term; the
// invariant is that of the fake group.
func TestPromise2FaultDuringPromotion(t *testing.T) {
	const messages = 14
	for name, fault := range faults {
		for moment := range messages {
			t.Run(fmt.Sprintf("Promise 2: %s after message %d", name, moment), func(t *testing.T) {
				w := steady(t, "a", "b", "c")
				old := w.primary()
				old.down = true
				c := w.coordinators[0]
				for range 40 {
					w.now = w.now.Add(50 * time.Millisecond)
					for _, domain := range w.domains {
						w.report(domain)
					}
					if w.step(c, Tick{}); c.core.attempt != nil {
						break
					}
				}
				for i := range moment {
					if i%2 == 0 {
						w.deliverCall(c, 0)
					} else {
						w.deliverAnswer(c, 0, false)
					}
				}
				fault(w)
				w.rounds(40)
				if p := w.primary(); p == nil || p.term.Compare(position.Term{Epoch: 1, Sequence: 1}) <= 0 {
					t.Errorf("no primary in a higher term: %+v", p)
				}
				if broken := converge(w); len(broken) > 0 {
					t.Error(broken)
				}
			})
		}
	}
}

// Guards against a promotion on the view of one failure domain, and against
// none when the rule is met.
func TestPromise2SuspicionRule(t *testing.T) {
	for _, c := range []struct {
		name     string
		domains  []string
		blind    []string
		silent   []string
		promotes bool
	}{
		{name: "one of three", domains: []string{"a", "b", "c"}, blind: []string{"b"}},
		{name: "two of three", domains: []string{"a", "b", "c"}, blind: []string{"b", "c"}, promotes: true},
		{name: "two of four are no majority", domains: []string{"a", "b", "c", "d"}, blind: []string{"b", "c"}},
		{name: "three of four", domains: []string{"a", "b", "c", "d"}, blind: []string{"a", "b", "c"}, promotes: true},
		{name: "one that alone reports", domains: []string{"a", "b", "c"}, blind: []string{"a"}, silent: []string{"b", "c"}},
		{name: "two while one is silent", domains: []string{"a", "b", "c"}, blind: []string{"a", "b"}, silent: []string{"c"}, promotes: true},
		{name: "two while two are silent", domains: []string{"a", "b", "c", "d"}, blind: []string{"a", "b"}, silent: []string{"c", "d"}, promotes: true},
		{name: "the only domain of a deployment", domains: []string{"a"}, blind: []string{"a"}, promotes: true},
	} {
		t.Run("Promise 2: "+c.name, func(t *testing.T) {
			w := steady(t, c.domains...)
			old := w.primary()
			for _, domain := range c.blind {
				w.group.setCut(domain, old.name)
			}
			for _, domain := range c.silent {
				for _, coordinator := range w.coordinators {
					w.group.setCut(domain, coordinator.side)
				}
			}
			w.rounds(50)
			if promoted := w.primary().term != (position.Term{Epoch: 1, Sequence: 1}); promoted != c.promotes {
				t.Errorf("promoted: %v, expected %v", promoted, c.promotes)
			}
			if len(w.group.broken) > 0 {
				t.Error(w.group.broken)
			}
		})
	}
}

// Guards against writes that a cut-off primary acknowledges after another one
// was promoted.
func TestPromise2CutOffPrimary(t *testing.T) {
	t.Run("Promise 2: a cut-off primary acknowledges nothing", func(t *testing.T) {
		w := steady(t, "a", "b", "c")
		old := w.primary()
		for _, side := range []string{"i1", "i2", "i3", "b", "c"} {
			w.group.setCut(old.name, side)
		}
		for range 40 {
			w.group.write(old)
			w.round()
		}
		g := NewWithT(t)
		g.Expect(w.primary()).NotTo(BeIdenticalTo(old))
		g.Expect(w.group.broken).To(BeEmpty())
		g.Expect(converge(w)).To(BeEmpty())
		g.Expect(old.role).To(Equal(backend.RoleReplica))
	})
}

// Guards against a candidate that lacks a write which the other replica
// received and which was therefore acknowledged.
func TestPromise2LaggingReplica(t *testing.T) {
	for lagging := 1; lagging < 3; lagging++ {
		t.Run(fmt.Sprintf("Promise 2: replica %d lags", lagging), func(t *testing.T) {
			g := NewWithT(t)
			w := steady(t, "a", "b", "c")
			old := w.primary()
			w.majorityWrite(w.group.instances[lagging])
			g.Expect(w.group.acked).To(HaveLen(2))
			old.down = true
			w.rounds(30)
			g.Expect(w.primary()).NotTo(BeIdenticalTo(w.group.instances[lagging]))
			g.Expect(converge(w)).To(BeEmpty())
		})
	}
}

// Guards against a coordinator that goes on after another one was elected.
func TestPromise2Superseded(t *testing.T) {
	t.Run("Promise 2: a superseded coordinator stops", func(t *testing.T) {
		g := NewWithT(t)
		w := steady(t, "a", "b", "c")
		w.cutCoordinator("a")
		for _, domain := range w.domains[1:] {
			w.group.setCut("a", domain)
		}
		w.lead(1)
		w.primary().down = true
		w.rounds(30)
		g.Expect(w.primary().term.Epoch).To(Equal(uint64(2)))
		g.Expect(w.coordinators[0].core.Epoch()).To(Equal(uint64(1)))
		w.heal()
		w.rounds(10)
		g.Expect(w.coordinators[0].core.Epoch()).To(BeZero())
		w.step(w.coordinators[0], Lead{Epoch: 1})
		g.Expect(w.coordinators[0].core.Epoch()).To(BeZero())
		w.epoch = 2
		w.lead(0)
		g.Expect(w.coordinators[0].core.Epoch()).To(Equal(uint64(3)))
		g.Expect(converge(w)).To(BeEmpty())
	})
}

// Guards against a planned change of primary that loses or aborts a write, or
// that leaves writes refused when it cannot end.
func TestPromise13Switchover(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(w *world, target *fakeInstance)
		done  bool
	}{
		{name: "without a fault", fault: func(*world, *fakeInstance) {}, done: true},
		{name: "target lags for ever", fault: func(w *world, target *fakeInstance) {
			target.follows = ""
			w.group.setCut(target.name, w.primary().name)
		}},
		{name: "transactions stay open", fault: func(w *world, _ *fakeInstance) { w.primary().busy = true }},
		{name: "target is down", fault: func(_ *world, target *fakeInstance) { target.down = true }},
	} {
		t.Run("Promise 13: switchover "+c.name, func(t *testing.T) {
			g := NewWithT(t)
			w := steady(t, "a", "b", "c")
			old := w.primary()
			target := w.group.instances[2]
			w.group.write(old)
			c.fault(w, target)
			w.step(w.coordinators[0], SwitchoverRequest{ID: 7, Target: target.name})
			w.rounds(200)
			g.Expect(w.done).To(HaveLen(1))
			g.Expect(w.done[0].Done).To(Equal(c.done), w.done[0].Reason)
			g.Expect(w.primary() == target).To(Equal(c.done))
			g.Expect(w.primary().quiescedUntil.After(w.now)).To(BeFalse())
			w.heal()
			g.Expect(converge(w)).To(BeEmpty())
		})
	}
	t.Run("Promise 13: open transactions end before the third attempt", func(t *testing.T) {
		g := NewWithT(t)
		w := steady(t, "a", "b", "c")
		old := w.primary()
		old.busy = true
		w.step(w.coordinators[0], SwitchoverRequest{ID: 7})
		w.rounds(15)
		g.Expect(w.done).To(BeEmpty())
		old.busy = false
		w.rounds(25)
		g.Expect(w.done).To(ConsistOf(HaveField("Done", true)))
		g.Expect(w.primary()).NotTo(BeIdenticalTo(old))
	})
}

// Guards against a primary that stays on an instance which operators take out
// of service, and against a switchover to another one that leaves.
func TestPromise12LeavingPrimary(t *testing.T) {
	t.Run("Promise 12: a leaving primary is switched over", func(t *testing.T) {
		g := NewWithT(t)
		w := steady(t, "a", "b", "c")
		old := w.primary()
		w.leaving[old.name] = true
		w.leaving[w.group.instances[1].name] = true
		w.configure()
		w.rounds(20)
		g.Expect(w.primary()).To(BeIdenticalTo(w.group.instances[2]))
		w.leaving[w.group.instances[2].name] = true
		w.configure()
		term := w.primary().term
		w.rounds(30)
		g.Expect(w.primary().term).To(Equal(term), "every instance is leaving")
		g.Expect(converge(w)).To(BeEmpty())
	})
}

// Guards against a promotion of a leaving instance while an equal one stays.
func TestPromise12LeavingCandidate(t *testing.T) {
	t.Run("Promise 12: a leaving instance is no candidate among equals", func(t *testing.T) {
		w := steady(t, "a", "b", "c")
		w.primary().down = true
		w.leaving[w.group.instances[1].name] = true
		w.leaving[w.group.instances[2].name] = false
		w.configure()
		w.rounds(30)
		g := NewWithT(t)
		g.Expect(w.primary()).To(BeIdenticalTo(w.group.instances[2]))
		g.Expect(w.primary().term).To(Equal(position.Term{Epoch: 1, Sequence: 2}), "one promotion, no switchover after it")
	})
}
