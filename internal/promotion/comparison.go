package promotion

import (
	"fmt"
	"slices"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/position"
)

// comparison is what a promotion knows of the logs of a service whose replicas confirm
// commits.
type comparison struct {
	snapshot *catalog.Snapshot
	members  memberList
	// recorded says that the members come from the store's list, which has had the leader of
	// every term. Otherwise they are the registered servers.
	recorded bool
	// primary is the registered primary; nil without one.
	primary *catalog.Server
	// sync is the number of replicas that confirm each commit; it is positive.
	sync int
	// expired says that members which are not registered are not waited for any longer, and
	// that empty logs are accepted.
	expired bool
	// planned says that the primary still works.
	planned bool
	reports []Candidate
}

// check returns an error unless the reported logs must include every acknowledged commit.
//
// The leader has each of its acknowledged commits, and so have sync of the other members.
// Therefore fewer than sync members may be missing, the leader not counted. A leader whose
// log is reported itself makes no difference: that log has all its commits.
func (c *comparison) check() error {
	missing := c.members.unreported(c.reports, c.expired)
	isLeaderListed := c.recorded
	if c.expired {
		// The leader may be one of the members that are given up.
		missing = c.registeredMissing()
		isLeaderListed = false
	}
	if c.primary != nil && slices.ContainsFunc(missing, func(m Member) bool { return m.isProcess(c.primary) }) {
		isLeaderListed = true
	}
	if !isLeaderListed && !c.recorded && !c.expired {
		return fmt.Errorf("members are not recorded and no primary is registered: %w", ErrNotReady)
	}
	allowed := c.sync - 1
	if isLeaderListed {
		allowed = c.sync
	}
	if len(missing) > allowed {
		return fmt.Errorf("no log of %s, of %d members: %w", missing, len(c.members), ErrNotReady)
	}
	return nil
}

// registeredMissing returns the registered members whose logs are not among the reports.
func (c *comparison) registeredMissing() memberList {
	return slices.DeleteFunc(c.members.unreported(c.reports, c.expired), func(m Member) bool { return !m.isIn(c.snapshot) })
}

// givenUp returns the members whose logs the promotion needs and does without; none unless
// the wait for them has expired.
func (c *comparison) givenUp() memberList {
	whole := *c
	whole.expired = false
	if !c.expired || whole.check() == nil {
		return nil
	}
	return slices.DeleteFunc(c.members.unreported(c.reports, c.expired), func(m Member) bool { return m.isIn(c.snapshot) })
}

// target returns the replica with the most advanced log, or nil. Of those that have it, one
// that new work may be sent to is preferred. Another one is chosen only in place of a primary
// that does not work; it hands over to a preferred one once that has the log.
func (c *comparison) target(history position.History) *Candidate {
	best := mostAdvanced(c.reports, history)
	var usable []Candidate
	for _, report := range c.reports {
		m := memberOf(report.Server)
		if m.isIn(c.snapshot) && c.snapshot.Usable(report.Server) {
			usable = append(usable, report)
		}
	}
	preferred := mostAdvanced(usable, history)
	if preferred != nil && history.CompareEnds(preferred.Received, best.Received) >= 0 {
		return preferred
	}
	if c.planned {
		return nil
	}
	return best
}

// leaderReport returns the report of the leader of a term, or of a newer one; nil if none
// was reported.
func leaderReport(reports []Candidate, epoch uint64) *Candidate {
	var leader *Candidate
	for i := range reports {
		if c := &reports[i]; c.Primary && c.Epoch >= epoch && (leader == nil || c.Epoch > leader.Epoch) {
			leader = c
		}
	}
	return leader
}

// haveLog returns how many replicas have the log that a leader had, and follow it.
func haveLog(reports []Candidate, leader *Candidate, history position.History) int {
	count := 0
	for i := range reports {
		r := &reports[i]
		if !r.Primary && r.Epoch == leader.Epoch && r.Received.LSN >= leader.Received.LSN && history.Includes(r.Received) {
			count++
		}
	}
	return count
}

// withoutPrimary returns the comparison without the report of the primary.
func (c *comparison) withoutPrimary() *comparison {
	out := *c
	out.reports = slices.DeleteFunc(slices.Clone(c.reports), func(report Candidate) bool {
		return c.primary != nil && report.Server.ID == c.primary.ID
	})
	return &out
}

// replacement returns the replica to promote after the term has ended, or nil. Entries that only
// the old primary has were not confirmed if the other logs are enough.
func (c *comparison) replacement(history position.History) *Candidate {
	others := c.withoutPrimary()
	if target := others.target(history); others.check() == nil && target != nil {
		return target
	}
	return c.target(history)
}
