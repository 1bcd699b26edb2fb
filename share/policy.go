package share

import (
	"math"
	"slices"
	"time"
)

const (
	// scanInterval is the least time between scans, which sum over all holders. It
	// bounds the work per call.
	scanInterval = 50 * time.Millisecond
	// forgetAfter is how long a holder is remembered after its last call, so that
	// delayed calls are recognized as old.
	forgetAfter = 15 * time.Minute
	// demandRateFraction is the fraction of the demand that is granted as a rate. The
	// rest comes as tokens from the pool, so that an estimate that is too high
	// does not leave rate unused on one host while another runs short.
	demandRateFraction = 0.8
	// tokenLookahead is the period of demand for which a holder gets tokens in advance.
	tokenLookahead = 250 * time.Millisecond
	// minNeedTokens is the need of a holder with little demand. With 2 tokens, pairs of
	// requests within one round trip are refused (0.2% at 8 requests/s).
	minNeedTokens = 4
	// minHolderCapacity is the capacity, base grant included, below which a holder
	// could never admit a request; it exceeds 1 to allow for rounding.
	// preferredHolderCapacity leaves a token for a request that arrives during a
	// call. Every active holder gets it if minCapacityFraction of the burst
	// suffices for all of them.
	minHolderCapacity       = 1.01
	preferredHolderCapacity = 2.3
	minCapacityFraction     = 0.75
	// pooledBurstFraction is the fraction of the burst that stays in the pool once
	// every active holder has the capacity for one token.
	pooledBurstFraction = 0.6
	// minFillTime is the least time in which the rate of a dynamic grant may fill
	// the room that the pool leaves it. A small grant that refills faster is mostly
	// full and loses refill; the rate does more in the pool, which hands it out as
	// tokens.
	minFillTime = 300 * time.Millisecond
	// fillFraction is the fraction of a holder's capacity up to which the pool adds
	// tokens; the rest is room for the refill of the grants themselves.
	fillFraction = 0.85
	// dynamicTolerance is the relative change up to which a dynamic grant is renewed
	// unchanged, so that grants do not flap. baseTolerance is smaller, because base
	// grants change only with the number of hosts.
	dynamicTolerance = 0.2
	baseTolerance    = 0.01
	// roundingSlack is the tolerance for rounding errors in sums.
	roundingSlack = 1e-9
)

func floorUnits(x float64) float64 { return math.Floor(x + roundingSlack) }

// scan drops expired grants and computes the max-min fair water levels.
func (o *Owner) scan(now time.Time) {
	o.scannedAt = now
	o.recount(now)
	var needs [2][]float64
	var missing Limit
	for _, h := range o.order {
		if now.Sub(h.lastCall) > o.cfg.countedValidity(Dynamic) {
			continue
		}
		target, base := o.baseTarget(h), h.counted(Base)
		missing.Rate += max(0, target.Rate-base.Rate)
		missing.Capacity += max(0, target.Capacity-base.Capacity)
		need := o.need(h)
		needs[0] = append(needs[0], need.Rate)
		needs[1] = append(needs[1], need.Capacity)
	}
	free := o.free()
	supply := Limit{
		Rate:     max(0, free.Rate+o.granted[Dynamic].Rate-missing.Rate),
		Capacity: max(0, free.Capacity+o.granted[Dynamic].Capacity-missing.Capacity),
	}
	if o.cfg.Kind == Rate {
		supply.Capacity *= 1 - pooledBurstFraction
	}
	each := minCapacityFraction * o.limit.Capacity / float64(max(1, len(needs[1])))
	o.minCapacity = min(preferredHolderCapacity, max(minHolderCapacity, each))
	o.waterLevels = Limit{waterLevel(needs[0], supply.Rate), waterLevel(needs[1], supply.Capacity)}
}

