package drain

import "time"

const (
	// ReadinessDelay is the time between the change to not ready and the end of accepting
	// connections, in which load balancers stop sending new ones.
	ReadinessDelay = 3 * time.Second
	// Timeout is the time after which the process ends, whatever is still open.
	Timeout = 60 * time.Second
	// handBackReserve is the part of Timeout that is reserved for handing back duties.
	handBackReserve = 5 * time.Second
)

// Step is one step of the drain of a host. Each step runs once, in the order of the
// constants.
type Step int

// The steps of the drain of a host.
const (
	// StepNotReady sets readiness to not ready and marks the host's own member as draining.
	StepNotReady Step = iota + 1
	// StepStopAccepting closes the listeners for callers.
	StepStopAccepting
	// StepCloseSessions closes each session at its next transaction boundary.
	StepCloseSessions
	// StepCloseOpenSessions closes the remaining sessions; their transactions are rolled
	// back and logged.
	StepCloseOpenSessions
	// StepHandBack releases buckets and the relay slot, returns grants and leaves the
	// membership.
	StepHandBack
	// StepDone ends the process.
	StepDone
)

// String returns the name of the step used in log lines.
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

// Progress is the state of the drain that the caller passes to each Tick.
type Progress struct {
	// Sessions is the number of open caller sessions.
	Sessions int
	// HandedBack is set once StepHandBack has completed.
	HandedBack bool
}

// HostDrain decides when each step of the drain of this host is due. It does no I/O and
// reads no clock. It is not safe for concurrent use.
type HostDrain struct {
	startedAt time.Time
	last      Step
}

// Start begins the drain; later calls have no effect. A drain cannot be cancelled: the
// process ends and a new one replaces it.
func (h *HostDrain) Start(now time.Time) {
	if h.startedAt.IsZero() {
		h.startedAt = now
	}
}

// Started reports whether the drain has begun.
func (h *HostDrain) Started() bool { return !h.startedAt.IsZero() }

// Last returns the last step that was due; 0 before the drain.
func (h *HostDrain) Last() Step { return h.last }

// Tick returns the steps that are due, in order.
func (h *HostDrain) Tick(now time.Time, p Progress) []Step {
	var due []Step
	for h.Started() && h.last < StepDone && h.isDue(h.last+1, now, p) {
		h.last++
		due = append(due, h.last)
	}
	return due
}

// isDue reports whether step s, the one after the last, can begin. Duties are handed back
// only after all sessions are closed, because sessions use grants.
func (h *HostDrain) isDue(s Step, now time.Time, p Progress) bool {
	age := now.Sub(h.startedAt)
	switch s {
	case StepNotReady:
		return true
	case StepStopAccepting, StepCloseSessions:
		return age >= ReadinessDelay
	case StepCloseOpenSessions:
		return p.Sessions == 0 || age >= Timeout-handBackReserve
	case StepHandBack:
		return true
	case StepDone:
		return p.HandedBack || age >= Timeout
	default:
		return false
	}
}
