package share

import (
	"fmt"
	"slices"
	"time"
)

const (
	// idleTimeout is how long a holder without demand keeps renewing its dynamic
	// grant. A host that gets 2% of 10 requests/s sees one request every 5 s.
	idleTimeout = time.Minute
	// callTimeout is how long a holder waits for an answer before it calls
	// again.
	callTimeout = 500 * time.Millisecond
	// retryInterval is the least time between a call that failed and the next one.
	retryInterval = 100 * time.Millisecond
	// minCallInterval and maxBackoff bound the interval between calls of a holder
	// that runs low; the interval doubles while answers bring too few tokens.
	minCallInterval = 5 * time.Millisecond
	maxBackoff      = 50 * time.Millisecond
	// lowFraction is the fraction of the fill level below which a holder calls.
	lowFraction = 0.6
	// fullFraction is the fraction of the capacity above which grants are about to
	// lose refill.
	fullFraction = 0.95
	// spareFactor is the multiple of the fill level above which a holder returns
	// tokens; minReturnInterval is the least time between calls made for that.
	spareFactor       = 1.1
	minReturnInterval = 250 * time.Millisecond
)

// Due reports whether the holder should call the owner now: to renew grants (at
// half of the dynamic validity, or at BaseRenewal while idle), to return spare
// tokens, to get tokens before it runs out, or to call again after a failure.
func (h *Holder) Due(now time.Time) bool {
	if h.pending != 0 {
		return now.Sub(h.sentAt) >= callTimeout
	}
	since := now.Sub(h.sentAt)
	if h.failed {
		return since >= retryInterval
	}
	if h.longIdle(now) {
		return since >= callTimeout && h.Holds(now)
	}
	if h.sentAt.IsZero() || since >= h.cfg.BaseRenewal {
		return true
	}
	if h.open+h.waiting == 0 && h.demand.idle(now, idleTimeout) {
		return false
	}
	if since >= h.cfg.DynamicValidity/2 {
		return true
	}
	if since >= minReturnInterval && h.nearlyFull(now) {
		return true
	}
	return since >= max(minCallInterval, h.backoff) && h.runningLow(now)
}

// longIdle reports whether the holder has had no demand for a whole base validity.
// It then returns its base grant, because other hosts cannot use that part of
// the limit.
func (h *Holder) longIdle(now time.Time) bool {
	last := h.firstCall
	if h.demand.lastRequest.After(last) {
		last = h.demand.lastRequest
	}
	return h.open+h.waiting == 0 && !last.IsZero() && now.Sub(last) > h.cfg.BaseValidity
}

// runningLow reports whether the holder is likely to run out before its renewal.
func (h *Holder) runningLow(now time.Time) bool {
	if h.cfg.Kind == Units {
		return h.waiting > 0 && h.open+h.waiting > h.Units(now)
	}
	fill := h.fillLevel()
	return h.Tokens(now) < max(1, lowFraction*fill, min(2, fill-0.25))
}

// nearlyFull reports whether the grants are about to overflow, so that tokens that
// other hosts could use would be lost.
func (h *Holder) nearlyFull(now time.Time) bool {
	if h.cfg.Kind == Units {
		return false
	}
	level := h.Tokens(now)
	return level > spareFactor*h.fillLevel() && level > fullFraction*h.capacity()
}

func (h *Holder) capacity() float64 {
	return h.current[Base].grant.Capacity + h.current[Dynamic].grant.Capacity
}

// fillLevel is the level to which the owner fills the holder's grants.
func (h *Holder) fillLevel() float64 {
	return h.cfg.fillLevel(h.demand.rate, h.capacity())
}

// returnSpare takes the tokens far above the need out of the current grants and adds
// them to those that the next call returns.
func (h *Holder) returnSpare() {
	need := h.fillLevel()
	total := h.current[Base].level + h.current[Dynamic].level
	if total <= spareFactor*need {
		return
	}
	spare := total - need
	for class := range h.current {
		s := &h.current[class]
		if given := min(spare, s.level); given > 0 {
			spare -= given
			s.level -= given
			s.returning += given
			h.spared[class] = given
			credit := s.grant
			credit.Level = given
			h.returned = append(h.returned, credit)
		}
	}
}

// Call returns the next call to send to the owner. Answers to earlier calls are
// ignored from now on.
func (h *Holder) Call(now time.Time) Call {
	if h.longIdle(now) {
		return h.Leave(now)
	}
	return h.report(now)
}

func (h *Holder) report(now time.Time) Call {
	h.refillAll(now)
	if h.firstCall.IsZero() {
		h.firstCall = now
	}
	h.sequence++
	h.pending = h.sequence
	h.failed = false
	h.sentAt = now
	call := Call{Holder: h.id, Epoch: h.epoch, Sequence: h.sequence}
	call.Wanted, call.Unmet = h.wanted(now)
	h.inCall, h.spared = slices.Clone(h.returned), [classCount]float64{}
	if h.cfg.Kind == Rate {
		h.returnSpare()
	}
	call.Returned, h.returned = h.returned, nil
	excess := h.excess(now)
	for class := range h.current {
		s := &h.current[class]
		s.peak = s.level
		held := s.grant
		if !s.held {
			if excess[class] == 0 {
				h.replaced[class] = grantState{}
				continue
			}
			held = h.replaced[class].grant
			held.Capacity = 0
		}
		held.Level = s.level
		held.Capacity += excess[class]
		// The owner stops counting units that the call does not report, so they
		// must not be used again.
		prior := &h.replaced[class]
		prior.grant.Capacity = min(prior.grant.Capacity, held.Capacity)
		call.Held = append(call.Held, held)
	}
	return call
}

