package membership

import (
	"math/bits"
	"slices"
	"time"
)

// expireInterval is the time between two scans for expired entries; the cost of
// a scan is linear in the size of the table.
const expireInterval = 500 * time.Millisecond

// Tick advances the time of the core to now and returns the calls that are due.
func (c *Core) Tick(now time.Time) []Action {
	c.expire(now)
	var out []Action
	if !now.Before(c.exchangeAt) {
		c.exchangeAt = now.Add(c.jitter(ExchangeInterval))
		out = c.exchangeInDomain(out)
	}
	if !now.Before(c.crossDomainAt) {
		c.crossDomainAt = now.Add(c.jitter(CrossDomainInterval))
		if e := c.pickFromOtherDomain(); e != nil {
			out = append(out, c.exchange(e))
		}
	}
	if !now.Before(c.reconnectAt) {
		c.reconnectAt = now.Add(c.jitter(ReconnectInterval))
		out = c.reconnect(out)
	}
	return out
}

// jitter returns a random duration within 5 percent of d, so that hosts that
// started together don't make their calls at the same time.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d - d/20 + time.Duration(c.rng.Int64N(int64(d/10)))
}

// expire declares members of the local domain dead that were suspect for
// SuspectTimeout, and removes entries after Retention.
func (c *Core) expire(now time.Time) {
	if now.Before(c.expireAt) {
		return
	}
	c.expireAt = now.Add(expireInterval)
	var old []string
	for _, name := range c.names {
		e := c.entries[name]
		age := now.Sub(e.changedAt)
		switch {
		case e == c.self:
		case e.member.State == StateSuspect && c.sameDomain(e.member) && age >= SuspectTimeout:
			c.setState(now, e, StateDead)
		case e.member.State >= StateDead && age >= Retention:
			old = append(old, name)
		case !c.sameDomain(e.member) && !hasRole(e.member) && !e.roleAt.IsZero() && now.Sub(e.roleAt) >= Retention:
			old = append(old, name)
		}
	}
	for _, name := range old {
		c.remove(name)
	}
}

func (c *Core) setState(now time.Time, e *entry, s State) {
	e.member.State = s
	e.changedAt = now
	c.changeCount++
	c.enqueue(e)
}

// exchangeInDomain contacts the next host of the local domain, or a random seed
// while no other host of the domain is known.
func (c *Core) exchangeInDomain(out []Action) []Action {
	if e := c.nextInRing(); e != nil {
		return append(out, c.exchange(e))
	}
	if len(c.seeds) == 0 {
		return out
	}
	if e := c.pickAlive(func(e *entry) bool { return e != c.self && c.sameDomain(e.member) }); e != nil {
		return out
	}
	return append(out, c.join(c.seeds[c.rng.IntN(len(c.seeds))]))
}

func (c *Core) join(address string) Action {
	return ExchangeCall{Address: address, Message: Message{Members: []Member{c.self.member}, Full: true}}
}

// nextInRing returns the next alive or suspect host of the local domain in
// round-robin order, which bounds the time until a failed host is contacted.
func (c *Core) nextInRing() *entry {
	for range len(c.ring) {
		name := c.ring[0]
		c.ring = append(c.ring[1:], name)
		if e := c.entries[name]; e.member.State == StateAlive || e.member.State == StateSuspect {
			return e
		}
	}
	return nil
}

