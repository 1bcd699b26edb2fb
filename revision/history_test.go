package revision_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleylever/bramleylever/revision"
)

// boundReal is the bound in real time for the slowest clock.
const boundReal = 10 * time.Second * 100 / 99

// host is one replica of the model with its own clock.
type host struct {
	*replica
	domain      int
	rate        float64
	incarnation int
	highest     int64
}

// message is on its way; deliver runs when it arrives.
type message struct {
	from, to, incarnation int
	deliver               func()
}

type sample struct {
	at    time.Duration
	level int64
}

// quorum is one majority of domains and what it is known to contain.
type quorum struct {
	domains []int
	samples []sample
	// floor is the highest revision that all started replicas of the domains
	// contained throughout one whole period of the bound.
	floor int64
}

// model is a store, hosts in domains, and the messages between them.
type model struct {
	*rapid.T
	origin   time.Time
	now      time.Duration
	names    []string
	hosts    []*host
	accepted []int64
	times    []time.Duration
	storeRev int64
	// storeCut and cut isolate whole domains from the store and from others.
	storeCut, cut []bool
	messages      []message
	quorums       []*quorum
}

func newModel(t *rapid.T) *model {
	m := &model{T: t, origin: time.Now(), storeRev: 1}
	for d := range rapid.IntRange(3, 4).Draw(t, "domains") {
		m.names = append(m.names, fmt.Sprint("d", d))
	}
	m.storeCut, m.cut = make([]bool, len(m.names)), make([]bool, len(m.names))
	for d := range m.names {
		for range rapid.IntRange(1, 2).Draw(t, "hosts") {
			rate := rapid.Float64Range(0.99, 1.01).Draw(t, "rate")
			m.hosts = append(m.hosts, &host{domain: d, rate: rate, replica: newReplica(m.names[d], m.names)})
		}
	}
	for set := range 1 << len(m.names) {
		var domains []int
		for d := range m.names {
			if set&(1<<d) != 0 {
				domains = append(domains, d)
			}
		}
		if 2*len(domains) > len(m.names) {
			m.quorums = append(m.quorums, &quorum{domains: domains})
		}
	}
	return m
}

func (m *model) clock(h *host) time.Time {
	return m.origin.Add(time.Duration(float64(m.now) * h.rate))
}

func (m *model) pick(label string) int {
	return rapid.IntRange(0, len(m.hosts)-1).Draw(m.T, label)
}

func (m *model) reachable(a, b int) bool {
	x, y := m.hosts[a].domain, m.hosts[b].domain
	return x == y || (!m.cut[x] && !m.cut[y])
}

// send puts a message on its way; it may be delivered late, twice or never.
func (m *model) send(from, to int, deliver func()) {
	m.messages = append(m.messages, message{from, to, m.hosts[to].incarnation, deliver})
}

func (m *model) accept() {
	m.storeRev += rapid.Int64Range(1, 3).Draw(m.T, "revisions")
	m.accepted = append(m.accepted, m.storeRev)
	m.times = append(m.times, m.now)
}

// through returns the accepted revisions up to one.
func (m *model) through(at int64) []int64 {
	n, found := slices.BinarySearch(m.accepted, at)
	if found {
		n++
	}
	return m.accepted[:n]
}

// changesSince returns the changes of the store as a watch delivers them.
func (m *model) changesSince(after int64) []revision.Change[int64] {
	var out []revision.Change[int64]
	previous := after
	for _, at := range m.accepted {
		if at > after {
			out = append(out, revision.Change[int64]{Previous: previous, Revision: at, Body: at})
			previous = at
		}
	}
	return out
}

// readStore asks the store; the answer shows its state when it was asked or
// later.
func (m *model) readStore() {
	i := m.pick("reader")
	h := m.hosts[i]
	if m.storeCut[h.domain] {
		return
	}
	asked, at, known := m.clock(h), m.storeRev, h.Revision()
	state, changes := slices.Clone(m.through(at)), m.changesSince(known)
	m.send(i, i, func() {
		if known == 0 {
			h.Adopt(at, state)
		}
		for _, c := range changes {
			if h.Apply(c) == revision.Gap {
				return
			}
		}
		h.ConfirmByStore(m.clock(h), asked)
	})
}

