package failover

import (
	"flag"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed and the number of the histories; flags on the
// command line override both.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "10000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// historySteps are the moves of a random history, with their weights.
var historySteps = map[string]int{
	"round": 6, "tick": 4, "call": 8, "answer": 8, "lose answer": 2, "write": 6, "replicate": 6, "acknowledge": 4,
	"report": 6, "old report": 2, "cut": 3, "mend": 2, "kill": 2, "start": 2, "elect": 1, "leaving": 1,
	"switchover": 1, "busy": 1, "lost call": 1, "majority write": 3, "kill primary": 3,
}

func weighted() []string {
	var steps []string
	for step, weight := range historySteps {
		steps = append(steps, slices.Repeat([]string{step}, weight)...)
	}
	slices.Sort(steps)
	return steps
}

// randomStep runs one random move.
func randomStep(t *rapid.T, w *world, step string) {
	c := w.coordinators[rapid.IntRange(0, len(w.coordinators)-1).Draw(t, "coordinator")]
	in := w.group.instances[rapid.IntRange(0, len(w.group.instances)-1).Draw(t, "instance")]
	domain := rapid.SampledFrom(w.domains).Draw(t, "domain")
	n := rapid.IntRange(0, 3).Draw(t, "n")
	switch step {
	case "round":
		w.rounds(1 + 3*n)
	case "tick":
		w.now = w.now.Add(time.Duration(10+150*n) * time.Millisecond)
		w.step(c, Tick{})
	case "call":
		w.deliverCall(c, n)
	case "answer":
		w.deliverAnswer(c, n, false)
	case "lose answer":
		w.deliverAnswer(c, n, true)
	case "lost call":
		if n < len(c.calls) {
			c.calls = slices.Delete(c.calls, n, n+1)
		}
	case "write":
		w.group.write(in)
	case "replicate":
		w.group.replicate(in)
	case "acknowledge":
		w.group.acknowledge(in)
	case "report":
		w.report(domain)
	case "old report":
		w.redeliver(domain)
	case "cut":
		sides := append([]string{"i1", "i2", "i3"}, w.domains...)
		w.group.setCut(in.name, rapid.SampledFrom(sides).Draw(t, "side"))
	default:
		randomFault(w, step, in, c, n)
	}
}

func randomFault(w *world, step string, in *fakeInstance, c *worldCoordinator, n int) {
	switch step {
	case "mend":
		clear(w.group.cut)
	case "majority write":
		w.majorityWrite(in)
	case "kill primary":
		if p := w.primary(); p != nil {
			p.down = true
		}
	case "kill":
		in.down = true
	case "start":
		in.restart()
		in.down = false
	case "elect":
		w.lead(slices.Index(w.coordinators, c))
	case "leaving":
		w.leaving[in.name] = !w.leaving[in.name]
		w.configure()
	case "switchover":
		target := ""
		if n > 0 {
			target = in.name
		}
		w.step(c, SwitchoverRequest{ID: 1, Target: target})
	case "busy":
		in.busy = !in.busy
	}
}

// runHistory runs a random history and returns the promises that it broke.
func runHistory(t *rapid.T, w *world) []string {
	steps := weighted()
	w.lead(0)
	for range rapid.IntRange(10, 50).Draw(t, "length") {
		randomStep(t, w, rapid.SampledFrom(steps).Draw(t, "step"))
		if len(w.group.broken) > 0 {
			return w.group.broken
		}
	}
	return converge(w)
}

// converge ends the faults and returns what is wrong once time has passed.
func converge(w *world) []string {
	w.heal()
	clear(w.leaving)
	w.configure()
	w.rounds(45)
	if len(w.group.broken) > 0 {
		return w.group.broken
	}
	p := w.primary()
	if p == nil {
		return []string{"no primary after all faults ended"}
	}
	w.group.write(p)
	w.rounds(30)
	if w.primary() != p {
		return []string{"primary changed without a fault"}
	}
	for _, in := range w.group.instances {
		if !slices.Equal(in.log, p.log) {
			return []string{in.name + " does not follow " + p.name}
		}
	}
	if len(p.log) > 0 && w.group.acked[p.log[len(p.log)-1].id].IsZero() {
		return []string{"a write without faults was not acknowledged"}
	}
	return w.group.broken
}

// Guards against two primaries in a term, a lost acknowledged write, a
// topology that goes back, and a group that stays without a primary or with an
// instance that does not follow, in any order of the faults.
func TestPromise2Histories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if broken := runHistory(t, newWorld("a", "b", "c")); len(broken) > 0 {
			t.Fatalf("Promise 2: %s", strings.Join(broken, "; "))
		}
	})
}
