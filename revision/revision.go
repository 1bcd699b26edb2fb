// Package revision is the core of dissemination by revision: one store accepts
// numbered changes, and many hosts apply them in order, learn them from the
// store or from one another, and know how fresh they are.
//
// The core does no I/O and reads no clock: every method that depends on time
// takes the present time. It is not safe for concurrent use.
//
// What holds, if every host of a fleet follows the rules of Replica:
//
//   - The revision of a replica never decreases, and its state is exactly the
//     state of the store at that revision.
//   - A replica whose confirmation rests on the store (Status.ByStore) contains
//     every change that the store accepted earlier than the bound before.
//   - A replica whose confirmation rests on a majority of failure domains
//     contains every revision that all started replicas of some majority of
//     domains contained throughout a period as long as the bound. A change that
//     only a minority of domains has seen may be missing.
//   - A replica without state is started only once it is confirmed, and until
//     then it confirms nothing to others. So a restart does not undo the
//     above.
package revision

import (
	"slices"
	"time"
)

const (
	// DefaultBound is the age up to which a contact confirms a replica.
	DefaultBound = 10 * time.Second
	// DefaultMargin lengthens ages that were measured on other clocks, whose
	// rates can differ by 1% each way.
	DefaultMargin = 0.02
	// DefaultKeep is the number of changes that are kept for others.
	DefaultKeep = 1024
)

// Change is what one revision changed. Previous is a revision after which
// nothing else changed until Revision; a host at Previous or later, but before
// Revision, can apply it.
type Change[C any] struct {
	Previous int64
	Revision int64
	Body     C
}

// Result says what became of a change.
type Result int

// The results of Apply.
const (
	// Applied means that the change is now part of the state.
	Applied Result = iota + 1
	// Old means that the state contained the change already.
	Old
	// Gap means that changes in between are missing; fetch them.
	Gap
)

// Options configures a replica.
type Options struct {
	// Domain is the failure domain of this host.
	Domain string
	// Domains are all configured failure domains, this host's included. A
	// majority is more than half of them.
	Domains []string
	// Bound is the age up to which a contact confirms; 0 means DefaultBound.
	Bound time.Duration
	// Margin is the fraction by which ages from other clocks are lengthened;
	// 0 means DefaultMargin.
	Margin float64
	// Keep is the number of changes kept for others; 0 means DefaultKeep.
	Keep int
}

// Replica is the state of one host. S is the type of the state, C that of a
// change's body.
type Replica[S, C any] struct {
	options Options
	fold    func(S, C) S
	state   S
	// revision is 0 until the first state was adopted.
	revision int64
	kept     []Change[C]

	started bool
	// store is a time before which everything accepted by the store is part of
	// the state.
	store time.Time
	// contacts holds, for each domain, a time after which a started replica of
	// that domain had no higher revision than this replica has.
	contacts map[string]time.Time
}

// New returns a replica without state. fold returns the state after a change
// and must not modify the state that it is given.
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

// Started reports whether the state was ever confirmed. Do not use the state
// before.
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

// Adopt replaces the state by that of a higher revision and reports whether it
// did.
func (r *Replica[S, C]) Adopt(revision int64, state S) bool {
	if revision <= r.revision {
		return false
	}
	r.revision, r.state, r.kept = revision, state, nil
	return true
}

// Since returns the changes after a revision; ok is false if they are no longer
// kept and the state has to be sent instead.
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

// Confirmation is what a replica tells another about its freshness, with ages
// instead of times because clocks are not compared.
type Confirmation struct {
	// Domain is the failure domain of the sender.
	Domain string
	// Revision is the sender's; 0 if it is not started, and then nothing else
	// counts.
	Revision int64
	// StoreAge is the time since the sender knew that it had everything that
	// the store had accepted; negative if it never knew.
	StoreAge time.Duration
	// Domains are the ages of the sender's contacts.
	Domains map[string]time.Duration
}

