package main

import (
	"fmt"
	"time"
)

// newReplica: the primary is released while its replacement starts. The replacement registers
// after the replicas were compared and paused, confirms commits of the old primary, and the
// promoted instance lacks them.
func newReplica(r *record, trouble bool) (int, error) {
	f, err := newFleet(r, "ledger", 1)
	if err != nil {
		return 0, err
	}
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		if _, err := f.addInstance(f.cloud, i+1, zone); err != nil {
			return 0, err
		}
	}
	w, lost, err := f.startWriters()
	if err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	leader := f.cloud.leader()
	replace := func() error {
		in, err := f.addInstance(f.cloud, 4, leader.zone)
		if err == nil {
			r.say("%s, the replacement of %s, registers itself and follows it", in.id, leader.id)
		}
		return err
	}
	if !trouble {
		if err := replace(); err != nil {
			return 0, err
		}
		time.Sleep(3 * time.Second)
	}
	leader.drain()
	r.say("%s, the primary, is released: it is draining", leader.id)
	if trouble {
		r.say("its replacement is starting")
		time.Sleep(replacementStart)
		if err := replace(); err != nil {
			return 0, err
		}
	}
	time.Sleep(8 * time.Second)
	w.stop(r)
	if f.cloud.leader() == leader {
		return 0, fmt.Errorf("no instance was promoted in place of %s", leader.id)
	}
	return *lost, nil
}

// replacementStart is the time from the old primary's report to the registration of its
// replacement, which started before that report.
const replacementStart = 300 * time.Millisecond
