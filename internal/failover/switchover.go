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
	// raiseCutoff is the time after the start of a switchover from which the term is no
	// longer raised. It is below quiesceLimit, because a later raise would abort write
	// transactions that begin when the quiesce ends.
	raiseCutoff = 200 * time.Millisecond
	// catchUpPoll is the time between status calls to the target.
	catchUpPoll = 5 * time.Millisecond
	// switchoverRetry is the delay after the first attempt, in which open transactions can
	// end. It doubles with each attempt: new writes wait during an attempt, and with a
	// constant delay of a second they would wait a fifth of the time.
	switchoverRetry = time.Second
	// maxSwitchoverDoublings limits the delay between attempts to 8 s.
	maxSwitchoverDoublings = 3
	// requestAttempts is the maximum number of attempts for a requested switchover. The
	// switchover of a leaving primary is retried without limit.
	requestAttempts = 5
)

// switchover is the state of one attempt of a planned switchover.
type switchover struct {
	started time.Time
	target  Instance
	// finalPosition is the position of the primary after the quiesce.
	finalPosition position.LSN
	quiesced      bool
	polling       bool
	pollAt        time.Time
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
			c.nextSwitchoverAt = now
			c.switchoverAttempts = 0
		}
	}
}

func (c *Coordinator) finishRequest(r SwitchoverRequest, done bool, reason string) {
	c.emit(SwitchoverDone{ID: r.ID, Done: done, Reason: reason, Group: c.current})
}

func (c *Coordinator) unsatisfiedReason(satisfied bool, primary string) string {
	if satisfied {
		return ""
	}
	return "instance " + primary + " was promoted instead"
}

// switchoverTarget returns the instance to switch to. It returns false if no switchover is
// needed or no instance qualifies.
func (c *Coordinator) switchoverTarget(now time.Time) (Instance, bool) {
	if len(c.requests) > 0 && c.requests[0].Target != "" {
		return c.instance(c.requests[0].Target)
	}
	primary, ok := c.instance(c.current.Primary)
	if !ok || len(c.requests) == 0 && !primary.Leaving {
		return Instance{}, false
	}
	var candidates []Instance
	for _, in := range c.instances {
		f := c.followers[in.Name]
		if in.Name != primary.Name && !in.Leaving && f != nil && f.follows && c.domainsReaching(now, in.Name) > 0 {
			candidates = append(candidates, in)
		}
	}
	if len(candidates) == 0 {
		return Instance{}, false
	}
	return slices.MaxFunc(candidates, func(x, y Instance) int {
		return cmp.Or(
			cmp.Compare(c.domainsReaching(now, x.Name), c.domainsReaching(now, y.Name)),
			cmp.Compare(c.received(x.Name), c.received(y.Name)),
		)
	}), true
}

// received returns the highest position that reports show for an instance.
func (c *Coordinator) received(instance string) position.LSN {
	var highest position.LSN
	for _, v := range c.views {
		highest = max(highest, v.observations[instance].Received)
	}
	return highest
}

// advanceSwitchover quiesces the primary, waits until the target has received the final
// position, and starts a promotion.
func (c *Coordinator) advanceSwitchover(now time.Time) {
	s := c.switchover
	if s == nil {
		c.startSwitchover(now)
		return
	}
	switch {
	case now.Sub(s.started) >= raiseCutoff:
		c.cancelSwitchover(now, "open transactions or replication did not end in time")
	case s.quiesced && !s.polling && !now.Before(s.pollAt):
		s.polling = true
		c.call(CallStatus, s.target, Call{Term: c.current.Term, Timeout: raiseCutoff})
	}
}

func (c *Coordinator) startSwitchover(now time.Time) {
	if now.Before(c.nextSwitchoverAt) {
		return
	}
	target, ok := c.switchoverTarget(now)
	if !ok {
		c.rejectRequests(now)
		return
	}
	primary, ok := c.instance(c.current.Primary)
	if !ok {
		return
	}
	c.switchoverAttempts = min(c.switchoverAttempts+1, requestAttempts)
	c.switchover = &switchover{started: now, target: target}
	c.log("quiesce", primary.Name, c.current.Term, "planned switchover to "+target.Name)
	c.call(CallQuiesce, primary, Call{Term: c.current.Term, Limit: quiesceLimit, Timeout: quiesceLimit})
}

// rejectRequests fails the pending requests because no instance qualifies.
func (c *Coordinator) rejectRequests(now time.Time) {
	c.nextSwitchoverAt = now.Add(switchoverRetry)
	for _, r := range c.requests {
		c.finishRequest(r, false, "no instance qualifies as the next primary")
	}
	c.requests = nil
}

// cancelSwitchover ends one attempt. The quiesce expires by itself, after which the old
// primary accepts writes again.
func (c *Coordinator) cancelSwitchover(now time.Time, reason string) {
	c.log("release_switchover", c.switchover.target.Name, c.current.Term, reason)
	c.switchover = nil
	clear(c.calls)
	c.nextSwitchoverAt = now.Add(switchoverRetry << min(c.switchoverAttempts-1, maxSwitchoverDoublings))
	if c.switchoverAttempts < requestAttempts {
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
			c.cancelSwitchover(now, fmt.Sprintf("quiesce: instance %s: %v", call.Instance, a.Err))
			return
		}
		if a.Status.Role != backend.RolePrimary || a.Status.Term != c.current.Term {
			c.cancelSwitchover(now, "instance "+call.Instance+" is no longer primary of the term")
			return
		}
		s.quiesced = true
		s.finalPosition = a.Status.Received
		return
	}
	s.polling = false
	s.pollAt = now.Add(catchUpPoll)
	if a.Err == nil && a.Status.Term == c.current.Term && a.Status.Received >= s.finalPosition {
		c.switchoverAttempts = 0
		c.startPromotion(now, s.target.Name, "target received the final position "+fmt.Sprint(s.finalPosition))
	}
}
