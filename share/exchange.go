package share

import (
	"fmt"
	"time"
)

const (
	// idleAfter is how long a holder without demand keeps a dynamic grant. At
	// 10 requests/s with 2% on the quietest host, requests are 5 s apart.
	idleAfter = time.Minute
	// callTimeout is how long a holder waits for an answer before it calls
	// again.
	callTimeout = 500 * time.Millisecond
	// retryInterval is how soon a holder calls again after a call that failed.
	retryInterval = 100 * time.Millisecond
	// minCallInterval and maxBackoff bound how often a holder calls when its
	// level is low; it backs off while answers bring no tokens.
	minCallInterval = 5 * time.Millisecond
	maxBackoff      = 50 * time.Millisecond
	// lowPart is the part of the level that the owner fills up to, below which
	// a holder calls.
	lowPart = 0.6
	// fullPart is how full the grants are when refill is about to be lost.
	fullPart = 0.95
	// spareFactor is how far above its need a holder's level may rise before
	// it returns tokens, and minReturnInterval how often it calls to do so.
	spareFactor       = 1.1
	minReturnInterval = 250 * time.Millisecond
)

// Due reports whether the holder should call the owner now: at half of the
// validity, or ahead of need when its level has dropped below a third.
func (h *Holder) Due(now time.Time) bool {
	if h.pending != 0 {
		return now.Sub(h.sentAt) >= callTimeout
	}
	since := now.Sub(h.sentAt)
	if h.failed {
		return since >= retryInterval
	}
	if h.quiet(now) {
		return since >= callTimeout && h.Holds(now)
	}
	if h.sentAt.IsZero() || since >= h.cfg.BaseRenewal {
		return true
	}
	if h.open+h.waiting == 0 && h.demand.idle(now, idleAfter) {
		return false
	}
	if since >= h.cfg.DynamicValidity/2 {
		return true
	}
	if since >= minReturnInterval && h.full(now) {
		return true
	}
	return since >= max(minCallInterval, h.backoff) && h.low(now)
}

// quiet reports whether the holder has been without demand for a whole base
// validity. It then gives its base grant up, because on an idle host that part
// of the limit is lost to the others.
func (h *Holder) quiet(now time.Time) bool {
	last := h.firstCall
	if h.demand.last.After(last) {
		last = h.demand.last
	}
	return h.open+h.waiting == 0 && !last.IsZero() && now.Sub(last) > h.cfg.BaseValidity
}

// low reports whether the holder is likely to run short before its renewal.
func (h *Holder) low(now time.Time) bool {
	if h.cfg.Kind == Units {
		return h.waiting > 0 && h.open+h.waiting > h.Units(now)
	}
	fill := h.fillLevel()
	return h.Tokens(now) < max(1, lowPart*fill, min(2, fill-0.25))
}

// full reports whether the holder is about to lose tokens that others need.
func (h *Holder) full(now time.Time) bool {
	if h.cfg.Kind == Units {
		return false
	}
	level := h.Tokens(now)
	return level > spareFactor*h.fillLevel() && level > fullPart*h.capacity()
}

func (h *Holder) capacity() float64 {
	return h.pieces[Base].grant.Capacity + h.pieces[Dynamic].grant.Capacity
}

// fillLevel is the level to which the owner fills the holder's grants.
func (h *Holder) fillLevel() float64 {
	return h.cfg.fillLevel(h.demand.rate, h.capacity())
}

// lend takes tokens far above need out of the pieces, to be returned with the
// next call.
func (h *Holder) lend() {
	need := h.fillLevel()
	total := h.pieces[Base].level + h.pieces[Dynamic].level
	if total <= spareFactor*need {
		return
	}
	spare := total - need
	for class := range h.pieces {
		p := &h.pieces[class]
		if given := min(spare, p.level); given > 0 {
			spare -= given
			p.level -= given
			p.lent += given
			back := p.grant
			back.Level = given
			h.returned = append(h.returned, back)
		}
	}
}

