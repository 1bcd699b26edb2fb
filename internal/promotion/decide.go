// Package promotion replaces primaries: those that hosts no longer reach, and
// those that leave or whose failure domain is evacuated.
//
// Any host may take the duty for a service, under a key that hangs on its lease
// in the platform's store. The revision at which it took the key is the fencing
// token of its orders, so a later holder's orders supersede it, whenever they
// are carried out.
//
// Invariant: a host orders only with the token of a duty that it holds, and
// orders another instance only with a higher token.
package promotion

import (
	"time"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/position"
)

const (
	// suspectQuorumPart is the part of the hosts that must not reach a primary
	// before it is replaced. Replacing a primary that some hosts reach costs
	// little, because it leads until the new one does.
	suspectQuorumPart = 3
	// missingTime is how long a service may have no registered primary before
	// a host suspects that there is none.
	missingTime = 1500 * time.Millisecond
)

// Reason says why a primary is replaced.
type Reason string

// The reasons, as they stand in logs.
const (
	NoReason    Reason = ""
	Unreachable Reason = "unreachable"
	Leaving     Reason = "draining"
	Evacuated   Reason = "failure_domain_evacuated"
	Missing     Reason = "no_primary"
)

// Suspicion is one host's report that it does not reach a primary.
type Suspicion struct {
	Host   string `json:"host"`
	Domain string `json:"failure_domain"`
	Server string `json:"server"`
}

// planned returns the reason for which a primary that works is to be replaced.
func planned(snapshot *catalog.Snapshot, primary *catalog.Server) Reason {
	switch {
	case primary == nil:
		return NoReason
	case snapshot.Evacuated[primary.Domain]:
		return Evacuated
	case primary.Draining:
		return Leaving
	}
	return NoReason
}

// confirmed reports whether enough hosts suspect a server: a part of all hosts,
// in two failure domains if hosts are in several. A domain that is cut off
// alone does not replace the primaries of the others.
func confirmed(suspicions []Suspicion, server string, hosts, domains int) bool {
	seen := map[string]bool{}
	count := 0
	for _, s := range suspicions {
		if s.Server != server {
			continue
		}
		count++
		seen[s.Domain] = true
	}
	quorum := max(1, (hosts+suspectQuorumPart-1)/suspectQuorumPart)
	if hosts > 1 {
		quorum = max(quorum, 2)
	}
	return count >= quorum && len(seen) >= min(2, domains)
}

// Candidate is an instance that may take over, with what it received.
type Candidate struct {
	Server   *catalog.Server
	Received position.Position
}

// candidates returns the instances that may take over.
func candidates(snapshot *catalog.Snapshot, service string, primary *catalog.Server) []*catalog.Server {
	var out []*catalog.Server
	for _, server := range snapshot.Groups[service] {
		if primary != nil && server.ID == primary.ID {
			continue
		}
		if snapshot.Usable(server) && server.Lapsed.IsZero() {
			out = append(out, server)
		}
	}
	return out
}

// best returns the candidate that received most, or nil.
func best(found []Candidate) *Candidate {
	var best *Candidate
	for i := range found {
		if best == nil || found[i].Received.Compare(best.Received) > 0 {
			best = &found[i]
		}
	}
	return best
}

// sufficient reports whether the candidates found must include every acknowledged
// commit. With n replicas, of which sync confirm each commit, any n-sync+1 of
// them include one that confirmed it.
func sufficient(found, replicas, sync int) bool {
	return sync == 0 || found >= max(1, replicas-sync+1)
}
