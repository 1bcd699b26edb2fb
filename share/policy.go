package share

import (
	"math"
	"slices"
	"time"
)

const (
	// scanInterval bounds the work per call: sums over all holders are taken
	// at most this often.
	scanInterval = 50 * time.Millisecond
	// forgetAfter is how long a holder without grants is remembered, so that
	// calls that were delayed in between are recognized as old.
	forgetAfter = 15 * time.Minute
	// rateOfDemand is the part of the demand that is granted as rate. The rest
	// comes as tokens from the pool, so that errors of the estimate do not
	// leave rate unused on one host while another is short.
	rateOfDemand = 0.8
	// tokensAhead is the time for which a holder gets tokens ahead of need.
	tokensAhead = 250 * time.Millisecond
	// fewTokens is the need of a holder with little demand. With 2, a pair of
	// requests within one round trip was refused (0.2% at 8 requests/s).
	fewTokens = 4
	// oneToken is the capacity, base included, without which a holder could
	// never admit a request; it is a little more than 1 against rounding.
	// twoTokens leaves a token for a request that comes while the holder calls.
	// Holders get it first if floorPart of the burst suffices for all.
	oneToken  = 1.01
	twoTokens = 2.3
	floorPart = 0.75
	// sharedPart is the part of the burst that stays in the pool, as far as
	// every active holder has one token.
	sharedPart = 0.6
	// fillTime is the least time in which a dynamic grant fills the room that
	// the pool leaves it. A faster refill of a small grant is mostly lost; the
	// rate then stays in the pool and comes as tokens.
	fillTime = 300 * time.Millisecond
	// fillPart is how full tokens from the pool make a holder's grants; the
	// rest is room for their own refill.
	fillPart = 0.85
	// keepWithin is the relative change below which a dynamic grant is kept, so
	// that shares do not flap. Base grants change only with the host count.
	keepWithin     = 0.2
	keepBaseWithin = 0.01
	// roundingSlack absorbs rounding errors of the sums.
	roundingSlack = 1e-9
)

func whole(x float64) float64 { return math.Floor(x + roundingSlack) }

// scan ends expired forms and computes the water levels of the policy.
func (o *Owner) scan(now time.Time) {
	o.scanned = now
	o.sum(now)
	var needs [2][]float64
	var missing Limit
	for _, a := range o.order {
		if now.Sub(a.seen) > o.cfg.counted(Dynamic) {
			continue
		}
		target, base := o.baseTarget(a), a.counted(Base)
		missing.Rate += max(0, target.Rate-base.Rate)
		missing.Capacity += max(0, target.Capacity-base.Capacity)
		need := o.need(a)
		needs[0] = append(needs[0], need.Rate)
		needs[1] = append(needs[1], need.Capacity)
	}
	free := o.free()
	supply := Limit{
		Rate:     max(0, free.Rate+o.granted[Dynamic].Rate-missing.Rate),
		Capacity: max(0, free.Capacity+o.granted[Dynamic].Capacity-missing.Capacity),
	}
	if o.cfg.Kind == Rate {
		supply.Capacity *= 1 - sharedPart
	}
	each := floorPart * o.limit.Capacity / float64(max(1, len(needs[1])))
	o.floor = min(twoTokens, max(oneToken, each))
	o.fill = Limit{waterLevel(needs[0], supply.Rate), waterLevel(needs[1], supply.Capacity)}
}

// sum ends expired forms and counts all grants anew, so that rounding errors
// of single changes do not add up.
func (o *Owner) sum(now time.Time) {
	o.granted = [classCount]Limit{}
	o.order = slices.DeleteFunc(o.order, func(a *account) bool {
		a.expire(now)
		for class := range o.granted {
			c := a.counted(Class(class))
			o.granted[class].Rate += c.Rate
			o.granted[class].Capacity += c.Capacity
		}
		if now.Sub(a.seen) <= forgetAfter {
			return false
		}
		delete(o.holders, a.id)
		return true
	})
}

// need returns what a holder should have beyond its base grant.
func (o *Owner) need(a *account) Limit {
	base := a.counted(Base)
	if o.cfg.Kind == Units {
		return Limit{Capacity: max(0, math.Ceil(a.wanted)-base.Capacity)}
	}
	if a.wanted <= 0 {
		return Limit{}
	}
	return Limit{
		Rate:     max(0, a.wanted*rateOfDemand-base.Rate),
		Capacity: 2 * o.cfg.need(a.wanted),
	}
}

// need returns the tokens that a holder with a demand should have at hand.
func (c *Config) need(wanted float64) float64 {
	if wanted <= 0 {
		return 1
	}
	return max(fewTokens, wanted*tokensAhead.Seconds())
}

// waterLevel returns the largest level for which the sum of min(need, level)
// does not exceed the supply; infinite if all needs are met.
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

