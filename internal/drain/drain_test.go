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

// Guards against a drain that closes open sessions too early, hands duties back while
// sessions are open, skips a step or exceeds its timeout.
func TestPromise13HostDrainHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h HostDrain
		start := time.Unix(100, 0)
		now := start
		if len(h.Tick(now, Progress{})) != 0 {
			t.Fatal("a step was due before the start of the drain")
		}
		h.Start(now)
		sessions := rapid.IntRange(0, 3).Draw(t, "sessions")
		answers := rapid.Bool().Draw(t, "hand back completes")
		var steps []Step
		for h.Last() != StepDone {
			p := Progress{Sessions: sessions, HandedBack: answers && h.Last() == StepHandBack && rapid.Bool().Draw(t, "handed back")}
			due := h.Tick(now, p)
			age := now.Sub(start)
			if slices.Contains(due, StepStopAccepting) && age < ReadinessDelay {
				t.Fatalf("stops accepting connections after only %v", age)
			}
			if slices.Contains(due, StepCloseOpenSessions) && sessions > 0 && age < Timeout-handBackReserve {
				t.Fatalf("closes open sessions after only %v", age)
			}
			if slices.Contains(due, StepCloseOpenSessions) {
				sessions = 0
			}
			if steps = append(steps, due...); age > Timeout {
				t.Fatalf("not done after %v: %v", age, steps)
			}
			now = now.Add(time.Second)
			sessions = max(0, sessions-rapid.IntRange(0, 1).Draw(t, "end")*rapid.IntRange(0, 1).Draw(t, "really"))
		}
		if !slices.Equal(steps, []Step{1, 2, 3, 4, 5, 6}) {
			t.Fatalf("steps %v", steps)
		}
	})
}