// pickAlive returns a random alive entry for which match returns true, or nil.
func (c *Core) pickAlive(match func(*entry) bool) *entry {
	var candidates []*entry
	for _, name := range c.names {
		if e := c.entries[name]; e.member.State == StateAlive && match(e) {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[c.rng.IntN(len(candidates))]
}

// pickFromOtherDomain returns a random alive member of a random other domain. It
// returns an unreachable one only if the domain has no other alive member.
func (c *Core) pickFromOtherDomain() *entry {
	var domains []string
	for _, name := range c.names {
		m := c.entries[name].member
		if !c.sameDomain(m) && !slices.Contains(domains, m.Domain) {
			domains = append(domains, m.Domain)
		}
	}
	if len(domains) == 0 {
		return nil
	}
	domain := domains[c.rng.IntN(len(domains))]
	if e := c.pickAlive(func(e *entry) bool { return e.member.Domain == domain && !e.unreachable }); e != nil {
		return e
	}
	return c.pickAlive(func(e *entry) bool { return e.member.Domain == domain })
}

// reconnect contacts a random dead or unreachable member or seed.
func (c *Core) reconnect(out []Action) []Action {
	var candidates []*entry
	for _, name := range c.names {
		if e := c.entries[name]; e.member.State == StateDead || e.unreachable {
			candidates = append(candidates, e)
		}
	}
	n := c.rng.IntN(max(1, len(candidates)+len(c.seeds)))
	switch {
	case n < len(candidates):
		return append(out, c.exchange(candidates[n]))
	case n-len(candidates) < len(c.seeds):
		return append(out, c.join(c.seeds[n-len(candidates)]))
	}
	return out
}

func (c *Core) exchange(to *entry) Action {
	return ExchangeCall{
		Host:    to.member.Host,
		Address: to.member.Address,
		Message: Message{
			Members: c.payload(to.member.Host, to.member.Domain),
			Full:    !c.joined && c.sameDomain(to.member),
		},
	}
}

// payload returns the entries for a message to a host: the local host's entry,
// the receiver's if it is not listed as alive and so may have to be refuted,
// queued updates and anti-entropy entries.
func (c *Core) payload(host, domain string) []Member {
	members := []Member{c.self.member}
	included := map[string]bool{c.self.member.Host: true, host: true}
	if e := c.entries[host]; e != nil && e.member.State != StateAlive {
		members = append(members, e.member)
	}
	slices.SortStableFunc(c.queue, c.compareSends)
	limit := retransmitLimit(len(c.names))
	for _, name := range c.queue {
		if len(members) > maxUpdates-antiEntropyEntries {
			break
		}
		e := c.entries[name]
		if included[name] || !c.keptBy(e, domain) {
			continue
		}
		included[name] = true
		e.sends++
		members = append(members, e.member)
	}
	c.queue = slices.DeleteFunc(c.queue, func(name string) bool {
		e := c.entries[name]
		e.queued = e.sends < limit
		return !e.queued
	})
	return c.addAntiEntropy(members, included, domain)
}

// retransmitLimit returns how often an update is sent in a table of n members:
// three times the binary logarithm reaches every host with high probability.
func retransmitLimit(n int) int { return 3 * bits.Len(uint(n)) }

// keptBy reports whether every host of a domain keeps an entry in its table.
func (c *Core) keptBy(e *entry, domain string) bool {
	return e.member.Domain == domain || !e.roleAt.IsZero() || hasRole(e.member)
}

// addAntiEntropy appends the next entries of the rotation to those of a message
// to a host of the given domain: entries that all hosts of that domain keep, and
// alive members of the local domain, which other domains sample.
func (c *Core) addAntiEntropy(members []Member, included map[string]bool, domain string) []Member {
	added := 0
	for range c.names {
		if added == antiEntropyEntries {
			break
		}
		c.antiEntropyCursor = (c.antiEntropyCursor + 1) % len(c.names)
		e := c.entries[c.names[c.antiEntropyCursor]]
		wanted := c.keptBy(e, domain) || c.sameDomain(e.member) && e.member.State == StateAlive
		if !wanted || included[e.member.Host] {
			continue
		}
		members = append(members, e.member)
		included[e.member.Host] = true
		added++
	}
	return members
}

// Receive handles a message from another host and returns the reply.
func (c *Core) Receive(now time.Time, m Message) Message {
	if len(m.Members) == 0 {
		return Message{Members: []Member{c.self.member}}
	}
	from := m.Members[0]
	c.mergeMessage(now, m)
	if !m.Full {
		return Message{Members: c.payload(from.Host, from.Domain)}
	}
	reply := Message{Members: []Member{c.self.member}}
	for _, name := range c.names {
		e := c.entries[name]
		if e != c.self && (c.keptBy(e, from.Domain) || !c.sameDomain(e.member)) {
			reply.Members = append(reply.Members, e.member)
		}
	}
	return reply
}

// mergeMessage merges all entries of a message, whose sender is reachable now.
func (c *Core) mergeMessage(now time.Time, m Message) {
	for _, member := range m.Members {
		c.merge(now, member)
	}
	if e := c.entries[m.Members[0].Host]; e != nil && e.unreachable {
		e.unreachable = false
		c.changeCount++
	}
}

// ExchangeDone handles the result of an ExchangeCall. If a member of the local
// domain did not answer, it returns the calls that probe it indirectly.
func (c *Core) ExchangeDone(now time.Time, call ExchangeCall, reply Message, err error) []Action {
	if err == nil {
		if len(reply.Members) > 0 {
			c.mergeMessage(now, reply)
			c.joined = c.joined || call.Message.Full && c.sameDomain(reply.Members[0])
		}
		return nil
	}
	e, ok := c.entries[call.Host]
	if !ok || e == c.self || e.member.State != StateAlive {
		return nil
	}
	if !c.sameDomain(e.member) {
		if !e.unreachable {
			e.unreachable = true
			c.changeCount++
		}
		return nil
	}
	return c.probeIndirectly(now, e)
}

// probeIndirectly returns calls that ask other hosts of the domain to probe a
// member that did not answer. If there is no such host, the member is suspect.
func (c *Core) probeIndirectly(now time.Time, e *entry) []Action {
	if _, running := c.probes[e.member.Host]; running {
		return nil
	}
	var out []Action
	asked := map[string]bool{}
	for range indirectProbes {
		via := c.pickAlive(func(o *entry) bool {
			return o != c.self && o != e && c.sameDomain(o.member) && !asked[o.member.Host]
		})
		if via == nil {
			break
		}
		asked[via.member.Host] = true
		out = append(out, ProbeCall{Via: via.member.Address, TargetHost: e.member.Host, TargetAddress: e.member.Address})
	}
	if len(out) == 0 {
		c.setState(now, e, StateSuspect)
		return nil
	}
	c.probes[e.member.Host] = &probeState{pending: len(out), version: e.member.Version}
	return out
}

// ProbeDone handles the result of a ProbeCall. A member that no host reached
// becomes suspect.
func (c *Core) ProbeDone(now time.Time, call ProbeCall, reached bool) {
	p, ok := c.probes[call.TargetHost]
	if !ok {
		return
	}
	p.pending--
	e := c.entries[call.TargetHost]
	switch {
	case reached || e == nil:
		delete(c.probes, call.TargetHost)
	case p.pending == 0:
		delete(c.probes, call.TargetHost)
		if e.member.State == StateAlive && e.member.Version == p.version {
			c.setState(now, e, StateSuspect)
		}
	}
}
