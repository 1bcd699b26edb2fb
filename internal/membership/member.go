// Package membership keeps the table of live hosts: heartbeats within a
// failure domain and summaries between domains.
//
// Invariant: an entry is replaced only by one with a higher (incarnation,
// version), or by a worse state of the same one.
package membership

import "slices"

// State is the liveness of a member.
type State int

// The states in the order in which they override one another.
const (
	StateAlive State = iota + 1
	StateSuspect
	StateDead
	StateLeft
)

// BucketClaim says that a host holds a control bucket in an epoch.
type BucketClaim struct {
	Bucket uint32
	Epoch  uint64
}

// Member is one host as the table knows it.
type Member struct {
	Host    string
	Domain  string
	Address string
	// Incarnation is the start of the process in Unix nanoseconds.
	Incarnation uint64
	// Version is raised by the host itself on each change of its entry.
	Version  uint64
	State    State
	Relay    bool
	Draining bool
	Buckets  []BucketClaim
	// Revision is the highest configuration revision in force on the host.
	Revision int64
}

// View answers who is alive. Implementations return copies that the caller may
// keep.
type View interface {
	// Self returns the entry of this host.
	Self() Member
	// Members returns all members, this host included, in the order of their
	// host names.
	Members() []Member
}

// LiveIn returns the members of a failure domain that are alive and not
// draining.
func LiveIn(v View, domain string) []Member {
	return slices.DeleteFunc(v.Members(), func(m Member) bool {
		return m.Domain != domain || m.State != StateAlive || m.Draining
	})
}

// BucketHolder returns the live member that claims a bucket in the highest
// epoch.
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
