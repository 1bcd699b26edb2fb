// Package failover keeps one primary per database: it probes the instances, promotes
// another instance when the primary fails, and performs planned switchovers.
//
// Invariant: at most one instance is promoted in a term, and only after a majority of the
// group raised its term to that one. The candidate has the highest (last log term, received
// position) of such a majority, so it has every write that a majority received in an
// earlier term. This is the election restriction of Raft (Ongaro and Ousterhout, 2014);
// here the coordinator collects the answers instead of the candidate.
package failover

import (
	"slices"
	"time"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/internal/topology"
	"github.com/bramleylever/bramleylever/position"
)

// Coordinator is the state machine that makes the failover decisions for one database. It
// does no I/O and reads no clock, so the same events lead to the same actions. It is not
// safe for concurrent use.
type Coordinator struct {
	database  string
	instances []Instance
	domains   int

	// epoch is the epoch in which this host is coordinator; 0 while it is not.
	epoch uint64
	// superseded is the highest epoch in which this host must not become coordinator again.
	superseded uint64
	// sequence is the last term sequence used in epoch.
	sequence uint64
	// highestTerm is the highest term in any answer, report or topology entry.
	highestTerm position.Term
	// current is the primary with the highest known term.
	current          topology.Group
	primaryLearnedAt time.Time

	views            map[string]view
	suspectSince     time.Time
	nextPromotionAt  time.Time
	promotion        *promotionAttempt
	switchover       *switchover
	requests         []SwitchoverRequest
	nextSwitchoverAt time.Time
	// switchoverAttempts counts the attempts of the current planned switchover.
	switchoverAttempts int
	followers          map[string]*follower
	calls              map[uint64]Call
	lastCall           uint64

	actions []Action
}

// NewCoordinator returns a Coordinator with epoch 0, which makes no decisions until a Lead
// event.
func NewCoordinator(database string) *Coordinator {
	return &Coordinator{
		database:  database,
		current:   topology.Group{Database: database},
		views:     map[string]view{},
		followers: map[string]*follower{},
		calls:     map[uint64]Call{},
	}
}

// Epoch returns the epoch in which this host is coordinator; 0 while it is not.
func (c *Coordinator) Epoch() uint64 { return c.epoch }

// Busy reports whether a promotion or switchover is in progress, which needs more frequent
// ticks.
func (c *Coordinator) Busy() bool { return c.promotion != nil || c.switchover != nil }

// Step processes one event and returns the resulting actions.
func (c *Coordinator) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Configure:
		c.configure(e)
	case Lead:
		c.lead(e.Epoch)
	case StepDown:
		if c.epoch <= e.Epoch {
			c.stepDown(e.Epoch, e.Reason)
		}
	case TopologyUpdate:
		c.learnPrimary(now, e.Group)
	case DomainReport:
		c.report(now, e)
	case Answer:
		c.answer(now, e)
	case SwitchoverRequest:
		c.requestSwitchover(now, e)
	}
	c.decide(now)
	out := c.actions
	c.actions = nil
	return out
}

func (c *Coordinator) configure(e Configure) {
	c.instances = slices.Clone(e.Instances)
	c.domains = e.Domains
	for name := range c.followers {
		if _, ok := c.instance(name); !ok {
			delete(c.followers, name)
		}
	}
}

func (c *Coordinator) instance(name string) (Instance, bool) {
	i := slices.IndexFunc(c.instances, func(in Instance) bool { return in.Name == name })
	if i < 0 {
		return Instance{}, false
	}
	return c.instances[i], true
}

// majority is the smallest number of instances for which any two such sets overlap.
func (c *Coordinator) majority() int { return len(c.instances)/2 + 1 }

func (c *Coordinator) lead(epoch uint64) {
	if epoch <= c.epoch || epoch <= c.superseded {
		return
	}
	c.cancelPending("leads in a higher epoch")
	c.epoch = epoch
	c.sequence = 0
	c.nextPromotionAt = time.Time{}
	clear(c.followers)
	c.log("lead", "", position.Term{Epoch: epoch}, "bucket acquired")
	if c.current.Primary != "" {
		c.emit(Announce{Group: c.current})
	}
	c.checkSuperseded()
}

