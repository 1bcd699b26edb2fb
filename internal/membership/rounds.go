package membership

import (
	"math/bits"
	"slices"
	"time"
)

// expireInterval spaces the scans of the table, which cost as much as the table
// is long.
const expireInterval = 500 * time.Millisecond

// Tick lets time pass and returns the calls that are due.
func (c *Core) Tick(now time.Time) []Action {
	c.expire(now)
	var out []Action
	if !now.Before(c.exchangeAt) {
		c.exchangeAt = now.Add(c.jitter(ExchangeInterval))
		out = c.exchangeOwn(out)
	}
	if !now.Before(c.crossAt) {
		c.crossAt = now.Add(c.jitter(CrossDomainInterval))
		if e := c.pickForeign(); e != nil {
			out = append(out, c.exchange(e))
		}
	}
	if !now.Before(c.repairAt) {
		c.repairAt = now.Add(c.jitter(ReconnectInterval))
		out = c.repair(out)
	}
	return out
}

// jitter spreads the exchanges of hosts that started together by a tenth.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d - d/20 + time.Duration(c.rng.Int64N(int64(d/10)))
}

// expire turns suspects into dead members and forgets old ones.
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
		case e.member.State == StateSuspect && c.own(e.member) && age >= SuspectTimeout:
			c.setState(now, e, StateDead)
		case e.member.State >= StateDead && age >= Retention:
			old = append(old, name)
		case !c.own(e.member) && !special(e.member) && !e.specialAt.IsZero() && now.Sub(e.specialAt) >= Retention:
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
	c.changes++
	c.news(e)
}

// exchangeOwn contacts the next host of the own domain, or seeds while none is
// known.
func (c *Core) exchangeOwn(out []Action) []Action {
	if e := c.nextInRing(); e != nil {
		return append(out, c.exchange(e))
	}
	if len(c.seeds) == 0 {
		return out
	}
	if e := c.pickAlive(func(e *entry) bool { return e != c.self && c.own(e.member) }); e != nil {
		return out
	}
	return append(out, c.join(c.seeds[c.rng.IntN(len(c.seeds))]))
}

func (c *Core) join(address string) Action {
	return ExchangeCall{Address: address, Message: Message{Members: []Member{c.self.member}, Full: true}}
}

// nextInRing returns the next alive or suspect host of the own domain. Each is
// contacted once per turn of the ring, which bounds the time of detection.
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

// pickAlive returns a random alive entry that a condition admits.
func (c *Core) pickAlive(admits func(*entry) bool) *entry {
	var choice []*entry
	for _, name := range c.names {
		if e := c.entries[name]; e.member.State == StateAlive && admits(e) {
			choice = append(choice, e)
		}
	}
	if len(choice) == 0 {
		return nil
	}
	return choice[c.rng.IntN(len(choice))]
}

// pickForeign returns a random member of a random other domain. Members that
// do not answer are tried when the domain has no other.
func (c *Core) pickForeign() *entry {
	var domains []string
	for _, name := range c.names {
		m := c.entries[name].member
		if !c.own(m) && !slices.Contains(domains, m.Domain) {
			domains = append(domains, m.Domain)
		}
	}
	if len(domains) == 0 {
		return nil
	}
	domain := domains[c.rng.IntN(len(domains))]
	if e := c.pickAlive(func(e *entry) bool { return e.member.Domain == domain && !e.silent }); e != nil {
		return e
	}
	return c.pickAlive(func(e *entry) bool { return e.member.Domain == domain })
}

// repair contacts a dead or silent member or a seed.
func (c *Core) repair(out []Action) []Action {
	var dead []*entry
	for _, name := range c.names {
		if e := c.entries[name]; e.member.State == StateDead || e.silent {
			dead = append(dead, e)
		}
	}
	n := c.rng.IntN(max(1, len(dead)+len(c.seeds)))
	switch {
	case n < len(dead):
		return append(out, c.exchange(dead[n]))
	case n-len(dead) < len(c.seeds):
		return append(out, c.join(c.seeds[n-len(dead)]))
	}
	return out
}

func (c *Core) exchange(to *entry) Action {
	return ExchangeCall{
		Host:    to.member.Host,
		Address: to.member.Address,
		Message: Message{
			Members: c.payload(to.member.Host, to.member.Domain),
			Full:    !c.joined && c.own(to.member),
		},
	}
}

