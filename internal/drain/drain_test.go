package drain

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramleylever/bramleylever/internal/records"
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

var instance = records.Instance{Name: "i1", Address: "10.0.0.1:5432", Domain: "a"}

func snapshot(revision int64, backend, domain records.ServiceState) *records.Snapshot {
	return &records.Snapshot{
		Revision:  revision,
		Databases: map[string]records.Database{"ledger": {Name: "ledger", Instances: []records.Instance{instance}}},
		Backends:  map[string]records.ServiceState{instance.Name: backend},
		Domains:   map[string]records.ServiceState{instance.Domain: domain},
	}
}

// Guards against new work for a leaving instance, and against full load on an instance that
// just returned.
func TestPromise12And8Weights(t *testing.T) {
	const leaving, active = records.StateLeaving, records.StateActive
	start := time.Unix(0, 0)
	for _, c := range []struct {
		name  string
		apply []*records.Snapshot
		after time.Duration
		want  float64
	}{
		{name: "Promise 12: in service from the start", apply: []*records.Snapshot{snapshot(1, active, active)}, want: 1},
		{name: "Promise 12: instance is leaving", apply: []*records.Snapshot{snapshot(1, leaving, active)}, after: time.Hour, want: 0},
		{name: "Promise 8: failure domain is leaving", apply: []*records.Snapshot{snapshot(1, active, leaving)}, want: 0},
		{name: "Promise 8: start of the ramp", apply: []*records.Snapshot{snapshot(1, active, leaving), snapshot(2, active, active)}, want: 0.1},
		{name: "Promise 8: half of the ramp", apply: []*records.Snapshot{snapshot(1, active, leaving), snapshot(2, active, active)}, after: 15 * time.Second, want: 0.55},
		{name: "Promise 8: end of the ramp", apply: []*records.Snapshot{snapshot(1, active, leaving), snapshot(2, active, active)}, after: 30 * time.Second, want: 1},
		{name: "Promise 8: domain returns, instance is still leaving", apply: []*records.Snapshot{snapshot(1, leaving, leaving), snapshot(2, leaving, active)}, want: 0},
		{name: "Promise 8: new revision during the ramp", apply: []*records.Snapshot{snapshot(1, active, leaving), snapshot(2, active, active), snapshot(3, active, active)}, after: 15 * time.Second, want: 0.55},
		{name: "Promise 8: old snapshot is ignored", apply: []*records.Snapshot{snapshot(2, active, active), snapshot(1, leaving, leaving)}, want: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := NewWeights()
			for _, s := range c.apply {
				w.Apply(start, s)
			}
			NewWithT(t).Expect(w.Weight(instance, start.Add(c.after))).To(BeNumerically("~", c.want, 1e-9))
		})
	}
}

// Guards against a weight above 0 while an instance is leaving, a weight that rises faster
// than the ramp after its return, and a weight outside [0, 1].
func TestPromise8WeightHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := NewWeights()
		now := time.Unix(0, 0)
		last := 1.0
		for revision := range rapid.Int64Range(1, 40).Draw(t, "length") {
			step := time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
			now = now.Add(step)
			state := records.StateActive
			leaves := rapid.Bool().Draw(t, "leaves")
			if leaves {
				state = records.StateLeaving
			}
			w.Apply(now, snapshot(revision, state, records.StateActive))
			got := w.Weight(instance, now)
			maxWeight := max(ReturnInitialWeight, last+0.9*step.Seconds()/ReturnRamp.Seconds()+1e-9)
			if leaves && got != 0 || !leaves && (got < ReturnInitialWeight || got > 1 || got > maxWeight) {
				t.Fatalf("weight %v after %v, leaving %v", got, last, leaves)
			}
			last = got
		}
	})
}

// Guards against a drain that ends open transactions or interrupts statements too early,
// hands duties back while work is open, skips a step or exceeds its time. Each kind of work
// must have a last moment at which it is accepted, and time to end after that.
func TestPromise13HostDrainHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := time.Duration(rapid.IntRange(100, 90_000).Draw(t, "limit ms")) * time.Millisecond
		readiness := time.Duration(rapid.IntRange(0, 4000).Draw(t, "readiness ms")) * time.Millisecond
		handBack := time.Duration(rapid.IntRange(0, 5000).Draw(t, "hand back ms")) * time.Millisecond
		plan := Within(limit, readiness, handBack)
		moments := []time.Duration{plan.Readiness, plan.LastStatement, plan.Interrupt, plan.HandBack, plan.Exit}
		if !slices.IsSorted(moments) || plan.Exit >= limit {
			t.Fatalf("plan is not in order: %+v", plan)
		}
		if plan.LastStatement < limit/2 {
			t.Fatalf("open transactions get only %v of %v", plan.LastStatement, limit)
		}
		var h HostDrain
		start := time.Unix(100, 0)
		now := start
		if _, due := h.Tick(now, Progress{}); due {
			t.Fatal("a step was due before the start of the drain")
		}
		h.Start(now, plan)
		work := rapid.IntRange(0, 3).Draw(t, "work")
		answers := rapid.Bool().Draw(t, "hand back completes")
		earliest := map[Step]time.Duration{
			StepEndTransactions: plan.LastStatement, StepInterrupt: plan.Interrupt, StepHandBack: plan.HandBack,
			StepDone: plan.Exit,
		}
		var steps []Step
		for h.Last() != StepDone {
			if rapid.IntRange(0, 9).Draw(t, "second signal") == 0 {
				h.Start(now, Within(limit*2, readiness, handBack))
			}
			p := Progress{Work: work, HandedBack: answers && h.Last() == StepHandBack && rapid.Bool().Draw(t, "handed back")}
			s, due := h.Tick(now, p)
			age := now.Sub(start)
			if due {
				if s == StepCloseIdle && age < plan.Readiness || work > 0 && age < earliest[s] {
					t.Fatalf("step %v is due after only %v with work %d", s, age, work)
				}
				steps = append(steps, s)
				continue
			}
			if age > limit {
				t.Fatalf("not done after %v: %v", age, steps)
			}
			now = now.Add(limit / 50)
			work = max(0, work-rapid.IntRange(0, 1).Draw(t, "end")*rapid.IntRange(0, 1).Draw(t, "really"))
		}
		if !slices.Equal(steps, []Step{1, 2, 3, 4, 5, 6}) {
			t.Fatalf("steps %v", steps)
		}
	})
}

// Guards against a statement that is accepted in the last moment and cannot end before the
// process: a transaction's statements must stop while there is time for them to run.
func TestPromise13StatementsHaveTimeToEnd(t *testing.T) {
	g := NewWithT(t)
	plan := Within(6*time.Second, 2200*time.Millisecond, 0)
	g.Expect(plan.Readiness).To(Equal(2 * time.Second))
	g.Expect(plan.LastStatement).To(Equal(3 * time.Second))
	g.Expect(plan.Interrupt - plan.LastStatement).To(BeNumerically(">=", 2*time.Second))
	g.Expect(plan.Exit).To(BeNumerically("<", 6*time.Second))
}
