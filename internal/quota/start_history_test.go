package quota

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleylever/bramleylever/internal/platform/platformtest"
)

// startingFleet is a fleet whose hosts start together now and then, and have not read the
// list of hosts for a while after it.
type startingFleet struct {
	*fleet
	count int
	// listed is when the hosts have read the list, and started when they started.
	listed, started time.Time
}

const (
	startStep = 50 * time.Millisecond
	// minStartDistance is the time between two starts of all hosts: each start may use what
	// a window leaves.
	minStartDistance = 5 * time.Second
)

func (f *startingFleet) known() bool { return !f.now.Before(f.listed) }

// restart replaces all hosts. They read the list of hosts after a time.
func (f *startingFleet) restart(unread time.Duration) {
	f.started, f.listed = f.now, f.now.Add(unread)
	for i, old := range f.limiters {
		l := f.start(old.options.Host, f.count)
		l.options.HostCount = func() int {
			if f.known() {
				return f.count
			}
			return 1
		}
		l.options.HostsKnown = f.known
		l.restore(context.Background())
		f.limiters[i] = l
	}
}

// TestFleetThatStartsStaysWithinLimit guards against hosts that start together and each take
// the common part of a limit, because they have not read the list of hosts yet.
func TestFleetThatStartsStaysWithinLimit(t *testing.T) {
	setChecks(t, "300")
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(3, 9).Draw(t, "hosts")
		rate := float64(rapid.IntRange(10, 80).Draw(t, "rate"))
		f := &startingFleet{fleet: newFleet(count, rate), count: count}
		f.started, f.listed = f.now, f.now
		var admitted []time.Time
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			switch event := rapid.IntRange(0, 40).Draw(t, "event"); {
			case event == 0:
				f.memory.SetFault(platformtest.Fault{LoseAnswers: rapid.Bool().Draw(t, "lose answers")})
			case event == 1 && f.now.Sub(f.started) > minStartDistance:
				f.restart(time.Duration(rapid.IntRange(0, 60).Draw(t, "unread steps")) * startStep)
			}
			f.step(startStep, nil)
			for _, l := range f.limiters {
				for range rapid.IntRange(0, maxArrivals/count).Draw(t, "arrivals") {
					if f.serve(l) {
						admitted = append(admitted, f.now)
					}
				}
			}
		}
		checkWindows(t, admitted, rate)
	})
}
