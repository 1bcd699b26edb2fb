//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["duty"] = playDuty }

const (
	// recovery is the bound recovery_s, and lostTime how long the store may lose answers.
	recovery = 12 * time.Second
	lostTime = 4500 * time.Millisecond
	// quarter is the part of the requests that has to be served after the recovery.
	quarter = 0.25
	// observed is how long requests are counted after the recovery.
	observed = 20 * time.Second
)

// outcome is the outcome of one operation.
type outcome struct {
	sent   time.Time
	served bool
}

// traffic sends operations of all kinds to all gateways until stop is closed.
func (f *fleet) traffic(stop <-chan struct{}) func() []outcome {
	var mu sync.Mutex
	var outcomes []outcome
	var running sync.WaitGroup
	for i, g := range f.gateways {
		for _, database := range []string{"booking", "queue", "review"} {
			running.Go(func() {
				var c *client
				for n := 0; ; n++ {
					select {
					case <-stop:
						if c != nil {
							c.close()
						}
						return
					case <-time.After(150 * time.Millisecond):
					}
					sent := time.Now()
					if c == nil {
						c = f.dial(g.address(), database, "key-growers-1")
					}
					served := false
					if c != nil {
						text := fmt.Sprintf("READ item%d", i)
						if database != "queue" && n%3 == 0 {
							text = fmt.Sprintf("WRITE item%d data%d", i, n)
						}
						a := c.query(nextID(), text, 2500*time.Millisecond)
						served = a.succeeded()
						if a.broken != nil || c.state != "I" {
							c.close()
							c = nil
						}
					}
					mu.Lock()
					outcomes = append(outcomes, outcome{sent, served})
					mu.Unlock()
				}
			})
		}
	}
	return func() []outcome {
		running.Wait()
		return outcomes
	}
}

// share returns the part of the operations sent in a time that was served.
func share(outcomes []outcome, from, to time.Time) (part float64, count int) {
	served := 0
	for _, o := range outcomes {
		if o.sent.Before(from) || !o.sent.Before(to) {
			continue
		}
		count++
		if o.served {
			served++
		}
	}
	return float64(served) / float64(max(1, count)), count
}

// playDuty ends a day with the kill of all gateways, while the primary crashes. With the
// disruption the store loses the answer to one change: the first one after that which is
// made under the condition that its key does not exist and is bound to a lease.
func playDuty(f *fleet, trouble bool) []string {
	stop := make(chan struct{})
	started := time.Now()
	wait := f.traffic(stop)
	time.Sleep(5 * time.Second)
	fault := time.Now()
	f.store.mu.Lock()
	writesBefore := f.store.writes
	if trouble {
		f.store.loseAnswer = func(call storeCall) bool {
			create := len(call.Precondition) == 1 && call.Precondition[0].Revision == 0 && len(call.Puts) == 1 && call.Puts[0].Lease != 0
			return create && f.store.lost == 0 && time.Since(fault) < lostTime
		}
	}
	f.store.mu.Unlock()
	f.group.primary.crash()
	for _, g := range f.gateways {
		<-g.signal(syscall.SIGKILL)
	}
	time.Sleep(700 * time.Millisecond)
	for _, g := range f.gateways {
		g.start()
	}
	back := time.Now()
	time.Sleep(lostTime - time.Since(fault))
	f.store.mu.Lock()
	f.record.add("the store lost %d answers of %d changes in %.1f s", f.store.lost, f.store.writes-writesBefore, lostTime.Seconds())
	lost := f.store.lost
	f.store.mu.Unlock()
	time.Sleep(recovery + observed - time.Since(back))
	end := time.Now()
	close(stop)
	outcomes := wait()
	before, countBefore := share(outcomes, started, fault)
	after, countAfter := share(outcomes, back.Add(recovery), end)
	f.record.add("served before the final fault: %.3f of %d; later than %.0f s after the machines are back: %.3f of %d", before, countBefore, recovery.Seconds(), after, countAfter)
	for _, g := range f.gateways {
		for _, line := range g.logged("promotion duty") {
			f.record.add("%s wrote: %s", g.name, line)
		}
	}
	if before < quarter || trouble && lost != 1 {
		fail("the case was not set up: %.3f served before, %d answers lost", before, lost)
	}
	if after < quarter {
		return []string{fmt.Sprintf("RECOVER: %.3f of %d requests served later than %.0f s after the machines are back, %.3f of %d before the final fault", after, countAfter, recovery.Seconds(), before, countBefore)}
	}
	return nil
}
