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
	// minCallInterval and maxBackoff bound how often a holder calls when its
	// level is low; it backs off while answers bring no tokens.
	minCallInterval = 5 * time.Millisecond
	maxBackoff      = 200 * time.Millisecond
)

// Due reports whether the holder should call the owner now: at half of the
// validity, or ahead of need when its level has dropped below a third.
func (h *Holder) Due(now time.Time) bool {
	if h.pending != 0 {
		return now.Sub(h.sentAt) >= callTimeout
	}
	since := now.Sub(h.sentAt)
	if h.sentAt.IsZero() || since >= h.cfg.BaseRenewal {
		return true
	}
	if h.demand.idle(now, idleAfter) {
		return false
	}
	if since >= h.cfg.DynamicValidity/2 {
		return true
	}
	return since >= max(minCallInterval, h.backoff) && h.low(now)
}

// low reports whether the holder is likely to run short before its renewal.
func (h *Holder) low(now time.Time) bool {
	if h.cfg.Kind == Units {
		return h.waiting > 0 && h.open+h.waiting > h.Units(now)
	}
	h.refillAll(now)
	level := h.pieces[Base].level + h.pieces[Dynamic].level
	capacity := h.pieces[Base].grant.Capacity + h.pieces[Dynamic].grant.Capacity
	return level < max(1, capacity/3)
}

// Call starts a call. The answer to an earlier call is ignored from now on.
func (h *Holder) Call(now time.Time) Call {
	h.refillAll(now)
	h.sequence++
	h.pending = h.sequence
	h.sentAt = now
	call := Call{
		Holder:   h.id,
		Epoch:    h.epoch,
		Sequence: h.sequence,
		Returned: h.returned,
	}
	h.returned = nil
	call.Wanted, call.Unmet = h.wanted(now)
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
	h.answeredAt = now
	before := h.pieces[Base].level + h.pieces[Dynamic].level
	var offered [classCount]*Grant
	for i := range answer.Grants {
		offered[answer.Grants[i].Class] = &answer.Grants[i]
	}
	for class := range h.pieces {
		h.replace(Class(class), offered[class], now)
	}
	h.adjustBackoff(h.pieces[Base].level + h.pieces[Dynamic].level - before)
	return true, nil
}

func (h *Holder) adjustBackoff(gained float64) {
	if gained >= 1 || h.cfg.Kind == Units && h.waiting == 0 {
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
		call := h.Call(now)
		call.Wanted, call.Leaving = 0, true
		return call
	}
	call := h.Call(now)
	call.Wanted, call.Leaving = 0, true
	over := float64(h.open)
	for i := range call.Held {
		call.Held[i].Capacity = min(call.Held[i].Capacity, over)
		over -= call.Held[i].Capacity
		p := &h.pieces[call.Held[i].Class]
		p.grant.Capacity = call.Held[i].Capacity
	}
	return call
}
