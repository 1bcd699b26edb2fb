package share

import (
	"time"
)

// grantState is a grant as its holder uses it: a token bucket, or a number of
// units.
type grantState struct {
	grant    Grant
	held     bool
	level    float64
	refilled time.Time
	expires  time.Time
	// peak is the highest level since the last call was sent. It limits how many
	// tokens of the answer fit.
	peak float64
	// returning is the tokens that were given back while the grant is kept. Until
	// an answer shows that the owner has them, refill leaves their room empty.
	returning float64
}

// Holder uses the grants of one resource on one host. It is not safe for
// concurrent use.
type Holder struct {
	cfg     Config
	id      HolderID
	current [classCount]grantState
	// replaced holds, for units, the larger grants that current ones replaced.
	// Their connections may stay open until those grants expire.
	replaced [classCount]grantState
	// returned holds the tokens to give back with the next call.
	returned []Grant

	// inCall holds what the pending call returns of released grants, and spared, by
	// class, the tokens that it returns of the current ones.
	inCall []Grant
	spared [classCount]float64

	epoch    uint64
	sequence uint64
	// pending is the sequence number of the call that awaits an answer, or 0.
	pending uint64
	// failed is true if the last call got no answer.
	failed    bool
	sentAt    time.Time
	firstCall time.Time
	backoff   time.Duration

	demand  demandEstimate
	open    int
	waiting int
}

// NewHolder returns a holder without grants.
func NewHolder(cfg Config, id HolderID) *Holder {
	return &Holder{cfg: cfg, id: id}
}

// refill adds the tokens gained since the last refill, and drops the grant if it
// has expired.
func (h *Holder) refill(s *grantState, now time.Time) {
	if !s.held {
		return
	}
	if elapsed := now.Sub(s.refilled); elapsed > 0 {
		s.refilled = now
		s.level = min(s.grant.Capacity-s.returning, s.level+s.grant.Rate*h.cfg.refillFactor*elapsed.Seconds())
		s.peak = max(s.peak, s.level)
	}
	if !now.Before(s.expires) && !h.cfg.keepExpired {
		if h.cfg.returnExpired {
			h.release(s.grant.Class, s.level, now)
		}
		*s = grantState{}
		return
	}
}

func (h *Holder) refillAll(now time.Time) {
	for class := range h.current {
		h.refill(&h.current[class], now)
	}
}

// Admit takes one token and reports whether there was one.
func (h *Holder) Admit(now time.Time) bool {
	h.demand.count(now)
	return h.AdmitRetry(now)
}

// AdmitRetry is Admit for a request that was refused before; it does not count
// as another request in the demand estimate.
func (h *Holder) AdmitRetry(now time.Time) bool {
	h.refillAll(now)
	base, dynamic := &h.current[Base], &h.current[Dynamic]
	if base.level+dynamic.level < 1 {
		h.demand.unmet++
		return false
	}
	// The grant that is fuller in proportion is used first, because it is the first
	// to reach its capacity and to lose refill.
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
	return h.current[Base].level + h.current[Dynamic].level
}

// Units returns the number of units that may be kept in use. Close units above it
// as soon as they are idle.
func (h *Holder) Units(now time.Time) int {
	units := 0.0
	for class := range h.current {
		units += h.usableUnits(&h.current[class], now)
	}
	return int(units)
}

// MaxUnits returns the hard limit on units in use; close units above it at once.
// It exceeds Units while units that the owner reclaims are still valid.
func (h *Holder) MaxUnits(now time.Time) int {
	units := 0.0
	for class := range h.current {
		usable := h.usableUnits(&h.current[class], now)
		units += max(usable, h.usableUnits(&h.replaced[class], now))
	}
	return int(units)
}

func (h *Holder) usableUnits(s *grantState, now time.Time) float64 {
	if !s.held {
		return 0
	}
	if now.Before(s.expires.Add(-h.cfg.CloseTime)) || h.cfg.keepExpired {
		return s.grant.Capacity
	}
	return 0
}

// SetUse reports the units in use and the requests that wait for one.
func (h *Holder) SetUse(open, waiting int, now time.Time) {
	if open+waiting > 0 {
		h.demand.lastRequest = now
	}
	h.open, h.waiting = open, waiting
}

// Holds reports whether the holder has any valid grant, tokens to return or
// units in use.
func (h *Holder) Holds(now time.Time) bool {
	h.refillAll(now)
	return h.open > 0 || h.current[Base].held || h.current[Dynamic].held || len(h.returned) > 0
}

// Epoch returns the highest epoch that the holder has seen.
func (h *Holder) Epoch() uint64 { return h.epoch }
