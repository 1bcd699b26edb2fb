package drain

import "time"

// pollInterval is how often Run checks whether the next step is due.
const pollInterval = 50 * time.Millisecond

// Host is the host that Run drains.
type Host interface {
	// Poll returns the state of the drain. It is called before each decision, after the
	// steps before have run.
	Poll() Progress
	// Do runs a step. Only StepInterrupt may wait for the statements that it interrupts.
	Do(Step)
}

// clock is the time that a drain is run by.
type clock interface {
	Now() time.Time
	Sleep(time.Duration)
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

func (systemClock) Sleep(d time.Duration) { time.Sleep(d) }

// Run drains a host: it runs each step when it is due, and returns after StepDone.
func Run(p Plan, h Host) { run(p, h, systemClock{}) }

func run(p Plan, h Host, c clock) {
	var state HostDrain
	state.Start(c.Now(), p)
	for state.Last() != StepDone {
		step, due := state.Tick(c.Now(), h.Poll())
		if !due {
			c.Sleep(pollInterval)
			continue
		}
		h.Do(step)
	}
}
