package drain

import "time"

const (
	// AcceptDelay is the time between the change of readiness and the end of
	// accepting, in which load balancers stop sending new connections.
	AcceptDelay = 3 * time.Second
	// Limit is the time after which the process ends whatever is still open.
	Limit = 60 * time.Second
	// handBackReserve is kept before Limit for handing duties back.
	handBackReserve = 5 * time.Second
)

// Step is one part of the drain of a host. The daemon runs a step once, in the
// order of the constants.
type Step int

// The steps of the drain of a host.
const (
	// StepNotReady changes readiness to not ready and marks the own member
	// entry as draining.
	StepNotReady Step = iota + 1
	// StepStopAccepting closes the listeners for callers.
	StepStopAccepting
	// StepCloseSessions closes each session at its next transaction boundary.
	StepCloseSessions
	// StepCloseOpenSessions closes the sessions that are still open; their
	// transactions are rolled back and logged.
	StepCloseOpenSessions
	// StepHandBack hands buckets and relays back, returns shares and leaves
	// the membership.
	StepHandBack
	// StepDone ends the process.
	StepDone
)

// String returns the name of the step in log lines.
func (s Step) String() string {
	switch s {
	case StepNotReady:
		return "not_ready"
	case StepStopAccepting:
		return "stop_accepting"
	case StepCloseSessions:
		return "close_sessions"
	case StepCloseOpenSessions:
		return "close_open_sessions"
	case StepHandBack:
		return "hand_back"
	case StepDone:
		return "done"
	default:
		return "unknown"
	}
}

// Progress is what the daemon reports at each tick.
type Progress struct {
	// Sessions is the number of caller sessions that are open.
	Sessions int
	// HandedBack is set once StepHandBack has ended.
	HandedBack bool
}

// Host is the deterministic core of the drain of this host. It is not safe for
// concurrent use.
type Host struct {
	startedAt time.Time
	last      Step
}

// Start begins the drain; later calls change nothing. A drain is never
// taken back: the process ends and a new one takes its place.
func (h *Host) Start(now time.Time) {
	if h.startedAt.IsZero() {
		h.startedAt = now
	}
}

// Started reports whether the drain began.
func (h *Host) Started() bool { return !h.startedAt.IsZero() }

// Last returns the last step that was due; 0 before the drain.
func (h *Host) Last() Step { return h.last }

// Tick returns the steps that are due, in order.
func (h *Host) Tick(now time.Time, p Progress) []Step {
	var due []Step
	for h.Started() && h.last < StepDone && h.isDue(h.last+1, now, p) {
		h.last++
		due = append(due, h.last)
	}
	return due
}

// isDue reports whether the step after the last one can begin. Duties are
// handed back after the sessions ended, because sessions use shares.
func (h *Host) isDue(s Step, now time.Time, p Progress) bool {
	age := now.Sub(h.startedAt)
	switch s {
	case StepNotReady:
		return true
	case StepStopAccepting, StepCloseSessions:
		return age >= AcceptDelay
	case StepCloseOpenSessions:
		return p.Sessions == 0 || age >= Limit-handBackReserve
	case StepHandBack:
		return true
	case StepDone:
		return p.HandedBack || age >= Limit
	default:
		return false
	}
}
