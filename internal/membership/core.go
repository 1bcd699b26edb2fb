package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// ExchangeInterval is the time between two message exchanges with hosts of
	// the local failure domain.
	ExchangeInterval = time.Second
	// CrossDomainInterval is the time between two message exchanges with hosts
	// of other failure domains.
	CrossDomainInterval = 2 * time.Second
	// SuspectTimeout is how long a suspect member has to refute the suspicion
	// before it is declared dead.
	SuspectTimeout = 4 * time.Second
	// ReconnectInterval is the time between two attempts to contact a dead or
	// unreachable member or a seed. These attempts merge the tables of both
	// sides after a network partition heals.
	ReconnectInterval = 5 * time.Second
	// Retention is how long the entries of dead and departed members, and of
	// members of other domains that gave up their role, are kept, so that
	// delayed messages about them are recognized as outdated.
	Retention = 10 * time.Minute

	// indirectProbes is the number of hosts asked to probe a member that did
	// not answer; SWIM (Das, Gupta and Motivala, 2002) reports little gain
	// beyond 3.
	indirectProbes = 3
	// maxUpdates bounds the number of entries of a message, so that its size
	// does not depend on the number of hosts.
	maxUpdates = 6
	// antiEntropyEntries is the number of entries that a message carries beside
	// queued updates, taken from the table in rotation. They correct receivers
	// that missed an update because a message was lost or had no room for it.
	antiEntropyEntries = 2
	// domainSampleSize is the number of members without a role that are kept
	// for each other domain.
	domainSampleSize = 3
)

// Config configures a Core.
type Config struct {
	// Self is the entry of the local host; the core sets State and Version.
	Self Member
	// Seeds are addresses of other hosts, in any failure domain.
	Seeds []string
	// Seed seeds the random choices, so that runs are reproducible.
	Seed uint64
}

// Message is a gossip message between two hosts. Members[0] is the sender's
// own entry.
type Message struct {
	Members []Member
	// Full requests the whole member table of the receiver's domain.
	Full bool
}

// Action is a remote call that the Core asks its caller to make: an
// ExchangeCall or a ProbeCall.
type Action interface{ action() }

type (
	// ExchangeCall requests a message exchange with a host; the result is
	// passed to ExchangeDone.
	ExchangeCall struct {
		// Host is empty if only the address of a seed is known.
		Host    string
		Address string
		Message Message
	}
	// ProbeCall asks the host at Via to contact a member that did not answer
	// this host; the result is passed to ProbeDone.
	ProbeCall struct {
		Via           string
		TargetHost    string
		TargetAddress string
	}
)

func (ExchangeCall) action() {}
func (ProbeCall) action()    {}

// entry is a member together with the local state that is not gossiped.
type entry struct {
	member Member
	// changedAt is the time of the last change of member.State.
	changedAt time.Time
	// roleAt is the last time at which a change of the entry showed the member
	// with a role (see hasRole), before or after the change; zero if none did.
	roleAt time.Time
	// sends counts the messages that carried the current version of the entry.
	sends int
	// queued is set while the entry is in Core.queue.
	queued bool
	// unreachable is set while a member of another domain does not answer this
	// host. It is not gossiped, because only hosts of the member's own domain
	// decide on its state.
	unreachable bool
}

// Core is the member table of one host and the gossip protocol that maintains
// it, without I/O or a clock, so that it is deterministic. It is not safe for
// concurrent use.
//
// The table holds all members of the local domain, the members of all domains
// that have a role (see hasRole) and a sample of the other members of each
// other domain. Messages have a bounded number of entries. So the cost per host
// does not grow with the number of members without a role in other domains;
// BenchmarkRound reports this cost.
type Core struct {
	rng     *rand.Rand
	seeds   []string
	self    *entry
	entries map[string]*entry
	// names holds the keys of entries in order, for reproducible choices.
	names []string
	// queue holds the hosts whose entries still have to be sent as updates.
	queue []string
	// ring is the order in which the hosts of the local domain are contacted.
	ring []string
	// antiEntropyCursor is the index in names of the last anti-entropy entry.
	antiEntropyCursor int
	// probes holds the indirect probes in progress by target host.
	probes map[string]*probeState
	// joined is set once a host of the local domain has sent its whole table.
	joined bool

	exchangeAt    time.Time
	crossDomainAt time.Time
	reconnectAt   time.Time
	expireAt      time.Time
	changeCount   uint64
}

// probeState tracks the outstanding indirect probes of one member and the
// version of its entry when they started.
type probeState struct {
	pending int
	version uint64
}

// NewCore returns a core whose table holds only the local host.
func NewCore(c Config) *Core {
	c.Self.State = StateAlive
	self := &entry{member: c.Self}
	core := &Core{
		rng:     rand.New(rand.NewPCG(c.Seed, 0)),
		seeds:   slices.Clone(c.Seeds),
		self:    self,
		entries: map[string]*entry{c.Self.Host: self},
		names:   []string{c.Self.Host},
		probes:  map[string]*probeState{},
	}
	core.enqueue(self)
	return core
}

// Self returns the entry of the local host.
func (c *Core) Self() Member { return c.self.member }

// ChangeCount returns a counter that increases with each change of the table.
func (c *Core) ChangeCount() uint64 { return c.changeCount }

