package leadership

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleylever/bramleylever/internal/platform"
)

// complete makes a host read the closed terms and do what a restored store requires:
// record those that it lacks, and settle the generation. quorumOnly says that a host
// settles it only if a quorum has confirmed the host.
func (s *simulation) complete(host string, there, back time.Duration, quorumOnly bool) {
	sent := s.now
	s.atStore(there, func() {
		read := StoreRead{Sent: sent, Generation: s.generation, Settled: s.settled, Closed: maps.Clone(s.stored)}
		if !s.guards.settledOnly {
			read.Settled = read.Generation
		}
		s.deliver(back, host, func() {
			core := s.cores[host]
			core.RecordStoreRead(s.now, read)
			closed := maps.Clone(core.ClosedTerms())
			s.writeStore(read.Generation, there, func() {
				for service, epoch := range closed {
					if s.guards.recordedAgain {
						s.stored[service] = max(s.stored[service], epoch)
					}
				}
				s.deliver(back, host, func() { s.settle(host, read.Generation, there, back, quorumOnly) })
			})
		})
	})
}

func (s *simulation) settle(host string, generation platform.Generation, there, back time.Duration, quorumOnly bool) {
	core := s.cores[host]
	if !core.MaySettle(s.now) || quorumOnly && !core.quorum.Until(core.members).After(s.now) {
		return
	}
	s.writeStore(generation, there, func() {
		s.settled = generation
		s.deliver(back, host, func() { core.MarkSettled(generation) })
	})
}

// atStore runs an action at the store, which is never frozen.
func (s *simulation) atStore(delay time.Duration, action func()) {
	s.inbox = append(s.inbox, delivery{at: s.now.Add(delay), action: action})
}

// writeStore runs an action at the store unless it was restored meanwhile.
func (s *simulation) writeStore(generation platform.Generation, delay time.Duration, action func()) {
	s.atStore(delay, func() {
		if s.generation == generation {
			action()
		}
	})
}

// restore makes the store come back from its copy.
func (s *simulation) restore() {
	if s.copied == nil {
		return
	}
	s.generation++
	s.stored = maps.Clone(s.copied)
}

// mayBegin reports whether a host can hold a duty.
func (s *simulation) mayBegin(host string) bool {
	core := s.cores[host]
	return core.Settled() && core.generations.newest == s.generation
}

// restoredViolation runs a random history in which the store comes back from older copies.
// It returns a host that used the leader after the closing had ended, or "".
func restoredViolation(t *rapid.T, guards safeguards, restarts bool) string {
	s := newSimulation(rapid.IntRange(1, 7).Draw(t, "hosts"), guards)
	host := rapid.SampledFrom(s.names)
	delay := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.SampledFrom([]int{0, 1, 5, 40, 300, 2500}).Draw(t, "ms")) * time.Millisecond
	})
	for range rapid.IntRange(30, 160).Draw(t, "steps") {
		s.restoredStep(t, host, delay, restarts)
		s.advance(delay.Draw(t, "pause"))
		s.tick()
		if s.closing != nil && !s.now.Before(s.closing.SafeAt()) {
			if name := s.user(); name != "" {
				return name
			}
		}
	}
	return ""
}

// restoredStep makes one random step of such a history.
func (s *simulation) restoredStep(t *rapid.T, host *rapid.Generator[string], delay *rapid.Generator[time.Duration], restarts bool) {
	switch rapid.IntRange(0, 12).Draw(t, "step") {
	case 0, 1, 2, 3, 4:
		from, to := host.Draw(t, "from"), host.Draw(t, "to")
		if from != to {
			s.pull(from, to, delay.Draw(t, "there"), delay.Draw(t, "back"))
		}
	case 5, 6:
		s.complete(host.Draw(t, "reader"), delay.Draw(t, "there"), delay.Draw(t, "back"), restarts)
	case 7:
		if name := host.Draw(t, "restarted"); name != s.closer && (restarts || s.closing == nil) {
			s.restart(name)
		}
	case 8:
		name := host.Draw(t, "frozen")
		s.frozen[name] = s.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "freeze")) * time.Millisecond)
	case 9:
		if name := host.Draw(t, "closer"); s.closing == nil && s.mayBegin(name) {
			s.begin(name)
		}
	case 10:
		if s.closing != nil {
			s.requestClose(host.Draw(t, "asked"), delay.Draw(t, "there"), delay.Draw(t, "back"))
		}
	case 11:
		if s.closing == nil || rapid.Bool().Draw(t, "copies") {
			s.copied = maps.Clone(s.stored)
		}
	case 12:
		s.restore()
	}
}

