package failover

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/internal/topology"
	"github.com/bramleylever/bramleylever/position"
)

const (
	// callTimeout bounds one control statement.
	callTimeout = 500 * time.Millisecond
	// attemptTimeout is when a promotion starts again with the next sequence.
	attemptTimeout = 600 * time.Millisecond
	// retryDelay spaces attempts, so that a group without a majority is not
	// flooded.
	retryDelay = 100 * time.Millisecond
	// raiseGrace is how long the first majority waits for the other answers,
	// which may show an equal candidate that is not leaving. It adds to the
	// gap only when an instance hangs that no report calls unreachable.
	raiseGrace = 50 * time.Millisecond
)

// attempt is one promotion in one term.
type attempt struct {
	term     position.Term
	deadline time.Time
	// target is the instance that a switchover wants; empty otherwise.
	target     string
	raised     map[string]backend.Status
	failed     map[string]error
	majorityAt time.Time
	// candidate is set once the promotion was sent.
	candidate string
}

func isStale(err error) bool { return errors.Is(err, outcome.ErrStaleTerm) }

// startAttempt raises the next term on all instances.
func (c *Coordinator) startAttempt(now time.Time, target, reason string) {
	if c.highest.Epoch == c.epoch {
		c.sequence = max(c.sequence, c.highest.Sequence)
	}
	c.sequence++
	c.switchover = nil
	clear(c.calls)
	c.attempt = &attempt{
		term:     position.Term{Epoch: c.epoch, Sequence: c.sequence},
		deadline: now.Add(attemptTimeout),
		target:   target,
		raised:   map[string]backend.Status{},
		failed:   map[string]error{},
	}
	c.log("raise_term", target, c.attempt.term, reason)
	for _, in := range c.instances {
		c.call(CallRaise, in, Call{Term: c.attempt.term})
	}
}

func (c *Coordinator) attemptAnswer(now time.Time, call Call, a Answer) {
	switch call.Kind {
	case CallRaise:
		if a.Err != nil {
			c.attempt.failed[call.Instance] = a.Err
			return
		}
		c.attempt.raised[call.Instance] = a.Status
	case CallPromote:
		if a.Err != nil {
			c.retry(now, fmt.Sprintf("promote: instance %s: %v", call.Instance, a.Err))
			return
		}
		c.promoted(now, call.Instance)
	}
}

// advanceAttempt promotes a candidate once a majority is in the term.
func (c *Coordinator) advanceAttempt(now time.Time) {
	a := c.attempt
	if c.current.Term == a.term && c.current.Primary != "" {
		// A report shows the promotion whose answer is still missing.
		c.promoted(now, c.current.Primary)
		return
	}
	if !now.Before(a.deadline) {
		c.retry(now, fmt.Sprintf("%d of %d instances raised in time", len(a.raised), len(c.instances)))
		return
	}
	if a.candidate != "" || !c.majorityRaised(now) {
		return
	}
	best, ok := c.candidate(now)
	if !ok {
		return
	}
	a.candidate = best.Name
	c.log("promote", best.Name, a.term, fmt.Sprintf("%d of %d instances raised", len(a.raised), len(c.instances)))
	c.call(CallPromote, best, Call{Term: a.term})
}

// majorityRaised reports whether the candidate can be chosen: a majority
// answered, and the instances that could still answer soon had raiseGrace.
func (c *Coordinator) majorityRaised(now time.Time) bool {
	a := c.attempt
	if len(a.raised) < c.majority() {
		if len(a.raised)+len(c.instances)-len(a.raised)-len(a.failed) < c.majority() {
			c.retry(now, fmt.Sprintf("%d of %d instances refused the raise", len(a.failed), len(c.instances)))
		}
		return false
	}
	if a.majorityAt.IsZero() {
		a.majorityAt = now
	}
	for _, in := range c.instances {
		_, raised := a.raised[in.Name]
		if raised || a.failed[in.Name] != nil {
			continue
		}
		if in.Name == a.target || c.reaching(now, in.Name) > 0 {
			return now.Sub(a.majorityAt) >= raiseGrace
		}
	}
	return true
}

// candidate returns the raised instance with the highest (last log term,
// received position). Among equals it prefers the switchover's target, then
// one that is not leaving, then the one that most failure domains reach.
//
// Any majority whose term was raised has every acknowledged write. If the
// widely reached instances are one, the choice is among them: a primary that
// is cut off from the rest, but not from the coordinator, may have the longest
// log and would otherwise be promoted again.
func (c *Coordinator) candidate(now time.Time) (Instance, bool) {
	a := c.attempt
	var raised, reached []Instance
	for _, in := range c.instances {
		if _, ok := a.raised[in.Name]; !ok {
			continue
		}
		raised = append(raised, in)
		if c.widelyReached(now, in.Name) {
			reached = append(reached, in)
		}
	}
	if len(raised) < c.majority() {
		return Instance{}, false
	}
	if len(reached) >= c.majority() {
		raised = reached
	}
	return slices.MaxFunc(raised, func(x, y Instance) int {
		sx, sy := a.raised[x.Name], a.raised[y.Name]
		return cmp.Or(
			sx.LastLogTerm.Compare(sy.LastLogTerm),
			cmp.Compare(sx.Received, sy.Received),
			compareBool(x.Name == a.target, y.Name == a.target),
			compareBool(!x.Leaving, !y.Leaving),
			cmp.Compare(c.reaching(now, x.Name), c.reaching(now, y.Name)),
		)
	}), true
}

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	default:
		return -1
	}
}

// retry ends the attempt; decide starts the next one with the next sequence
// while the reason for it persists.
func (c *Coordinator) retry(now time.Time, reason string) {
	c.log("retry_promotion", c.attempt.candidate, c.attempt.term, reason)
	c.attempt = nil
	c.retryAt = now.Add(retryDelay)
	clear(c.calls)
}

// promoted publishes the new primary and makes the others follow it.
func (c *Coordinator) promoted(now time.Time, primary string) {
	a := c.attempt
	c.attempt = nil
	clear(c.calls)
	c.learn(now, topology.Group{Database: c.database, Term: a.term, Primary: primary})
	c.log("promoted", primary, a.term, "instance confirmed the promotion")
	for name, status := range a.raised {
		c.followers[name] = &follower{seen: true, term: status.Term}
	}
	for _, r := range c.requests {
		met := r.Target == "" || r.Target == primary
		c.finishRequest(r, met, c.requestReason(met, primary))
	}
	c.requests = nil
	c.maintainFollowers(now)
}