// payload lists the entries for one message: the own one, the receiver's if it
// has to refute it, news, and some entries in turn.
func (c *Core) payload(host, domain string) []Member {
	members := []Member{c.self.member}
	carried := map[string]bool{c.self.member.Host: true, host: true}
	if e := c.entries[host]; e != nil && e.member.State != StateAlive {
		members = append(members, e.member)
	}
	slices.SortStableFunc(c.queue, c.compareNews)
	limit := transmissions(len(c.names))
	for _, name := range c.queue {
		if len(members) > maxUpdates-fillers {
			break
		}
		e := c.entries[name]
		if carried[name] || !c.concerns(e, domain) {
			continue
		}
		carried[name] = true
		e.sends++
		members = append(members, e.member)
	}
	c.queue = slices.DeleteFunc(c.queue, func(name string) bool {
		e := c.entries[name]
		e.queued = e.sends < limit
		return !e.queued
	})
	return c.fill(members, carried, domain)
}

// transmissions is how often an entry is sent before it is no longer news:
// three times the logarithm reaches every host with high probability.
func transmissions(n int) int { return 3 * bits.Len(uint(n)) }

// concerns reports whether a host of a domain keeps an entry.
func (c *Core) concerns(e *entry, domain string) bool {
	return e.member.Domain == domain || !e.specialAt.IsZero() || special(e.member)
}

// fill adds entries in turn: those that every host keeps, and to the own
// domain all of it. Another domain also gets plain members for its sample.
func (c *Core) fill(members []Member, carried map[string]bool, domain string) []Member {
	added := 0
	for range c.names {
		if added == fillers {
			break
		}
		c.filler = (c.filler + 1) % len(c.names)
		e := c.entries[c.names[c.filler]]
		wanted := c.concerns(e, domain) || c.own(e.member) && e.member.State == StateAlive
		if !wanted || carried[e.member.Host] {
			continue
		}
		members = append(members, e.member)
		carried[e.member.Host] = true
		added++
	}
	return members
}

// Receive takes a message and returns the reply.
func (c *Core) Receive(now time.Time, m Message) Message {
	if len(m.Members) == 0 {
		return Message{Members: []Member{c.self.member}}
	}
	from := m.Members[0]
	c.take(now, m)
	if !m.Full {
		return Message{Members: c.payload(from.Host, from.Domain)}
	}
	reply := Message{Members: []Member{c.self.member}}
	for _, name := range c.names {
		e := c.entries[name]
		if e != c.self && (c.concerns(e, from.Domain) || !c.own(e.member)) {
			reply.Members = append(reply.Members, e.member)
		}
	}
	return reply
}

func (c *Core) take(now time.Time, m Message) {
	for _, member := range m.Members {
		c.merge(now, member)
	}
	if e := c.entries[m.Members[0].Host]; e != nil && e.silent {
		e.silent = false
		c.changes++
	}
}

// ExchangeDone takes the end of an ExchangeCall.
func (c *Core) ExchangeDone(now time.Time, call ExchangeCall, reply Message, err error) []Action {
	if err == nil {
		if len(reply.Members) > 0 {
			c.take(now, reply)
			c.joined = c.joined || call.Message.Full && c.own(reply.Members[0])
		}
		return nil
	}
	e, ok := c.entries[call.Host]
	if !ok || e == c.self || e.member.State != StateAlive {
		return nil
	}
	if !c.own(e.member) {
		if !e.silent {
			e.silent = true
			c.changes++
		}
		return nil
	}
	return c.probeIndirectly(now, e)
}

// probeIndirectly asks other hosts of the domain to reach a silent member.
func (c *Core) probeIndirectly(now time.Time, e *entry) []Action {
	if _, running := c.probes[e.member.Host]; running {
		return nil
	}
	var out []Action
	asked := map[string]bool{}
	for range indirectProbes {
		via := c.pickAlive(func(o *entry) bool {
			return o != c.self && o != e && c.own(o.member) && !asked[o.member.Host]
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
	c.probes[e.member.Host] = &indirect{pending: len(out), version: e.member.Version}
	return out
}

// ProbeDone takes the end of a ProbeCall.
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
