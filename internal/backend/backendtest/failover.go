package backendtest

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2" //nolint:staticcheck // the suite is written as ginkgo specs
	. "github.com/onsi/gomega"    //nolint:staticcheck // see above
)

// rounds is the number of failovers of the history spec.
const rounds = 6

// ledger collects the writes that were acknowledged.
type ledger struct {
	mu    sync.Mutex
	acked []string
}

func (l *ledger) add(id int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acked = append(l.acked, fmt.Sprint(id))
}

// write inserts rows with the ids from first until it fails or stop is closed,
// and records those that a majority received.
func (l *ledger) write(c *caller, first int, stop <-chan struct{}) {
	for id := first; ; id++ {
		select {
		case <-stop:
			return
		default:
		}
		if _, err := c.query(fmt.Sprintf("INSERT INTO contract VALUES (%d, 0)", id)); err != nil {
			return
		}
		if _, err := c.query(waitReplicated(absence / 4)); err == nil {
			l.add(id)
		}
	}
}

// candidate returns the instance with the highest last log term and received
// position.
func (c *cluster) candidate(instances []int) int {
	GinkgoHelper()
	best := instances[0]
	for _, k := range instances[1:] {
		a, b := c.status(k), c.status(best)
		order := a.LastLogTerm.Compare(b.LastLogTerm)
		if order > 0 || order == 0 && a.Received > b.Received {
			best = k
		}
	}
	return best
}

// without returns the instances but k.
func (c *cluster) without(k int) []int {
	var out []int
	for _, j := range c.all() {
		if j != k {
			out = append(out, j)
		}
	}
	return out
}

func failoverSpecs(impl Implementation) {
	// Guards against acknowledged writes that are lost, and against instances
	// that differ, after a series of failovers under load. In every other
	// round the old primary is cut off, otherwise it is frozen.
	It("Promise 2: keeps every acknowledged write across failovers", func() {
		c := start(impl, 3)
		c.prepare()
		var l ledger
		var writers sync.WaitGroup
		primary := 0
		for round := range rounds {
			stop := make(chan struct{})
			for w := range 2 {
				writer := c.connect(primary)
				writers.Add(1)
				go func() {
					defer writers.Done()
					l.write(writer, (round*2+w+1)*1_000_000, stop)
				}()
			}
			time.Sleep(absence / 4) // the load before the fault
			if round%2 == 0 {
				Expect(c.group.Isolate(primary)).To(Succeed())
			} else {
				c.group.Freeze(primary)
			}
			next := term(uint64(round) + 2)
			others := c.without(primary)
			c.raise(next, others...)
			best := c.candidate(others)
			c.promote(next, best)
			for _, k := range others {
				if k != best {
					c.follow(next, k, best)
				}
			}
			time.Sleep(absence / 4) // the old primary goes on meanwhile
			Expect(c.group.Heal()).To(Succeed())
			c.group.Thaw(primary)
			close(stop)
			c.follow(next, primary, best)
			writers.Wait()
			primary = best
		}
		last := c.connect(primary)
		last.must("INSERT INTO contract VALUES (0, 0)")
		Expect(len(l.acked)).To(BeNumerically(">", rounds), "the load was acknowledged")
		want := last.must("SELECT id FROM contract ORDER BY id")
		Expect(want).To(ContainElements(l.acked))
		for k := range c.controls {
			c.awaitApplied(k, last.committed())
			Expect(c.connect(k).must("SELECT id FROM contract ORDER BY id")).To(Equal(want))
		}
	})
}