// tick lets the hosts that are not frozen compute their leases.
func (s *simulation) tick() {
	for _, name := range s.names {
		if !s.now.Before(s.frozen[name]) {
			s.cores[name].Tick(s.now)
		}
	}
}

// Guards against a host that uses an old primary beside the new one, because the store
// came back from a copy that lacks the record of the hand-over.
func TestNoHostUsesATermThatARestoredStoreLost(t *testing.T) {
	for name, restarts := range map[string]bool{
		// A host that has restarted since has forgotten the hand-over as well.
		"with restarts before the hand-over": false,
		"with restarts":                      true,
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				if name := restoredViolation(t, allSafeguards, restarts); name != "" {
					t.Fatalf("host %s uses a leader of the closed term", name)
				}
			})
		})
	}
}

// Guards against a history test that could not fail: without either safeguard, some
// history makes a host use the leader of the closed term.
func TestEachSafeguardOfARestoredStoreIsNeeded(t *testing.T) {
	const histories = 20000
	settledOnly, recordedAgain := allSafeguards, allSafeguards
	settledOnly.settledOnly = false
	recordedAgain.recordedAgain = false
	for name, guards := range map[string]safeguards{
		"reads count only in a settled generation": settledOnly,
		"closed terms are recorded again":          recordedAgain,
	} {
		t.Run(name, func(t *testing.T) {
			history := rapid.Custom(func(t *rapid.T) string { return restoredViolation(t, guards, true) })
			for seed := range histories {
				if history.Example(seed) != "" {
					return
				}
			}
			t.Errorf("no violation in %d histories", histories)
		})
	}
}

// Guards against a fleet that never uses a leader again after the store was restored,
// whichever hosts have restarted: some host has to settle the generation.
func TestARestoredStoreIsSettled(t *testing.T) {
	for _, fleet := range []int{1, 3, 7, 40} {
		for _, restarted := range []int{0, 1, fleet / 2, fleet - 1, fleet} {
			s := newSimulation(fleet, allSafeguards)
			for _, name := range s.names {
				s.complete(name, 0, 0, false)
			}
			s.advance(time.Second)
			s.copied = map[string]uint64{}
			s.restore()
			for _, name := range s.names[:restarted] {
				s.restart(name)
			}
			started := s.now
			for s.settled < s.generation && s.now.Sub(started) < 2*maxStoreSilence {
				s.exchange()
			}
			if took := s.now.Sub(started); s.settled < s.generation || took > settleDelay+time.Second && mustSettleSoon(fleet, restarted) {
				t.Errorf("%d of %d hosts restarted: generation settled is %t after %v", restarted, fleet, s.settled == s.generation, took)
			}
		}
	}
}

// mustSettleSoon reports whether a quorum can confirm a host, all hosts have restarted, or
// the fleet is so small that hosts hear from a quorum directly.
func mustSettleSoon(fleet, restarted int) bool {
	return restarted <= 1 || restarted == fleet || fleet <= 7
}

// exchange lets every host ask eight others and the store, and passes half a second.
func (s *simulation) exchange() {
	const neighbors = 8
	for i, from := range s.names {
		for step := 1; step <= min(neighbors, len(s.names)-1); step++ {
			s.pull(from, s.names[(i+step*step)%len(s.names)], 0, 0)
		}
	}
	s.advance(250 * time.Millisecond)
	s.tick()
	for _, name := range s.names {
		s.complete(name, 0, 0, false)
	}
	s.advance(250 * time.Millisecond)
	s.tick()
}
