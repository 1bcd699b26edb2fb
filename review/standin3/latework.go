package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

const (
	// usedServices is the number of services with clients, and otherServices that of the
	// services without, of three instances each. The entries of all fill twelve pages.
	usedServices  = 40
	otherServices = 1860
	// releaseInterval is the time between two instances that begin to drain, and
	// otherInterval the same for the services without clients.
	releaseInterval = 30 * time.Millisecond
	otherInterval   = 40 * time.Millisecond
	// releasedOthers is the number of instances without clients that are released.
	releasedOthers = 30
	// drainTime is drain_ms.
	drainTime = 7 * time.Second
)

// lateWork: a gateway that starts reads the entries of the instances, which fill several pages,
// while instances are released. It leaves out a change that came after the page of the entry, if
// a later page shows a newer change, and goes on to send work to an instance that is draining.
func lateWork(r *record, trouble bool) (int, error) {
	f, err := newFleet(r, "ledger-0", 0)
	if err != nil {
		return 0, err
	}
	var leaving []*instance
	routes := []route{}
	for s := range usedServices {
		g := f.cloud
		if s > 0 {
			g = f.addGroup(fmt.Sprintf("ledger-%d", s), 0)
		}
		routes = append(routes, route{database: fmt.Sprintf("lookups%d", s), kind: "bounded_" + "staleness", staleMS: 1500, group: g})
		for i, zone := range []string{"zone-b", "zone-a", "zone-c"} {
			in, err := f.addInstance(g, 3*s+i+1, zone)
			if err != nil {
				return 0, err
			}
			if zone == "zone-a" {
				leaving = append(leaving, in)
			}
		}
	}
	f.addOtherServices()
	f.configure(3, routes...)
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		if _, err := f.addHost(i+1, zone); err != nil {
			return 0, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return 0, err
	}
	var stopped atomic.Bool
	for _, h := range f.hosts {
		for number := range 5 {
			go readAll(h, number, &stopped)
		}
	}
	time.Sleep(6 * time.Second)
	restarted := f.hosts[0]
	if trouble {
		r.say("%s gets SIGTERM, to be started again", restarted.name)
		restarted.stop()
		time.AfterFunc(300*time.Millisecond, func() {
			if err := restarted.start(); err != nil {
				r.say("start: %v", err)
			}
		})
	}
	go f.releaseOtherServices(&stopped)
	accepted := map[*instance]time.Time{}
	for _, in := range leaving {
		accepted[in] = in.drain()
		r.note("%s is released: the store has accepted that it is draining", in.id)
		time.Sleep(releaseInterval)
	}
	r.say("the replicas in zone-a of %d services are released", len(leaving))
	time.Sleep(drainTime + 5*time.Second)
	stopped.Store(true)
	late := 0
	for _, in := range leaving {
		late += f.countLate(in, accepted[in])
	}
	return late, nil
}

// countLate counts the clients' statements that an instance got later than drainTime after the
// store had accepted that it is draining.
func (f *fleet) countLate(in *instance, accepted time.Time) int {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	late, before := 0, 0
	for _, a := range in.arrivals {
		switch after := a.at.Sub(accepted); {
		case after < 0:
			before++
		case after > drainTime:
			late++
			if late <= 3 {
				f.record.note("LATE: %s got statement %s (%s) %.3f s after the acknowledgement", in.id, a.id, a.text, after.Seconds())
			}
		}
	}
	if late > 0 {
		f.record.say("%s, draining since %.3f, got %d statements before and %d later than %v after the acknowledgement", in.id, f.record.at(accepted), before, late, drainTime)
	} else {
		f.record.note("%s, draining since %.3f, got %d statements before and none later than %v after the acknowledgement", in.id, f.record.at(accepted), before, drainTime)
	}
	return late
}

// otherEntry returns the key and the value of the entry of an instance of another service. Its
// address is one at which nothing listens; no client uses the service.
func (f *fleet) otherEntry(number, seq int, state string) (string, any) {
	role, zone := "replica", []string{"zone-b", "zone-a", "zone-c"}[number%3]
	if number%3 == 0 {
		role = "primary"
	}
	return fmt.Sprintf("%si-%04d", serverPrefix, 1000+number),
		serverEntry(fmt.Sprintf("other-%d", number/3), f.address(250, instancePort), zone, state, role, 1700000000000, seq)
}

func (f *fleet) addOtherServices() {
	for number := range 3 * otherServices {
		f.store.set(f.otherEntry(number, 1, "ready"))
	}
}

// releaseOtherServices releases the replicas in zone-a of the other services, one after the
// other.
func (f *fleet) releaseOtherServices(stopped *atomic.Bool) {
	const first, step = 1, 3
	count := 3 * otherServices / step
	for i := range releasedOthers {
		if stopped.Load() {
			return
		}
		// The order of the release is not that of the ids.
		number := first + step*(i*1009%count)
		f.store.set(f.otherEntry(number, 2, "draining"))
		time.Sleep(otherInterval)
	}
}

// readAll reads from all databases in turn through a host until it is stopped.
func readAll(h *host, number int, stopped *atomic.Bool) {
	sessions := map[int]*client{}
	for i := number; !stopped.Load(); i++ {
		database := i % usedServices
		c := sessions[database]
		if c == nil {
			var err error
			if c, err = connect(h.frontend(), fmt.Sprintf("lookups%d", database), "key-alpha"); err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
			sessions[database] = c
		}
		if _, err := c.query(newID(), fmt.Sprintf("READ r%d", i%100)); err != nil {
			c.close()
			delete(sessions, database)
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, c := range sessions {
		c.close()
	}
}
