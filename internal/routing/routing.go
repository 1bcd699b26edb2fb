// Package routing decides on which instance a request runs and which check must precede
// it.
//
// Invariant: a write is sent only to the primary of the highest known term. A read of a
// session with earlier writes is sent with a check, unless its connection is known to
// see those writes.
package routing

import (
	"time"

	"github.com/bramleylever/bramleylever/position"
)

// Candidate is what is known about an instance when a decision is made.
type Candidate struct {
	Instance string
	Address  string
	Primary  bool
	// SameDomain reports that the instance is in the proxy's failure domain.
	SameDomain bool
	// Leaving reports that the instance is taken out of service and gets no new work.
	Leaving bool
	// Suspect reports that the instance is suspected to be unreachable.
	Suspect bool
	// Failed reports that an attempt of this request on the instance has failed.
	Failed bool
	// Applied is the position last observed on any connection. It is only a hint: a
	// check may be omitted only on the basis of the connection's own position.
	Applied position.Position
	// ObservedAge is the time since Applied was observed.
	ObservedAge time.Duration
	// Outstanding is the number of requests that the instance has not answered yet.
	Outstanding int
	// Latency is the moving average of the response time.
	Latency time.Duration
	// ErrorRate is the moving average of the fraction of failed requests, from 0 to 1.
	ErrorRate float64
	// Weight is above 0 and at most 1; it increases gradually while an instance returns
	// to service.
	Weight float64
}

// Input describes one request.
type Input struct {
	// Write reports that only the primary may run the request.
	Write bool
	// Position is the session's position in the database.
	Position position.Position
	// PositionUnknown reports that the session has an id but its position is not known.
	// Its reads go to a confirmed primary.
	PositionUnknown bool
	// MaxStaleness is the maximum staleness that the read accepts; negative for no
	// limit.
	MaxStaleness time.Duration
	// FallbackAllowed reports that the fallback limit permits reads on the primary when
	// replicas are behind.
	FallbackAllowed bool
	// Fallback reports that a replica has already failed to serve the read.
	Fallback   bool
	Candidates []Candidate

	// eligible is reused between decisions to avoid an allocation.
	eligible []int
}

// Check is the check that must precede the request on the chosen instance.
type Check uint8

// The kinds of checks.
const (
	// CheckNone means that no check is needed.
	CheckNone Check = iota
	// CheckPosition requires a guard statement for the position, the staleness or both,
	// unless the state of the connection makes it unnecessary.
	CheckPosition
	// CheckPrimary requires a confirmation that the instance is the primary.
	CheckPrimary
)

// The reasons for decisions, as they appear in the log.
const (
	ReasonWrite           = "write"
	ReasonPositionUnknown = "session without a position"
	ReasonReplica         = "replica"
	ReasonFallback        = "replicas behind"
	ReasonNoReplica       = "no replica available"
	ReasonNoPrimary       = "no primary known"
	ReasonFallbackLimit   = "replicas behind and fallback limit reached"
	ReasonNoInstance      = "no instance available"
)

// None is the target of a decision that found no instance.
const None = -1

// Decision is the chosen instance and the check to run there.
type Decision struct {
	// Target is an index into the candidates, or None.
	Target int
	Check  Check
	// Fallback reports that the read goes to the primary because replicas are behind;
	// it counts against the fallback limit.
	Fallback bool
	Reason   string
}

// freshObservation is the maximum age of an observed position for which a replica is
// assumed to be still behind, so that a read there would only wait.
const freshObservation = 20 * time.Millisecond

// Decide chooses the instance for a request.
func Decide(in *Input, policy Policy) Decision {
	primary := primaryOf(in.Candidates)
	if in.Write || in.PositionUnknown {
		return decidePrimary(in, primary)
	}
	check := CheckNone
	if !in.Position.IsZero() || in.MaxStaleness >= 0 {
		check = CheckPosition
	}
	if !in.Fallback {
		if t := pickReplica(in, policy); t != None {
			return Decision{Target: t, Check: check, Reason: ReasonReplica}
		}
	}
	return decideFallback(in, primary, check)
}

func primaryOf(candidates []Candidate) int {
	for i := range candidates {
		if candidates[i].Primary && !candidates[i].Failed {
			return i
		}
	}
	return None
}

func decidePrimary(in *Input, primary int) Decision {
	d := Decision{Target: primary, Reason: ReasonWrite}
	switch {
	case primary == None:
		d.Reason = ReasonNoPrimary
	case in.PositionUnknown:
		d.Check = CheckPrimary
		d.Reason = ReasonPositionUnknown
	case !in.Position.IsZero():
		d.Check = CheckPosition
	}
	return d
}

// canServeReads reports whether the instance is a replica that is in service and not
// known to fail.
func (c *Candidate) canServeReads() bool {
	return !c.Primary && !c.Leaving && !c.Failed && !c.Suspect
}

// isEligible reports whether a replica may be chosen for the read. A replica that was
// observed behind the session's position within freshObservation is excluded.
func isEligible(in *Input, c *Candidate) bool {
	if !c.canServeReads() || c.Weight <= 0 {
		return false
	}
	behind := c.Applied.Compare(in.Position) < 0 && !c.Applied.IsZero()
	return !behind || c.ObservedAge > freshObservation
}

func pickReplica(in *Input, policy Policy) int {
	in.eligible = in.eligible[:0]
	for i := range in.Candidates {
		if isEligible(in, &in.Candidates[i]) {
			in.eligible = append(in.eligible, i)
		}
	}
	if len(in.eligible) == 0 {
		return None
	}
	return policy.Pick(in.Candidates, in.eligible)
}

// decideFallback sends the read to the primary, subject to the fallback limit if there
// are replicas that are only behind. Otherwise it chooses the replica with the highest
// applied position, where the read has to wait.
func decideFallback(in *Input, primary int, check Check) Decision {
	behind := in.Fallback || anyReplicaInService(in.Candidates)
	if primary != None && (in.FallbackAllowed || !behind) {
		reason := ReasonFallback
		if !behind {
			reason = ReasonNoReplica
		}
		return Decision{Target: primary, Check: check, Fallback: behind, Reason: reason}
	}
	best := None
	for i := range in.Candidates {
		c := &in.Candidates[i]
		if !c.canServeReads() {
			continue
		}
		if best == None || in.Candidates[best].Applied.Compare(c.Applied) < 0 {
			best = i
		}
	}
	if best == None {
		return Decision{Target: None, Reason: ReasonNoInstance}
	}
	return Decision{Target: best, Check: check, Reason: ReasonFallbackLimit}
}

// anyReplicaInService reports whether a replica can serve reads, even if it is behind.
func anyReplicaInService(candidates []Candidate) bool {
	for i := range candidates {
		if candidates[i].canServeReads() {
			return true
		}
	}
	return false
}

// GuardNeeded reports whether the wanted position must be checked on a connection that
// last reported position applied, and on which an earlier check confirmed position
// guarded. A position of an older term may be on a diverged timeline, so a higher
// applied position of a newer term does not prove that the instance contains it.
func GuardNeeded(wanted, applied, guarded position.Position) bool {
	if wanted.IsZero() {
		return false
	}
	if wanted.Term == applied.Term && wanted.LSN <= applied.LSN {
		return false
	}
	return wanted.Term != guarded.Term || wanted.LSN > guarded.LSN
}
