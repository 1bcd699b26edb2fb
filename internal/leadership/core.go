// Package leadership decides whether this host may use the leaders of services, and
// takes that right from all hosts before another leader is appointed.
//
// An instance that was replaced as the leader may not know it and still accept writes.
// Therefore hosts confirm each other: a host uses leaders only while a quorum of the
// hosts has recently confirmed it, directly or through other hosts. To replace a
// leader, a host closes its term. A host that knows of a closed term passes this on
// with every heartbeat, so that a host whose confirmations are newer than the closing
// knows of it as well. Closing ends when all hosts have acknowledged it, or when a
// quorum has and the confirmations from before have expired.
//
// Invariant: after CloseTerm has returned, no host uses the leader of that term or of
// an earlier one.
package leadership

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/lease"
)

const (
	// confirmationTTL is how long a host may use leaders after a quorum of hosts
	// confirmed it.
	confirmationTTL = 2 * time.Second
	// maxStoreSilence is how long confirmations count although no host has read the
	// closed terms from the store. A host that closes a term without a quorum waits
	// for that long.
	maxStoreSilence = 15 * time.Second
)

// Heartbeat is what a host tells another one about the fleet.
type Heartbeat struct {
	// Ages tells for each host, by the hash of its name, how long before this
	// heartbeat it was known to be running.
	Ages map[uint32]time.Duration
	// Members lists the hashes of all hosts that the sender counts, in the order of
	// their names, and MembersHash identifies that list.
	Members     []uint32
	MembersHash uint64
	// Closed holds the newest closed term of each service that has one.
	Closed map[string]uint64
	// StoreAge is how long before this heartbeat a host read the closed terms from
	// the store; negative if that is not known.
	StoreAge time.Duration
	// Leaders holds the newest leaders known to the sender, by service.
	Leaders map[string]Leader
	// Settled is the newest generation of the store that the sender knows to be settled.
	Settled platform.Generation
	// Confirms says that the sender knows the closed terms. Otherwise its heartbeat
	// confirms nobody, itself included.
	Confirms bool
}

// Leader is an instance that has proved to lead a term.
type Leader struct {
	Instance string
	Epoch    uint64
}

// Core is the state of a host. It does no I/O and is safe for concurrent use.
type Core struct {
	self   string
	quorum *lease.Quorum

	mu      sync.Mutex
	members []string
	// order holds the hashes of the members' names in the order of the names, and
	// membersHash is a hash of all names.
	order       []uint32
	membersHash uint64
	// names maps the hashes of the members' names to the names.
	names  map[uint32]string
	closed map[string]uint64
	// leaders holds the newest proved leader of each service that had a closed term.
	leaders map[string]Leader
	// storeRead is when a host last read the closed terms from the store; ownRead is
	// when this host did.
	storeRead   time.Time
	ownRead     time.Time
	generations generations
	// lostAt is when the lease was last found to have ended; zero while it is held.
	lostAt time.Time

	// until is the end of the lease in Unix nanoseconds of the clock.
	until atomic.Int64
	// published is a copy of closed for the request path.
	published atomic.Pointer[map[string]uint64]
}

// NewCore returns the state of a host that knows only itself.
func NewCore(self string) *Core {
	c := &Core{self: self, quorum: lease.NewQuorum(confirmationTTL, lease.DefaultMargin), closed: map[string]uint64{}, leaders: map[string]Leader{}}
	c.SetMembers([]string{self})
	c.publish()
	return c
}

func hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// SetMembers sets the names of all hosts that may be running, this host included, in
// ascending order.
func (c *Core) SetMembers(members []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Equal(members, c.members) {
		return
	}
	c.members = members
	c.names = make(map[uint32]string, len(members))
	c.order = make([]uint32, 0, len(members))
	all := xxhash.New()
	for _, name := range members {
		c.names[hash(name)] = name
		c.order = append(c.order, hash(name))
		_, _ = all.WriteString(name + "\x00")
	}
	c.membersHash = all.Sum64()
}

// Members returns the hashes of the names of the hosts that this host counts, in the
// order of the names, and a hash that identifies the list. The list must not be
// modified.
func (c *Core) Members() (order []uint32, hash uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.order, c.membersHash
}

// Tick confirms this host by itself and recomputes the end of the lease.
func (c *Core) Tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ownRead.IsZero() {
		c.quorum.Confirm(c.self, now)
	}
	c.updateLease(now)
}

func (c *Core) updateLease(now time.Time) {
	until := c.quorum.Until(c.members)
	if limit := c.storeRead.Add(maxStoreSilence); c.storeRead.IsZero() || limit.Before(until) {
		until = limit
	}
	// A host without a quorum may rely on the store, where the closed terms are
	// written first.
	usable := confirmationTTL - time.Duration(lease.DefaultMargin*float64(confirmationTTL))
	if own := c.ownRead.Add(usable); !c.ownRead.IsZero() && own.After(until) {
		until = own
	}
	c.until.Store(until.UnixNano())
	switch {
	case until.After(now):
		c.lostAt = time.Time{}
	case c.lostAt.IsZero():
		c.lostAt = now
	}
}