// recount drops expired grants and recomputes the sums of all grants, so that
// rounding errors of single changes do not add up.
func (o *Owner) recount(now time.Time) {
	o.granted = [classCount]Limit{}
	o.order = slices.DeleteFunc(o.order, func(h *holderState) bool {
		h.expire(now)
		for class := range o.granted {
			c := h.counted(Class(class))
			o.granted[class].Rate += c.Rate
			o.granted[class].Capacity += c.Capacity
		}
		if now.Sub(h.lastCall) <= forgetAfter {
			return false
		}
		delete(o.holders, h.id)
		return true
	})
}

// need returns what a holder should have beyond its base grant.
func (o *Owner) need(h *holderState) Limit {
	base := h.counted(Base)
	if o.cfg.Kind == Units {
		return Limit{Capacity: max(0, math.Ceil(h.wanted)-base.Capacity)}
	}
	if h.wanted <= 0 {
		return Limit{}
	}
	return Limit{
		Rate:     max(0, h.wanted*demandRateFraction-base.Rate),
		Capacity: 2 * o.cfg.need(h.wanted),
	}
}

// need returns the tokens that a holder with the given demand should have.
func (c *Config) need(wanted float64) float64 {
	if wanted <= 0 {
		return 1
	}
	return max(minNeedTokens, wanted*tokenLookahead.Seconds())
}

// waterLevel returns the largest level for which the sum of min(need, level) does
// not exceed the supply, or infinity if the supply meets all needs.
func waterLevel(needs []float64, supply float64) float64 {
	slices.Sort(needs)
	for i, need := range needs {
		equal := supply / float64(len(needs)-i)
		if need > equal {
			return equal
		}
		supply -= need
	}
	return math.Inf(1)
}

// offer computes the new grants of a holder and adds them to its outstanding ones.
func (o *Owner) offer(h *holderState, held []Grant, now time.Time) []Grant {
	var grants []Grant
	for _, class := range []Class{Dynamic, Base} {
		target := o.baseTarget(h)
		if class == Dynamic {
			target = o.dynamicTarget(h)
		}
		current, exists := o.confirmed(h, class)
		if exists && o.mustExpire(h.outstanding[class][0]) {
			continue
		}
		if exists || target.Rate > 0 || target.Capacity > 0 {
			grants = append(grants, o.grant(h, class, current, target, now))
		}
	}
	if o.cfg.Kind == Rate {
		o.topUp(h, grants, held)
	}
	return grants
}

// mustExpire reports whether an adopted grant may not be extended yet, because
// this owner does not know all grants of its class.
func (o *Owner) mustExpire(out outstandingGrant) bool {
	return out.adopted && o.issuedAboveLimit(out.grant) && o.reserves[out.grant.Class].active
}

// confirmed returns the one outstanding grant that a class has after reconcile.
func (o *Owner) confirmed(h *holderState, class Class) (Grant, bool) {
	if len(h.outstanding[class]) == 0 {
		return Grant{}, false
	}
	return h.outstanding[class][0].grant, true
}

// grant returns a grant of the target as far as the pool allows. A grant that would
// change little is renewed unchanged.
func (o *Owner) grant(h *holderState, class Class, current Grant, target Limit, now time.Time) Grant {
	free := o.pool()
	next := current
	next.Class = class
	next.Rate = min(target.Rate, current.Rate+free.Rate)
	next.Capacity = min(target.Capacity, current.Capacity+free.Capacity)
	if o.cfg.Kind == Units {
		next.Capacity = floorUnits(next.Capacity)
	}
	if current.Epoch != o.epoch || current.Limit != o.limit || o.changedEnough(current, next) {
		o.nextID++
		next.ID, next.Epoch, next.Limit = o.nextID, o.epoch, o.limit
	} else {
		next = current
	}
	next.Level = 0
	next.Validity = o.cfg.validity(class)
	o.updateGrants(h, func() {
		h.outstanding[class] = append(h.outstanding[class], outstandingGrant{grant: next, expires: now.Add(o.cfg.countedValidity(class))})
	})
	return next
}

