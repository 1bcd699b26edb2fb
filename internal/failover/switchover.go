package failover

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/position"
)

const (
	// quiesceLimit is how long the primary refuses new write transactions.
	quiesceLimit = 250 * time.Millisecond
	// raiseBefore is the part of quiesceLimit after which the term is no
	// longer raised: write transactions that begin after the quiesce ended
	// would be aborted by the raise.
	raiseBefore = 200 * time.Millisecond
	// catchUpPoll spaces the status calls to the target.
	catchUpPoll = 5 * time.Millisecond
	// switchoverRetry gives open transactions time to end after the first
	// attempt. It doubles with each one, because new writes wait during an
	// attempt: with a constant second they would wait a fifth of the time.
	switchoverRetry = time.Second
	// maxSwitchoverDoublings bounds the time between attempts to 8 s.
	maxSwitchoverDoublings = 3
	// requestAttempts bounds the attempts for a requested switchover. A
	// switchover of a leaving primary is retried without a bound.
	requestAttempts = 5
)

// switchover is one attempt of a planned change of primary.
type switchover struct {
	started time.Time
	target  Instance
	// final is the primary's position after the quiesce.
	final    position.LSN
	quiesced bool
	polling  bool
	pollAt   time.Time
}

func (c *Coordinator) requestSwitchover(now time.Time, r SwitchoverRequest) {
	switch {
	case c.epoch == 0:
		c.finishRequest(r, false, "not the coordinator of database "+c.database)
	case c.current.Primary == "":
		c.finishRequest(r, false, "database "+c.database+" has no primary")
	case r.Target == c.current.Primary:
		c.finishRequest(r, true, "already primary")
	default:
		if _, ok := c.instance(r.Target); r.Target != "" && !ok {
			c.finishRequest(r, false, fmt.Sprintf("database %s has no instance %q", c.database, r.Target))
			return
		}
		c.requests = append(c.requests, r)
		if c.switchover == nil {
			c.nextPlanned = now
			c.attempts = 0
		}
	}
}

func (c *Coordinator) finishRequest(r SwitchoverRequest, done bool, reason string) {
	c.emit(SwitchoverDone{ID: r.ID, Done: done, Reason: reason, Group: c.current})
}

func (c *Coordinator) requestReason(met bool, primary string) string {
	if met {
		return ""
	}
	return "instance " + primary + " was promoted instead"
}

// plannedTarget returns the instance to switch to, and false if no switchover
// is wanted or no instance qualifies.
func (c *Coordinator) plannedTarget(now time.Time) (Instance, bool) {
	if len(c.requests) > 0 && c.requests[0].Target != "" {
		return c.instance(c.requests[0].Target)
	}
	primary, ok := c.instance(c.current.Primary)
	if !ok || len(c.requests) == 0 && !primary.Leaving {
		return Instance{}, false
	}
	var choice []Instance
	for _, in := range c.instances {
		f := c.followers[in.Name]
		if in.Name != primary.Name && !in.Leaving && f != nil && f.follows && c.reaching(now, in.Name) > 0 {
			choice = append(choice, in)
		}
	}
	if len(choice) == 0 {
		return Instance{}, false
	}
	return slices.MaxFunc(choice, func(x, y Instance) int {
		return cmp.Or(
			cmp.Compare(c.reaching(now, x.Name), c.reaching(now, y.Name)),
			cmp.Compare(c.received(x.Name), c.received(y.Name)),
		)
	}), true
}

// received is the highest position that a report showed for an instance.
func (c *Coordinator) received(instance string) position.LSN {
	var highest position.LSN
	for _, v := range c.views {
		highest = max(highest, v.observations[instance].Received)
	}
	return highest
}

// advanceSwitchover quiesces the primary, waits for the target to receive the
// final position, and hands over to a promotion.
func (c *Coordinator) advanceSwitchover(now time.Time) {
	s := c.switchover
	if s == nil {
		c.startSwitchover(now)
		return
	}
	switch {
	case now.Sub(s.started) >= raiseBefore:
		c.releaseSwitchover(now, "open transactions or replication did not end in time")
	case s.quiesced && !s.polling && !now.Before(s.pollAt):
		s.polling = true
		c.call(CallStatus, s.target, Call{Term: c.current.Term, Timeout: raiseBefore})
	}
}

func (c *Coordinator) startSwitchover(now time.Time) {
	if now.Before(c.nextPlanned) {
		return
	}
	target, ok := c.plannedTarget(now)
	if !ok {
		c.refuseRequests(now)
		return
	}
	primary, ok := c.instance(c.current.Primary)
	if !ok {
		return
	}
	c.attempts = min(c.attempts+1, requestAttempts)
	c.switchover = &switchover{started: now, target: target}
	c.log("quiesce", primary.Name, c.current.Term, "planned switchover to "+target.Name)
	c.call(CallQuiesce, primary, Call{Term: c.current.Term, Limit: quiesceLimit, Timeout: quiesceLimit})
}

// refuseRequests answers requests for which no instance qualifies.
func (c *Coordinator) refuseRequests(now time.Time) {
	c.nextPlanned = now.Add(switchoverRetry)
	for _, r := range c.requests {
		c.finishRequest(r, false, "no instance qualifies as the next primary")
	}
	c.requests = nil
}

// releaseSwitchover gives up one attempt. The quiesce ends by itself, so
// writes continue on the old primary.
func (c *Coordinator) releaseSwitchover(now time.Time, reason string) {
	c.log("release_switchover", c.switchover.target.Name, c.current.Term, reason)
	c.switchover = nil
	clear(c.calls)
	c.nextPlanned = now.Add(switchoverRetry << min(c.attempts-1, maxSwitchoverDoublings))
	if c.attempts < requestAttempts {
		return
	}
	for _, r := range c.requests {
		c.finishRequest(r, false, reason)
	}
	c.requests = nil
}

func (c *Coordinator) switchoverAnswer(now time.Time, call Call, a Answer) {
	s := c.switchover
	if s == nil {
		return
	}
	if call.Kind == CallQuiesce {
		if a.Err != nil {
			c.releaseSwitchover(now, fmt.Sprintf("quiesce: instance %s: %v", call.Instance, a.Err))
			return
		}
		if a.Status.Role != backend.RolePrimary || a.Status.Term != c.current.Term {
			c.releaseSwitchover(now, "instance "+call.Instance+" is no longer primary of the term")
			return
		}
		s.quiesced = true
		s.final = a.Status.Received
		return
	}
	s.polling = false
	s.pollAt = now.Add(catchUpPoll)
	if a.Err == nil && a.Status.Term == c.current.Term && a.Status.Received >= s.final {
		c.attempts = 0
		c.startAttempt(now, s.target.Name, "target received the final position "+fmt.Sprint(s.final))
	}
}
