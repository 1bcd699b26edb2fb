package leadership

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleylever/bramleylever/internal/platform"
)

const (
	testService = "orders"
	testEpoch   = 7
)

// simulation is a fleet of cores with messages that are delayed, lost and reordered,
// hosts that freeze and restart, and a store that may be away.
type simulation struct {
	now    time.Time
	names  []string
	cores  map[string]*Core
	frozen map[string]time.Time
	// stored holds the closed terms in the store, generation is that of the store, and
	// settled the newest one that it records as settled.
	stored     map[string]uint64
	generation platform.Generation
	settled    platform.Generation
	// copied is an older copy of stored, or nil.
	copied  map[string]uint64
	inbox   []delivery
	closing *Closing
	closer  string
	guards  safeguards
}

// delivery is a message that arrives at a host at a time.
type delivery struct {
	at     time.Time
	to     string
	action func()
}

func newSimulation(hosts int, guards safeguards) *simulation {
	s := &simulation{
		guards: guards,
		now:    time.Unix(1000, 0), cores: map[string]*Core{}, frozen: map[string]time.Time{}, stored: map[string]uint64{},
		generation: platform.FirstGeneration,
	}
	for i := range hosts {
		s.names = append(s.names, fmt.Sprintf("h%d", i))
	}
	for _, name := range s.names {
		s.restart(name)
	}
	return s
}

func (s *simulation) restart(name string) {
	c := NewCore(name)
	c.SetMembers(s.names)
	s.cores[name] = c
}

// deliver runs an action at a host after a delay, or later if the host is frozen, on
// the process that runs now: messages to a process that has been replaced are lost.
func (s *simulation) deliver(delay time.Duration, to string, action func()) {
	core := s.cores[to]
	s.inbox = append(s.inbox, delivery{at: s.now.Add(delay), to: to, action: func() {
		if s.cores[to] == core {
			action()
		}
	}})
}

// advance moves the time forward and delivers what is due, in order.
func (s *simulation) advance(d time.Duration) {
	end := s.now.Add(d)
	for {
		next := -1
		for i, m := range s.inbox {
			if until := s.frozen[m.to]; m.at.Before(until) {
				s.inbox[i].at = until
			}
			if !s.inbox[i].at.After(end) && (next < 0 || s.inbox[i].at.Before(s.inbox[next].at)) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		m := s.inbox[next]
		s.inbox = append(s.inbox[:next], s.inbox[next+1:]...)
		if m.at.After(s.now) {
			s.now = m.at
		}
		m.action()
	}
	s.now = end
}

// pull makes one host ask another for a heartbeat.
func (s *simulation) pull(from, to string, there, back time.Duration) {
	sent := s.now
	s.deliver(there, to, func() {
		h := s.cores[to].Heartbeat(s.now)
		if !s.guards.closedSpread {
			h.Closed = nil
		}
		if !s.guards.confirmsKnowing {
			h.Confirms, h.Ages[hash(to)] = true, 0
		}
		s.deliver(back, from, func() {
			s.cores[from].Merge(sent, s.now, h)
			s.cores[from].RecordAnswer(to, sent, h.Confirms)
		})
	})
}

func (s *simulation) readStore(host string, there, back time.Duration) {
	sent := s.now
	// The read happens at the store, which is not frozen.
	s.inbox = append(s.inbox, delivery{at: s.now.Add(there), action: func() {
		read := StoreRead{Sent: sent, Generation: s.generation, Settled: s.settled, Closed: maps.Clone(s.stored)}
		if !s.guards.settledOnly {
			read.Settled = read.Generation
		}
		s.deliver(back, host, func() { s.cores[host].RecordStoreRead(s.now, read) })
	}})
}

// begin starts to close the term.
func (s *simulation) begin(host string) {
	s.closer = host
	if s.guards.recorded {
		s.stored[testService] = testEpoch
	}
	s.cores[host].Close(testService, testEpoch)
	s.closing = NewClosing(host, s.names, s.now)
}

// requestClose asks a host to acknowledge the closing.
func (s *simulation) requestClose(host string, there, back time.Duration) {
	s.deliver(there, host, func() {
		s.cores[host].Close(testService, testEpoch)
		s.inbox = append(s.inbox, delivery{at: s.now.Add(back), to: s.closer, action: func() { s.closing.Acknowledge(host, s.now) }})
	})
}

// user returns a host that may use a leader of the closed term, or "".
func (s *simulation) user() string {
	for _, name := range s.names {
		c := s.cores[name]
		if c.Valid(s.now) && c.Closed(testService) < testEpoch && !s.now.Before(s.frozen[name]) {
			return name
		}
	}
	return ""
}

// safeguards that a test switches off.
type safeguards struct {
	// closedSpread says that heartbeats carry closed terms.
	closedSpread bool
	// wait says that a closing waits until old confirmations have expired.
	wait bool
	// recorded says that the store holds the record before the closing.
	recorded bool
	// settledOnly says that reads of a restored store count only once its generation is
	// settled, and recordedAgain that closed terms are recorded again in it.
	settledOnly   bool
	recordedAgain bool
	// confirmsKnowing says that a host confirms only once it knows the closed terms.
	confirmsKnowing bool
}

var allSafeguards = safeguards{closedSpread: true, wait: true, recorded: true, confirmsKnowing: true, settledOnly: true, recordedAgain: true}

// violation runs a random history and returns a host that used the leader after the
// closing had ended, or "".
func violation(t *rapid.T, guards safeguards) string {
	s := newSimulation(rapid.IntRange(1, 7).Draw(t, "hosts"), guards)
	host := rapid.SampledFrom(s.names)
	delay := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.SampledFrom([]int{0, 1, 5, 40, 300, 2500}).Draw(t, "ms")) * time.Millisecond
	})
	for range rapid.IntRange(20, 120).Draw(t, "steps") {
		switch rapid.IntRange(0, 9).Draw(t, "step") {
		case 0, 1, 2, 3:
			from, to := host.Draw(t, "from"), host.Draw(t, "to")
			if from != to {
				s.pull(from, to, delay.Draw(t, "there"), delay.Draw(t, "back"))
			}
		case 4:
			s.readStore(host.Draw(t, "reader"), delay.Draw(t, "there"), delay.Draw(t, "back"))
		case 5:
			name := host.Draw(t, "restarted")
			if name != s.closer {
				s.restart(name)
			}
		case 6:
			name := host.Draw(t, "frozen")
			s.frozen[name] = s.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "freeze")) * time.Millisecond)
		case 7:
			if s.closing == nil {
				s.begin(host.Draw(t, "closer"))
			}
		case 8:
			if s.closing != nil {
				s.requestClose(host.Draw(t, "asked"), delay.Draw(t, "there"), delay.Draw(t, "back"))
			}
		}
		s.advance(delay.Draw(t, "pause"))
		for _, name := range s.names {
			if !s.now.Before(s.frozen[name]) {
				s.cores[name].Tick(s.now)
			}
		}
		if s.closing == nil {
			continue
		}
		safeAt := s.closing.SafeAt()
		if !guards.wait {
			safeAt = s.closing.started
		}
		if !s.now.Before(safeAt) {
			if name := s.user(); name != "" {
				return name
			}
		}
	}
	return ""
}

