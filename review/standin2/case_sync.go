//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// deafAt, cutAt and crashAt are the times of the disruptions, counted from the start of the
	// writes; deafTime and cutTime are their lengths.
	deafAt   = 3 * time.Second
	deafTime = 6 * time.Second
	cutAt    = 5 * time.Second
	cutTime  = 12 * time.Second
	crashAt  = 5500 * time.Millisecond
	// writesEnd is when the clients end.
	writesEnd = 30 * time.Second
	writers   = 6
)

// commits are the writes that were acknowledged to clients.
type commits struct {
	mu    sync.Mutex
	acked []ackedWrite
}

type ackedWrite struct {
	item, data string
	at         time.Duration
}

// runSync has a service of which one replica confirms each commit. One replica receives nothing
// for a while, the other one is cut off from the gateways, and the primary is lost.
func runSync(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, 1, 3, nil)
	if d != nil {
		defer d.finish()
	}
	if err != nil {
		return false, err
	}
	primary, confirming, deaf := d.service.instances[0], d.service.instances[1], d.service.instances[2]
	started := time.Now()
	if trouble {
		at := func(after time.Duration, what string, f func()) {
			time.AfterFunc(after, func() {
				rec.line("%s", what)
				f()
			})
		}
		at(deafAt, fmt.Sprintf("%s receives nothing for %v", deaf.id, deafTime), func() { deaf.setDeaf(true) })
		at(deafAt+deafTime, fmt.Sprintf("%s may receive again", deaf.id), func() { deaf.setDeaf(false) })
		at(cutAt, fmt.Sprintf("%s is cut off from all gateways for %v", confirming.id, cutTime), func() { confirming.setCut(true) })
		at(cutAt+cutTime, fmt.Sprintf("%s is not cut off any more", confirming.id), func() { confirming.setCut(false) })
		at(crashAt, fmt.Sprintf("the primary %s is lost", primary.id), primary.crash)
	}
	var c commits
	var group sync.WaitGroup
	for w := range writers {
		group.Go(func() { d.write(w, started, &c) })
	}
	group.Wait()
	return d.reportLost(&c), nil
}

// write sends writes to one gateway until writesEnd.
func (d *deployment) write(w int, started time.Time, c *commits) {
	g := d.gateways[w%len(d.gateways)]
	var session *client
	for n := 0; time.Since(started) < writesEnd; n++ {
		time.Sleep(100 * time.Millisecond)
		if session == nil {
			var err error
			if session, err = open(g.frontend, database, apiKey); err != nil {
				session = nil
				continue
			}
		}
		id, item, data := newID(), fmt.Sprintf("item%d-%d", w, n), fmt.Sprintf("data%d-%d", w, n)
		r, err := session.query(id, "WRITE "+item+" "+data, 2*time.Second)
		d.rec.line("client %d at %s: %s WRITE %s %s: signature %q, code %q, error %v", w, g.name, id, item, data, r.signature, r.code, err)
		if err != nil {
			session.close()
			session = nil
			continue
		}
		if r.ok() {
			c.mu.Lock()
			c.acked = append(c.acked, ackedWrite{item, data, time.Since(started)})
			c.mu.Unlock()
		}
	}
	if session != nil {
		session.close()
	}
}

// reportLost reports whether an acknowledged commit is not in the log of the instance that was
// promoted.
func (d *deployment) reportLost(c *commits) bool {
	s := d.service
	s.mu.Lock()
	defer s.mu.Unlock()
	d.rec.line("%d writes acknowledged, %d promotions", len(c.acked), s.promotions)
	if s.promotions == 0 {
		return false
	}
	kept := map[string]bool{}
	for _, in := range s.instances {
		if in.leads {
			for _, e := range in.log {
				kept[e.item+" "+e.data] = true
			}
		}
	}
	lost := 0
	for _, a := range c.acked {
		if !kept[a.item+" "+a.data] {
			lost++
			d.rec.line("LOST: the write of %s, acknowledged at %.3f s, is not in the log of the promoted instance", a.item, a.at.Seconds())
		}
	}
	d.rec.line("%d acknowledged writes are lost", lost)
	return lost > 0
}
