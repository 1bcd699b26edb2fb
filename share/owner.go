package share

import (
	"fmt"
	"time"
)

// outstandingGrant is a grant that a holder may be using and that the owner counts.
type outstandingGrant struct {
	grant   Grant
	expires time.Time
	// adopted marks a grant of an earlier epoch. While other such grants may be
	// unknown, it is extended only if it was issued under a limit that is not
	// above the present one. Otherwise a sequence of owners, each called by
	// different holders, would keep a lowered limit exceeded.
	adopted bool
}

// holderState is what the owner knows about one holder.
type holderState struct {
	id       HolderID
	sequence uint64
	// outstanding holds, per class, the grant confirmed by the last call and the one
	// offered in the last answer. The owner counts the larger of the two.
	outstanding [classCount][]outstandingGrant
	wanted      float64
	lastCall    time.Time
}

// counted returns the rate and capacity that the owner counts for a class: the
// largest of its outstanding grants.
func (h *holderState) counted(class Class) Limit {
	var most Limit
	for _, out := range h.outstanding[class] {
		most.Rate = max(most.Rate, out.grant.Rate)
		most.Capacity = max(most.Capacity, out.grant.Capacity)
	}
	return most
}

// reserve is the part of the limit that is held back for grants of earlier epochs
// until they have expired.
type reserve struct {
	active  bool
	adopted Limit
	until   time.Time
}

// Owner divides one limit between holders. It is not safe for concurrent use.
type Owner struct {
	cfg   Config
	epoch uint64
	limit Limit
	hosts int

	holders map[HolderID]*holderState
	// order lists the holders in the order of their first calls, so that sums
	// over them are rounded in the same way each time.
	order []*holderState
	// granted is the sum, by class, of what is counted for all holders.
	granted    [classCount]Limit
	reserves   [classCount]reserve
	level      float64
	refilledAt time.Time
	scannedAt  time.Time
	nextID     uint64

	// waterLevels is what a holder gets at most beyond its base grant, and
	// minCapacity the capacity that an active holder gets at least, both as of
	// the last scan.
	waterLevels Limit
	minCapacity float64
}

// firstEpoch has no predecessors, because the epochs of a resource start at 1
// and are kept permanently.
const firstEpoch = 1

// NewOwner returns the owner for an epoch that begins at now. Until the grants of
// earlier epochs have expired, it grants no more than holders report to have. In
// the first epoch there are none, and the pool starts full.
func NewOwner(cfg Config, epoch uint64, limit Limit, hosts int, now time.Time) *Owner {
	o := &Owner{
		cfg:        cfg,
		epoch:      epoch,
		limit:      limit,
		hosts:      max(1, hosts),
		holders:    map[HolderID]*holderState{},
		refilledAt: now,
	}
	if epoch <= firstEpoch {
		o.level = limit.Capacity
	}
	if epoch <= firstEpoch || cfg.skipWait {
		return o
	}
	for class := range o.reserves {
		until := now.Add(cfg.countedValidity(Class(class)))
		o.reserves[class] = reserve{active: true, until: until}
	}
	return o
}

// Epoch returns the epoch of the owner.
func (o *Owner) Epoch() uint64 { return o.epoch }

// SetLimit changes the limit. Grants under the old limit count until they are
// returned or expire.
func (o *Owner) SetLimit(limit Limit, now time.Time) {
	if limit == o.limit {
		return
	}
	o.advance(now)
	o.limit = limit
	o.level = min(o.level, o.pool().Capacity)
	o.scannedAt = time.Time{}
}

// SetHosts changes the number of live hosts that share the base part.
func (o *Owner) SetHosts(hosts int) { o.hosts = max(1, hosts) }

// baseLimit returns the part of the limit for base grants, rounded down to whole
// units if the limit counts units.
func (o *Owner) baseLimit() Limit {
	part := Limit{o.limit.Rate * o.cfg.BaseFraction, o.limit.Capacity * o.cfg.BaseFraction}
	if o.cfg.Kind == Units {
		part.Capacity = floorUnits(part.Capacity)
	}
	return part
}

// reserved returns what grants of earlier epochs may use beyond the adopted ones.
// It is computed from the present limit, so that raising the limit while such
// grants are outstanding does not grant it twice.
func (o *Owner) reserved(class Class) Limit {
	r := &o.reserves[class]
	if !r.active {
		return Limit{}
	}
	part := o.baseLimit()
	if class == Dynamic {
		part = Limit{o.limit.Rate - part.Rate, o.limit.Capacity - part.Capacity}
	}
	return Limit{max(0, part.Rate-r.adopted.Rate), max(0, part.Capacity-r.adopted.Capacity)}
}

// pool returns the rate and capacity that are not granted and not reserved.
func (o *Owner) pool() Limit {
	free := o.free()
	return Limit{max(0, free.Rate), max(0, free.Capacity)}
}

// free is pool without the lower bound of 0: it is negative while grants of a
// higher limit are outstanding.
func (o *Owner) free() Limit {
	free := o.limit
	for class := range o.granted {
		reserved := o.reserved(Class(class))
		free.Rate -= o.granted[class].Rate + reserved.Rate
		free.Capacity -= o.granted[class].Capacity + reserved.Capacity
	}
	return free
}

// advance refills the pool, releases expired reserves and scans when one is due.
func (o *Owner) advance(now time.Time) {
	for _, class := range []Class{Dynamic, Base} {
		r := &o.reserves[class]
		if r.active && !now.Before(r.until) {
			o.refill(r.until)
			r.active = false
		}
	}
	o.refill(now)
	if now.Sub(o.scannedAt) >= scanInterval {
		o.scan(now)
	}
}

