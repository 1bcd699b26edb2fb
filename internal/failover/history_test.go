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

// TestMain sets the default seed and number of random histories; command-line flags
// override both.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "10000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// historySteps maps the steps of a random history to their weights. The histories of a seed
// depend on the alphabetical order of the steps.
var historySteps = map[string]int{
	"round": 6, "tick": 4, "call": 8, "answer": 8, "lose answer": 2, "write": 6, "replicate": 6, "acknowledge": 4,
	"report": 6, "old report": 2, "create partition": 3, "merge partitions": 2, "kill": 2, "start": 2, "elect": 1, "leaving": 1,
	"switchover": 1, "busy": 1, "lost call": 1, "majority write": 3, "kill primary": 3,
}

func weightedSteps() []string {
	var steps []string
	for step, weight := range historySteps {
		steps = append(steps, slices.Repeat([]string{step}, weight)...)
	}
	slices.Sort(steps)
	return steps
}

// randomStep executes one random step.
func randomStep(t *rapid.T, sim *simulation, step string) {
	c := sim.coordinators[rapid.IntRange(0, len(sim.coordinators)-1).Draw(t, "coordinator")]
	in := sim.group.instances[rapid.IntRange(0, len(sim.group.instances)-1).Draw(t, "instance")]
	domain := rapid.SampledFrom(sim.domains).Draw(t, "domain")
	n := rapid.IntRange(0, 3).Draw(t, "n")
	switch step {
	case "round":
		sim.rounds(1 + 3*n)
	case "tick":
		sim.now = sim.now.Add(time.Duration(10+150*n) * time.Millisecond)
		sim.step(c, Tick{})
	case "call":
		sim.deliverCall(c, n)
	case "answer":
		sim.deliverAnswer(c, n, false)
	case "lose answer":
		sim.deliverAnswer(c, n, true)
	case "lost call":
		if n < len(c.calls) {
			c.calls = slices.Delete(c.calls, n, n+1)
		}
	case "write":
		sim.group.write(in)
	case "replicate":
		sim.group.replicate(in)
	case "acknowledge":
		sim.group.acknowledge(in)
	case "report":
		sim.report(domain)
	case "old report":
		sim.redeliver(domain)
	case "create partition":
		sides := append([]string{"i1", "i2", "i3"}, sim.domains...)
		sim.group.partition(in.name, rapid.SampledFrom(sides).Draw(t, "side"))
	default:
		randomFault(sim, step, in, c, n)
	}
}

func randomFault(sim *simulation, step string, in *fakeInstance, c *simCoordinator, n int) {
	switch step {
	case "merge partitions":
		clear(sim.group.partitioned)
	case "majority write":
		sim.majorityWrite(in)
	case "kill primary":
		if p := sim.primary(); p != nil {
			p.down = true
		}
	case "kill":
		in.down = true
	case "start":
		in.restart()
		in.down = false
	case "elect":
		sim.elect(slices.Index(sim.coordinators, c))
	case "leaving":
		sim.leaving[in.name] = !sim.leaving[in.name]
		sim.configure()
	case "switchover":
		target := ""
		if n > 0 {
			target = in.name
		}
		sim.step(c, SwitchoverRequest{ID: 1, Target: target})
	case "busy":
		in.busy = !in.busy
	}
}

// runHistory runs a random history and returns the invariant violations found.
func runHistory(t *rapid.T, sim *simulation) []string {
	steps := weightedSteps()
	sim.elect(0)
	for range rapid.IntRange(10, 50).Draw(t, "length") {
		randomStep(t, sim, rapid.SampledFrom(steps).Draw(t, "step"))
		if len(sim.group.violations) > 0 {
			return sim.group.violations
		}
	}
	return converge(sim)
}

// converge ends all faults, lets time pass and returns the violations that remain.
func converge(sim *simulation) []string {
	sim.heal()
	clear(sim.leaving)
	sim.configure()
	sim.rounds(45)
	if len(sim.group.violations) > 0 {
		return sim.group.violations
	}
	p := sim.primary()
	if p == nil {
		return []string{"no primary after all faults ended"}
	}
	sim.group.write(p)
	sim.rounds(30)
	if sim.primary() != p {
		return []string{"primary changed without a fault"}
	}
	for _, in := range sim.group.instances {
		if !slices.Equal(in.log, p.log) {
			return []string{in.name + " does not follow " + p.name}
		}
	}
	if len(p.log) > 0 && sim.group.acked[p.log[len(p.log)-1].id].IsZero() {
		return []string{"a write after all faults ended was not acknowledged"}
	}
	return sim.group.violations
}

// Guards against two primaries in a term, a lost acknowledged write, a topology whose term
// decreases, a group that stays without a primary, and an instance that does not follow,
// under faults in random order.
func TestPromise2Histories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violations := runHistory(t, newSimulation("a", "b", "c")); len(violations) > 0 {
			t.Fatalf("Promise 2: %s", strings.Join(violations, "; "))
		}
	})
}
