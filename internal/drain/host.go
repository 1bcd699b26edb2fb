package drain

import "time"

// Plan is the schedule of a host's drain, as durations from its start. Each kind of work
// has a last moment at which it is accepted, early enough that it ends before the host
// does.
type Plan struct {
	// Readiness is the time between the change to not ready and the end of new
	// transactions, in which load balancers stop sending callers.
	Readiness time.Duration
	// LastStatement is when open transactions accept their last statement.
	LastStatement time.Duration
	// Interrupt is when statements that still run are interrupted, so that their
	// callers get an answer.
	Interrupt time.Duration
	// HandBack is when duties are handed back even if a session is still open.
	HandBack time.Duration
	// Exit is when the process ends, whatever is still open.
	Exit time.Duration
}

const (
	// lastStatementDivisor gives open transactions this fraction (1/n) of the time to
	// end; the rest is for the statements that were accepted until then.
	lastStatementDivisor = 2
	// maxReadinessDivisor limits the readiness time to this fraction of the time.
	maxReadinessDivisor = 3
	// exitReserve is the time that the end of the process takes, and answerReserve the
	// time that interrupted statements need for their answers. Both are shorter if the
	// whole time is short.
	exitReserve          = 500 * time.Millisecond
	exitReserveDivisor   = 12
	answerReserve        = 250 * time.Millisecond
	answerReserveDivisor = 24
)

// Within returns the plan of a drain that ends within a time. The readiness is how long
// load balancers need, and handBack how long handing back duties may take.
func Within(limit, readiness, handBack time.Duration) Plan {
	p := Plan{
		Readiness:     min(readiness, limit/maxReadinessDivisor),
		LastStatement: limit / lastStatementDivisor,
		Exit:          limit - min(exitReserve, limit/exitReserveDivisor),
	}
	p.HandBack = max(p.LastStatement, p.Exit-handBack)
	p.Interrupt = max(p.LastStatement, p.HandBack-min(answerReserve, limit/answerReserveDivisor))
	return p
}

// Step is one step of the drain of a host. Each step runs once, in the order of the
// constants.
type Step int

// The steps of the drain of a host.
const (
	// StepNotReady sets readiness to not ready and refuses new work of other hosts.
	StepNotReady Step = iota + 1
	// StepCloseIdle closes each session at its next transaction boundary.
	StepCloseIdle
	// StepEndTransactions rolls back the transactions that are open. Their next
	// statement is refused, as is all other new work; statements under way continue.
	StepEndTransactions
	// StepInterrupt interrupts the statements under way, closes the other sessions and
	// stops accepting connections. After it, Progress.Work counts also the connections
	// without a session.
	StepInterrupt
	// StepHandBack hands back the host's duties and leaves the fleet.
	StepHandBack
	// StepDone ends the process.
	StepDone
)

// String returns the name of the step used in log lines.
func (s Step) String() string {
	switch s {
	case StepNotReady:
		return "not_ready"
	case StepCloseIdle:
		return "close_idle"
	case StepEndTransactions:
		return "end_transactions"
	case StepInterrupt:
		return "interrupt"
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
	// Work is the number of open caller sessions and of other hosts' uses of this
	// host's connections. Once StepEndTransactions has run it must not rise from 0.
	Work int
	// HandedBack is set once the duties are handed back. It has no effect before
	// StepHandBack.
	HandedBack bool
}

// HostDrain decides when each step of the drain of this host is due. It does no I/O and
// reads no clock. It is not safe for concurrent use.
type HostDrain struct {
	plan      Plan
	startedAt time.Time
	last      Step
}

// Start begins the drain. It has no effect if the drain has begun: a second stop signal
// does not change the plan, and a drain cannot be cancelled.
func (h *HostDrain) Start(now time.Time, p Plan) {
	if h.startedAt.IsZero() {
		h.startedAt, h.plan = now, p
	}
}

// Started reports whether the drain has begun.
func (h *HostDrain) Started() bool { return !h.startedAt.IsZero() }

// Last returns the last step that was due; 0 before the drain.
func (h *HostDrain) Last() Step { return h.last }

// Tick returns the next step if it is due. It returns one step at a time: the progress that
// a later step depends on must be read after the earlier step has run, because until
// StepEndTransactions work may arrive at any moment.
func (h *HostDrain) Tick(now time.Time, p Progress) (Step, bool) {
	if !h.Started() || h.last >= StepDone || !h.isDue(h.last+1, now, p) {
		return 0, false
	}
	h.last++
	return h.last, true
}

// isDue reports whether step s, the one after the last, can begin. Once no work is left,
// a step is due at once. Duties are handed back only after all work, because work may
// depend on them, and the host ends early only if nothing is left then.
func (h *HostDrain) isDue(s Step, now time.Time, p Progress) bool {
	age := now.Sub(h.startedAt)
	switch s {
	case StepNotReady:
		return true
	case StepCloseIdle:
		return age >= h.plan.Readiness
	case StepEndTransactions:
		return p.Work == 0 || age >= h.plan.LastStatement
	case StepInterrupt:
		return p.Work == 0 || age >= h.plan.Interrupt
	case StepHandBack:
		return p.Work == 0 || age >= h.plan.HandBack
	case StepDone:
		return p.HandedBack && p.Work == 0 || age >= h.plan.Exit
	default:
		return false
	}
}
