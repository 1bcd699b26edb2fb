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
	// callTimeout is the default timeout of one control statement.
	callTimeout = 500 * time.Millisecond
	// promotionTimeout is the time after which a promotion is retried with the next term
	// sequence.
	promotionTimeout = 600 * time.Millisecond
	// promotionRetry is the delay between promotion attempts. It limits the calls to a group
	// that has no majority.
	promotionRetry = 100 * time.Millisecond
	// majorityGrace is how long to wait for further answers after a majority answered: one
	// of them may show an equal candidate that is not leaving. It delays the promotion only
	// if the target, or an instance that some failure domain reaches, does not answer.
	majorityGrace = 50 * time.Millisecond
)

// promotionAttempt is the state of one promotion attempt in one term.
type promotionAttempt struct {
	term     position.Term
	deadline time.Time
	// target is the target of a planned switchover; empty otherwise.
	target     string
	raised     map[string]backend.Status
	failed     map[string]error
	majorityAt time.Time
	// candidate is set once the promote call was sent.
	candidate string
}

func isStale(err error) bool { return errors.Is(err, outcome.ErrStaleTerm) }

// startPromotion chooses the next term and raises it on all instances.
func (c *Coordinator) startPromotion(now time.Time, target, reason string) {
	if c.highestTerm.Epoch == c.epoch {
		c.sequence = max(c.sequence, c.highestTerm.Sequence)
	}
	c.sequence++
	c.switchover = nil
	clear(c.calls)
	c.promotion = &promotionAttempt{
		term:     position.Term{Epoch: c.epoch, Sequence: c.sequence},
		deadline: now.Add(promotionTimeout),
		target:   target,
		raised:   map[string]backend.Status{},
		failed:   map[string]error{},
	}
	c.log("raise_term", target, c.promotion.term, reason)
	for _, in := range c.instances {
		c.call(CallRaise, in, Call{Term: c.promotion.term})
	}
}

func (c *Coordinator) promotionAnswer(now time.Time, call Call, a Answer) {
	switch call.Kind {
	case CallRaise:
		if a.Err != nil {
			c.promotion.failed[call.Instance] = a.Err
			return
		}
		c.promotion.raised[call.Instance] = a.Status
	case CallPromote:
		if a.Err != nil {
			c.failPromotion(now, fmt.Sprintf("promote: instance %s: %v", call.Instance, a.Err))
			return
		}
		c.completePromotion(now, call.Instance)
	}
}

// advancePromotion sends the promote call once a majority has raised its term.
func (c *Coordinator) advancePromotion(now time.Time) {
	a := c.promotion
	if c.current.Term == a.term && c.current.Primary != "" {
		// A report already shows the new primary although the promote call is unanswered.
		c.completePromotion(now, c.current.Primary)
		return
	}
	if !now.Before(a.deadline) {
		c.failPromotion(now, fmt.Sprintf("%d of %d instances raised in time", len(a.raised), len(c.instances)))
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

// majorityRaised reports whether a candidate can be chosen: a majority raised its term, and
// majorityGrace has passed if the target or a reachable instance has not answered. It fails
// the attempt once a majority is no longer possible.
func (c *Coordinator) majorityRaised(now time.Time) bool {
	a := c.promotion
	if len(a.raised) < c.majority() {
		if len(a.raised)+len(c.instances)-len(a.raised)-len(a.failed) < c.majority() {
			c.failPromotion(now, fmt.Sprintf("%d of %d instances refused the raise", len(a.failed), len(c.instances)))
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
		if in.Name == a.target || c.domainsReaching(now, in.Name) > 0 {
			return now.Sub(a.majorityAt) >= majorityGrace
		}
	}
	return true
}

// candidate returns the raised instance with the highest (last log term, received
// position). Ties are broken in favor of the target of the switchover, then of an instance
// that is not leaving, then of the one that most failure domains reach.
//
// Any majority of raised instances includes every acknowledged write. If the raised
// instances that most failure domains reach form a majority, only they are considered: a
// primary that only the coordinator can reach may have the longest log and would otherwise
// be promoted again.
func (c *Coordinator) candidate(now time.Time) (Instance, bool) {
	a := c.promotion
	var raised, reached []Instance
	for _, in := range c.instances {
		if _, ok := a.raised[in.Name]; !ok {
			continue
		}
		raised = append(raised, in)
		if c.reachedByMajority(now, in.Name) {
			reached = append(reached, in)
		}
	}
	if len(raised) < c.majority() {
		return Instance{}, false
	}
	if len(reached) >= c.majority() {
		raised = reached
	}
	// A term begins only on a majority, so the log with the newest term is never one that
	// was left, and the order needs no history.
	var order position.History
	return slices.MaxFunc(raised, func(x, y Instance) int {
		sx, sy := a.raised[x.Name], a.raised[y.Name]
		return cmp.Or(
			order.CompareEnds(position.Position{Term: sx.LastLogTerm, LSN: sx.Received}, position.Position{Term: sy.LastLogTerm, LSN: sy.Received}),
			compareBool(x.Name == a.target, y.Name == a.target),
			compareBool(!x.Leaving, !y.Leaving),
			cmp.Compare(c.domainsReaching(now, x.Name), c.domainsReaching(now, y.Name)),
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

// failPromotion ends the attempt. decide starts a new one with the next term sequence if a
// promotion is still due.
func (c *Coordinator) failPromotion(now time.Time, reason string) {
	c.log("retry_promotion", c.promotion.candidate, c.promotion.term, reason)
	c.promotion = nil
	c.nextPromotionAt = now.Add(promotionRetry)
	clear(c.calls)
}

// completePromotion records the new primary, answers pending requests and makes the other
// instances follow it.
func (c *Coordinator) completePromotion(now time.Time, primary string) {
	a := c.promotion
	c.promotion = nil
	clear(c.calls)
	c.learnPrimary(now, topology.Group{Database: c.database, Term: a.term, Primary: primary})
	c.log("promoted", primary, a.term, "instance confirmed the promotion")
	for name, status := range a.raised {
		c.followers[name] = &follower{seen: true, term: status.Term}
	}
	for _, r := range c.requests {
		satisfied := r.Target == "" || r.Target == primary
		c.finishRequest(r, satisfied, c.unsatisfiedReason(satisfied, primary))
	}
	c.requests = nil
	c.maintainFollowers(now)
}
