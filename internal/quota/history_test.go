package quota

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleylever/bramleylever/internal/hosts"
	"github.com/bramleylever/bramleylever/internal/platform/platformtest"
)

// TestFleetStaysWithinLimit guards against overuse of a limit: the fleet stays within the
// limit and the slack in every window, whatever the arrivals are and whichever hosts are
// cut off from the store, lose replies of the store or leave the list of hosts.
func TestFleetStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkLimit(t, 4) })
}

// TestLargeFleetStaysWithinLimit checks the same in a large fleet, where few hosts have
// equal allocations and the others borrow. It makes fewer checks, because a check of more
// hosts takes longer.
func TestLargeFleetStaysWithinLimit(t *testing.T) {
	setChecks(t, "60")
	rapid.Check(t, func(t *rapid.T) { checkLimit(t, hosts.MaxSmallFleet+3) })
}

// setChecks sets the number of histories for one test.
func setChecks(t *testing.T, checks string) {
	before := flag.Lookup("rapid.checks").Value.String()
	if err := flag.Set("rapid.checks", checks); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = flag.Set("rapid.checks", before) })
}

// maxArrivals bounds the operations of one step over all hosts.
const maxArrivals = 48

func checkLimit(t *rapid.T, hosts int) {
	rate := float64(rapid.IntRange(10, 80).Draw(t, "rate"))
	f := newFleet(hosts, rate)
	var admitted []time.Time
	cut := map[int]bool{}
	for range rapid.IntRange(50, 400).Draw(t, "steps") {
		switch rapid.IntRange(0, 40).Draw(t, "event") {
		case 0:
			i := rapid.IntRange(0, hosts-1).Draw(t, "cut")
			cut[i] = !cut[i]
		case 1:
			f.memory.SetFault(platformtest.Fault{LoseAnswers: rapid.Bool().Draw(t, "lose answers")})
		case 2:
			name := f.limiters[rapid.IntRange(0, hosts-1).Draw(t, "host")].options.Host
			f.absent = map[string]bool{name: true}
		}
		f.step(50*time.Millisecond, cut)
		for i := range hosts {
			for range rapid.IntRange(0, maxArrivals/hosts).Draw(t, "arrivals") {
				if f.serve(f.limiters[i]) {
					admitted = append(admitted, f.now)
				}
			}
		}
	}
	checkWindows(t, admitted, rate)
}

// checkWindows fails if some window has more operations than the limit and the slack allow.
func checkWindows(t *rapid.T, admitted []time.Time, rate float64) {
	allowed := (rate*5+rate)*1.1 + 20
	for first, last := 0, 0; last < len(admitted); last++ {
		for admitted[last].Sub(admitted[first]) > 5*time.Second {
			first++
		}
		if count := float64(last - first + 1); count > allowed {
			t.Fatalf("%v operations in 5 s, allowed are %v", count, allowed)
		}
	}
}
