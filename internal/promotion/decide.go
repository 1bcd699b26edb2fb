// Package promotion replaces the primaries of services: those that hosts can no longer
// reach, those that are draining, and those in an evacuated failure domain.
//
// The hosts elect one of them for each service by creating a key in the platform's
// store that is bound to the host's lease: the promotion duty. The revision at which
// the key was created is the fencing token of the promotions that this host orders, so
// that the orders of a later duty holder take precedence, in whatever order they arrive.
//
// Invariant: a host orders promotions only with the token of a duty that it holds, and
// orders the promotion of another instance only with a higher token. Where replicas confirm
// commits, it compares their logs only after no host uses the old primary any more.
package promotion

import (
	"time"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/position"
)

const (
	// suspectQuorumDivisor is the reciprocal of the fraction of hosts that must fail
	// to reach a primary before it is replaced. The others lose a primary that still
	// serves them, but only until the new one leads.
	suspectQuorumDivisor = 3
	// missingPrimaryDelay is how long a service has no registered primary before a
	// host acts on it.
	missingPrimaryDelay = 1500 * time.Millisecond
)

// Reason says why a primary is replaced.
type Reason string

// The reasons, as written to the log.
const (
	NoReason    Reason = ""
	Unreachable Reason = "unreachable"
	Draining    Reason = "draining"
	Evacuated   Reason = "failure_domain_evacuated"
	NoPrimary   Reason = "no_primary"
	// TermEnded means that the term of the last primary was closed and no instance
	// leads a newer one: a promotion was not completed.
	TermEnded Reason = "term_ended"
)

// isPlanned reports whether the primary that is replaced works.
func (r Reason) isPlanned() bool { return r == Draining || r == Evacuated }

// Suspicion is a host's report that it cannot reach a primary.
type Suspicion struct {
	Host   string `json:"host"`
	Domain string `json:"failure_domain"`
	Server string `json:"server"`
}

// plannedReason returns the reason for replacing a primary that works.
func plannedReason(snapshot *catalog.Snapshot, primary *catalog.Server) Reason {
	switch {
	case primary == nil:
		return NoReason
	case snapshot.Evacuated[primary.Domain]:
		return Evacuated
	case primary.Draining:
		return Draining
	}
	return NoReason
}

// hasQuorum reports whether enough hosts suspect a server: a fraction of all hosts, in
// two failure domains if the hosts are in several. A failure domain that is cut off
// cannot replace the primaries of the others by itself.
func hasQuorum(suspicions []Suspicion, server string, hosts, domains int) bool {
	seen := map[string]bool{}
	count := 0
	for _, s := range suspicions {
		if s.Server != server {
			continue
		}
		count++
		seen[s.Domain] = true
	}
	quorum := max(1, (hosts+suspectQuorumDivisor-1)/suspectQuorumDivisor)
	if hosts > 1 {
		quorum = max(quorum, 2)
	}
	return count >= quorum && len(seen) >= min(2, domains)
}

// Candidate is an instance that may be promoted, and the position it has received.
type Candidate struct {
	Server   *catalog.Server
	Received position.Position
	// Primary says that the instance leads the term Epoch; otherwise Epoch is the
	// newest term that it knows.
	Primary bool
	Epoch   uint64
	// Paused is the term below which a paused replica receives no log entries; 0 without a
	// pause.
	Paused uint64
}

// receivesFrom reports whether a replica may receive log entries of a term.
func (c *Candidate) receivesFrom(epoch uint64) bool { return !c.Primary && c.Paused <= epoch }

// eligibleCandidates returns the instances that may be promoted.
func eligibleCandidates(snapshot *catalog.Snapshot, service string, primary *catalog.Server) []*catalog.Server {
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

// newestEpoch returns the newest term that any of the candidates knows or has in its log.
func newestEpoch(found []Candidate) uint64 {
	var newest uint64
	for i := range found {
		newest = max(newest, found[i].Epoch, found[i].Received.Term.Epoch)
	}
	return newest
}

// mostAdvanced returns the replica that has most of the log of the newest term, or nil.
func mostAdvanced(found []Candidate, history position.History) *Candidate {
	var best *Candidate
	for i := range found {
		if found[i].Primary {
			continue
		}
		if best == nil || history.CompareEnds(found[i].Received, best.Received) > 0 {
			best = &found[i]
		}
	}
	return best
}
