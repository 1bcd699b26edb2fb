package leadership

import (
	"time"

	"github.com/bramleylever/bramleylever/internal/hosts"
	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/lease"
)

// A store that was restored from an older copy may lack the records of terms that were
// closed meanwhile. Its closed terms count, and duties may be taken, only once its
// generation is settled: a host that certainly knows all closed terms has recorded them
// again, and the leases that the generation before had granted have ended.

const (
	// settleDelay is how long a host waits after it has learned of a generation before it
	// settles it: the leases of hosts, and their confirmations, have ended by then.
	settleDelay = hosts.LeaseTTL + 200*time.Millisecond
	// minAnswers is the number of other hosts that have to answer if a host concludes from
	// their answers that all hosts have restarted.
	minAnswers = 3
)

// generations is what a core knows of the generations of the store.
type generations struct {
	// newest is the newest generation that the store has shown this host, since learnedAt.
	newest    platform.Generation
	learnedAt time.Time
	// settled is the newest generation that is known to be settled.
	settled platform.Generation
	// answered holds the hosts that have answered since learnedAt, and whether they knew
	// the closed terms.
	answered map[string]bool
}

// isSettled reports whether the records of a generation are complete. Nothing was lost
// before the first one.
func (g *generations) isSettled(generation platform.Generation) bool {
	return generation <= max(platform.FirstGeneration, g.settled)
}

// ObserveGeneration records the generation that the store shows this host. It reports
// whether it is newer than the one before.
func (c *Core) ObserveGeneration(g platform.Generation, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.observeGeneration(g, now)
}

func (c *Core) observeGeneration(g platform.Generation, now time.Time) bool {
	if g <= c.generations.newest {
		return false
	}
	c.generations.newest, c.generations.learnedAt = g, now
	c.generations.answered = map[string]bool{}
	return true
}

// Settled reports whether the newest generation of the store is settled.
func (c *Core) Settled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.generations.isSettled(c.generations.newest)
}

// MarkSettled records that a generation is settled.
func (c *Core) MarkSettled(g platform.Generation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.generations.settled = max(c.generations.settled, g)
}

// RecordAnswer records that another host has answered a request that was sent at the
// given time, and whether it knows the closed terms. What it knows has been merged.
func (c *Core) RecordAnswer(name string, sent time.Time, confirms bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.generations.answered != nil && sent.After(c.generations.learnedAt) {
		c.generations.answered[name] = confirms
	}
}

// MaySettle reports whether this host knows all terms that were closed in earlier
// generations, and no lease of these is valid any more.
func (c *Core) MaySettle(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.generations.isSettled(c.generations.newest) {
		return false
	}
	elapsed := now.Sub(c.generations.learnedAt)
	const margin = time.Duration(lease.DefaultMargin * float64(maxStoreSilence))
	switch {
	case elapsed < settleDelay:
		return false
	case elapsed >= maxStoreSilence+margin:
		// No confirmation from before can be in use.
		return true
	}
	// The confirmations of a quorum are younger than learnedAt, and closed terms were
	// merged with them.
	return c.quorum.Until(c.members).After(now) || c.quorumAnswered() || c.allRestarted()
}

// quorumAnswered reports whether this host has the closed terms of a quorum of hosts from
// their answers. The caller holds the lock.
func (c *Core) quorumAnswered() bool {
	count := 1
	for _, name := range c.members {
		if _, ok := c.generations.answered[name]; ok && name != c.self {
			count++
		}
	}
	return count >= lease.QuorumSize(len(c.members))
}

// allRestarted reports whether the hosts that answer have all restarted, so that no host
// uses any leader. The caller holds the lock.
func (c *Core) allRestarted() bool {
	for _, confirms := range c.generations.answered {
		if confirms {
			return false
		}
	}
	return c.ownRead.IsZero() && len(c.generations.answered) >= minAnswers
}
