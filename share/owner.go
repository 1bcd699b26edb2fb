package share

import (
	"fmt"
	"time"
)

// form is one grant that a holder may be using.
type form struct {
	grant   Grant
	expires time.Time
	// adopted forms are only extended if they were issued under a limit that
	// is not above the present one. Otherwise several owners in a row, each
	// reached by other holders, would keep a lowered limit exceeded.
	adopted bool
}

// account is what the owner knows of one holder.
type account struct {
	id       HolderID
	sequence uint64
	// forms holds, per class, the grant confirmed by the last call and the one
	// offered in the last answer. The larger counts.
	forms  [classCount][]form
	wanted float64
	seen   time.Time
}

// counted returns the rate and capacity that count for a class.
func (a *account) counted(class Class) Limit {
	var most Limit
	for _, f := range a.forms[class] {
		most.Rate = max(most.Rate, f.grant.Rate)
		most.Capacity = max(most.Capacity, f.grant.Capacity)
	}
	return most
}

// reserve keeps a part of the limit for the grants of earlier epochs.
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

	holders map[HolderID]*account
	// order is the holders in the order of their first calls, so that sums
	// over them round in the same way each time.
	order []*account
	// granted is the sum of what counts for all holders, by class.
	granted  [classCount]Limit
	reserves [classCount]reserve
	level    float64
	updated  time.Time
	scanned  time.Time
	nextID   uint64

	// fill is the water level of the last scan: what a holder gets at most.
	// floor is the capacity that an active holder gets at least.
	fill  Limit
	floor float64
}

// firstEpoch has no predecessors, because the epochs of a resource start at 1
// and are kept permanently.
const firstEpoch = 1