// Members returns the table, sorted by host name. An alive member of another
// domain that does not answer this host is returned as suspect.
func (c *Core) Members() []Member {
	all := make([]Member, 0, len(c.names))
	for _, name := range c.names {
		e := c.entries[name]
		m := e.member
		if e.unreachable && m.State == StateAlive {
			m.State = StateSuspect
		}
		all = append(all, m)
	}
	return all
}

// SetBuckets sets the control buckets that this host claims.
func (c *Core) SetBuckets(claims []BucketClaim) {
	c.updateSelf(func(m *Member) { m.Buckets = slices.Clone(claims) })
}

// SetRelay sets whether this host is a relay of its domain.
func (c *Core) SetRelay(relay bool) { c.updateSelf(func(m *Member) { m.Relay = relay }) }

// SetDraining sets whether this host is draining and takes no new work.
func (c *Core) SetDraining(draining bool) { c.updateSelf(func(m *Member) { m.Draining = draining }) }

// SetRevision sets the configuration revision of the local host's entry. The
// change is not queued as an update: thousands of revisions a day would displace
// other updates. It spreads with the messages that this host sends and with
// anti-entropy entries.
func (c *Core) SetRevision(revision int64) {
	if revision != c.self.member.Revision {
		c.self.member.Revision = revision
		c.self.member.Version++
		c.changeCount++
	}
}

// Leave marks the local host as left and returns the exchanges that announce it.
func (c *Core) Leave() []Action {
	c.updateSelf(func(m *Member) { m.State = StateLeft })
	var out []Action
	for range indirectProbes {
		if e := c.nextInRing(); e != nil {
			out = append(out, c.exchange(e))
		}
	}
	if e := c.pickFromOtherDomain(); e != nil {
		out = append(out, c.exchange(e))
	}
	return out
}

func (c *Core) updateSelf(apply func(*Member)) {
	apply(&c.self.member)
	c.self.member.Version++
	c.changeCount++
	c.enqueue(c.self)
}

// hasRole reports whether a member is a relay or claims a control bucket. Hosts
// of all domains keep the entries of such members.
func hasRole(m Member) bool { return m.Relay || len(m.Buckets) > 0 }

func (c *Core) sameDomain(m Member) bool { return m.Domain == c.self.member.Domain }

// enqueue queues an entry to be sent as an update in the next messages.
func (c *Core) enqueue(e *entry) {
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
	if c.sameDomain(e.member) {
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
	c.changeCount++
}

// newer reports whether a replaces b: a has a higher (incarnation, version), or
// the same with a later state in the order of the State constants.
func newer(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.State > b.State
}

// merge applies a received entry to the table if it is newer than the known one.
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
		c.addMember(now, m)
		return
	}
	if !newer(m, e.member) {
		return
	}
	if m.State != e.member.State {
		e.changedAt = now
	}
	if hasRole(m) || hasRole(e.member) {
		e.roleAt = now
	}
	onlyRevision := equalExceptRevision(m, e.member)
	e.member = m
	e.unreachable = e.unreachable && !c.sameDomain(m)
	c.changeCount++
	if !onlyRevision {
		c.enqueue(e)
	}
}

// equalExceptRevision reports whether two versions of an entry differ at most in
// Version and Revision.
func equalExceptRevision(a, b Member) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && a.Relay == b.Relay &&
		a.Draining == b.Draining && a.Address == b.Address && slices.Equal(a.Buckets, b.Buckets)
}

// refute raises the local host's version above that of a received entry that
// would replace its own: another host reported it as not alive, or the entry
// has a higher version than the own one.
func (c *Core) refute(m Member) {
	self := &c.self.member
	if self.State == StateLeft || !newer(m, *self) {
		return
	}
	if m.Incarnation > self.Incarnation {
		// Another process runs under this host's name. It started later, so its
		// entry takes precedence.
		return
	}
	self.Version = m.Version + 1
	c.changeCount++
	c.enqueue(c.self)
}

// addMember adds a member that is not in the table yet. Of the members of other
// domains that have no role, it keeps only a bounded sample.
func (c *Core) addMember(now time.Time, m Member) {
	e := &entry{member: m, changedAt: now}
	if hasRole(m) {
		e.roleAt = now
	}
	if !c.sameDomain(m) && !hasRole(m) && !c.reserveSampleSlot(m) {
		return
	}
	c.insert(e)
	c.changeCount++
	if c.sameDomain(m) || hasRole(m) {
		c.enqueue(e)
	}
}

// reserveSampleSlot reports whether the sample of another domain has room for a
// member. If the sample is full, it removes a member that is unreachable or not
// alive.
func (c *Core) reserveSampleSlot(m Member) bool {
	if m.State != StateAlive {
		return false
	}
	count, drop := 0, ""
	for _, name := range c.names {
		e := c.entries[name]
		if e.member.Domain != m.Domain || !e.roleAt.IsZero() {
			continue
		}
		count++
		if e.unreachable || e.member.State != StateAlive {
			drop = name
		}
	}
	if count < domainSampleSize {
		return true
	}
	if drop == "" {
		return false
	}
	c.remove(drop)
	return true
}

// compareSends orders entries by the number of times they were sent, then by host
// name.
func (c *Core) compareSends(a, b string) int {
	x, y := c.entries[a], c.entries[b]
	if x.sends != y.sends {
		return x.sends - y.sends
	}
	return strings.Compare(a, b)
}