// changedEnough reports whether b differs enough from a for a new grant.
func (o *Owner) changedEnough(a, b Grant) bool {
	if o.cfg.Kind == Units {
		return a.Capacity != b.Capacity
	}
	within := dynamicTolerance
	if a.Class == Base {
		within = baseTolerance
	}
	return math.Abs(a.Rate-b.Rate) > within*a.Rate ||
		math.Abs(a.Capacity-b.Capacity) > within*a.Capacity
}

// fillLevel returns the level to which the pool fills a holder's grants.
func (c *Config) fillLevel(wanted, capacity float64) float64 {
	return min(c.need(wanted), max(1, fillFraction*capacity))
}

// refillHeadroom returns the capacity that is left for the refill of a dynamic grant
// itself: what the pool does not fill. It is 0 for a grant that is too small for
// the need, because such a grant is kept full from the pool.
func (o *Owner) refillHeadroom(h *holderState, dynamic float64) float64 {
	fill := o.cfg.fillLevel(h.wanted, h.counted(Base).Capacity+dynamic)
	if fill < o.cfg.need(h.wanted) {
		return 0
	}
	return max(0, dynamic-fill)
}

// topUp moves tokens from the pool to the grants, up to the need of the holder.
func (o *Owner) topUp(h *holderState, grants, held []Grant) {
	var levels [classCount]float64
	capacity := h.counted(Base).Capacity + h.counted(Dynamic).Capacity
	need := o.cfg.fillLevel(h.wanted, capacity)
	for _, g := range held {
		if len(h.outstanding[g.Class]) > 1 {
			levels[g.Class] = g.Level
			need -= g.Level
		}
	}
	for i := range grants {
		g := &grants[i]
		moved := max(0, min(need, g.Capacity-levels[g.Class], o.level))
		g.Level = moved
		need -= moved
		o.level -= moved
	}
	o.level = min(o.level, o.pool().Capacity)
}

// baseTarget returns the equal share of a host in the base limit, as far as it is
// not granted or reserved.
func (o *Owner) baseTarget(h *holderState) Limit {
	part := o.baseLimit()
	own := h.counted(Base)
	target := Limit{part.Rate / float64(o.hosts), part.Capacity / float64(o.hosts)}
	if o.cfg.Kind == Rate && target.Capacity < 1 {
		// With a capacity below one token, an isolated host would admit nothing.
		return Limit{}
	}
	if o.cfg.Kind == Units {
		target.Capacity = max(1, floorUnits(target.Capacity))
	}
	reserved := o.reserved(Base)
	left := Limit{
		part.Rate - o.granted[Base].Rate - reserved.Rate + own.Rate,
		part.Capacity - o.granted[Base].Capacity - reserved.Capacity + own.Capacity,
	}
	return Limit{
		min(target.Rate, max(0, left.Rate)),
		min(target.Capacity, max(0, left.Capacity)),
	}
}

// dynamicTarget returns what a holder should get beyond its base grant, limited by
// the water levels.
func (o *Owner) dynamicTarget(h *holderState) Limit {
	need := o.need(h)
	target := Limit{min(need.Rate, o.waterLevels.Rate), min(need.Capacity, o.waterLevels.Capacity)}
	if o.cfg.Kind == Rate && need.Capacity > 0 {
		target.Capacity = max(target.Capacity, o.minCapacity-h.counted(Base).Capacity)
		target.Rate = min(target.Rate, o.refillHeadroom(h, target.Capacity)/minFillTime.Seconds())
	}
	if o.cfg.Kind == Units && !math.IsInf(o.waterLevels.Capacity, 1) {
		// Rounding up lets the first holders that call have the fractions, as far as
		// the pool suffices.
		target.Capacity = min(need.Capacity, math.Ceil(o.waterLevels.Capacity))
	}
	return target
}