// Valid reports whether the host may use leaders now.
func (c *Core) Valid(now time.Time) bool { return now.UnixNano() < c.until.Load() }

// Lost returns for how long the lease has been found to be lost; zero while it is held.
func (c *Core) Lost(now time.Time) time.Duration {
	if c.Valid(now) {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lostAt.IsZero() {
		return time.Nanosecond
	}
	return max(now.Sub(c.lostAt), time.Nanosecond)
}

// Remaining returns how long the lease remains valid without further confirmations.
func (c *Core) Remaining(now time.Time) time.Duration {
	return max(0, time.Duration(c.until.Load()-now.UnixNano()))
}

// Closed returns the newest closed term of a service; 0 if none is closed.
func (c *Core) Closed(service string) uint64 { return (*c.published.Load())[service] }

// ClosedTerms returns the newest closed term of each service that has one. The result
// must not be modified.
func (c *Core) ClosedTerms() map[string]uint64 { return *c.published.Load() }

// Close closes all terms of a service up to the given one. It reports whether that
// changed anything.
func (c *Core) Close(service string, epoch uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closeTerm(service, epoch) {
		return false
	}
	c.publish()
	return true
}

func (c *Core) closeTerm(service string, epoch uint64) bool {
	if epoch <= c.closed[service] {
		return false
	}
	c.closed[service] = epoch
	return true
}

func (c *Core) publish() {
	copied := maps.Clone(c.closed)
	c.published.Store(&copied)
}

// StoreRead is what the store returned to a request for the closed terms.
type StoreRead struct {
	// Sent is when the request was sent.
	Sent time.Time
	// Generation is that of the store, and Settled the newest one that it records as
	// settled.
	Generation platform.Generation
	Settled    platform.Generation
	Closed     map[string]uint64
}

// RecordStoreRead records a read of the closed terms. In a generation that is not settled
// it adds closed terms but does not confirm that these are all.
func (c *Core) RecordStoreRead(now time.Time, read StoreRead) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.merge(read.Closed)
	c.observeGeneration(read.Generation, now)
	c.generations.settled = max(c.generations.settled, read.Settled)
	if !c.generations.isSettled(read.Generation) || read.Generation < c.generations.newest {
		return
	}
	sent := read.Sent
	if sent.After(c.ownRead) {
		c.ownRead = sent
	}
	if sent.After(c.storeRead) {
		c.storeRead = sent
	}
	c.updateLease(now)
}

// merge adds closed terms.
func (c *Core) merge(closed map[string]uint64) {
	changed := false
	for service, epoch := range closed {
		changed = c.closeTerm(service, epoch) || changed
	}
	if changed {
		c.publish()
	}
}

// Confirms reports whether this host knows the closed terms.
func (c *Core) Confirms() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.ownRead.IsZero()
}

// Heartbeat returns what this host knows at the given time.
func (c *Core) Heartbeat(now time.Time) Heartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := Heartbeat{
		Ages: map[uint32]time.Duration{}, Closed: maps.Clone(c.closed), Leaders: maps.Clone(c.leaders), StoreAge: -1,
		Members: c.order, MembersHash: c.membersHash,
		Settled: c.generations.settled, Confirms: !c.ownRead.IsZero(),
	}
	if !c.storeRead.IsZero() {
		h.StoreAge = now.Sub(c.storeRead)
	}
	for id, name := range c.names {
		at := c.quorum.Confirmed(name)
		if name == c.self && h.Confirms {
			at = now
		}
		if age := now.Sub(at); !at.IsZero() && age < confirmationTTL {
			h.Ages[id] = age
		}
	}
	return h
}

// Merge adds the answer of another host to a request that was sent at the given time.
// The terms that it knows to be closed are merged before its confirmations count.
func (c *Core) Merge(sent, now time.Time, h Heartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.merge(h.Closed)
	for service, leader := range h.Leaders {
		c.addLeader(service, leader)
	}
	c.generations.settled = max(c.generations.settled, h.Settled)
	if !h.Confirms {
		return
	}
	for id, age := range h.Ages {
		if name, ok := c.names[id]; ok && name != c.self {
			c.quorum.Confirm(name, sent.Add(-age))
		}
	}
	if at := sent.Add(-h.StoreAge); h.StoreAge >= 0 && at.After(c.storeRead) {
		c.storeRead = at
	}
	c.updateLease(now)
}

// AddLeader records that an instance has proved to lead a term of a service.
func (c *Core) AddLeader(service string, leader Leader) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addLeader(service, leader)
}

func (c *Core) addLeader(service string, leader Leader) {
	if leader.Epoch > c.leaders[service].Epoch {
		c.leaders[service] = leader
	}
}

// Alive reports whether a host was known to be running within confirmationTTL.
func (c *Core) Alive(name string, now time.Time) bool {
	at := c.quorum.Confirmed(name)
	return !at.IsZero() && now.Sub(at) < confirmationTTL
}

// Leader returns the newest proved leader of a service, or false if none is known.
func (c *Core) Leader(service string) (Leader, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	leader, ok := c.leaders[service]
	return leader, ok
}

// MergeClosed adds terms that another host knows to be closed.
func (c *Core) MergeClosed(closed map[string]uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.merge(closed)
}