func (m *model) push() {
	from, to := m.pick("pusher"), m.pick("receiver")
	changes, ok := m.hosts[from].Since(rapid.Int64Range(1, m.storeRev).Draw(m.T, "after"))
	if !ok || len(changes) == 0 {
		return
	}
	c := changes[rapid.IntRange(0, len(changes)-1).Draw(m.T, "change")]
	receiver := m.hosts[to]
	m.send(from, to, func() { receiver.Apply(c) })
}

func (m *model) fetch() {
	from, to := m.pick("asker"), m.pick("asked")
	asker, peer := m.hosts[from], m.hosts[to]
	asked, after, incarnation := m.clock(asker), asker.Revision(), asker.incarnation
	// An answer may leave the changes out, for example to bound its size.
	bare := rapid.IntRange(0, 4).Draw(m.T, "bare") == 0
	m.send(from, to, func() {
		confirmation := peer.Confirmation(m.clock(peer))
		if confirmation.Revision == 0 {
			return
		}
		changes, ok := peer.Since(after)
		if bare {
			changes, ok = nil, true
		}
		at, state := peer.Revision(), peer.State()
		m.messages = append(m.messages, message{to, from, incarnation, func() {
			if !ok {
				asker.Adopt(at, state)
			}
			for _, c := range changes {
				asker.Apply(c)
			}
			asker.ConfirmByPeer(m.clock(asker), asked, confirmation)
		}})
	})
}

// converse lets one host ask another without loss; the answer may be slow.
func (m *model) converse(slow bool) {
	sent := len(m.messages)
	m.fetch()
	for len(m.messages) > sent {
		m.deliverAt(len(m.messages) - 1)
		if slow {
			m.wait()
		}
	}
}

func (m *model) wait() {
	m.advance(rapid.Int64Range(0, int64(7*time.Second)).Draw(m.T, "time"))
}

func (m *model) deliver() {
	if len(m.messages) > 0 {
		m.deliverAt(rapid.IntRange(0, len(m.messages)-1).Draw(m.T, "message"))
	}
}

func (m *model) deliverAt(i int) {
	msg := m.messages[i]
	if rapid.IntRange(0, 9).Draw(m.T, "duplicate") > 0 {
		m.messages = slices.Delete(m.messages, i, i+1)
	}
	if msg.incarnation == m.hosts[msg.to].incarnation && m.reachable(msg.from, msg.to) {
		msg.deliver()
	}
}

func (m *model) restart() {
	i := m.pick("restarted")
	old := m.hosts[i]
	m.hosts[i] = &host{
		domain: old.domain, rate: old.rate, incarnation: old.incarnation + 1,
		replica: newReplica(m.names[old.domain], m.names),
	}
}

func (m *model) step() {
	switch choice := rapid.IntRange(0, 29).Draw(m.T, "step"); {
	case choice < 1:
		m.accept()
	case choice < 4:
		m.readStore()
	case choice < 5:
		m.push()
	case choice < 8:
		m.fetch()
	case choice < 16:
		m.converse(choice < 12)
	case choice < 23:
		m.deliver()
	case choice < 27:
		m.wait()
	case choice < 28:
		m.restart()
	default:
		m.cutDomain(rapid.IntRange(0, len(m.names)-1).Draw(m.T, "domain"))
	}
}

func (m *model) cutDomain(d int) {
	m.storeCut[d] = rapid.IntRange(0, 3).Draw(m.T, "store cut") > 0
	m.cut[d] = rapid.IntRange(0, 3).Draw(m.T, "cut") == 0
}

