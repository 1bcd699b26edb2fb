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
	// minTokens is the smallest useful capacity of an active holder: one for
	// the next request and one while the answer to a call is under way.
	minTokens = 2
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
	var needs [2][]float64
	var missing Limit
	o.granted = [classCount]Limit{}
	for id, a := range o.holders {
		a.expire(now)
		for class := range o.granted {
			c := a.counted(Class(class))
			o.granted[class].Rate += c.Rate
			o.granted[class].Capacity += c.Capacity
		}
		if now.Sub(a.seen) > forgetAfter {
			delete(o.holders, id)
			continue
		}
		if now.Sub(a.seen) > o.cfg.counted(Dynamic) {
			continue
		}
		part, base := o.basePart(), a.counted(Base)
		missing.Rate += max(0, part.Rate/float64(o.hosts)-base.Rate)
		missing.Capacity += max(0, part.Capacity/float64(o.hosts)-base.Capacity)
		need := o.need(a)
		needs[0] = append(needs[0], need.Rate)
		needs[1] = append(needs[1], need.Capacity)
	}
	free := o.pool()
	o.fill = Limit{
		Rate:     waterLevel(needs[0], max(0, free.Rate+o.granted[Dynamic].Rate-missing.Rate)),
		Capacity: waterLevel(needs[1], max(0, free.Capacity+o.granted[Dynamic].Capacity-missing.Capacity)),
	}
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
		Capacity: max(0, max(minTokens, a.wanted*tokensAhead.Seconds())-base.Capacity),
	}
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
	for _, class := range []Class{Base, Dynamic} {
		target := o.baseTarget(a)
		if class == Dynamic {
			target = o.dynamicTarget(a)
		}
		current, has := o.confirmed(a, class)
		if !has && target.Rate == 0 && target.Capacity == 0 {
			continue
		}
		grant := o.grant(a, class, current, target, now)
		if o.cfg.Kind == Rate {
			grant.Level = o.topUp(a, class, grant, held)
		}
		grants = append(grants, grant)
	}
	return grants
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
	if current.Epoch != o.epoch || o.differs(current, next) {
		o.nextID++
		next.ID, next.Epoch = o.nextID, o.epoch
	} else {
		next = current
	}
	next.Level = 0
	next.Validity = o.cfg.validity(class)
	o.change(a, func() {
		a.forms[class] = append(a.forms[class], form{next, now.Add(o.cfg.counted(class))})
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

// topUp moves tokens from the pool to a grant until the grant is full.
func (o *Owner) topUp(a *account, class Class, grant Grant, held []Grant) float64 {
	level := 0.0
	for _, g := range held {
		if g.Class == class && len(a.forms[class]) > 1 {
			level = g.Level
		}
	}
	moved := min(o.level, max(0, grant.Capacity-level))
	o.level = min(o.level-moved, o.pool().Capacity)
	return moved
}

// baseTarget returns a host's part of the base part.
func (o *Owner) baseTarget(a *account) Limit {
	part := o.basePart()
	own := a.counted(Base)
	target := Limit{part.Rate / float64(o.hosts), part.Capacity / float64(o.hosts)}
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
	if o.cfg.Kind == Units && !math.IsInf(o.fill.Capacity, 1) {
		// A fraction goes to whoever asks first, as far as the pool has it.
		target.Capacity = min(need.Capacity, math.Ceil(o.fill.Capacity))
	}
	return target
}
