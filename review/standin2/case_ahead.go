//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// aheadClients clients each send aheadRequests requests at once and then read the answers.
	aheadClients  = 8
	aheadRequests = 4
	// readWork is how long an instance works on a read.
	readWork   = 220 * time.Millisecond
	stopAfter  = 2 * time.Second
	aheadPause = 30 * time.Millisecond
	grace      = 6 * time.Second
	// lossSlack is the rule's bound for requests that were not passed on.
	lossSlack = 200 * time.Millisecond
)

// runAhead stops a gateway whose clients send a few requests ahead.
func runAhead(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, 0, 3, nil)
	if d != nil {
		defer d.finish()
	}
	if err != nil {
		return false, err
	}
	d.service.setWork(readWork)
	g := d.gateways[0]
	started := time.Now()
	end := started.Add(stopAfter + grace)
	time.AfterFunc(stopAfter, func() {
		if trouble {
			rec.line("platform: SIGTERM to %s", g.name)
			g.stop(syscall.SIGTERM)
		}
	})
	var mu sync.Mutex
	lost := 0
	var group sync.WaitGroup
	for n := range aheadClients {
		group.Go(func() {
			count := d.sendAhead(n, g, end)
			mu.Lock()
			defer mu.Unlock()
			lost += count
		})
	}
	group.Wait()
	rec.line("%d requests were read and not answered", lost)
	return lost > 0, nil
}

// sendAhead sends requests until the connection ends, and returns how many of them got no answer
// although the gateway had read them.
func (d *deployment) sendAhead(n int, g *gateway, end time.Time) int {
	// The clients begin one after the other, so that the stop meets each elsewhere.
	time.Sleep(time.Duration(n) * readWork / 2)
	c, err := open(g.frontend, boundedDatabase, apiKey)
	if err != nil {
		d.rec.line("client %d: STARTUP: %v", n, err)
		return 0
	}
	defer c.close()
	for time.Now().Before(end) {
		var ids []string
		text := ""
		for range aheadRequests {
			id := newID()
			ids = append(ids, id)
			text += "QUERY " + id + " READ a\r\n"
		}
		// All requests are in one packet, so who has read the first one has read all.
		if _, err := c.conn.Write([]byte(text)); err != nil {
			d.rec.line("client %d: %v", n, err)
			return 0
		}
		sent := time.Now()
		for k, id := range ids {
			r, err := c.readAnswer(requestLimit)
			if err == nil {
				d.rec.line("client %d: %s answered after %.3f s: signature %q, code %q", n, id, time.Since(sent).Seconds(), r.signature, r.code)
				continue
			}
			passed := time.Since(sent)
			d.rec.line("client %d: the connection has ended %.3f s after the requests were sent, without an answer to %v: %v", n, passed.Seconds(), ids[k:], err)
			if k == 0 || passed <= lossSlack {
				return 0
			}
			return len(ids) - k
		}
		time.Sleep(aheadPause)
	}
	return 0
}

// boundedDatabase is the database of the route with bounded staleness.
var boundedDatabase = fmt.Sprint(configuration(0)["routes"].([]any)[1].(map[string]any)["host"])