// Confirmation returns what to tell a peer that asks now.
func (r *Replica[S, C]) Confirmation(now time.Time) Confirmation {
	c := Confirmation{Domain: r.options.Domain, StoreAge: -1, Domains: map[string]time.Duration{}}
	if !r.started {
		return c
	}
	c.Revision = r.revision
	if !r.store.IsZero() {
		c.StoreAge = now.Sub(r.store)
	}
	for domain, at := range r.contacts {
		if age := now.Sub(at); age <= r.options.Bound {
			c.Domains[domain] = age
		}
	}
	return c
}

// ConfirmByStore records that the store had nothing after the state. asked is
// the time before the request to the store was sent. Call it only after every
// change that the answer covers was applied.
func (r *Replica[S, C]) ConfirmByStore(now, asked time.Time) {
	if r.revision == 0 || asked.After(now) {
		return
	}
	if asked.After(r.store) {
		r.store = asked
	}
	r.start(now)
}

// ConfirmByPeer records the answer of a peer. asked is the time before the
// request was sent, so a late answer counts as old as it may be. It reports
// false if the answer does not count because the peer is not started or has a
// higher revision; then apply its changes first. A message that was not asked
// for must not be passed, because its age is not known.
func (r *Replica[S, C]) ConfirmByPeer(now, asked time.Time, c Confirmation) bool {
	if c.Revision <= 0 || c.Revision > r.revision || asked.After(now) {
		return false
	}
	if c.StoreAge >= 0 {
		if at := asked.Add(-r.stretch(c.StoreAge)); at.After(r.store) {
			r.store = at
		}
	}
	r.contact(c.Domain, asked)
	for domain, age := range c.Domains {
		if age >= 0 {
			r.contact(domain, asked.Add(-r.stretch(age)))
		}
	}
	r.start(now)
	return true
}

func (r *Replica[S, C]) stretch(age time.Duration) time.Duration {
	return age + time.Duration(float64(age)*r.options.Margin)
}

func (r *Replica[S, C]) contact(domain string, at time.Time) {
	if !slices.Contains(r.options.Domains, domain) {
		return
	}
	if at.After(r.contacts[domain]) {
		r.contacts[domain] = at
	}
}

func (r *Replica[S, C]) start(now time.Time) {
	r.started = r.started || r.confirmed(now)
}

func (r *Replica[S, C]) byStore(now time.Time) bool {
	return r.revision > 0 && !r.store.IsZero() && now.Sub(r.store) <= r.options.Bound
}

// byDomains counts the own domain without a contact only once started: before,
// this host remembers nothing that its domain had.
func (r *Replica[S, C]) byDomains(now time.Time) bool {
	if r.revision == 0 {
		return false
	}
	count := 0
	for _, domain := range r.options.Domains {
		at, met := r.contacts[domain]
		if (met && now.Sub(at) <= r.options.Bound) || (r.started && domain == r.options.Domain) {
			count++
		}
	}
	return 2*count > len(r.options.Domains)
}

func (r *Replica[S, C]) confirmed(now time.Time) bool {
	return r.byStore(now) || r.byDomains(now)
}

// Confirmed reports whether the state is confirmed at the given moment.
func (r *Replica[S, C]) Confirmed(now time.Time) bool {
	return r.started && r.confirmed(now)
}

// Status describes the freshness of a replica.
type Status struct {
	Revision  int64
	Started   bool
	Confirmed bool
	// ByStore and ByDomains say on what the confirmation rests.
	ByStore   bool
	ByDomains bool
	// StoreAge is negative if the state was never compared with the store.
	StoreAge time.Duration
	// Contacts are the ages of the contacts with failure domains.
	Contacts map[string]time.Duration
}

// Status returns the freshness at the given moment.
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
	if !r.store.IsZero() {
		s.StoreAge = now.Sub(r.store)
	}
	for domain, at := range r.contacts {
		s.Contacts[domain] = now.Sub(at)
	}
	return s
}
