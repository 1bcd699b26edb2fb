package drain

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// virtualClock passes only while something sleeps.
type virtualClock struct{ now time.Time }

func (c *virtualClock) Now() time.Time { return c.now }

func (c *virtualClock) Sleep(d time.Duration) { c.now = c.now.Add(d) }

// busyHost is a host that callers go on to use until it refuses work. Work arrives at any
// moment, also between a Poll and the step that follows it.
type busyHost struct {
	t     *rapid.T
	clock *virtualClock
	// longest is the maximum duration of work.
	longest time.Duration
	// ends holds when each unit of work ends.
	ends    []time.Time
	refuses bool
}

func (h *busyHost) Poll() Progress {
	p := Progress{HandedBack: true}
	for _, end := range h.ends {
		if h.clock.now.Before(end) {
			p.Work++
		}
	}
	h.accept()
	return p
}

func (h *busyHost) Do(s Step) {
	h.accept()
	if s == StepEndTransactions {
		h.refuses = true
	}
}

// accept begins work that arrives now, unless the host refuses it.
func (h *busyHost) accept() {
	if h.refuses || rapid.IntRange(0, 3).Draw(h.t, "work arrives") != 0 {
		return
	}
	duration := time.Duration(rapid.Int64Range(1, int64(h.longest)).Draw(h.t, "duration"))
	h.ends = append(h.ends, h.clock.now.Add(duration))
}

// Guards against a stop that finds no work, decides to end, and cuts off the work that
// arrived after it had looked.
func TestPromise13WorkThatArrivesWhileTheDrainDecides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := Within(6*time.Second, 2*time.Second, 0)
		c := &virtualClock{now: time.Unix(100, 0)}
		started := c.now
		h := &busyHost{t: t, clock: c, longest: plan.Interrupt - plan.LastStatement}
		run(plan, h, c)
		for _, end := range h.ends {
			if c.now.Before(end) {
				t.Fatalf("the drain ended after %v and cut off work that would have ended after %v",
					c.now.Sub(started), end.Sub(started))
			}
		}
	})
}
