// Package failover keeps one primary per database: it probes the instances,
// promotes another instance when a primary fails, and changes primaries on
// request.
//
// Invariant: at most one instance is promoted in a term, and only after a
// majority of the group has raised to that term. The candidate has the highest
// (last log term, received position) of that majority, so it has every write
// that a majority received in an earlier term. The promotion rule follows the
// election restriction of Raft (Ongaro and Ousterhout, 2014), with the
// coordinator in the place of the candidate.
package failover

import (
	"slices"
	"time"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/internal/topology"
	"github.com/bramleylever/bramleylever/position"
)

// Coordinator is the deterministic core that decides for one database. It is
// not safe for concurrent use.
type Coordinator struct {
	database  string
	instances []Instance
	domains   int

	// epoch is the one in which this host leads; 0 while it does not.
	epoch uint64
	// superseded is the highest epoch in which this host must not lead again.
	superseded uint64
	// sequence is the last one used in epoch.
	sequence uint64
	// highest is the highest term seen at any instance.
	highest position.Term
	// current is the primary of the highest term that is known to have one.
	current   topology.Group
	learnedAt time.Time

	views        map[string]view
	suspectSince time.Time
	retryAt      time.Time
	attempt      *attempt
	switchover   *switchover
	requests     []SwitchoverRequest
	nextPlanned  time.Time
	// attempts counts the switchover attempts since the last one that ended.
	attempts  int
	followers map[string]*follower
	calls     map[uint64]Call
	lastCall  uint64

	out []Action
}

// NewCoordinator returns the core of a database that leads in no epoch.
func NewCoordinator(database string) *Coordinator {
	return &Coordinator{
		database:  database,
		current:   topology.Group{Database: database},
		views:     map[string]view{},
		followers: map[string]*follower{},
		calls:     map[uint64]Call{},
	}
}

// Epoch returns the epoch in which this host leads; 0 while it does not.
func (c *Coordinator) Epoch() uint64 { return c.epoch }

// Busy reports whether a promotion or switchover is under way, so that the
// core needs ticks more often.
func (c *Coordinator) Busy() bool { return c.attempt != nil || c.switchover != nil }

// Step takes one event and returns the actions that follow from it.
func (c *Coordinator) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Configure:
		c.configure(e)
	case Lead:
		c.lead(e.Epoch)
	case Yield:
		if c.epoch <= e.Epoch {
			c.yield(e.Epoch, e.Reason)
		}
	case Known:
		c.learn(now, e.Group)
	case DomainReport:
		c.report(now, e)
	case Answer:
		c.answer(now, e)
	case SwitchoverRequest:
		c.requestSwitchover(now, e)
	}
	c.decide(now)
	out := c.out
	c.out = nil
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

// majority is the number of instances that every other majority meets.
func (c *Coordinator) majority() int { return len(c.instances)/2 + 1 }

func (c *Coordinator) lead(epoch uint64) {
	if epoch <= c.epoch || epoch <= c.superseded {
		return
	}
	c.abandon("leads in a higher epoch")
	c.epoch = epoch
	c.sequence = 0
	c.retryAt = time.Time{}
	clear(c.followers)
	c.log("lead", "", position.Term{Epoch: epoch}, "bucket acquired")
	if c.current.Primary != "" {
		c.emit(Announce{Group: c.current})
	}
	c.checkSuperseded()
}

// yield stops leading until the bucket is held in an epoch above the given
// one and above the own one.
func (c *Coordinator) yield(epoch uint64, reason string) {
	c.superseded = max(c.superseded, epoch, c.epoch)
	if c.epoch == 0 {
		return
	}
	c.log("yield", "", position.Term{Epoch: c.epoch, Sequence: c.sequence}, reason)
	c.abandon(reason)
	c.epoch = 0
}

// abandon ends what is under way without waiting for its answers.
func (c *Coordinator) abandon(reason string) {
	c.attempt = nil
	c.switchover = nil
	c.attempts = 0
	clear(c.calls)
	for _, r := range c.requests {
		c.finishRequest(r, false, reason)
	}
	c.requests = nil
}

// checkSuperseded yields once an instance knows a term of a higher epoch.
func (c *Coordinator) checkSuperseded() {
	if c.epoch != 0 && c.highest.Epoch > c.epoch {
		c.yield(c.highest.Epoch-1, "an instance is in a higher epoch")
	}
}

// see records a term found at an instance.
func (c *Coordinator) see(t position.Term) {
	if c.highest.Less(t) {
		c.highest = t
		c.checkSuperseded()
	}
}

// learn records a primary. Terms never go back.
func (c *Coordinator) learn(now time.Time, g topology.Group) {
	c.see(g.Term)
	if g.Primary == "" || g.Term.Compare(c.current.Term) <= 0 && c.current.Primary != "" {
		return
	}
	c.current = topology.Group{Database: c.database, Term: g.Term, Primary: g.Primary}
	clear(c.followers)
	c.learnedAt = now
	c.suspectSince = time.Time{}
	if c.epoch != 0 {
		c.emit(Announce{Group: c.current})
	}
}

// decide starts what the present knowledge asks for.
func (c *Coordinator) decide(now time.Time) {
	if c.epoch == 0 || len(c.instances) == 0 {
		return
	}
	if c.attempt != nil {
		c.advanceAttempt(now)
		return
	}
	if c.mustPromote(now) {
		if !now.Before(c.retryAt) {
			c.startAttempt(now, "", "no primary")
		}
		return
	}
	c.advanceSwitchover(now)
	if c.attempt == nil {
		c.maintainFollowers(now)
	}
}

// answer routes the end of a call to the step that made it. Calls of an
// abandoned step are no longer in calls.
func (c *Coordinator) answer(now time.Time, a Answer) {
	call, ok := c.calls[a.Call]
	if !ok {
		return
	}
	delete(c.calls, a.Call)
	if a.Err == nil {
		c.see(a.Status.Term)
		if a.Status.Role == backend.RolePrimary {
			c.learn(now, topology.Group{Database: c.database, Term: a.Status.Term, Primary: call.Instance})
		}
	}
	if c.epoch == 0 {
		return
	}
	if isStale(a.Err) && call.Term == (position.Term{Epoch: c.epoch, Sequence: c.sequence}) {
		c.yield(c.epoch, "instance "+call.Instance+" refused the term as stale")
		return
	}
	switch {
	case c.attempt != nil && call.Term == c.attempt.term:
		c.attemptAnswer(now, call, a)
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

func (c *Coordinator) emit(a Action) { c.out = append(c.out, a) }

func (c *Coordinator) log(decision, instance string, t position.Term, reason string) {
	c.emit(Decision{Decision: decision, Instance: instance, Term: t, Reason: reason})
}
