package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// crowd is the number of clients with long keys, and keyBytes the length of a key. The
	// STARTUP message stays within 1 MiB.
	crowd    = 500
	keyBytes = 1_000_000
	// atOnce is the number of clients that connect at the same time.
	atOnce = 4
	// holdTime is how long the crowd stays connected.
	holdTime = 10 * time.Second
)

// longKeys: a session on a database that needs no key keeps the key that its caller has sent, of
// any legal length, without a bound for all sessions, so that a crowd of idle sessions takes more
// memory than the machine has.
func longKeys(r *record, trouble bool) (int, error) {
	f, err := newFleet(r, "ledger", 0)
	if err != nil {
		return 0, err
	}
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		if _, err := f.addInstance(f.cloud, i+1, zone); err != nil {
			return 0, err
		}
	}
	f.configure(3, route{database: "orders", kind: "primary"}, route{database: "notices", kind: "primary", open: true})
	h, err := f.addHost(1, "zone-a")
	if err != nil {
		return 0, err
	}
	if err := f.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	r.say("the process has %d MB of its %d MB", h.nowMB(), f.memoryMB)
	if err := askOnce(h); err != nil {
		return 0, fmt.Errorf("an ordinary request before the crowd: %w", err)
	}
	key := "k"
	if trouble {
		key = strings.Repeat("k", keyBytes)
	}
	r.say("%d clients open a session on a database without keys, with a key of %d bytes, and rest", crowd, len(key))
	open := openSessions(r, h, key)
	r.say("%d sessions are open", len(open))
	broken := 0
	for end := time.Now().Add(holdTime); time.Now().Before(end) && h.alive(); time.Sleep(time.Second) {
		r.say("the process has %d MB", h.nowMB())
	}
	switch peak := h.peakMB(); {
	case !h.alive():
		broken++
		r.say("BROKEN: the process has ended")
	case peak > f.memoryMB:
		broken++
		r.say("BROKEN: the process has had %d MB, its machine has %d MB", peak, f.memoryMB)
	default:
		r.say("the process has had %d MB at most", peak)
	}
	r.say("an ordinary request afterwards: %v", askOnce(h))
	for _, c := range open {
		c.close()
	}
	return broken, nil
}

func openSessions(r *record, h *host, key string) []*client {
	var mu sync.Mutex
	var open []*client
	var group sync.WaitGroup
	for range atOnce {
		group.Go(func() {
			for range crowd / atOnce {
				c, err := connect(h.frontend(), "notices", key)
				if err != nil {
					r.note("session refused: %v", err)
					continue
				}
				mu.Lock()
				open = append(open, c)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return open
}

// askOnce sends an ordinary request.
func askOnce(h *host) error {
	c, err := connect(h.frontend(), "orders", "key-alpha")
	if err != nil {
		return err
	}
	defer c.close()
	answer, err := c.query(newID(), "READ r1")
	if err == nil && answer.code != "" {
		err = fmt.Errorf("error %s", answer.code)
	}
	return err
}