// Guards against a host that uses an old primary beside the new one, whatever
// messages are late or lost and whichever hosts freeze or restart.
func TestNoHostUsesAClosedTerm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if name := violation(t, allSafeguards); name != "" {
			t.Fatalf("host %s uses a leader of the closed term", name)
		}
	})
}

// Guards against a history test that could not fail: without any one of the
// safeguards, some history makes a host use the leader of the closed term.
func TestEachSafeguardIsNeeded(t *testing.T) {
	const histories = 20000
	without := map[string]safeguards{}
	add := func(name string, change func(*safeguards)) {
		guards := allSafeguards
		change(&guards)
		without[name] = guards
	}
	add("closed terms in heartbeats", func(g *safeguards) { g.closedSpread = false })
	add("wait for confirmations to expire", func(g *safeguards) { g.wait = false })
	add("record in the store", func(g *safeguards) { g.recorded = false })
	for name, guards := range without {
		t.Run(name, func(t *testing.T) {
			history := rapid.Custom(func(t *rapid.T) string { return violation(t, guards) })
			for seed := range histories {
				if history.Example(seed) != "" {
					return
				}
			}
			t.Errorf("no violation in %d histories", histories)
		})
	}
}

// Guards against a host that acknowledged a closing, forgot it in a restart, and then
// confirms another host that has not heard of the closing.
func TestRestartedHostConfirmsNobody(t *testing.T) {
	const hop = 5 * time.Millisecond
	for _, confirmsKnowing := range []bool{true, false} {
		guards := allSafeguards
		guards.confirmsKnowing = confirmsKnowing
		s := newSimulation(3, guards)
		for _, name := range s.names {
			s.readStore(name, hop, hop)
		}
		s.advance(time.Second)
		s.begin("h0")
		s.requestClose("h1", hop, hop)
		s.advance(time.Second)
		s.restart("h1")
		s.advance(2 * time.Second)
		s.pull("h2", "h1", hop, hop)
		s.advance(time.Second)
		s.cores["h2"].Tick(s.now)
		if s.now.Before(s.closing.SafeAt()) {
			t.Fatal("the closing has not ended")
		}
		if used := s.user() != ""; used == confirmsKnowing {
			t.Errorf("with the safeguard %t: a host uses the closed term: %t", confirmsKnowing, used)
		}
	}
}
