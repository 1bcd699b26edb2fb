package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramleylever/bramleylever/internal/catalog"
)

// load is work that arrives for a number of connections, with random gaps. Each kind has its
// class, account, rate and objective.
type load struct {
	connections int
	hold        time.Duration
	kinds       []kind
}

type kind struct {
	class     catalog.Class
	account   string
	perSecond float64
	objective time.Duration
}

// served is what became of one kind.
type served struct {
	arrived, inTime int
	used            time.Duration
	longest         time.Duration
}

// job is work of a kind.
type job struct {
	Work
	kind    int
	arrived time.Time
	ends    time.Time
}

// run plays the load for 20 s. In order of arrival if fifo is set, as before. Work that has
// waited for giveUp is given up.
func (l load) run(fifo bool) []served {
	const length, tick, giveUp = 20 * time.Second, time.Millisecond, time.Second
	rng := rand.New(rand.NewPCG(7, 7))
	results := make([]served, len(l.kinds))
	queue, jobs := &Queue{}, map[*Work]*job{}
	var arrivals []*job
	var running []*job
	start := time.Unix(0, 0)
	for now := start; now.Before(start.Add(length)); now = now.Add(tick) {
		for k, kind := range l.kinds {
			if rng.Float64() < kind.perSecond*tick.Seconds() {
				j := &job{Work: Work{Class: kind.class, Account: kind.account, Due: now.Add(kind.objective)}, kind: k, arrived: now}
				jobs[&j.Work] = j
				queue.Add(&j.Work)
				arrivals = append(arrivals, j)
				results[k].arrived++
			}
		}
		still := running[:0]
		for _, j := range running {
			if now.Before(j.ends) {
				still = append(still, j)
				continue
			}
			queue.Charge(j.Account, l.hold)
			results[j.kind].used += l.hold
			if !now.After(j.Due) {
				results[j.kind].inTime++
			}
		}
		running = still
		for _, j := range arrivals {
			if now.Sub(j.arrived) >= giveUp {
				queue.Remove(&j.Work)
			}
		}
		for len(running) < l.connections && queue.Len() > 0 {
			w := queue.Next(now)
			if fifo {
				w = queue.waiting[0]
			}
			queue.Take(w)
			j := jobs[w]
			j.ends = now.Add(l.hold)
			results[j.kind].longest = max(results[j.kind].longest, now.Sub(j.arrived))
			running = append(running, j)
		}
		for len(arrivals) > 0 && now.Sub(arrivals[0].arrived) >= giveUp {
			arrivals = arrivals[1:]
		}
	}
	return results
}

func share(s served) float64 { return float64(s.inTime) / float64(s.arrived) }

// TestTooLittleRoom guards against important work that waits behind less important work: three
// classes ask for twice what the connections can do.
func TestTooLittleRoom(t *testing.T) {
	g := NewWithT(t)
	l := load{connections: 10, hold: 20 * time.Millisecond, kinds: []kind{
		{0, "a", 200, 200 * time.Millisecond}, {1, "a", 600, 400 * time.Millisecond}, {2, "a", 200, 1200 * time.Millisecond},
	}}
	before, after := l.run(true), l.run(false)
	for class := range before {
		t.Logf("class %d: in time %.3f before, %.3f after; longest wait %v, %v", class,
			share(before[class]), share(after[class]), before[class].longest, after[class].longest)
	}
	g.Expect(share(before[0])).To(BeNumerically("<", 0.2))
	g.Expect(share(after[0])).To(BeNumerically(">", 0.95))
	const leftByImportant = 300.0 / 600
	g.Expect(share(after[1])).To(BeNumerically(">", leftByImportant/2), "what is left goes to work that can be in time")
	g.Expect(after[2].inTime).To(BeNumerically(">", 0), "the least important class does not starve")
}

// TestHotAccount guards against one account whose work takes the connections from the others
// of its class.
func TestHotAccount(t *testing.T) {
	g := NewWithT(t)
	l := load{connections: 10, hold: 20 * time.Millisecond, kinds: []kind{
		{0, "hot", 900, 300 * time.Millisecond}, {0, "b", 40, 300 * time.Millisecond}, {0, "c", 40, 300 * time.Millisecond},
	}}
	before, after := l.run(true), l.run(false)
	for i, k := range l.kinds {
		t.Logf("account %s: in time %.3f before, %.3f after", k.account, share(before[i]), share(after[i]))
	}
	g.Expect(share(before[1])).To(BeNumerically("<", 0.2))
	g.Expect(share(after[1])).To(BeNumerically(">", 0.95))
	g.Expect(share(after[2])).To(BeNumerically(">", 0.95))
	g.Expect(after[0].used).To(BeNumerically(">", 0.8*float64(before[0].used)), "nothing stays unused")
}

// TestQueueKeepsEverything guards against work that is lost, chosen twice, or passed for ever.
func TestQueueKeepsEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := &Queue{}, time.Unix(0, 0)
		waiting := map[*Work]int{}
		for step := range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				w := &Work{Class: catalog.Class(rapid.IntRange(0, 2).Draw(t, "class")), Account: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "account"))}
				q.Add(w)
				waiting[w] = step
			case 2:
				w := q.Next(now)
				if (w == nil) != (len(waiting) == 0) {
					t.Fatalf("next is %v, %d wait", w, len(waiting))
				}
				if w == nil {
					continue
				}
				if _, ok := waiting[w]; !ok {
					t.Fatal("chosen twice")
				}
				q.Take(w)
				delete(waiting, w)
				q.Charge(w.Account, time.Duration(rapid.IntRange(0, 50).Draw(t, "hold"))*time.Millisecond)
			case 3:
				if w := q.Last(); w != nil {
					q.Remove(w)
					delete(waiting, w)
				}
			}
			if q.Len() != len(waiting) {
				t.Fatalf("%d in the queue, %d wait", q.Len(), len(waiting))
			}
		}
	})
}

// TestNoClassStarves guards against work that waits as long as more important work arrives.
func TestNoClassStarves(t *testing.T) {
	g := NewWithT(t)
	q, now := &Queue{}, time.Unix(0, 0)
	low := &Work{Class: 2, Account: "low"}
	q.Add(low)
	for n := 0; ; n++ {
		g.Expect(n).To(BeNumerically("<=", floorInterval))
		q.Add(&Work{Class: 0, Account: "high"})
		w := q.Next(now)
		q.Take(w)
		if w == low {
			return
		}
	}
}
