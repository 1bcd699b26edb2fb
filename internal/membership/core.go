package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// ExchangeInterval is the time between two exchanges with a host of the
	// own failure domain.
	ExchangeInterval = time.Second
	// CrossDomainInterval is the time between two exchanges with another failure
	// domain.
	CrossDomainInterval = 2 * time.Second
	// SuspectTimeout is how long a suspect has to refute before it is dead.
	SuspectTimeout = 4 * time.Second
	// ReconnectInterval is the time between two attempts to reach a dead member
	// or a seed, which joins the two sides of a healed partition.
	ReconnectInterval = 5 * time.Second
	// Retention is how long dead, departed and former special members are
	// kept, so that old news of them is recognized.
	Retention = 10 * time.Minute

	// indirectProbes is the number of hosts asked to reach a silent member;
	// SWIM (Das, Gupta and Motivala, 2002) reports little gain beyond 3.
	indirectProbes = 3
	// maxUpdates bounds the entries of a message, so that its size does not
	// depend on the number of hosts.
	maxUpdates = 6
	// fillers is the number of entries that a message repeats in turn, beside
	// updates. They repair what a lost or crowded-out update left behind.
	fillers = 2
	// domainSample is the number of plain members kept per other domain.
	domainSample = 3
)

// Config is what a Core starts with.
type Config struct {
	// Self is the own entry; State and Version are set by the core.
	Self Member
	// Seeds are addresses of other hosts, in any failure domain.
	Seeds []string
	// Seed makes the random choices repeatable.
	Seed uint64
}

// Message is what two hosts exchange. Members[0] is the sender's own entry.
type Message struct {
	Members []Member
	// Full asks for the whole member table of the receiver's domain.
	Full bool
}

// Action is an output of the Core: an ExchangeCall or a ProbeCall.
type Action interface{ action() }

type (
	// ExchangeCall asks to exchange messages; ExchangeDone takes the end.
	ExchangeCall struct {
		// Host is empty for a seed whose name is not known yet.
		Host    string
		Address string
		Message Message
	}
	// ProbeCall asks the host at Via to contact a silent member; ProbeDone
	// takes the end.
	ProbeCall struct {
		Via           string
		TargetHost    string
		TargetAddress string
	}
)

func (ExchangeCall) action() {}
func (ProbeCall) action()    {}

// entry is a member with what this host alone knows about it.
type entry struct {
	member Member
	// changedAt is the time of the last change of state.
	changedAt time.Time
	// specialAt is the last time at which the member held a bucket or a relay.
	specialAt time.Time
	// sends counts the messages that carried the present form.
	sends int
	// queued is set while the entry is news.
	queued bool
	// silent is set while a member of another domain does not answer this
	// host. It is not passed on: the member's own domain judges it.
	silent bool
}

// Core is the deterministic member table of one host. It is not safe for
// concurrent use. The table holds the own domain, the special members of all
// domains and the samples, and messages have a bounded number of entries, so
// the cost per host does not grow with the number of domains' plain members;
// BenchmarkRound measures it.
type Core struct {
	rng     *rand.Rand
	seeds   []string
	self    *entry
	entries map[string]*entry
	// names holds the keys of entries in order, for repeatable choices.
	names []string
	// queue holds the hosts whose entries are news.
	queue []string
	// ring is the order in which the own domain is contacted.
	ring   []string
	filler int
	probes map[string]*indirect
	// joined is set once a host of the own domain sent its whole table.
	joined bool

	exchangeAt time.Time
	crossAt    time.Time
	repairAt   time.Time
	expireAt   time.Time
	changes    uint64
}

// indirect counts the answers about one silent member.
type indirect struct {
	pending int
	version uint64
}

// NewCore returns a core that knows only itself.
func NewCore(c Config) *Core {
	c.Self.State = StateAlive
	self := &entry{member: c.Self}
	core := &Core{
		rng:     rand.New(rand.NewPCG(c.Seed, 0)),
		seeds:   slices.Clone(c.Seeds),
		self:    self,
		entries: map[string]*entry{c.Self.Host: self},
		names:   []string{c.Self.Host},
		probes:  map[string]*indirect{},
	}
	core.news(self)
	return core
}

// Self returns the own entry.
func (c *Core) Self() Member { return c.self.member }

// ChangeCount returns a number that rises with each change of the table.
func (c *Core) ChangeCount() uint64 { return c.changes }

// Members returns the table in the order of the host names. A member of
// another domain that does not answer this host is shown as suspect.
func (c *Core) Members() []Member {
	all := make([]Member, 0, len(c.names))
	for _, name := range c.names {
		e := c.entries[name]
		m := e.member
		if e.silent && m.State == StateAlive {
			m.State = StateSuspect
		}
		all = append(all, m)
	}
	return all
}

// SetBuckets changes the control buckets of the own entry.
func (c *Core) SetBuckets(claims []BucketClaim) {
	c.change(func(m *Member) { m.Buckets = slices.Clone(claims) })
}

// SetRelay says whether this host is a relay of its domain.
func (c *Core) SetRelay(relay bool) { c.change(func(m *Member) { m.Relay = relay }) }

