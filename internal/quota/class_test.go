package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/catalog"
)

// hotAccount is the load that these tests are about: one account asks for several times its
// limit through many hosts, in three classes of which the middle one is the largest.
type hotAccount struct {
	hosts int
	rate  float64
	// demand is the number of operations a second of each class.
	demand [3]float64
}

// hotResult is what became of a hot account's operations per second, by class.
type hotResult struct {
	admitted [3]float64
	total    float64
	// calls is the number of calls to lenders for each admitted operation.
	calls float64
}

// run plays the load for ten seconds after a warm-up. If classes are not told, all operations
// are of the most important class, as before they were introduced.
func (h hotAccount) run(tellClasses bool) hotResult {
	const warmUp, measured, tick = 2 * time.Second, 10 * time.Second, 5 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 2))
	f := newFleet(h.hosts, h.rate)
	f.account.Burst = h.rate / 2
	for range 80 {
		f.step(200*time.Millisecond, nil)
	}
	result, calls := hotResult{}, 0
	for elapsed := time.Duration(0); elapsed < warmUp+measured; elapsed += tick {
		f.now = f.now.Add(tick)
		f.calls = 0
		for _, class := range h.arrivals(rng, tick) {
			told := catalog.Class(0)
			if tellClasses {
				told = catalog.Class(class)
			}
			if f.serveClass(f.limiters[rng.IntN(h.hosts)], told) && elapsed >= warmUp {
				result.admitted[class]++
				result.total++
			}
		}
		if elapsed >= warmUp {
			calls += f.calls
		}
	}
	result.calls = float64(calls) / result.total
	for class := range result.admitted {
		result.admitted[class] /= measured.Seconds()
	}
	result.total /= measured.Seconds()
	return result
}

// arrivals draws the classes of the operations that arrive within a time, in random order.
func (h hotAccount) arrivals(rng *rand.Rand, within time.Duration) []int {
	var arrivals []int
	for class, perSecond := range h.demand {
		for range poisson(rng, perSecond*within.Seconds()) {
			arrivals = append(arrivals, class)
		}
	}
	rng.Shuffle(len(arrivals), func(i, j int) { arrivals[i], arrivals[j] = arrivals[j], arrivals[i] })
	return arrivals
}

// serveClass reports whether a host admits one operation of a class.
func (f *fleet) serveClass(l *Limiter, class catalog.Class) bool {
	a := l.account("a")
	a.limit, a.hosts, a.equal = l.limit(f.account), l.allocationHostCount(), l.allocatesEqually("a")
	return l.mayAllocate("a") && a.admit(class, f.now) || l.borrow("a", class)
}

// poisson draws a number of arrivals.
func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for sum := rng.ExpFloat64(); sum < mean; sum += rng.ExpFloat64() {
		n++
	}
	return n
}

// TestHotAccountServesImportantFirst guards against an account beyond its limit whose most
// important operations are refused as often as the least important ones, and against classes
// that get nothing.
func TestHotAccountServesImportantFirst(t *testing.T) {
	g := NewWithT(t)
	load := hotAccount{hosts: 60, rate: 600, demand: [3]float64{300, 1400, 300}}
	before, after := load.run(false), load.run(true)
	t.Logf("admitted a second by class: in order of arrival %.0f, by class %.0f", before.admitted, after.admitted)
	g.Expect(before.admitted[0] / load.demand[0]).To(BeNumerically("<", 0.5))
	g.Expect(after.admitted[0] / load.demand[0]).To(BeNumerically(">", 0.95))
	g.Expect(after.admitted[2]).To(BeNumerically(">", 0))
	g.Expect(after.total).To(BeNumerically(">", 0.97*before.total))
}

// TestHotAccountKeepsLendersFree guards against lenders that are overrun by borrowers that are
// refused: the number of calls must not be a multiple of the tokens that there are.
func TestHotAccountKeepsLendersFree(t *testing.T) {
	g := NewWithT(t)
	load := hotAccount{hosts: 60, rate: 600, demand: [3]float64{2000, 0, 0}}
	result := load.run(true)
	t.Logf("%.0f admitted a second, %.2f calls for each", result.total, result.calls)
	g.Expect(result.total).To(BeNumerically(">", 0.97*load.rate))
	g.Expect(result.calls).To(BeNumerically("<", 2.5))
}