// NewOwner returns the owner of a new epoch that begins at now. It grants
// nothing new until the grants of earlier epochs have expired. In the first
// epoch there are none, and the bucket is full.
func NewOwner(cfg Config, epoch uint64, limit Limit, hosts int, now time.Time) *Owner {
	o := &Owner{
		cfg:     cfg,
		epoch:   epoch,
		limit:   limit,
		hosts:   max(1, hosts),
		holders: map[HolderID]*account{},
		updated: now,
	}
	if epoch <= firstEpoch {
		o.level = limit.Capacity
	}
	if epoch <= firstEpoch || cfg.skipWait {
		return o
	}
	for class := range o.reserves {
		until := now.Add(cfg.counted(Class(class)))
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
	o.scanned = time.Time{}
}

// SetHosts changes the number of live hosts that share the base part.
func (o *Owner) SetHosts(hosts int) { o.hosts = max(1, hosts) }

// basePart returns the part of the limit for base grants, in whole units for
// units.
func (o *Owner) basePart() Limit {
	part := Limit{o.limit.Rate * o.cfg.BaseFraction, o.limit.Capacity * o.cfg.BaseFraction}
	if o.cfg.Kind == Units {
		part.Capacity = whole(part.Capacity)
	}
	return part
}

// reserved returns what grants of earlier epochs may still use beyond those
// adopted. It follows the present limit, so a limit that is raised while such
// grants are out is not granted twice.
func (o *Owner) reserved(class Class) Limit {
	r := &o.reserves[class]
	if !r.active {
		return Limit{}
	}
	part := o.basePart()
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

// free is pool, but negative while grants of a higher limit are out.
func (o *Owner) free() Limit {
	free := o.limit
	for class := range o.granted {
		reserved := o.reserved(Class(class))
		free.Rate -= o.granted[class].Rate + reserved.Rate
		free.Capacity -= o.granted[class].Capacity + reserved.Capacity
	}
	return free
}

// advance refills the pool and ends what has expired.
func (o *Owner) advance(now time.Time) {
	for _, class := range []Class{Dynamic, Base} {
		r := &o.reserves[class]
		if r.active && !now.Before(r.until) {
			o.refill(r.until)
			r.active = false
		}
	}
	o.refill(now)
	if now.Sub(o.scanned) >= scanInterval {
		o.scan(now)
	}
}

// refill adds what the pool gained since the last call. Grants that expired
// meanwhile still count, so their time is not counted twice.
func (o *Owner) refill(now time.Time) {
	elapsed := now.Sub(o.updated)
	if elapsed <= 0 {
		return
	}
	free := o.pool()
	o.level = min(free.Capacity, o.level+free.Rate*o.cfg.refillFactor*elapsed.Seconds())
	o.updated = now
}

// change runs a change of one holder's forms and keeps the sums in step.
func (o *Owner) change(a *account, apply func()) {
	for class := range o.granted {
		c := a.counted(Class(class))
		o.granted[class].Rate -= c.Rate
		o.granted[class].Capacity -= c.Capacity
	}
	apply()
	for class := range o.granted {
		c := a.counted(Class(class))
		o.granted[class].Rate += c.Rate
		o.granted[class].Capacity += c.Capacity
	}
}

// expire drops the forms of a holder whose time has passed.
func (a *account) expire(now time.Time) {
	for class := range a.forms {
		kept := a.forms[class][:0]
		for _, f := range a.forms[class] {
			if now.Before(f.expires) {
				kept = append(kept, f)
			}
		}
		a.forms[class] = kept
	}
}

// Handle settles what a holder reports and answers with its new grants.
func (o *Owner) Handle(call Call, now time.Time) (Answer, error) {
	if err := call.validate(); err != nil {
		return Answer{}, fmt.Errorf("call of %s: %w", call.Holder.Host, err)
	}
	if call.Epoch > o.epoch {
		return Answer{}, fmt.Errorf("call of %s in epoch %d: %w", call.Holder.Host, call.Epoch, ErrOldEpoch)
	}
	o.advance(now)
	a, known := o.holders[call.Holder]
	if !known {
		a = &account{id: call.Holder}
		o.holders[call.Holder] = a
		o.order = append(o.order, a)
	}
	if call.Sequence <= a.sequence {
		return Answer{}, fmt.Errorf("call %d of %s: %w", call.Sequence, call.Holder.Host, ErrOldCall)
	}
	a.sequence = call.Sequence
	a.wanted, a.seen = call.Wanted, now
	o.change(a, func() {
		a.expire(now)
		o.takeBack(a, call.Returned)
		o.settle(a, call.Held, !known, now)
	})
	o.level = min(o.level, o.pool().Capacity)
	answer := Answer{Epoch: o.epoch, Sequence: call.Sequence}
	if !call.Leaving {
		answer.Grants = o.offer(a, call.Held, now)
	}
	return answer, nil
}

// takeBack puts the tokens of returned grants into the pool if the grants
// still count; those of expired ones are gone.
func (o *Owner) takeBack(a *account, returned []Grant) {
	for _, g := range returned {
		if o.cfg.returnExpired {
			o.level += g.Level
			continue
		}
		for _, f := range a.forms[g.Class] {
			if f.grant.ID == g.ID && f.grant.Epoch == g.Epoch {
				o.level += min(g.Level, f.grant.Capacity)
				// A renewed grant has two forms with the same ID.
				break
			}
		}
	}
}

// settle replaces the forms of a holder by what it reports to use.
func (o *Owner) settle(a *account, held []Grant, first bool, now time.Time) {
	old := a.forms
	a.forms = [classCount][]form{}
	for _, g := range held {
		if kept, ok := o.confirm(old[g.Class], g); ok {
			a.forms[g.Class] = []form{kept}
		} else if first && g.Epoch < o.epoch {
			o.adopt(a, g, now)
		}
	}
}

// confirm finds the form that a holder reports to use. Units stay in use until
// their connections are closed, so they count up to the largest form whatever
// grant the holder names.
func (o *Owner) confirm(forms []form, held Grant) (form, bool) {
	var kept form
	var found bool
	var most float64
	var last time.Time
	for _, f := range forms {
		same := f.grant.ID == held.ID && f.grant.Epoch == held.Epoch
		if same || o.cfg.Kind == Units {
			kept, found = f, true
		}
		most = max(most, f.grant.Capacity)
		if f.expires.After(last) {
			last = f.expires
		}
	}
	if found && o.cfg.Kind == Units {
		kept.grant.Capacity = min(held.Capacity, most)
		kept.expires = last
	}
	return kept, found
}

// adopt takes over a grant of an earlier epoch if it fits into what is
// reserved for such grants. One that does not fit gets no renewal. A grant that
// was issued under a higher limit counts in addition, because the reserve is
// for those that the present limit allows.
func (o *Owner) adopt(a *account, g Grant, now time.Time) {
	left := o.reserved(g.Class)
	r := &o.reserves[g.Class]
	switch {
	case r.active && o.above(g):
	case g.Rate > left.Rate+roundingSlack || g.Capacity > left.Capacity+roundingSlack:
		return
	default:
		r.adopted.Rate += g.Rate
		r.adopted.Capacity += g.Capacity
	}
	a.forms[g.Class] = []form{{grant: g, expires: now.Add(o.cfg.counted(g.Class)), adopted: true}}
}

// above reports whether a grant was issued under a higher limit.
func (o *Owner) above(g Grant) bool {
	return g.Limit.Rate > o.limit.Rate || g.Limit.Capacity > o.limit.Capacity
}
