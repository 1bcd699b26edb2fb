// Package membership maintains the table of live hosts with a gossip protocol
// in the manner of SWIM. Hosts of a failure domain know all members of the
// domain and detect failures among them; of other domains they know the members
// that have a role and a sample of the others.
//
// Invariant: an entry is replaced only by one with a higher (incarnation,
// version), or with the same and a later state in the order of the State
// constants.
package membership

import "slices"

// State is the liveness of a member.
type State int

// The states of a member. Of two entries with the same incarnation and version,
// the one with the later state in this order takes precedence.
const (
	StateAlive State = iota + 1
	StateSuspect
	StateDead
	StateLeft
)

// BucketClaim states that a host holds a control bucket in an epoch.
type BucketClaim struct {
	Bucket uint32
	Epoch  uint64
}

// Member is the entry of one host in the member table.
type Member struct {
	Host    string
	Domain  string
	Address string
	// Incarnation is the start time of the process in Unix nanoseconds.
	Incarnation uint64
	// Version is incremented by the host itself on each change of its entry.
	Version uint64
	State   State
	// Relay is set if the host watches the platform store for its failure domain.
	Relay bool
	// Draining is set if the host takes no new work.
	Draining bool
	// Buckets are the control buckets that the host claims.
	Buckets []BucketClaim
	// Revision is the highest configuration revision in force on the host.
	Revision int64
}

// View gives read access to the member table. Implementations return copies
// that the caller may keep.
type View interface {
	// Self returns the entry of this host.
	Self() Member
	// Members returns all members, including this host, sorted by host name.
	Members() []Member
}

// LiveIn returns the members of a failure domain that are alive and not
// draining.
func LiveIn(v View, domain string) []Member {
	return slices.DeleteFunc(v.Members(), func(m Member) bool {
		return m.Domain != domain || m.State != StateAlive || m.Draining
	})
}

// BucketHolder returns the alive or suspect member that claims a bucket in the
// highest epoch.
func BucketHolder(v View, bucket uint32) (holder Member, epoch uint64, ok bool) {
	for _, m := range v.Members() {
		if m.State != StateAlive && m.State != StateSuspect {
			continue
		}
		for _, claim := range m.Buckets {
			if claim.Bucket == bucket && (!ok || claim.Epoch > epoch) {
				holder, epoch, ok = m, claim.Epoch, true
			}
		}
	}
	return holder, epoch, ok
}

// String returns the lower-case name of the state.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateSuspect:
		return "suspect"
	case StateDead:
		return "dead"
	case StateLeft:
		return "left"
	default:
		return "unknown"
	}
}
