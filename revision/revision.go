// Package revision replicates a state that changes by numbered revisions. One store
// accepts the changes; many hosts fetch them from the store or from one another,
// apply them in order, and know how fresh their state is.
//
// Revisions must increase for as long as any host keeps a state. A store that can come
// back from an older copy of its data has to number the changes after that higher than
// all before, for example with a generation in the high bits; otherwise replicas take
// them for old.
//
// The package does no I/O and reads no clock: every method that depends on time
// takes the present time. A Replica is not safe for concurrent use.
//
// Guarantees, if every host of a fleet uses Replica as documented:
//
//   - The revision of a replica never decreases, and its state is exactly the
//     state of the store at that revision.
//   - A replica that is confirmed by the store (Status.ByStore) contains every change
//     that the store accepted longer than the bound ago.
//   - A replica that is confirmed by a majority of failure domains (Status.ByDomains)
//     contains every revision that all started replicas of some majority of
//     domains contained throughout a period as long as the bound. A change that
//     only a minority of domains has received may be missing.
//   - A replica that has lost its state in a restart is started only once it is
//     confirmed, and until then it confirms nothing to others. So the guarantees
//     above also hold across restarts.
package revision

import (
	"slices"
	"time"
)

const (
	// DefaultBound is the greatest age at which a contact with the store or with a
	// failure domain still confirms a replica.
	DefaultBound = 10 * time.Second
	// DefaultMargin is the fraction by which ages from other clocks are lengthened,
	// because the rates of clocks can be off by 1% in either direction.
	DefaultMargin = 0.02
	// DefaultKeep is the number of recent changes that a replica keeps for peers.
	DefaultKeep = 1024
)

// Change is the change of one revision. Nothing else changed after Previous and
// before Revision, so a replica at Previous or later, but before Revision, can
// apply it.
type Change[C any] struct {
	Previous int64
	Revision int64
	Body     C
}

// Result is the outcome of Apply.
type Result int

// The results of Apply.
const (
	// Applied means that the state now contains the change.
	Applied Result = iota + 1
	// Old means that the state already contained the change.
	Old
	// Gap means that the replica lacks changes before this one; fetch them.
	Gap
)

// Options configures a replica.
type Options struct {
	// Domain is the failure domain of this host.
	Domain string
	// Domains lists all configured failure domains, including this host's. A
	// majority is more than half of them.
	Domains []string
	// Bound is the greatest age at which a contact still confirms the replica; 0
	// means DefaultBound.
	Bound time.Duration
	// Margin is the fraction by which ages from other clocks are lengthened;
	// 0 means DefaultMargin.
	Margin float64
	// Keep is the number of recent changes kept for peers; 0 means DefaultKeep.
	Keep int
}

// Replica is the copy of the state on one host. S is the type of the state, C that of
// the body of a change.
type Replica[S, C any] struct {
	options Options
	fold    func(S, C) S
	state   S
	// revision is 0 until the first state is adopted.
	revision int64
	kept     []Change[C]

	started bool
	// storeTime is the latest time such that the state is known to contain every
	// change that the store accepted before it.
	storeTime time.Time
	// contacts holds, for each domain, the latest time from which on a started
	// replica of that domain is known to have had no higher revision than this one.
	contacts map[string]time.Time
}

// New returns a replica without state. fold applies a change to a state and returns
// the new state; it must not modify its argument.
func New[S, C any](o Options, fold func(S, C) S) *Replica[S, C] {
	if o.Bound <= 0 {
		o.Bound = DefaultBound
	}
	if o.Margin <= 0 {
		o.Margin = DefaultMargin
	}
	if o.Keep <= 0 {
		o.Keep = DefaultKeep
	}
	o.Domains = slices.Compact(slices.Sorted(slices.Values(o.Domains)))
	return &Replica[S, C]{options: o, fold: fold, contacts: map[string]time.Time{}}
}

// Revision returns the revision of the state, 0 if there is none.
func (r *Replica[S, C]) Revision() int64 { return r.revision }

// State returns the state; it is the zero value while Revision is 0.
func (r *Replica[S, C]) State() S { return r.state }

// Started reports whether the state was ever confirmed. Do not use the state before
// it was.
func (r *Replica[S, C]) Started() bool { return r.started }

// Apply applies a change if it follows the state without a gap.
func (r *Replica[S, C]) Apply(c Change[C]) Result {
	switch {
	case c.Revision <= r.revision:
		return Old
	case r.revision == 0, c.Previous > r.revision, c.Previous >= c.Revision:
		return Gap
	}
	r.state = r.fold(r.state, c.Body)
	r.keep(c)
	r.revision = c.Revision
	return Applied
}

func (r *Replica[S, C]) keep(c Change[C]) {
	r.kept = append(r.kept, c)
	if extra := len(r.kept) - r.options.Keep; extra > 0 {
		r.kept = slices.Delete(r.kept, 0, extra)
	}
}

// Adopt replaces the state by one of a higher revision. It reports false and changes
// nothing if the revision is not higher.
func (r *Replica[S, C]) Adopt(revision int64, state S) bool {
	if revision <= r.revision {
		return false
	}
	r.revision, r.state, r.kept = revision, state, nil
	return true
}

// Since returns the changes after a revision; ok is false if the replica no longer
// keeps all of them, so that the whole state must be sent instead.
func (r *Replica[S, C]) Since(revision int64) (changes []Change[C], ok bool) {
	if revision >= r.revision {
		return nil, true
	}
	i := slices.IndexFunc(r.kept, func(c Change[C]) bool {
		return c.Previous <= revision && revision < c.Revision
	})
	if i < 0 || revision <= 0 {
		return nil, false
	}
	return slices.Clone(r.kept[i:]), true
}

