package failover

import (
	"time"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/internal/topology"
)

const (
	// ReportWindow is how long a failure domain's last report counts.
	ReportWindow = 2 * time.Second
	// minSuspectingDomains keeps the view of one failure domain, which may be
	// the one that is cut off, from triggering a promotion.
	minSuspectingDomains = 2
	// promotionSettle is the longest time until a failure domain reports a
	// primary in its new term: a probe and a report. Without it, reports that
	// call the candidate unreachable would end its promotion at once.
	promotionSettle = SuspicionTimeout + ReportInterval
	// singleDomainHold is how much longer a suspicion must last if the
	// deployment has a single failure domain and no second view exists.
	singleDomainHold = 800 * time.Millisecond
)

// view is the last report of one failure domain.
type view struct {
	at           time.Time
	observations map[string]Observation
}

type verdict int

const (
	undecided verdict = iota
	seesPrimary
	suspects
)

func (c *Coordinator) report(now time.Time, r DomainReport) {
	v := view{at: now, observations: make(map[string]Observation, len(r.Observations))}
	for _, o := range r.Observations {
		if _, ok := c.instance(o.Instance); !ok {
			continue
		}
		v.observations[o.Instance] = o
		c.see(o.Term)
		if o.Reachable && o.Role == backend.RolePrimary {
			c.learn(now, topology.Group{Database: c.database, Term: o.Term, Primary: o.Instance})
		}
	}
	c.views[r.Domain] = v
	c.observeFollowers(now, v)
}

// judge says what one failure domain's report means for the known primary. An
// observation in a term below the known one was made before the promotion and
// decides nothing, unless the instance stayed unreachable since.
func (c *Coordinator) judge(now time.Time, v view) verdict {
	if c.current.Primary == "" {
		return c.judgeNoPrimary(v)
	}
	if _, ok := c.instance(c.current.Primary); !ok {
		return suspects
	}
	p, ok := v.observations[c.current.Primary]
	switch {
	case !ok:
		return undecided
	case p.Term.Less(c.current.Term) && (p.Reachable || now.Sub(c.learnedAt) < promotionSettle):
		return undecided
	case !p.Reachable:
		return suspects
	case p.Role != backend.RolePrimary:
		return suspects
	}
	for _, o := range v.observations {
		if o.Reachable && c.current.Term.Less(o.Term) {
			// An interrupted promotion raised this instance; it takes no log
			// of the primary's term any more.
			return suspects
		}
	}
	return seesPrimary
}

func (c *Coordinator) judgeNoPrimary(v view) verdict {
	for _, in := range c.instances {
		if _, ok := v.observations[in.Name]; !ok {
			return undecided
		}
	}
	return suspects
}

// suspected applies the rule: at least two failure domains, and a majority of
// those that reported within ReportWindow.
func (c *Coordinator) suspected(now time.Time) bool {
	reported, suspecting := 0, 0
	for _, v := range c.views {
		if now.Sub(v.at) > ReportWindow {
			continue
		}
		reported++
		if c.judge(now, v) == suspects {
			suspecting++
		}
	}
	needed := minSuspectingDomains
	if c.domains == 1 {
		needed = 1
	}
	return suspecting >= needed && 2*suspecting > reported
}

// mustPromote reports whether a promotion is due: on a suspicion, or to end an
// own attempt that raised some instances and was interrupted.
func (c *Coordinator) mustPromote(now time.Time) bool {
	if c.highest.Epoch == c.epoch && c.current.Term.Less(c.highest) {
		return true
	}
	if !c.suspected(now) {
		c.suspectSince = time.Time{}
		return false
	}
	if c.suspectSince.IsZero() {
		c.suspectSince = now
	}
	if c.domains == 1 && c.current.Primary != "" {
		return now.Sub(c.suspectSince) >= singleDomainHold
	}
	return true
}

// agreement counts the failure domains whose recent report reaches an
// instance, and those that reported.
func (c *Coordinator) agreement(now time.Time, instance string) (reaching, reported int) {
	for _, v := range c.views {
		if now.Sub(v.at) > ReportWindow {
			continue
		}
		reported++
		if v.observations[instance].Reachable {
			reaching++
		}
	}
	return reaching, reported
}

// reaching counts the failure domains whose recent report reaches an instance.
func (c *Coordinator) reaching(now time.Time, instance string) int {
	reaching, _ := c.agreement(now, instance)
	return reaching
}

// widelyReached reports whether a majority of the failure domains that
// reported reach an instance.
func (c *Coordinator) widelyReached(now time.Time, instance string) bool {
	reaching, reported := c.agreement(now, instance)
	return 2*reaching > reported
}
