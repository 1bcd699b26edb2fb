package failover

import (
	"time"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/position"
)

const (
	// followRetry is the delay between calls that make an instance follow the primary. It
	// is not below callTimeout, so at most one such call per instance is pending.
	followRetry = callTimeout
	// followSettle is how long reports are ignored after a successful follow call, because
	// they may predate it.
	followSettle = time.Second
	// followStallTimeout is how long an instance behind the primary may receive no log
	// before it is told to follow again. This detects a restart shorter than
	// SuspicionTimeout, which probes don't show.
	followStallTimeout = 2 * time.Second
)

// follower is the state of an instance other than the primary.
type follower struct {
	// seen is set once a report showed the instance as reachable. term is the highest term
	// that it reported.
	seen bool
	term position.Term
	// follows is true while the last successful follow call is assumed to be in effect.
	follows    bool
	followedAt time.Time
	// received is the last reported position. progressAt is when it last increased or had
	// reached the position of the primary.
	received   position.LSN
	progressAt time.Time

	// pendingCall is the ID of the last call to the instance; nextAt is the earliest time of
	// the next one.
	pendingCall uint64
	nextAt      time.Time
}

func (c *Coordinator) followerOf(name string) *follower {
	f, ok := c.followers[name]
	if !ok {
		f = &follower{}
		c.followers[name] = f
	}
	return f
}

// observeFollowers updates the state of all instances from a report. It clears follows for
// instances that are unreachable, restarted, stopped receiving the log or have another
// term.
func (c *Coordinator) observeFollowers(now time.Time, v view) {
	primary := v.observations[c.current.Primary]
	for name, o := range v.observations {
		f := c.followerOf(name)
		if o.Reachable {
			f.seen = true
			f.term = maxTerm(f.term, o.Term)
		}
		if o.Received > f.received || o.Received >= primary.Received || f.progressAt.IsZero() {
			f.progressAt = now
		}
		f.received = o.Received
		if f.follows && now.Sub(f.followedAt) < followSettle {
			continue
		}
		stalled := now.Sub(f.progressAt) > followStallTimeout
		if !o.Reachable || o.Role != backend.RoleReplica || o.Term != c.current.Term || stalled {
			f.follows = false
		}
	}
}

func maxTerm(a, b position.Term) position.Term {
	if a.Less(b) {
		return b
	}
	return a
}

// maintainFollowers raises the term of instances that are behind the current term and makes
// all other instances follow the primary.
func (c *Coordinator) maintainFollowers(now time.Time) {
	primary, ok := c.instance(c.current.Primary)
	if !ok {
		return
	}
	for _, in := range c.instances {
		if in.Name == primary.Name {
			continue
		}
		f := c.followerOf(in.Name)
		if !f.seen || f.follows || now.Before(f.nextAt) {
			continue
		}
		f.nextAt = now.Add(followRetry)
		// A call that is still unanswered after followRetry counts as lost.
		delete(c.calls, f.pendingCall)
		if f.term.Less(c.current.Term) {
			f.pendingCall = c.call(CallRaise, in, Call{Term: c.current.Term})
			continue
		}
		f.pendingCall = c.call(CallFollow, in, Call{Term: c.current.Term, Primary: primary.Address})
	}
}

func (c *Coordinator) followerAnswer(now time.Time, call Call, a Answer) {
	f := c.followerOf(call.Instance)
	if a.Err != nil || call.Term != c.current.Term {
		return
	}
	f.term = maxTerm(f.term, call.Term)
	if call.Kind == CallRaise {
		f.nextAt = now
		return
	}
	f.follows = true
	f.followedAt = now
	f.progressAt = now
	c.log("follow", call.Instance, call.Term, "follows "+c.current.Primary)
}