// stepDown ends coordination until this host holds the bucket in an epoch above both the
// given one and its own.
func (c *Coordinator) stepDown(epoch uint64, reason string) {
	c.superseded = max(c.superseded, epoch, c.epoch)
	if c.epoch == 0 {
		return
	}
	c.log("yield", "", position.Term{Epoch: c.epoch, Sequence: c.sequence}, reason)
	c.cancelPending(reason)
	c.epoch = 0
}

// cancelPending cancels the promotion, the switchover and their calls without waiting for
// answers, and fails the pending requests.
func (c *Coordinator) cancelPending(reason string) {
	c.promotion = nil
	c.switchover = nil
	c.switchoverAttempts = 0
	clear(c.calls)
	for _, r := range c.requests {
		c.finishRequest(r, false, reason)
	}
	c.requests = nil
}

// checkSuperseded steps down if an instance has a term of a higher epoch.
func (c *Coordinator) checkSuperseded() {
	if c.epoch != 0 && c.highestTerm.Epoch > c.epoch {
		c.stepDown(c.highestTerm.Epoch-1, "an instance is in a higher epoch")
	}
}

// observeTerm records a term reported by an instance.
func (c *Coordinator) observeTerm(t position.Term) {
	if c.highestTerm.Less(t) {
		c.highestTerm = t
		c.checkSuperseded()
	}
}

// learnPrimary records a primary if its term is above that of the known primary.
func (c *Coordinator) learnPrimary(now time.Time, g topology.Group) {
	c.observeTerm(g.Term)
	if g.Primary == "" || g.Term.Compare(c.current.Term) <= 0 && c.current.Primary != "" {
		return
	}
	c.current = topology.Group{Database: c.database, Term: g.Term, Primary: g.Primary}
	clear(c.followers)
	c.primaryLearnedAt = now
	c.suspectSince = time.Time{}
	if c.epoch != 0 {
		c.emit(Announce{Group: c.current})
	}
}

// decide starts or continues the promotion, switchover or follower calls that the state
// requires.
func (c *Coordinator) decide(now time.Time) {
	if c.epoch == 0 || len(c.instances) == 0 {
		return
	}
	if c.promotion != nil {
		c.advancePromotion(now)
		return
	}
	if c.promotionDue(now) {
		if !now.Before(c.nextPromotionAt) {
			c.startPromotion(now, "", "no primary")
		}
		return
	}
	c.advanceSwitchover(now)
	if c.promotion == nil {
		c.maintainFollowers(now)
	}
}

// answer passes the result of a call to the operation that issued it. Results for cancelled
// operations are ignored, because their calls are no longer in c.calls.
func (c *Coordinator) answer(now time.Time, a Answer) {
	call, ok := c.calls[a.Call]
	if !ok {
		return
	}
	delete(c.calls, a.Call)
	if a.Err == nil {
		c.observeTerm(a.Status.Term)
		if a.Status.Role == backend.RolePrimary {
			c.learnPrimary(now, topology.Group{Database: c.database, Term: a.Status.Term, Primary: call.Instance})
		}
	}
	if c.epoch == 0 {
		return
	}
	if isStale(a.Err) && call.Term == (position.Term{Epoch: c.epoch, Sequence: c.sequence}) {
		c.stepDown(c.epoch, "instance "+call.Instance+" refused the term as stale")
		return
	}
	switch {
	case c.promotion != nil && call.Term == c.promotion.term:
		c.promotionAnswer(now, call, a)
	case call.Kind == CallQuiesce || call.Kind == CallStatus:
		c.switchoverAnswer(now, call, a)
	default:
		c.followerAnswer(now, call, a)
	}
}

func (c *Coordinator) call(kind CallKind, in Instance, call Call) uint64 {
	c.lastCall++
	call.ID = c.lastCall
	call.Kind = kind
	call.Instance = in.Name
	call.Address = in.Address
	if call.Timeout == 0 {
		call.Timeout = callTimeout
	}
	c.calls[call.ID] = call
	c.emit(call)
	return call.ID
}

func (c *Coordinator) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Coordinator) log(decision, instance string, t position.Term, reason string) {
	c.emit(Decision{Decision: decision, Instance: instance, Term: t, Reason: reason})
}
