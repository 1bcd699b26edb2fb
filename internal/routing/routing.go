// Package routing decides on which instance a request runs and which check
// must precede it.
//
// Invariant: a write is never sent to an instance other than the primary of
// the highest known term, and a read of a session with earlier writes is sent
// with a check unless its connection is known to contain them.
package routing

import (
	"time"

	"github.com/bramleylever/bramleylever/position"
)

// Candidate is an instance as it is known at the moment of a decision.
type Candidate struct {
	Instance string
	Address  string
	Primary  bool
	// SameDomain reports that the instance is in the proxy's own failure domain.
	SameDomain bool
	// Leaving reports that the instance gets no new work.
	Leaving bool
	// Suspect reports that the instance does not answer at present.
	Suspect bool
	// Failed reports that this request already failed on the instance.
	Failed bool
	// Applied is the position last observed on any connection. It is a hint:
	// only a connection's own position can replace a check.
	Applied position.Position
	// ObservedAge is the time since Applied was observed.
	ObservedAge time.Duration
	// Outstanding is the number of requests that wait for the instance.
	Outstanding int
	// Latency is the smoothed time of an answer.
	Latency time.Duration
	// ErrorRate is the smoothed share of failed requests, from 0 to 1.
	ErrorRate float64
	// Weight is above 0 and at most 1; it grows while an instance returns to
	// service.
	Weight float64
}

// Input describes one request.
type Input struct {
	// Write reports that only the primary can run the request.
	Write bool
	// Position is the session's position in the database.
	Position position.Position
	// PositionUnknown reports a session with an id but without a position.
	PositionUnknown bool
	// MaxStaleness is the age that the read accepts; negative without one.
	MaxStaleness time.Duration
	// FallbackAllowed reports that the primary can take reads that replicas
	// could not serve.
	FallbackAllowed bool
	// Fallback reports that a replica failed to serve the read.
	Fallback   bool
	Candidates []Candidate

	// eligible is kept between decisions, so that they do not allocate.
	eligible []int
}

// Check is what precedes the request on the chosen instance.
type Check uint8

// The checks.
const (
	// CheckNone needs no check.
	CheckNone Check = iota
	// CheckPosition needs a guard for the position, the age or both, unless
	// the connection makes it unnecessary.
	CheckPosition
	// CheckPrimary needs the confirmation that the instance is the primary.
	CheckPrimary
)

// Reasons of decisions, as they are logged.
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

// Decision is the chosen instance.
type Decision struct {
	// Target is an index into the candidates, or None.
	Target int
	Check  Check
	// Fallback reports a read on the primary because replicas are behind; it
	// counts against the fallback limit.
	Fallback bool
	Reason   string
}

// freshObservation is the age up to which an observed position says that a
// replica is still behind: reads on it would wait in vain.
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

// takesReads reports whether the instance is a replica that is in service.
func (c *Candidate) takesReads() bool {
	return !c.Primary && !c.Leaving && !c.Failed && !c.Suspect
}

// usable reports whether a replica can take the read. A replica that was seen
// behind the session a moment ago is left out.
func usable(in *Input, c *Candidate) bool {
	if !c.takesReads() || c.Weight <= 0 {
		return false
	}
	behind := c.Applied.Compare(in.Position) < 0 && !c.Applied.IsZero()
	return !behind || c.ObservedAge > freshObservation
}

func pickReplica(in *Input, policy Policy) int {
	in.eligible = in.eligible[:0]
	for i := range in.Candidates {
		if usable(in, &in.Candidates[i]) {
			in.eligible = append(in.eligible, i)
		}
	}
	if len(in.eligible) == 0 {
		return None
	}
	return policy.Pick(in.Candidates, in.eligible)
}

// decideFallback reads from the primary, within the limit if replicas are only
// behind, or waits on the replica that is furthest ahead.
func decideFallback(in *Input, primary int, check Check) Decision {
	behind := in.Fallback || replicasLeft(in.Candidates)
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
		if !c.takesReads() {
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

func replicasLeft(candidates []Candidate) bool {
	for i := range candidates {
		if candidates[i].takesReads() {
			return true
		}
	}
	return false
}

// GuardNeeded reports whether a position must be checked on a connection that
// last reported applied and on which guarded was found in the history. A
// position of an older term can lie on a fork, so only the instance can tell.
func GuardNeeded(wanted, applied, guarded position.Position) bool {
	if wanted.IsZero() {
		return false
	}
	if wanted.Term == applied.Term && wanted.LSN <= applied.LSN {
		return false
	}
	return wanted.Term != guarded.Term || wanted.LSN > guarded.LSN
}
