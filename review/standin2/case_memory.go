//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// endsOfFault is the number of own ends of a process that the rule counts, and
	// machinesOfFault that of the machines on which they must happen.
	endsOfFault     = 3
	machinesOfFault = 2
	// preparesPerSession is how many requests the misbehaving client sends in a session.
	preparesPerSession = 600
	// longIDBytes makes a request of just under 1 MiB.
	longIDBytes  = maxMessageBytes - 2048
	caseLimit    = 75 * time.Second
	requestLimit = 10 * time.Second
)

// runMemory lets one client for each of two gateways prepare statements. The requests are of
// legal size; with trouble their ids are long.
func runMemory(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, 0, 3, nil)
	if d != nil {
		defer d.finish()
	}
	if err != nil {
		return false, err
	}
	end := time.Now().Add(caseLimit)
	var group sync.WaitGroup
	for _, g := range d.gateways[:machinesOfFault] {
		group.Go(func() { d.misbehave(g, trouble, end) })
	}
	ordinary := make(chan struct{})
	go d.ordinaryCaller(ordinary)
	group.Wait()
	close(ordinary)
	return d.countFaults() >= machinesOfFault, nil
}

// countFaults records how often each process ended by itself and returns the number of machines
// on which that was often enough to count.
func (d *deployment) countFaults() int {
	for _, g := range d.gateways {
		g.mu.Lock()
		d.rec.line("%s ended by itself %d times, peak %d MB of %d MB", g.name, g.ownEnds, g.peak>>20, g.memoryBytes>>20)
		g.mu.Unlock()
	}
	return d.machinesFailed()
}

// machinesFailed returns the number of machines whose processes ended often enough to count.
func (d *deployment) machinesFailed() int {
	machines := 0
	for _, g := range d.gateways {
		g.mu.Lock()
		if g.ownEnds >= endsOfFault {
			machines++
		}
		g.mu.Unlock()
	}
	return machines
}

// misbehave sends PREPARE requests in one session after the other, until the process has ended
// often enough, a session got all its answers, or the time is over.
func (d *deployment) misbehave(g *gateway, trouble bool, end time.Time) {
	for time.Now().Before(end) {
		g.mu.Lock()
		ends := g.ownEnds
		g.mu.Unlock()
		if ends >= endsOfFault {
			return
		}
		if !g.awaitReady(time.Second) {
			continue
		}
		c, err := open(g.frontend, database, apiKey)
		if err != nil {
			d.rec.line("client at %s: STARTUP: %v", g.name, err)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		answered, codes := d.prepareMany(c, trouble, end)
		c.close()
		d.rec.line("client at %s: %d of %d PREPARE answered in this session, codes %v", g.name, answered, preparesPerSession, codes)
		if answered == preparesPerSession {
			return
		}
	}
}

func (d *deployment) prepareMany(c *client, trouble bool, end time.Time) (answered int, codes map[string]int) {
	codes = map[string]int{}
	for i := range preparesPerSession {
		id := newID()
		if trouble {
			id += strings.Repeat("x", longIDBytes-len(id))
		}
		r, err := c.query(id, fmt.Sprintf("PREPARE s%d READ q%d", i, i), requestLimit)
		if err != nil {
			return answered, codes
		}
		answered++
		codes[r.code]++
		if time.Now().After(end) {
			return answered, codes
		}
	}
	return answered, codes
}

// ordinaryCaller reads an item at each gateway in turn and records what is answered.
func (d *deployment) ordinaryCaller(done <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(500 * time.Millisecond):
		}
		g := d.gateways[n%len(d.gateways)]
		c, err := open(g.frontend, database, apiKey)
		if err != nil {
			d.rec.line("ordinary caller at %s: STARTUP: %v", g.name, err)
			continue
		}
		id := newID()
		r, err := c.query(id, "READ a", 3*time.Second)
		d.rec.line("ordinary caller at %s: %s READ a: rows %v, signature %q, code %q, error %v", g.name, id, r.rows, r.signature, r.code, err)
		c.close()
	}
}
