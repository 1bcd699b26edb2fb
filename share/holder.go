package share

import (
	"time"
)

// piece is the part of the ideal bucket that a grant stands for.
type piece struct {
	grant    Grant
	held     bool
	level    float64
	refilled time.Time
	expires  time.Time
	// peak is the highest level since the last call was sent.
	peak float64
	// lent is the tokens returned from a grant that is kept. The piece is not
	// refilled into their room until an answer shows that the owner has them.
	lent float64
}

// Holder uses the grants of one resource on one host. It is not safe for
// concurrent use.
type Holder struct {
	cfg    Config
	id     HolderID
	pieces [classCount]piece
	// fading is the units of larger grants that were replaced; their
	// connections may stay open until then.
	fading   [classCount]piece
	returned []Grant

	epoch    uint64
	sequence uint64
	pending  uint64
	// failed says that the last call got no answer.
	failed bool
	sentAt time.Time
	// firstCall is the time of the first call.
	firstCall time.Time
	backoff   time.Duration

	demand  demand
	open    int
	waiting int
}

// NewHolder returns a holder without grants.
func NewHolder(cfg Config, id HolderID) *Holder {
	return &Holder{cfg: cfg, id: id}
}

// refill brings a piece up to date, and ends it if its validity has passed.
func (h *Holder) refill(p *piece, now time.Time) {
	if !p.held {
		return
	}
	if elapsed := now.Sub(p.refilled); elapsed > 0 {
		p.refilled = now
		p.level = min(p.grant.Capacity-p.lent, p.level+p.grant.Rate*h.cfg.refillFactor*elapsed.Seconds())
		p.peak = max(p.peak, p.level)
	}
	if !now.Before(p.expires) && !h.cfg.keepExpired {
		if h.cfg.returnExpired {
			h.giveUp(p.grant.Class, p.level, now)
		}
		*p = piece{}
		return
	}
}

func (h *Holder) refillAll(now time.Time) {
	for class := range h.pieces {
		h.refill(&h.pieces[class], now)
	}
}

// Admit takes one token and reports whether there was one.
func (h *Holder) Admit(now time.Time) bool {
	h.demand.count(now)
	return h.AdmitRetry(now)
}

// AdmitRetry is Admit for a request that was refused before; it does not count
// as a new arrival.
func (h *Holder) AdmitRetry(now time.Time) bool {
	h.refillAll(now)
	base, dynamic := &h.pieces[Base], &h.pieces[Dynamic]
	if base.level+dynamic.level < 1 {
		h.demand.unmet++
		return false
	}
	// The fuller piece is used first, because its refill is lost earlier.
	first, second := base, dynamic
	if dynamic.level*base.grant.Capacity > base.level*dynamic.grant.Capacity {
		first, second = dynamic, base
	}
	taken := min(1, first.level)
	first.level -= taken
	second.level = max(0, second.level-(1-taken))
	return true
}

// Tokens returns the tokens that can be used now.
func (h *Holder) Tokens(now time.Time) float64 {
	h.refillAll(now)
	return h.pieces[Base].level + h.pieces[Dynamic].level
}

// Units returns the number of units to keep in use. Units above it are to be
// closed as soon as they are idle.
func (h *Holder) Units(now time.Time) int {
	units := 0.0
	for class := range h.pieces {
		units += h.usable(&h.pieces[class], now)
	}
	return int(units)
}

// MaxUnits returns the number of units that may be in use at all; those
// above it are to be closed at once. It exceeds Units while units that the
// owner wants back are still valid.
func (h *Holder) MaxUnits(now time.Time) int {
	units := 0.0
	for class := range h.pieces {
		current := h.usable(&h.pieces[class], now)
		units += max(current, h.usable(&h.fading[class], now))
	}
	return int(units)
}

func (h *Holder) usable(p *piece, now time.Time) float64 {
	if !p.held {
		return 0
	}
	if now.Before(p.expires.Add(-h.cfg.CloseTime)) || h.cfg.keepExpired {
		return p.grant.Capacity
	}
	return 0
}

// SetUse reports the units in use and the requests that wait for one.
func (h *Holder) SetUse(open, waiting int, now time.Time) {
	if open+waiting > 0 {
		h.demand.last = now
	}
	h.open, h.waiting = open, waiting
}

// Holds reports whether the holder has any valid grant, tokens to return or
// units in use.
func (h *Holder) Holds(now time.Time) bool {
	h.refillAll(now)
	return h.open > 0 || h.pieces[Base].held || h.pieces[Dynamic].held || len(h.returned) > 0
}

// Epoch returns the highest epoch that the holder has seen.
func (h *Holder) Epoch() uint64 { return h.epoch }