// offer computes the new grants of a holder and counts them.
func (o *Owner) offer(a *account, held []Grant, now time.Time) []Grant {
	var grants []Grant
	for _, class := range []Class{Dynamic, Base} {
		target := o.baseTarget(a)
		if class == Dynamic {
			target = o.dynamicTarget(a)
		}
		current, has := o.confirmed(a, class)
		if has && o.mustLapse(a.forms[class][0]) {
			continue
		}
		if has || target.Rate > 0 || target.Capacity > 0 {
			grants = append(grants, o.grant(a, class, current, target, now))
		}
	}
	if o.cfg.Kind == Rate {
		o.topUp(a, grants, held)
	}
	return grants
}

// mustLapse reports whether an adopted grant may not be extended yet, because
// this owner does not know all grants of its class.
func (o *Owner) mustLapse(f form) bool {
	return f.adopted && o.above(f.grant) && o.reserves[f.grant.Class].active
}

// confirmed returns the only form that a settled account has in a class.
func (o *Owner) confirmed(a *account, class Class) (Grant, bool) {
	if len(a.forms[class]) == 0 {
		return Grant{}, false
	}
	return a.forms[class][0].grant, true
}

// grant offers the target as far as the pool allows. A grant that changes
// little is renewed as it is.
func (o *Owner) grant(a *account, class Class, current Grant, target Limit, now time.Time) Grant {
	free := o.pool()
	next := current
	next.Class = class
	next.Rate = min(target.Rate, current.Rate+free.Rate)
	next.Capacity = min(target.Capacity, current.Capacity+free.Capacity)
	if o.cfg.Kind == Units {
		next.Capacity = whole(next.Capacity)
	}
	if current.Epoch != o.epoch || current.Limit != o.limit || o.differs(current, next) {
		o.nextID++
		next.ID, next.Epoch, next.Limit = o.nextID, o.epoch, o.limit
	} else {
		next = current
	}
	next.Level = 0
	next.Validity = o.cfg.validity(class)
	o.change(a, func() {
		a.forms[class] = append(a.forms[class], form{grant: next, expires: now.Add(o.cfg.counted(class))})
	})
	return next
}

// differs reports whether a change is worth a new grant.
func (o *Owner) differs(a, b Grant) bool {
	if o.cfg.Kind == Units {
		return a.Capacity != b.Capacity
	}
	within := keepWithin
	if a.Class == Base {
		within = keepBaseWithin
	}
	return math.Abs(a.Rate-b.Rate) > within*a.Rate ||
		math.Abs(a.Capacity-b.Capacity) > within*a.Capacity
}

// fillLevel returns the level to which the pool fills a holder's grants.
func (c *Config) fillLevel(wanted, capacity float64) float64 {
	return min(c.need(wanted), max(1, fillPart*capacity))
}

// refillRoom returns the room that the pool leaves to a grant's own refill. A
// grant too small for the need is kept full from the pool and leaves none.
func (o *Owner) refillRoom(a *account, dynamic float64) float64 {
	fill := o.cfg.fillLevel(a.wanted, a.counted(Base).Capacity+dynamic)
	if fill < o.cfg.need(a.wanted) {
		return 0
	}
	return max(0, dynamic-fill)
}

// topUp moves tokens from the pool to the grants, as far as the holder needs.
func (o *Owner) topUp(a *account, grants, held []Grant) {
	var levels [classCount]float64
	capacity := a.counted(Base).Capacity + a.counted(Dynamic).Capacity
	need := o.cfg.fillLevel(a.wanted, capacity)
	for _, g := range held {
		if len(a.forms[g.Class]) > 1 {
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

// baseTarget returns a host's part of the base part.
func (o *Owner) baseTarget(a *account) Limit {
	part := o.basePart()
	own := a.counted(Base)
	target := Limit{part.Rate / float64(o.hosts), part.Capacity / float64(o.hosts)}
	if o.cfg.Kind == Rate && target.Capacity < 1 {
		// Less than one token never admits a request on a host that is cut off.
		return Limit{}
	}
	if o.cfg.Kind == Units {
		target.Capacity = max(1, whole(target.Capacity))
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

// dynamicTarget returns a host's part of the rest.
func (o *Owner) dynamicTarget(a *account) Limit {
	need := o.need(a)
	target := Limit{min(need.Rate, o.fill.Rate), min(need.Capacity, o.fill.Capacity)}
	if o.cfg.Kind == Rate && need.Capacity > 0 {
		target.Capacity = max(target.Capacity, o.floor-a.counted(Base).Capacity)
		target.Rate = min(target.Rate, o.refillRoom(a, target.Capacity)/fillTime.Seconds())
	}
	if o.cfg.Kind == Units && !math.IsInf(o.fill.Capacity, 1) {
		// A fraction goes to whoever asks first, as far as the pool has it.
		target.Capacity = min(need.Capacity, math.Ceil(o.fill.Capacity))
	}
	return target
}
