package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// ack is a write that a client was told to be committed.
type ack struct {
	id string
	at time.Time
}

// writers are clients that write without a pause worth mentioning.
type writers struct {
	mu      sync.Mutex
	acks    []ack
	codes   map[string]int
	stopped atomic.Bool
}

// run writes through one host until the writers are stopped.
func (w *writers) run(h *host, number int) {
	var c *client
	for i := 0; !w.stopped.Load(); i++ {
		var err error
		if c == nil {
			if c, err = connect(h.frontend(), "orders", "key-alpha"); err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		id := newID()
		answer, err := c.query(id, fmt.Sprintf("WRITE w%d d%d", number, i))
		w.mu.Lock()
		switch {
		case err != nil:
			w.codes["no answer"]++
		case answer.code != "":
			w.codes[answer.code]++
		default:
			w.acks = append(w.acks, ack{id, time.Now()})
		}
		w.mu.Unlock()
		if err != nil {
			c.close()
			c = nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	if c != nil {
		c.close()
	}
}

// stop ends the writers and says what they were told.
func (w *writers) stop(r *record) {
	w.stopped.Store(true)
	time.Sleep(200 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	r.say("%d writes acknowledged, others: %v", len(w.acks), w.codes)
}

// startWriters starts three gateways and writers, and counts the acknowledged writes that an
// instance lacks when it is promoted.
func (f *fleet) startWriters() (w *writers, lost *int, err error) {
	f.configure(3, route{database: "orders", kind: "primary"})
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		if _, err := f.addHost(i+1, zone); err != nil {
			return nil, nil, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return nil, nil, err
	}
	w, lost = &writers{codes: map[string]int{}}, new(int)
	f.cloud.promoted = func(to *instance) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, a := range w.acks {
			if !to.contains(a.id) {
				*lost++
				f.record.note("LOST: write %s was acknowledged to its client at %.3f and is not in the log of %s", a.id, f.record.at(a.at), to.id)
			}
		}
		f.record.say("%d acknowledged writes are not in the log of %s", *lost, to.id)
	}
	time.Sleep(6 * time.Second)
	for i, h := range f.hosts {
		for j := range 3 {
			go w.run(h, 3*i+j)
		}
	}
	return w, lost, nil
}

// lostCommit: a replica that receives nothing for a while is not stopped by the pause that goes
// before a promotion, confirms commits after the logs were compared, and the promoted instance
// lacks them.
func lostCommit(r *record, trouble bool) (int, error) {
	f, err := newFleet(r, "ledger", 1)
	if err != nil {
		return 0, err
	}
	var instances []*instance
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		in, err := f.addInstance(f.cloud, i+1, zone)
		if err != nil {
			return 0, err
		}
		instances = append(instances, in)
	}
	w, lost, err := f.startWriters()
	if err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	first, deaf := instances[0], instances[2]
	if trouble {
		deaf.setDeaf(true)
		r.say("%s receives nothing for 6.5 s", deaf.id)
		time.AfterFunc(6500*time.Millisecond, func() {
			deaf.setDeaf(false)
			r.say("%s receives again", deaf.id)
		})
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		r.say("%s, the primary, crashes for 2 s", first.id)
		first.crash()
	}
	time.Sleep(2 * time.Second)
	if trouble {
		first.restart()
		r.say("%s is back", first.id)
	}
	time.Sleep(3700 * time.Millisecond)
	leader := f.cloud.leader()
	if leader == nil || trouble && leader == first {
		return 0, fmt.Errorf("no instance was promoted in place of %s", first.id)
	}
	leader.drain()
	r.say("%s, the primary, is released: it is draining", leader.id)
	time.Sleep(8 * time.Second)
	w.stop(r)
	if f.cloud.leader() == leader {
		return 0, fmt.Errorf("no instance was promoted in place of %s", leader.id)
	}
	return *lost, nil
}
