package revision_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleylever/bramleylever/revision"
)

// maxRealBound is how long the bound takes, in real time, on the slowest clock.
const maxRealBound = 10 * time.Second * 100 / 99

// host is one replica of the model with its own clock.
type host struct {
	*replica
	domain      int
	rate        float64
	incarnation int
	highest     int64
}

// message is a message in flight; deliver runs when it arrives.
type message struct {
	from, to, incarnation int
	deliver               func()
}

type sample struct {
	at          time.Duration
	minRevision int64
}

// majority is a set of more than half of the domains, with the revisions that its
// replicas contained over time.
type majority struct {
	domains []int
	samples []sample
	// required is the highest revision that all started replicas of the domains
	// contained throughout a period as long as the bound. Every replica that is
	// confirmed must contain it.
	required int64
}

// model simulates a store, hosts in failure domains, and the messages between them.
type model struct {
	*rapid.T
	origin        time.Time
	now           time.Duration
	names         []string
	hosts         []*host
	accepted      []int64
	times         []time.Duration
	storeRevision int64
	// storeUnreachable marks the domains that do not reach the store, and isolated those
	// that do not reach other domains.
	storeUnreachable, isolated []bool
	messages                   []message
	majorities                 []*majority
}

func newModel(t *rapid.T) *model {
	m := &model{T: t, origin: time.Now(), storeRevision: 1}
	for d := range rapid.IntRange(3, 4).Draw(t, "domains") {
		m.names = append(m.names, fmt.Sprint("d", d))
	}
	m.storeUnreachable, m.isolated = make([]bool, len(m.names)), make([]bool, len(m.names))
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
			m.majorities = append(m.majorities, &majority{domains: domains})
		}
	}
	return m
}

func (m *model) clock(h *host) time.Time {
	return m.origin.Add(time.Duration(float64(m.now) * h.rate))
}

func (m *model) drawHost(label string) int {
	return rapid.IntRange(0, len(m.hosts)-1).Draw(m.T, label)
}

func (m *model) reachable(a, b int) bool {
	x, y := m.hosts[a].domain, m.hosts[b].domain
	return x == y || (!m.isolated[x] && !m.isolated[y])
}

// send adds a message to those in flight; it may be delivered late, more than once or
// never.
func (m *model) send(from, to int, deliver func()) {
	m.messages = append(m.messages, message{from, to, m.hosts[to].incarnation, deliver})
}

func (m *model) accept() {
	m.storeRevision += rapid.Int64Range(1, 3).Draw(m.T, "revisions")
	m.accepted = append(m.accepted, m.storeRevision)
	m.times = append(m.times, m.now)
}

// acceptedUpTo returns the accepted revisions up to and including the given one.
func (m *model) acceptedUpTo(at int64) []int64 {
	n, found := slices.BinarySearch(m.accepted, at)
	if found {
		n++
	}
	return m.accepted[:n]
}

// changesSince returns the changes after a revision, as a watch on the store delivers
// them.
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

// readStore makes a host request the changes since its revision from the store. The
// answer is the state of the store at the time of the request.
func (m *model) readStore() {
	i := m.drawHost("reader")
	h := m.hosts[i]
	if m.storeUnreachable[h.domain] {
		return
	}
	requestedAt, at, known := m.clock(h), m.storeRevision, h.Revision()
	state, changes := slices.Clone(m.acceptedUpTo(at)), m.changesSince(known)
	m.send(i, i, func() {
		if known == 0 {
			h.Adopt(at, state)
		}
		for _, c := range changes {
			if h.Apply(c) == revision.Gap {
				return
			}
		}
		h.ConfirmByStore(m.clock(h), requestedAt)
	})
}

func (m *model) push() {
	from, to := m.drawHost("pusher"), m.drawHost("receiver")
	changes, ok := m.hosts[from].Since(rapid.Int64Range(1, m.storeRevision).Draw(m.T, "after"))
	if !ok || len(changes) == 0 {
		return
	}
	c := changes[rapid.IntRange(0, len(changes)-1).Draw(m.T, "change")]
	receiver := m.hosts[to]
	m.send(from, to, func() { receiver.Apply(c) })
}

func (m *model) fetch() {
	from, to := m.drawHost("requester"), m.drawHost("peer")
	requester, peer := m.hosts[from], m.hosts[to]
	requestedAt, after, incarnation := m.clock(requester), requester.Revision(), requester.incarnation
	// A peer may omit the changes, for example to limit the size of its answer.
	omitChanges := rapid.IntRange(0, 4).Draw(m.T, "omit changes") == 0
	m.send(from, to, func() {
		confirmation := peer.Confirmation(m.clock(peer))
		if confirmation.Revision == 0 {
			return
		}
		changes, ok := peer.Since(after)
		if omitChanges {
			changes, ok = nil, true
		}
		at, state := peer.Revision(), peer.State()
		m.messages = append(m.messages, message{to, from, incarnation, func() {
			if !ok {
				requester.Adopt(at, state)
			}
			for _, c := range changes {
				requester.Apply(c)
			}
			requester.ConfirmByPeer(m.clock(requester), requestedAt, confirmation)
		}})
	})
}

