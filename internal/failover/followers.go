package failover

import (
	"time"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/position"
)

const (
	// followRetry spaces the attempts to make one instance follow. It is not
	// shorter than callTimeout, so that at most one call is under way.
	followRetry = callTimeout
	// followSettle is how long reports cannot undo a successful follow: they
	// may have been made before it.
	followSettle = time.Second
	// followStall is how long an instance behind the primary may receive
	// nothing before it is told to follow again. It covers a restart that was
	// shorter than SuspicionTimeout.
	followStall = 2 * time.Second
)

// follower is what the coordinator knows of an instance beside the primary.
type follower struct {
	// seen is set once the instance was reachable; term is the highest one that
	// it reported.
	seen bool
	term position.Term
	// follows is set while the last follow is believed to be in effect.
	follows bool
	doneAt  time.Time
	// received is the highest position reported, and progressAt the time when
	// it last rose or was level with the primary.
	received   position.LSN
	progressAt time.Time

	inFlight uint64
	nextAt   time.Time
}

func (c *Coordinator) followerOf(name string) *follower {
	f, ok := c.followers[name]
	if !ok {
		f = &follower{}
		c.followers[name] = f
	}
	return f
}

// observeFollowers finds instances that returned, restarted, stopped taking
// the log or still act in an old term.
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
		if f.follows && now.Sub(f.doneAt) < followSettle {
			continue
		}
		stalled := now.Sub(f.progressAt) > followStall
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

// maintainFollowers raises the current term where it is missing and makes
// every other instance follow the primary.
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
		// An answer that is still missing counts as lost.
		delete(c.calls, f.inFlight)
		if f.term.Less(c.current.Term) {
			f.inFlight = c.call(CallRaise, in, Call{Term: c.current.Term})
			continue
		}
		f.inFlight = c.call(CallFollow, in, Call{Term: c.current.Term, Primary: primary.Address})
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
	f.doneAt = now
	f.progressAt = now
	c.log("follow", call.Instance, call.Term, "follows "+c.current.Primary)
}