// settle starts all hosts at the first revision and then begins with random
// cuts, as a fleet that has run for a while.
func (m *model) settle() {
	m.accept()
	for _, h := range m.hosts {
		h.Adopt(m.storeRev, slices.Clone(m.through(m.storeRev)))
		h.ConfirmByStore(m.clock(h), m.clock(h))
	}
	for d := range m.names {
		m.cutDomain(d)
	}
}

// advance moves the time and updates what each majority contained throughout
// the last period of the bound.
func (m *model) advance(by int64) {
	m.record()
	m.now += time.Duration(by)
	from := m.now - boundReal
	if from < 0 {
		return
	}
	for _, q := range m.quorums {
		first := 0
		for i, s := range q.samples {
			if s.at <= from {
				first = i
			}
		}
		q.samples = q.samples[first:]
		if len(q.samples) == 0 || q.samples[0].at > from {
			continue
		}
		lowest := q.samples[0].level
		for _, s := range q.samples {
			lowest = min(lowest, s.level)
		}
		q.floor = max(q.floor, lowest)
	}
}

// record notes which revision all started replicas of each majority contain.
func (m *model) record() {
	for _, q := range m.quorums {
		level := m.storeRev
		for _, h := range m.hosts {
			if h.Started() && slices.Contains(q.domains, h.domain) {
				level = min(level, h.Revision())
			}
		}
		// The last level of a moment stays in force until the next one.
		q.samples = append(q.samples, sample{m.now, level})
	}
}

func (m *model) check() {
	for i, h := range m.hosts {
		if h.Revision() < h.highest {
			m.Fatalf("host %d went from revision %d back to %d", i, h.highest, h.Revision())
		}
		h.highest = h.Revision()
		if h.Revision() > 0 && !slices.Equal(h.State(), m.through(h.Revision())) {
			m.Fatalf("host %d at revision %d has %v, the store had %v",
				i, h.Revision(), h.State(), m.through(h.Revision()))
		}
		s := h.Status(m.clock(h))
		if s.Confirmed != h.Confirmed(m.clock(h)) || (s.Confirmed && !s.ByStore && !s.ByDomains) {
			m.Fatalf("host %d: contradictory status %+v", i, s)
		}
		if s.ByStore {
			m.checkStore(i, h)
		}
		if s.Confirmed {
			m.checkQuorums(i, h)
		}
	}
}

func (m *model) checkStore(i int, h *host) {
	for n, at := range m.accepted {
		if m.times[n] < m.now-boundReal && h.Revision() < at {
			m.Fatalf("host %d is confirmed by the store at revision %d, but %d was accepted %v before",
				i, h.Revision(), at, m.now-m.times[n])
		}
	}
}

func (m *model) checkQuorums(i int, h *host) {
	for _, q := range m.quorums {
		if h.Revision() < q.floor {
			m.Fatalf("host %d is confirmed at revision %d, but domains %v all had %d",
				i, h.Revision(), q.domains, q.floor)
		}
	}
}

// Guards against every way in which loss, reordering, duplication, pauses,
// restarts without state and cuts could let a host go back, skip a change or
// count as confirmed without the changes that it must have.
func TestPromiseRevisionHistories(t *testing.T) {
	var confirmedByStore, confirmedByDomains int
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		if rapid.Bool().Draw(t, "settled") {
			m.settle()
		}
		for range rapid.IntRange(60, 120).Draw(t, "steps") {
			m.step()
			m.check()
		}
		for _, h := range m.hosts {
			s := h.Status(m.clock(h))
			if s.Confirmed && s.ByStore {
				confirmedByStore++
			}
			if s.Confirmed && s.ByDomains {
				confirmedByDomains++
			}
		}
	})
	// A model in which hosts are seldom confirmed would prove nothing.
	if confirmedByStore < 1000 || confirmedByDomains < 1000 {
		t.Fatalf("confirmed at the end: %d by the store, %d by domains", confirmedByStore, confirmedByDomains)
	}
	t.Logf("confirmed at the end: %d by the store, %d by domains", confirmedByStore, confirmedByDomains)
}