// Confirmation tells another replica how fresh the sender is. It has ages instead of
// times, because clocks of different hosts are not compared.
type Confirmation struct {
	// Domain is the failure domain of the sender.
	Domain string
	// Revision is the revision of the sender; 0 if the sender is not started, and
	// then the other fields have no meaning.
	Revision int64
	// StoreAge is the age of the sender's last knowledge that it had every change
	// that the store had accepted; negative if it never knew.
	StoreAge time.Duration
	// Domains holds the ages of the sender's contacts with failure domains.
	Domains map[string]time.Duration
}

// Confirmation returns the answer to a peer that asks at the given time.
func (r *Replica[S, C]) Confirmation(now time.Time) Confirmation {
	c := Confirmation{Domain: r.options.Domain, StoreAge: -1, Domains: map[string]time.Duration{}}
	if !r.started {
		return c
	}
	c.Revision = r.revision
	if !r.storeTime.IsZero() {
		c.StoreAge = now.Sub(r.storeTime)
	}
	for domain, at := range r.contacts {
		if age := now.Sub(at); age <= r.options.Bound {
			c.Domains[domain] = age
		}
	}
	return c
}

// ConfirmByStore records that the store had no changes beyond the state. requestedAt
// is a time before the request to the store was sent. Call it only after applying
// every change in the answer.
func (r *Replica[S, C]) ConfirmByStore(now, requestedAt time.Time) {
	if r.revision == 0 || requestedAt.After(now) {
		return
	}
	if requestedAt.After(r.storeTime) {
		r.storeTime = requestedAt
	}
	r.updateStarted(now)
}

// ConfirmByPeer records the answer of a peer. requestedAt is a time before the request
// was sent, so that the age of a late answer is never underestimated. It reports false
// and records nothing if the peer is not started, or if the peer has a higher
// revision; then apply its changes first. Do not pass unsolicited messages, because
// their age is not known.
func (r *Replica[S, C]) ConfirmByPeer(now, requestedAt time.Time, c Confirmation) bool {
	if c.Revision <= 0 || c.Revision > r.revision || requestedAt.After(now) {
		return false
	}
	if c.StoreAge >= 0 {
		if at := requestedAt.Add(-r.addMargin(c.StoreAge)); at.After(r.storeTime) {
			r.storeTime = at
		}
	}
	r.recordContact(c.Domain, requestedAt)
	for domain, age := range c.Domains {
		if age >= 0 {
			r.recordContact(domain, requestedAt.Add(-r.addMargin(age)))
		}
	}
	r.updateStarted(now)
	return true
}

func (r *Replica[S, C]) addMargin(age time.Duration) time.Duration {
	return age + time.Duration(float64(age)*r.options.Margin)
}

func (r *Replica[S, C]) recordContact(domain string, at time.Time) {
	if !slices.Contains(r.options.Domains, domain) {
		return
	}
	if at.After(r.contacts[domain]) {
		r.contacts[domain] = at
	}
}

func (r *Replica[S, C]) updateStarted(now time.Time) {
	r.started = r.started || r.confirmed(now)
}

func (r *Replica[S, C]) byStore(now time.Time) bool {
	return r.revision > 0 && !r.storeTime.IsZero() && now.Sub(r.storeTime) <= r.options.Bound
}

// byDomains reports whether contacts with a majority of domains confirm the state.
// The replica's own domain counts without a contact only once the replica is
// started: before that, it may have lost changes that its domain had received.
func (r *Replica[S, C]) byDomains(now time.Time) bool {
	if r.revision == 0 {
		return false
	}
	count := 0
	for _, domain := range r.options.Domains {
		at, known := r.contacts[domain]
		if (known && now.Sub(at) <= r.options.Bound) || (r.started && domain == r.options.Domain) {
			count++
		}
	}
	return 2*count > len(r.options.Domains)
}

func (r *Replica[S, C]) confirmed(now time.Time) bool {
	return r.byStore(now) || r.byDomains(now)
}

// Confirmed reports whether the state is confirmed at the given time.
func (r *Replica[S, C]) Confirmed(now time.Time) bool {
	return r.started && r.confirmed(now)
}

// Status describes the freshness of a replica.
type Status struct {
	Revision  int64
	Started   bool
	Confirmed bool
	// ByStore and ByDomains report whether the store, or a majority of failure
	// domains, confirms the state.
	ByStore   bool
	ByDomains bool
	// StoreAge is negative if the state was never compared with the store.
	StoreAge time.Duration
	// Contacts holds the ages of the contacts with failure domains.
	Contacts map[string]time.Duration
}

// Status returns the freshness of the replica at the given time.
func (r *Replica[S, C]) Status(now time.Time) Status {
	s := Status{
		Revision:  r.revision,
		Started:   r.started,
		Confirmed: r.Confirmed(now),
		ByStore:   r.byStore(now),
		ByDomains: r.byDomains(now),
		StoreAge:  -1,
		Contacts:  make(map[string]time.Duration, len(r.contacts)),
	}
	if !r.storeTime.IsZero() {
		s.StoreAge = now.Sub(r.storeTime)
	}
	for domain, at := range r.contacts {
		s.Contacts[domain] = now.Sub(at)
	}
	return s
}
