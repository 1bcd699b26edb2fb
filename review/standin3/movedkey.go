package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// applyTime is config_apply_ms.
	applyTime = 3 * time.Second
	// statementPause is the pause between two statements of a transaction, of which there are
	// twelve with BEGIN and COMMIT.
	statementPause = 700 * time.Millisecond
	statements     = 12
	// movedClients is the number of clients with an open transaction.
	movedClients = 6
)

// movedKey: a new configuration gives a key to another client account. An open transaction goes on
// at the instance under the account that had the key before, its COMMIT included.
func movedKey(r *record, trouble bool) (int, error) {
	f, err := newFleet(r, "ledger", 0)
	if err != nil {
		return 0, err
	}
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		if _, err := f.addInstance(f.cloud, i+1, zone); err != nil {
			return 0, err
		}
	}
	orders := route{database: "orders", kind: "primary"}
	f.configure(3, orders)
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		if _, err := f.addHost(i+1, zone); err != nil {
			return 0, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(6 * time.Second)
	var mu sync.Mutex
	sent := map[string]time.Time{}
	var group sync.WaitGroup
	for number := range movedClients {
		group.Go(func() {
			transact(r, f.hosts[number%len(f.hosts)], number, func(id string) {
				mu.Lock()
				defer mu.Unlock()
				sent[id] = time.Now()
			})
		})
	}
	time.Sleep(statementPause * 3 / 2)
	if trouble {
		f.configureKeys(4, map[string][]string{"alpha": {"key-alpha-2"}, "beta": {"key-beta", "key-alpha"}}, orders)
	}
	accepted := time.Now()
	if trouble {
		r.say("the store has accepted version 4: key-alpha belongs to beta and no longer to alpha")
	}
	group.Wait()
	holder := "alpha"
	if trouble {
		holder = "beta"
	}
	return f.countForeign(sent, accepted.Add(applyTime), holder), nil
}

// transact runs one transaction of twelve statements with pauses.
func transact(r *record, h *host, number int, sending func(id string)) {
	c, err := connect(h.frontend(), "orders", "key-alpha")
	if err != nil {
		r.say("client %d: %v", number, err)
		return
	}
	defer c.close()
	for i := range statements {
		text := fmt.Sprintf("READ r%d", i)
		switch i {
		case 0:
			text = "BEGIN"
		case 1:
			text = fmt.Sprintf("WRITE m%d d%d", number, i)
		case statements - 1:
			text = "COMMIT"
		}
		id := newID()
		sending(id)
		answer, err := c.query(id, text)
		r.note("client %d: %s %s -> code %q, error %v", number, id, text, answer.code, err)
		if err != nil || answer.code != "" {
			return
		}
		time.Sleep(statementPause)
	}
}

// countForeign counts the statements that were sent after a time and that an instance ran for
// another account than the one that holds the key.
func (f *fleet) countForeign(sent map[string]time.Time, after time.Time, holder string) int {
	f.cloud.mu.Lock()
	defer f.cloud.mu.Unlock()
	foreign := 0
	for _, in := range f.cloud.instances {
		for _, a := range in.arrivals {
			if at, ok := sent[a.id]; ok && at.After(after) && a.tenant != holder {
				foreign++
				f.record.say("UNASKED: %s ran %s (%s), sent %.3f s after the configuration has to be in force, for %s; the key belongs to %s",
					in.id, a.id, a.text, at.Sub(after).Seconds(), a.tenant, holder)
			}
		}
	}
	return foreign
}
