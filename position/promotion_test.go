package position

import (
	"flag"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestMain sets the default seed and number of random histories; command-line flags
// override both.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261205", "rapid.checks": "10000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// logEntry identifies an entry of a simulated log by the term and the number of its commit.
type logEntry struct{ term, number int }

// instance is one member of a simulated group.
type instance struct {
	log  []logEntry
	term int
	// up says that it runs, and deaf that it receives nothing.
	up, deaf bool
}

func (i *instance) end() Position {
	p := Position{LSN: LSN(len(i.log)), Term: Term{Epoch: 1}}
	if len(i.log) > 0 {
		p.Term.Epoch = uint64(i.log[len(i.log)-1].term)
	}
	return p
}

// hasPrefix reports whether the log begins with the entries.
func (i *instance) hasPrefix(entries []logEntry) bool {
	return len(i.log) >= len(entries) && slices.Equal(i.log[:len(entries)], entries)
}

func (i *instance) hasAny(entries map[logEntry]bool) bool {
	return slices.ContainsFunc(i.log, func(e logEntry) bool { return entries[e] })
}

// group is a primary and its replicas over several terms.
type group struct {
	instances []*instance
	primary   *instance
	term      int
	commits   int
	history   History
	// beginning is the log with which the newest term began, and givenUp the entries that
	// were not part of the beginning of a term although a member had them.
	beginning []logEntry
	givenUp   map[logEntry]bool
}

// replicate gives the log of the primary to the replicas that hear it. Their own further
// entries are rolled back.
func (g *group) replicate() {
	for _, i := range g.instances {
		if g.primary.up && i.up && !i.deaf && i != g.primary {
			i.log, i.term = slices.Clone(g.primary.log), g.term
		}
	}
}

func (g *group) commit() {
	if g.primary.up {
		g.commits++
		g.primary.log = append(g.primary.log, logEntry{g.term, g.commits})
		g.replicate()
	}
}

// candidate returns the running instance that compare ranks highest.
func (g *group) candidate(compare func(a, b Position) int) *instance {
	var best *instance
	for _, i := range g.instances {
		if i.up && (best == nil || compare(i.end(), best.end()) > 0) {
			best = i
		}
	}
	return best
}

// sound reports whether the instance has the whole beginning of the newest term and nothing
// that was given up.
func (g *group) sound(i *instance) bool { return i.hasPrefix(g.beginning) && !i.hasAny(g.givenUp) }

// anySound reports whether a sound instance is running.
func (g *group) anySound() bool {
	return slices.ContainsFunc(g.instances, func(i *instance) bool { return i.up && g.sound(i) })
}

func (g *group) promote(i *instance) {
	g.history = g.history.Extend(Term{Epoch: uint64(g.term + 1)}, i.end())
	for _, other := range g.instances {
		for _, e := range other.log {
			if !slices.Contains(i.log, e) {
				g.givenUp[e] = true
			}
		}
	}
	for _, e := range i.log {
		delete(g.givenUp, e)
	}
	g.term++
	g.primary, i.term, i.deaf = i, g.term, false
	g.beginning = slices.Clone(i.log)
	g.replicate()
}

// newestTermIsKept draws a history of commits, crashes, returns and promotions. It reports
// how often a promotion gave up the beginning of the newest term, or brought back what had
// been given up, although a sound instance was running.
func newestTermIsKept(t *rapid.T, order func(History) func(a, b Position) int) (broken int) {
	g := &group{term: 1, givenUp: map[logEntry]bool{}}
	for range 3 + rapid.IntRange(0, 2).Draw(t, "more instances") {
		g.instances = append(g.instances, &instance{up: true, term: 1})
	}
	g.primary = g.instances[0]
	for range rapid.IntRange(5, 60).Draw(t, "events") {
		i := g.instances[rapid.IntRange(0, len(g.instances)-1).Draw(t, "instance")]
		switch rapid.IntRange(0, 5).Draw(t, "event") {
		case 0, 1:
			g.commit()
		case 2:
			i.deaf = !i.deaf
			g.replicate()
		case 3:
			i.up = false
		case 4:
			i.up = true
			g.replicate()
		case 5:
			if g.primary.up {
				continue
			}
			target := g.candidate(order(g.history))
			if target == nil {
				continue
			}
			if !g.sound(target) && g.anySound() {
				broken++
			}
			// Without a log of the newest term, a promotion waits for another instance.
			if g.history.Includes(target.end()) || g.anySound() || rapid.Bool().Draw(t, "waited long enough") {
				g.promote(target)
			}
		}
	}
	if err := g.history.Validate(); err != nil {
		t.Fatal(err)
	}
	return broken
}

// Guards against a primary that was replaced and is promoted again because its log is longer:
// what the newest term began with is lost, and what was given up comes back.
func TestPromotionKeepsTheNewestTerm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if broken := newestTermIsKept(t, func(h History) func(a, b Position) int { return h.CompareEnds }); broken > 0 {
			t.Fatalf("%d promotions gave up the beginning of the newest term or brought back what was given up", broken)
		}
	})
}

// Shows that the histories contain the fault: with positions alone, a longer log wins.
func TestPromotionByPositionAloneFails(t *testing.T) {
	broken := 0
	rapid.Check(t, func(t *rapid.T) {
		broken += newestTermIsKept(t, func(History) func(a, b Position) int { return Position.Compare })
	})
	if broken == 0 {
		t.Fatal("no drawn history shows the fault")
	}
}

func TestHistoryExtend(t *testing.T) {
	one, two, three := Term{Epoch: 1}, Term{Epoch: 2}, Term{Epoch: 3}
	var h History
	h = h.Extend(two, Position{Term: one, LSN: 100})
	if want := (History{{one, 0}, {two, 100}}); !slices.Equal(h, want) {
		t.Fatalf("history %v, expected %v", h, want)
	}
	old, deaf, leader := Position{one, 110}, Position{one, 100}, Position{two, 105}
	for _, c := range []struct {
		name string
		a, b Position
		want int
	}{
		{"a longer log that was left is behind", old, deaf, -1},
		{"the newest term is ahead of its beginning", leader, deaf, 1},
		{"the newest term is ahead of what was left", leader, old, 1},
		{"a term that is not known yet is ahead", Position{three, 101}, leader, 1},
		{"a shorter log that is part is ahead of a longer one that was left", Position{one, 90}, old, 1},
	} {
		if got := h.CompareEnds(c.a, c.b); got != c.want {
			t.Errorf("%s: %d, expected %d", c.name, got, c.want)
		}
	}
	// The third term began without the second one.
	h = h.Extend(three, deaf)
	if h.Includes(leader) || !h.Includes(deaf) || h.Includes(old) {
		t.Errorf("history %v", h)
	}
}
