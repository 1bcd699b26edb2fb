package backendtest

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2" //nolint:staticcheck // the suite is written as ginkgo specs
	. "github.com/onsi/gomega"    //nolint:staticcheck // see above
)

// failoverRounds is the number of failovers in the spec on acknowledged writes.
const failoverRounds = 6

// acknowledgedWrites collects the ids of the rows whose replication to a majority was
// acknowledged.
type acknowledgedWrites struct {
	mu  sync.Mutex
	ids []string
}

func (l *acknowledgedWrites) add(id int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ids = append(l.ids, fmt.Sprint(id))
}

// write inserts rows with consecutive ids from first until an insert fails or stop is
// closed, and records those that a majority has received.
func (l *acknowledgedWrites) write(c *dataConnection, first int, stop <-chan struct{}) {
	for id := first; ; id++ {
		select {
		case <-stop:
			return
		default:
		}
		if _, err := c.query(fmt.Sprintf("INSERT INTO contract VALUES (%d, 0)", id)); err != nil {
			return
		}
		if _, err := c.query(waitReplicatedSQL(consistentlyDuration / 4)); err == nil {
			l.add(id)
		}
	}
}

// mostAdvanced returns the instance with the highest last log term and, among equals,
// the highest received position.
func (c *cluster) mostAdvanced(instances []int) int {
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

// allExcept returns all instances except k.
func (c *cluster) allExcept(k int) []int {
	var out []int
	for _, j := range c.all() {
		if j != k {
			out = append(out, j)
		}
	}
	return out
}

func failoverSpecs(impl Implementation) {
	// Guards against acknowledged writes that are lost, and against instances whose
	// data differs, after a series of failovers under load. In even rounds the old
	// primary is isolated, in odd rounds it is frozen.
	It("Promise 2: keeps every acknowledged write across failovers", func() {
		c := start(impl, 3)
		c.createTable()
		var acked acknowledgedWrites
		var writers sync.WaitGroup
		primary := 0
		for round := range failoverRounds {
			stop := make(chan struct{})
			for w := range 2 {
				writer := c.connect(primary)
				writers.Add(1)
				go func() {
					defer writers.Done()
					acked.write(writer, (round*2+w+1)*1_000_000, stop)
				}()
			}
			time.Sleep(consistentlyDuration / 4) // writes before the fault
			if round%2 == 0 {
				Expect(c.group.Isolate(primary)).To(Succeed())
			} else {
				c.group.Freeze(primary)
			}
			next := term(uint64(round) + 2)
			others := c.allExcept(primary)
			c.raise(next, others...)
			best := c.mostAdvanced(others)
			c.promote(next, best)
			for _, k := range others {
				if k != best {
					c.follow(next, k, best)
				}
			}
			time.Sleep(consistentlyDuration / 4) // meanwhile the isolated primary keeps running
			Expect(c.group.Heal()).To(Succeed())
			c.group.Thaw(primary)
			close(stop)
			c.follow(next, primary, best)
			writers.Wait()
			primary = best
		}
		last := c.connect(primary)
		last.mustQuery("INSERT INTO contract VALUES (0, 0)")
		Expect(len(acked.ids)).To(BeNumerically(">", failoverRounds), "writes were acknowledged")
		want := last.mustQuery("SELECT id FROM contract ORDER BY id")
		Expect(want).To(ContainElements(acked.ids))
		for k := range c.controls {
			c.awaitApplied(k, last.lastCommit())
			Expect(c.connect(k).mustQuery("SELECT id FROM contract ORDER BY id")).To(Equal(want))
		}
	})
}