// Call starts a call. The answer to an earlier call is ignored from now on.
func (h *Holder) Call(now time.Time) Call {
	if h.quiet(now) {
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
	if h.cfg.Kind == Rate {
		h.lend()
	}
	call.Returned, h.returned = h.returned, nil
	excess := h.excess(now)
	for class := range h.pieces {
		p := &h.pieces[class]
		p.peak = p.level
		held := p.grant
		if !p.held {
			if excess[class] == 0 {
				h.fading[class] = piece{}
				continue
			}
			held = h.fading[class].grant
			held.Capacity = 0
		}
		held.Level = p.level
		held.Capacity += excess[class]
		// What the call does not report any more must not be used again.
		faded := &h.fading[class]
		faded.grant.Capacity = min(faded.grant.Capacity, held.Capacity)
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
		// One unit ahead of need saves a round trip when load rises.
		wanted++
	}
	return wanted, float64(h.waiting)
}

// excess returns the units of each class that are still open although the
// owner wants them back.
func (h *Holder) excess(now time.Time) [classCount]float64 {
	var excess [classCount]float64
	if h.cfg.Kind != Units {
		return excess
	}
	over := float64(h.open)
	for class := range h.pieces {
		over -= h.pieces[class].grant.Capacity
	}
	for _, class := range []Class{Dynamic, Base} {
		faded := &h.fading[class]
		if over <= 0 || !faded.held || !now.Before(faded.expires) {
			continue
		}
		excess[class] = min(over, max(0, faded.grant.Capacity-h.pieces[class].grant.Capacity))
		over -= excess[class]
	}
	return excess
}

// CallFailed notes that the call with a sequence number gets no answer.
func (h *Holder) CallFailed(sequence uint64) {
	if h.pending == sequence {
		h.pending = 0
		h.failed = true
	}
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
	for class := range h.pieces {
		h.replace(Class(class), offered[class], now)
	}
	h.adjustBackoff(now)
	return true, nil
}

func (h *Holder) adjustBackoff(now time.Time) {
	if !h.low(now) {
		h.backoff = 0
		return
	}
	h.backoff = min(maxBackoff, max(minCallInterval, 2*h.backoff))
}

// replace puts an offered grant in the place of the one held; nil means none.
func (h *Holder) replace(class Class, offered *Grant, now time.Time) {
	old := h.pieces[class]
	if offered == nil {
		h.giveUp(class, old.level, now)
		h.pieces[class] = piece{}
		return
	}
	expires := h.sentAt.Add(offered.Validity)
	if !now.Before(expires) && !h.cfg.keepExpired {
		return
	}
	next := piece{grant: *offered, held: true, refilled: now, expires: expires}
	next.grant.Level = 0
	room := max(0, offered.Capacity-old.peak)
	next.level = old.level + min(offered.Level, room)
	if over := next.level - offered.Capacity; over > 0 {
		next.level = offered.Capacity
		h.giveUp(class, over, now)
	} else if offered.Capacity < old.grant.Capacity {
		h.giveUp(class, 0, now)
	}
	next.peak = next.level
	h.pieces[class] = next
}

// giveUp notes what goes back from the grant held now: tokens with the next
// call, units when their connections are closed.
func (h *Holder) giveUp(class Class, level float64, now time.Time) {
	old := h.pieces[class]
	if !old.held {
		return
	}
	if h.cfg.Kind == Units {
		faded := &h.fading[class]
		if !now.Before(faded.expires) || faded.grant.Capacity <= old.grant.Capacity {
			*faded = old
		}
		return
	}
	if level > 0 {
		back := old.grant
		back.Level = level
		h.returned = append(h.returned, back)
	}
}

// Leave returns everything: tokens at once, units as far as their connections
// are closed. The holder admits nothing more until an answer brings grants.
func (h *Holder) Leave(now time.Time) Call {
	h.refillAll(now)
	if h.cfg.Kind == Rate {
		for class := range h.pieces {
			h.giveUp(Class(class), h.pieces[class].level, now)
			h.pieces[class] = piece{}
		}
		call := h.report(now)
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
		p := &h.pieces[g.Class]
		p.grant.Capacity = min(p.grant.Capacity, g.Capacity)
		if g.Capacity > 0 {
			held = append(held, g)
		} else {
			h.pieces[g.Class] = piece{}
		}
	}
	call.Held = held
	return call
}