// exchange makes one host fetch from another without loss; with slow, time passes after
// each message.
func (m *model) exchange(slow bool) {
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
	i := m.drawHost("restarted")
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
		m.exchange(choice < 12)
	case choice < 23:
		m.deliver()
	case choice < 27:
		m.wait()
	case choice < 28:
		m.restart()
	default:
		m.drawReachability(rapid.IntRange(0, len(m.names)-1).Draw(m.T, "domain"))
	}
}

func (m *model) drawReachability(d int) {
	m.storeUnreachable[d] = rapid.IntRange(0, 3).Draw(m.T, "store unreachable") > 0
	m.isolated[d] = rapid.IntRange(0, 3).Draw(m.T, "isolated") == 0
}

// startAll starts all hosts at the first revision and then draws which domains are
// isolated, so that a history can begin with a fleet that is already running.
func (m *model) startAll() {
	m.accept()
	for _, h := range m.hosts {
		h.Adopt(m.storeRevision, slices.Clone(m.acceptedUpTo(m.storeRevision)))
		h.ConfirmByStore(m.clock(h), m.clock(h))
	}
	for d := range m.names {
		m.drawReachability(d)
	}
}

// advance advances the time and updates, for each majority, the revision that its
// replicas contained throughout the last period as long as the bound.
func (m *model) advance(by int64) {
	m.recordSamples()
	m.now += time.Duration(by)
	from := m.now - maxRealBound
	if from < 0 {
		return
	}
	for _, group := range m.majorities {
		first := 0
		for i, s := range group.samples {
			if s.at <= from {
				first = i
			}
		}
		group.samples = group.samples[first:]
		if len(group.samples) == 0 || group.samples[0].at > from {
			continue
		}
		lowest := group.samples[0].minRevision
		for _, s := range group.samples {
			lowest = min(lowest, s.minRevision)
		}
		group.required = max(group.required, lowest)
	}
}

// recordSamples records, for each majority, the highest revision that all its started
// replicas contain now.
func (m *model) recordSamples() {
	for _, group := range m.majorities {
		lowest := m.storeRevision
		for _, h := range m.hosts {
			if h.Started() && slices.Contains(group.domains, h.domain) {
				lowest = min(lowest, h.Revision())
			}
		}
		// Of several samples at the same time, the last is valid until the next.
		group.samples = append(group.samples, sample{m.now, lowest})
	}
}

func (m *model) check() {
	for i, h := range m.hosts {
		if h.Revision() < h.highest {
			m.Fatalf("host %d went from revision %d back to %d", i, h.highest, h.Revision())
		}
		h.highest = h.Revision()
		if h.Revision() > 0 && !slices.Equal(h.State(), m.acceptedUpTo(h.Revision())) {
			m.Fatalf("host %d at revision %d has %v, the store had %v",
				i, h.Revision(), h.State(), m.acceptedUpTo(h.Revision()))
		}
		s := h.Status(m.clock(h))
		if s.Confirmed != h.Confirmed(m.clock(h)) || (s.Confirmed && !s.ByStore && !s.ByDomains) {
			m.Fatalf("host %d: contradictory status %+v", i, s)
		}
		if s.ByStore {
			m.checkStore(i, h)
		}
		if s.Confirmed {
			m.checkMajorities(i, h)
		}
	}
}

func (m *model) checkStore(i int, h *host) {
	for n, at := range m.accepted {
		if m.times[n] < m.now-maxRealBound && h.Revision() < at {
			m.Fatalf("host %d is confirmed by the store at revision %d, but %d was accepted %v before",
				i, h.Revision(), at, m.now-m.times[n])
		}
	}
}

func (m *model) checkMajorities(i int, h *host) {
	for _, group := range m.majorities {
		if h.Revision() < group.required {
			m.Fatalf("host %d is confirmed at revision %d, but domains %v all had %d",
				i, h.Revision(), group.domains, group.required)
		}
	}
}

// Guards against hosts that go back to an older revision, skip a change, or are
// confirmed without the changes that they must contain, when messages are lost,
// reordered, duplicated or delayed, hosts restart without state, and domains are
// isolated.
func TestPromiseRevisionHistories(t *testing.T) {
	var confirmedByStore, confirmedByDomains int
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		if rapid.Bool().Draw(t, "all started") {
			m.startAll()
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
	// If hosts were seldom confirmed, the checks of confirmed hosts would rarely run.
	if confirmedByStore < 1000 || confirmedByDomains < 1000 {
		t.Fatalf("confirmed at the end: %d by the store, %d by domains", confirmedByStore, confirmedByDomains)
	}
	t.Logf("confirmed at the end: %d by the store, %d by domains", confirmedByStore, confirmedByDomains)
}