// refill adds the tokens that the pool gained since the last refill. Grants that
// expired in between still count against the pool, so that no period is refilled
// both by a holder and by the pool.
func (o *Owner) refill(now time.Time) {
	elapsed := now.Sub(o.refilledAt)
	if elapsed <= 0 {
		return
	}
	free := o.pool()
	o.level = min(free.Capacity, o.level+free.Rate*o.cfg.refillFactor*elapsed.Seconds())
	o.refilledAt = now
}

// updateGrants applies a change to the outstanding grants of a holder and updates the
// sums in granted.
func (o *Owner) updateGrants(h *holderState, apply func()) {
	for class := range o.granted {
		c := h.counted(Class(class))
		o.granted[class].Rate -= c.Rate
		o.granted[class].Capacity -= c.Capacity
	}
	apply()
	for class := range o.granted {
		c := h.counted(Class(class))
		o.granted[class].Rate += c.Rate
		o.granted[class].Capacity += c.Capacity
	}
}

// expire drops the outstanding grants of a holder that have expired.
func (h *holderState) expire(now time.Time) {
	for class := range h.outstanding {
		kept := h.outstanding[class][:0]
		for _, out := range h.outstanding[class] {
			if now.Before(out.expires) {
				kept = append(kept, out)
			}
		}
		h.outstanding[class] = kept
	}
}

// Handle reconciles the outstanding grants of a holder with its call and answers
// with its new grants.
func (o *Owner) Handle(call Call, now time.Time) (Answer, error) {
	if err := call.validate(); err != nil {
		return Answer{}, fmt.Errorf("call of %s: %w", call.Holder.Host, err)
	}
	if call.Epoch > o.epoch {
		return Answer{}, fmt.Errorf("call of %s in epoch %d: %w", call.Holder.Host, call.Epoch, ErrOldEpoch)
	}
	o.advance(now)
	h, known := o.holders[call.Holder]
	if !known {
		h = &holderState{id: call.Holder}
		o.holders[call.Holder] = h
		o.order = append(o.order, h)
	}
	if call.Sequence <= h.sequence {
		return Answer{}, fmt.Errorf("call %d of %s: %w", call.Sequence, call.Holder.Host, ErrOldCall)
	}
	h.sequence = call.Sequence
	h.wanted, h.lastCall = call.Wanted, now
	o.updateGrants(h, func() {
		h.expire(now)
		o.creditReturned(h, call.Returned)
		o.reconcile(h, call.Held, !known, now)
	})
	o.level = min(o.level, o.pool().Capacity)
	answer := Answer{Epoch: o.epoch, Sequence: call.Sequence}
	if !call.Leaving {
		answer.Grants = o.offer(h, call.Held, now)
	}
	return answer, nil
}

// creditReturned adds the tokens of returned grants to the pool if the grants are
// still counted; the tokens of expired grants are lost.
func (o *Owner) creditReturned(h *holderState, returned []Grant) {
	for _, g := range returned {
		if o.cfg.returnExpired {
			o.level += g.Level
			continue
		}
		for _, out := range h.outstanding[g.Class] {
			if out.grant.ID == g.ID && out.grant.Epoch == g.Epoch {
				o.level += min(g.Level, out.grant.Capacity)
				// A renewed grant is outstanding twice under the same ID.
				break
			}
		}
	}
}

// reconcile replaces the outstanding grants of a holder by what it reports to use.
func (o *Owner) reconcile(h *holderState, held []Grant, first bool, now time.Time) {
	old := h.outstanding
	h.outstanding = [classCount][]outstandingGrant{}
	for _, g := range held {
		if kept, ok := o.confirm(old[g.Class], g); ok {
			h.outstanding[g.Class] = []outstandingGrant{kept}
		} else if first && g.Epoch < o.epoch {
			o.adopt(h, g, now)
		}
	}
}

// confirm finds the outstanding grant that a holder reports to use. Units stay in
// use until their connections are closed, so they are counted up to the largest
// outstanding grant, whichever grant the holder names.
func (o *Owner) confirm(outstanding []outstandingGrant, held Grant) (outstandingGrant, bool) {
	var kept outstandingGrant
	var found bool
	var most float64
	var last time.Time
	for _, out := range outstanding {
		same := out.grant.ID == held.ID && out.grant.Epoch == held.Epoch
		if same || o.cfg.Kind == Units {
			kept, found = out, true
		}
		most = max(most, out.grant.Capacity)
		if out.expires.After(last) {
			last = out.expires
		}
	}
	if found && o.cfg.Kind == Units {
		kept.grant.Capacity = min(held.Capacity, most)
		kept.expires = last
	}
	return kept, found
}

// adopt counts a grant of an earlier epoch if it fits into the reserve for such
// grants. One that does not fit is not renewed. A grant that was issued under a
// higher limit is counted in addition to the reserve, because the reserve covers
// only grants that the present limit allows.
func (o *Owner) adopt(h *holderState, g Grant, now time.Time) {
	left := o.reserved(g.Class)
	r := &o.reserves[g.Class]
	switch {
	case r.active && o.issuedAboveLimit(g):
	case g.Rate > left.Rate+roundingSlack || g.Capacity > left.Capacity+roundingSlack:
		return
	default:
		r.adopted.Rate += g.Rate
		r.adopted.Capacity += g.Capacity
	}
	h.outstanding[g.Class] = []outstandingGrant{{grant: g, expires: now.Add(o.cfg.countedValidity(g.Class)), adopted: true}}
}

// issuedAboveLimit reports whether a grant was issued under a higher limit than the
// present one.
func (o *Owner) issuedAboveLimit(g Grant) bool {
	return g.Limit.Rate > o.limit.Rate || g.Limit.Capacity > o.limit.Capacity
}