// SetDraining says whether this host takes no new work.
func (c *Core) SetDraining(draining bool) { c.change(func(m *Member) { m.Draining = draining }) }

// SetRevision changes the revision of the own entry. It is no news: with
// thousands of revisions a day it would crowd out other changes, so it spreads
// with the messages of this host and the repeated entries.
func (c *Core) SetRevision(revision int64) {
	if revision != c.self.member.Revision {
		c.self.member.Revision = revision
		c.self.member.Version++
		c.changes++
	}
}

// Leave marks the own entry as left and returns the messages that tell others.
func (c *Core) Leave() []Action {
	c.change(func(m *Member) { m.State = StateLeft })
	var out []Action
	for range indirectProbes {
		if e := c.nextInRing(); e != nil {
			out = append(out, c.exchange(e))
		}
	}
	if e := c.pickForeign(); e != nil {
		out = append(out, c.exchange(e))
	}
	return out
}

func (c *Core) change(apply func(*Member)) {
	apply(&c.self.member)
	c.self.member.Version++
	c.changes++
	c.news(c.self)
}

func special(m Member) bool { return m.Relay || len(m.Buckets) > 0 }

func (c *Core) own(m Member) bool { return m.Domain == c.self.member.Domain }

// news queues an entry for the next messages.
func (c *Core) news(e *entry) {
	e.sends = 0
	if !e.queued {
		e.queued = true
		c.queue = append(c.queue, e.member.Host)
	}
}

func (c *Core) insert(e *entry) {
	name := e.member.Host
	c.entries[name] = e
	i, _ := slices.BinarySearch(c.names, name)
	c.names = slices.Insert(c.names, i, name)
	if c.own(e.member) {
		c.ring = slices.Insert(c.ring, c.rng.IntN(len(c.ring)+1), name)
	}
}

func (c *Core) remove(name string) {
	delete(c.entries, name)
	delete(c.probes, name)
	if i, ok := slices.BinarySearch(c.names, name); ok {
		c.names = slices.Delete(c.names, i, i+1)
	}
	same := func(other string) bool { return other == name }
	c.queue = slices.DeleteFunc(c.queue, same)
	c.ring = slices.DeleteFunc(c.ring, same)
	c.changes++
}

// newer reports whether a replaces b: a higher (incarnation, version), or a
// worse state of the same one.
func newer(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.State > b.State
}

// merge takes an entry from a message.
func (c *Core) merge(now time.Time, m Member) {
	if m.Host == "" || m.Domain == "" || m.State < StateAlive || m.State > StateLeft {
		return
	}
	if m.Host == c.self.member.Host {
		c.refute(m)
		return
	}
	e, ok := c.entries[m.Host]
	if !ok {
		c.admit(now, m)
		return
	}
	if !newer(m, e.member) {
		return
	}
	if m.State != e.member.State {
		e.changedAt = now
	}
	if special(m) || special(e.member) {
		e.specialAt = now
	}
	onlyRevision := sameButRevision(m, e.member)
	e.member = m
	e.silent = e.silent && !c.own(m)
	c.changes++
	if !onlyRevision {
		c.news(e)
	}
}

// sameButRevision reports whether two forms of an entry differ at most in the
// version and the revision.
func sameButRevision(a, b Member) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && a.Relay == b.Relay &&
		a.Draining == b.Draining && a.Address == b.Address && slices.Equal(a.Buckets, b.Buckets)
}

// refute answers a report that this host is not alive, or news of an earlier
// process of it that claims a later version.
func (c *Core) refute(m Member) {
	self := &c.self.member
	if self.State == StateLeft || !newer(m, *self) {
		return
	}
	if m.Incarnation > self.Incarnation {
		// Another process has this host's name; the newer one stays.
		return
	}
	self.Version = m.Version + 1
	c.changes++
	c.news(c.self)
}

// admit adds a member that was not known. Plain members of other domains are
// kept only as a bounded sample.
func (c *Core) admit(now time.Time, m Member) {
	e := &entry{member: m, changedAt: now}
	if special(m) {
		e.specialAt = now
	}
	if !c.own(m) && !special(m) && !c.sampleRoom(m) {
		return
	}
	c.insert(e)
	c.changes++
	if c.own(m) || special(m) {
		c.news(e)
	}
}

// sampleRoom reports whether the sample of another domain takes a member,
// making room by dropping one that does not answer.
func (c *Core) sampleRoom(m Member) bool {
	if m.State != StateAlive {
		return false
	}
	count, drop := 0, ""
	for _, name := range c.names {
		e := c.entries[name]
		if e.member.Domain != m.Domain || !e.specialAt.IsZero() {
			continue
		}
		count++
		if e.silent || e.member.State != StateAlive {
			drop = name
		}
	}
	if count < domainSample {
		return true
	}
	if drop == "" {
		return false
	}
	c.remove(drop)
	return true
}

// compareNews orders entries by how often they were sent.
func (c *Core) compareNews(a, b string) int {
	x, y := c.entries[a], c.entries[b]
	if x.sends != y.sends {
		return x.sends - y.sends
	}
	return strings.Compare(a, b)
}
