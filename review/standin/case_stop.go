//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = playStop }

const (
	grace = 6 * time.Second
	// lossWindow is how long after a SIGTERM a request counts as accepted work.
	lossWindow = grace + time.Second
	// excusedSend is how long after the SIGTERM a request may have been sent for the excuse
	// that its instance was still at work at the end of the grace time.
	excusedSend = 3 * time.Second
	// operationDeadline is the deadline of the clients' operations on this route, and
	// routeTimeout that of one statement.
	operationDeadline = 8 * time.Second
	routeTimeout      = 2 * time.Second

	stopSessions = 12
	// A transaction has 12 statements: BEGIN, 10 reads and COMMIT. The clients send a read
	// every readPeriod, and each of them starts a little later than the one before.
	stopReads  = 10
	readWork   = 200 * time.Millisecond
	readPeriod = 620 * time.Millisecond
	startGap   = 8 * time.Millisecond
	// beginTime is the time for BEGIN, which is repeated after BUSY.
	beginTime = 1500 * time.Millisecond
	// stopAfter is when the SIGTERM is sent, from the first read on.
	stopAfter = 200 * time.Millisecond
)

// playStop stops a gateway while transactions are open. Each answer counts that a client did
// not get although an instance had its request.
func playStop(f *fleet, trouble bool) []string {
	f.group.work = func(word, _ string) time.Duration {
		if word != "COMMIT" {
			return readWork
		}
		return 6 * time.Millisecond
	}
	gateway := f.gateways[0]
	var mu sync.Mutex
	var broken []string
	var stopped time.Time
	var running sync.WaitGroup
	started := time.Now().Add(beginTime)
	for i := range stopSessions {
		c := f.dial(gateway.address(), "queue", "key-growers-1")
		if c == nil {
			fail("no session")
		}
		first := started.Add(time.Duration(i) * startGap)
		running.Go(func() {
			defer c.close()
			if !c.begin() {
				return
			}
			for n := 1; n < stopReads+2; n++ {
				text := fmt.Sprintf("READ item%d", i)
				if n == stopReads+1 {
					text = "COMMIT"
				}
				time.Sleep(time.Until(first.Add(time.Duration(n-1) * readPeriod)))
				id := nextID()
				a := c.query(id, text, routeTimeout+time.Second)
				if a.broken != nil {
					mu.Lock()
					defer mu.Unlock()
					if reason := lostAnswer(f, id, &a, first.Add(-beginTime), stopped); reason != "" {
						broken = append(broken, reason)
					}
					return
				}
				if a.code != "" {
					return
				}
			}
		})
	}
	time.Sleep(time.Until(started.Add(stopAfter)))
	if trouble {
		mu.Lock()
		stopped = time.Now()
		mu.Unlock()
		done := gateway.signal(syscall.SIGTERM)
		select {
		case <-done:
		case <-time.After(grace):
			gateway.signal(syscall.SIGKILL)
		}
	}
	running.Wait()
	return broken
}

// begin begins a transaction. After BUSY nothing is kept, and the client asks again.
func (c *client) begin() bool {
	for end := time.Now().Add(beginTime / 2); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		a := c.query(nextID(), "BEGIN READ", routeTimeout)
		if a.code != "BUSY" {
			return a.succeeded()
		}
	}
	return false
}

// lostAnswer applies the rule LOST to a request whose connection ended. It returns why the
// rule is broken, or nothing.
func lostAnswer(f *fleet, id string, a *clientAnswer, operation, stopped time.Time) string {
	in, passedOn := f.group.receivedAt(id)
	switch {
	case !passedOn:
		f.record.add("id %s was not passed on to an instance: not counted", id)
		return ""
	case stopped.IsZero() || a.ended.After(stopped.Add(lossWindow)):
		f.record.add("id %s: not around the stop: not counted", id)
		return ""
	case a.sent.Before(stopped.Add(excusedSend)):
		f.record.add("id %s was sent no later than 3 s after the SIGTERM: not counted", id)
		return ""
	case a.ended.Sub(operation) >= operationDeadline || a.ended.Sub(a.sent) >= routeTimeout:
		f.record.add("id %s: the deadline or the timeout was reached: not counted", id)
		return ""
	}
	return fmt.Sprintf("LOST: id %s was sent %.2f s after the SIGTERM, instance %s had it %.0f ms later, and the connection ended %.2f s after the SIGTERM without an answer",
		id, a.sent.Sub(stopped).Seconds(), in.host, float64(in.at.Sub(a.sent).Milliseconds()), a.ended.Sub(stopped).Seconds())
}
