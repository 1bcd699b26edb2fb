package failover

import (
	"time"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/internal/topology"
)

const (
	// ReportWindow is how long the last report of a failure domain is valid.
	ReportWindow = 2 * time.Second
	// minSuspectingDomains is the number of failure domains that must suspect the primary.
	// One is not enough, because that domain itself may be isolated from the others.
	minSuspectingDomains = 2
	// promotionSettle is the longest time until a failure domain reports a new primary in
	// its term: one probe and one report. Before that, reports that show the promoted
	// instance as unreachable are ignored, because they would trigger another promotion at
	// once.
	promotionSettle = SuspicionTimeout + ReportInterval
	// singleDomainDelay is how much longer a suspicion must last in a deployment with a
	// single failure domain, where no other domain can confirm it.
	singleDomainDelay = 800 * time.Millisecond
)

// view is the last report of one failure domain.
type view struct {
	at           time.Time
	observations map[string]Observation
}

type primaryHealth int

const (
	healthUnknown primaryHealth = iota
	healthGood
	healthSuspect
)

func (c *Coordinator) report(now time.Time, r DomainReport) {
	v := view{at: now, observations: make(map[string]Observation, len(r.Observations))}
	for _, o := range r.Observations {
		if _, ok := c.instance(o.Instance); !ok {
			continue
		}
		v.observations[o.Instance] = o
		c.observeTerm(o.Term)
		if o.Reachable && o.Role == backend.RolePrimary {
			c.learnPrimary(now, topology.Group{Database: c.database, Term: o.Term, Primary: o.Instance})
		}
	}
	c.views[r.Domain] = v
	c.observeFollowers(now, v)
}

// assessPrimary returns what the report of one failure domain says about the known primary.
// An observation with a term below the known one predates the promotion and is
// inconclusive, unless the instance is still unreachable after promotionSettle.
func (c *Coordinator) assessPrimary(now time.Time, v view) primaryHealth {
	if c.current.Primary == "" {
		return c.assessWithoutPrimary(v)
	}
	if _, ok := c.instance(c.current.Primary); !ok {
		return healthSuspect
	}
	p, ok := v.observations[c.current.Primary]
	switch {
	case !ok:
		return healthUnknown
	case p.Term.Less(c.current.Term) && (p.Reachable || now.Sub(c.primaryLearnedAt) < promotionSettle):
		return healthUnknown
	case !p.Reachable:
		return healthSuspect
	case p.Role != backend.RolePrimary:
		return healthSuspect
	}
	for _, o := range v.observations {
		if o.Reachable && c.current.Term.Less(o.Term) {
			// An interrupted promotion raised the term of this instance, so it no longer
			// receives the log of the current primary.
			return healthSuspect
		}
	}
	return healthGood
}

func (c *Coordinator) assessWithoutPrimary(v view) primaryHealth {
	for _, in := range c.instances {
		if _, ok := v.observations[in.Name]; !ok {
			return healthUnknown
		}
	}
	return healthSuspect
}

// primarySuspected reports whether enough failure domains suspect the primary: at least
// minSuspectingDomains (one in a deployment with a single domain), and a majority of those
// that reported within ReportWindow.
func (c *Coordinator) primarySuspected(now time.Time) bool {
	reported, suspecting := 0, 0
	for _, v := range c.views {
		if now.Sub(v.at) > ReportWindow {
			continue
		}
		reported++
		if c.assessPrimary(now, v) == healthSuspect {
			suspecting++
		}
	}
	needed := minSuspectingDomains
	if c.domains == 1 {
		needed = 1
	}
	return suspecting >= needed && 2*suspecting > reported
}

// promotionDue reports whether to start a promotion: because the primary is suspected, or
// because an interrupted attempt in this epoch left instances in a term above that of the
// primary.
func (c *Coordinator) promotionDue(now time.Time) bool {
	if c.highestTerm.Epoch == c.epoch && c.current.Term.Less(c.highestTerm) {
		return true
	}
	if !c.primarySuspected(now) {
		c.suspectSince = time.Time{}
		return false
	}
	if c.suspectSince.IsZero() {
		c.suspectSince = now
	}
	if c.domains == 1 && c.current.Primary != "" {
		return now.Sub(c.suspectSince) >= singleDomainDelay
	}
	return true
}

// countReaching returns the number of failure domains whose last report within ReportWindow
// shows the instance as reachable, and the number of domains that reported.
func (c *Coordinator) countReaching(now time.Time, instance string) (reaching, reported int) {
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

// domainsReaching returns the number of failure domains that reach an instance.
func (c *Coordinator) domainsReaching(now time.Time, instance string) int {
	reaching, _ := c.countReaching(now, instance)
	return reaching
}

// reachedByMajority reports whether a majority of the failure domains that reported reach
// an instance.
func (c *Coordinator) reachedByMajority(now time.Time, instance string) bool {
	reaching, reported := c.countReaching(now, instance)
	return 2*reaching > reported
}
