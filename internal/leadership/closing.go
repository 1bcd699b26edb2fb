package leadership

import (
	"time"

	"github.com/bramleylever/bramleylever/lease"
)

// Closing tracks who has acknowledged that a term is closed. It does no I/O and is not
// safe for concurrent use.
type Closing struct {
	members  []string
	acked    map[string]bool
	started  time.Time
	quorumAt time.Time
}

// NewClosing returns the state of a closing that started at the given time, after the
// store has recorded it. The host that closes the term is the first to acknowledge it.
func NewClosing(self string, members []string, now time.Time) *Closing {
	c := &Closing{members: members, acked: map[string]bool{}, started: now}
	c.Acknowledge(self, now)
	return c
}

// Acknowledge records that a host has stopped using the leader.
func (c *Closing) Acknowledge(host string, now time.Time) {
	c.acked[host] = true
	if c.quorumAt.IsZero() && c.count() >= lease.QuorumSize(len(c.members)) {
		c.quorumAt = now
	}
}

func (c *Closing) count() int {
	count := 0
	for _, name := range c.members {
		if c.acked[name] {
			count++
		}
	}
	return count
}

// Pending returns the hosts that have not acknowledged the closing.
func (c *Closing) Pending() []string {
	var pending []string
	for _, name := range c.members {
		if !c.acked[name] {
			pending = append(pending, name)
		}
	}
	return pending
}

// SafeAt returns when no host uses the leader any more, if no other acknowledgement
// arrives.
func (c *Closing) SafeAt() time.Time {
	margin := time.Duration(lease.DefaultMargin * float64(maxStoreSilence))
	safe := c.started.Add(maxStoreSilence + margin)
	if len(c.Pending()) == 0 {
		return c.quorumAt
	}
	if c.quorumAt.IsZero() {
		return safe
	}
	// The lease of a host ends confirmationTTL after its confirmations at the latest.
	if expired := c.quorumAt.Add(confirmationTTL); expired.Before(safe) {
		return expired
	}
	return safe
}