func (h *Holder) wanted(now time.Time) (wanted, unmet float64) {
	if h.cfg.Kind == Rate {
		unmet = h.demand.unmet
		h.demand.unmet = 0
		return h.demand.estimate(now), unmet
	}
	wanted = float64(h.open + h.waiting)
	if wanted > 0 && h.waiting == 0 {
		// One spare unit saves a round trip when the load rises.
		wanted++
	}
	return wanted, float64(h.waiting)
}

// excess returns, by class, the open units beyond the current grants: the owner
// has reclaimed them, but their connections are not closed yet.
func (h *Holder) excess(now time.Time) [classCount]float64 {
	var excess [classCount]float64
	if h.cfg.Kind != Units {
		return excess
	}
	over := float64(h.open)
	for class := range h.current {
		over -= h.current[class].grant.Capacity
	}
	for _, class := range []Class{Dynamic, Base} {
		prior := &h.replaced[class]
		if over <= 0 || !prior.held || !now.Before(prior.expires) {
			continue
		}
		excess[class] = min(over, max(0, prior.grant.Capacity-h.current[class].grant.Capacity))
		over -= excess[class]
	}
	return excess
}

// CallFailed records that the call with the given sequence number gets no answer.
func (h *Holder) CallFailed(sequence uint64) {
	if h.pending == sequence {
		h.pending = 0
		h.failed = true
	}
}

// CallNotRun records that the owner did not take the call with the given sequence
// number, for example because it does not own the resource any more: the holder keeps
// what the call returned.
func (h *Holder) CallNotRun(sequence uint64, now time.Time) {
	if h.pending != sequence || sequence == 0 {
		return
	}
	h.refillAll(now)
	for class, given := range h.spared {
		s := &h.current[class]
		if !s.held {
			continue
		}
		s.returning -= given
		s.level = min(s.grant.Capacity-s.returning, s.level+given)
		s.peak = max(s.peak, s.level)
	}
	h.returned = append(h.inCall, h.returned...)
	h.CallFailed(sequence)
}

// Apply takes the answer to the latest call. It reports false and changes
// nothing if the answer belongs to an earlier call, is a repetition, or comes
// from a replaced owner.
func (h *Holder) Apply(answer Answer, now time.Time) (bool, error) {
	if h.pending == 0 || answer.Sequence != h.pending || answer.Epoch < h.epoch {
		return false, nil
	}
	if err := validateGrants("answer", answer.Grants); err != nil {
		return false, fmt.Errorf("apply: %w", err)
	}
	h.refillAll(now)
	h.pending = 0
	h.epoch = answer.Epoch
	var offered [classCount]*Grant
	for i := range answer.Grants {
		offered[answer.Grants[i].Class] = &answer.Grants[i]
	}
	for class := range h.current {
		h.replace(Class(class), offered[class], now)
	}
	h.adjustBackoff(now)
	return true, nil
}

func (h *Holder) adjustBackoff(now time.Time) {
	if !h.runningLow(now) {
		h.backoff = 0
		return
	}
	h.backoff = min(maxBackoff, max(minCallInterval, 2*h.backoff))
}

// replace replaces the current grant of a class by the offered one; nil means that
// none was offered.
func (h *Holder) replace(class Class, offered *Grant, now time.Time) {
	old := h.current[class]
	if offered == nil {
		h.release(class, old.level, now)
		h.current[class] = grantState{}
		return
	}
	expires := h.sentAt.Add(offered.Validity)
	if !now.Before(expires) && !h.cfg.keepExpired {
		return
	}
	next := grantState{grant: *offered, held: true, refilled: now, expires: expires}
	next.grant.Level = 0
	room := max(0, offered.Capacity-old.peak)
	next.level = old.level + min(offered.Level, room)
	if over := next.level - offered.Capacity; over > 0 {
		next.level = offered.Capacity
		h.release(class, over, now)
	} else if offered.Capacity < old.grant.Capacity {
		h.release(class, 0, now)
	}
	next.peak = next.level
	h.current[class] = next
}

// release records what is returned of the current grant: tokens with the next call,
// units once their connections are closed.
func (h *Holder) release(class Class, level float64, now time.Time) {
	old := h.current[class]
	if !old.held {
		return
	}
	if h.cfg.Kind == Units {
		prior := &h.replaced[class]
		if !now.Before(prior.expires) || prior.grant.Capacity <= old.grant.Capacity {
			*prior = old
		}
		return
	}
	if level > 0 {
		credit := old.grant
		credit.Level = level
		h.returned = append(h.returned, credit)
	}
}

// Leave returns a call that gives all grants back: tokens at once, units as far as
// their connections are closed. The holder admits nothing until an answer to a
// later call brings grants.
func (h *Holder) Leave(now time.Time) Call {
	h.refillAll(now)
	if h.cfg.Kind == Rate {
		for class := range h.current {
			h.release(Class(class), h.current[class].level, now)
			h.current[class] = grantState{}
		}
		call := h.report(now)
		// A host that leaves keeps nothing, whether the owner takes the call or not.
		h.inCall, h.spared = nil, [classCount]float64{}
		call.Wanted, call.Leaving = 0, true
		return call
	}
	call := h.report(now)
	call.Wanted, call.Leaving = 0, true
	over := float64(h.open)
	var held []Grant
	for _, g := range call.Held {
		g.Capacity = min(g.Capacity, over)
		over -= g.Capacity
		s := &h.current[g.Class]
		s.grant.Capacity = min(s.grant.Capacity, g.Capacity)
		if g.Capacity > 0 {
			held = append(held, g)
		} else {
			h.current[g.Class] = grantState{}
		}
	}
	call.Held = held
	return call
}
