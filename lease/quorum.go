package lease

import (
	"slices"
	"sync"
	"time"
)

// Quorum is a lease that the members of a group grant each other without a grantor.
// A member holds it while a quorum of the group has confirmed it recently. The lease
// can be revoked for the whole group: once a quorum has stopped confirming, every
// member has lost it after the time to live, even the members that are cut off,
// because any two quorums have a member in common.
//
// A confirmation counts from before the request that it answers, so neither a slow
// answer nor a pause of the holder extends the lease. The clock of the times must
// advance while the host is suspended.
//
// Quorum is safe for concurrent use.
type Quorum struct {
	usable time.Duration

	mu        sync.Mutex
	confirmed map[string]time.Time
}

// NewQuorum returns a lease that nobody has confirmed yet. The margin is a fraction
// of the time to live and is limited to the range 0 to 1.
func NewQuorum(ttl time.Duration, margin float64) *Quorum {
	margin = min(max(margin, 0), 1)
	return &Quorum{
		usable:    ttl - time.Duration(float64(ttl)*margin),
		confirmed: map[string]time.Time{},
	}
}

// QuorumSize returns how many of n members form a quorum. It exceeds half of them by
// a tenth, so that two quorums still intersect if the views of the group on which
// they are based differ by up to a fifth of its members.
func QuorumSize(n int) int {
	const driftDivisor = 10
	return min(n, n/2+1+n/driftDivisor)
}

// Confirm records that a member confirmed the lease at or after the given time, which
// is usually when the request to the member was sent. Confirmations may arrive in any
// order.
func (q *Quorum) Confirm(member string, at time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if at.After(q.confirmed[member]) {
		q.confirmed[member] = at
	}
}

// Confirmed returns the time of the newest confirmation of a member; zero if there is
// none.
func (q *Quorum) Confirmed(member string) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.confirmed[member]
}

// Until returns the end of the lease for the given group: it is valid before that
// time. Confirmations of hosts that are not in the group are dropped. The result is
// the zero time without a quorum of confirmations or with an empty group.
func (q *Quorum) Until(members []string) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	need := QuorumSize(len(members))
	kept := make(map[string]time.Time, len(members))
	times := make([]time.Time, 0, len(members))
	for _, member := range members {
		at, ok := q.confirmed[member]
		if !ok {
			continue
		}
		if _, twice := kept[member]; !twice {
			times = append(times, at)
		}
		kept[member] = at
	}
	q.confirmed = kept
	if need == 0 || len(times) < need {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[need-1].Add(q.usable)
}
