//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	entryCaseTime = 15 * time.Second
	bookedItem    = "slot17"
	bookedData    = "booked"
	copiedData    = "free"
)

// missingFields are the fields that the entry of the other writer lacks.
var missingFields = decode[[]string](missingJSON)

// runEntry puts the entry of another writer into the store, before the gateways start. It lacks
// fields that the entry of an instance has. At its address is a copy of the service's database
// that is not an instance of the deployment.
func runEntry(rec *record, trouble bool) (bool, error) {
	copied := newService(serviceName, nil, rec)
	copied.logStatements = true
	d, err := newDeployment(rec, 0, 3, func(d *deployment) error {
		for _, in := range d.service.instances {
			in.log = []entry{{term: 1, item: bookedItem, data: copiedData}, {term: 1, item: bookedItem, data: bookedData}}
		}
		c, err := copied.add("127.0.0.1", "zone-a", 0)
		if err != nil {
			return err
		}
		c.log = []entry{{term: 1, item: bookedItem, data: copiedData}}
		// The instances have registered themselves.
		time.Sleep(time.Second)
		if trouble {
			foreign := document(entryJSON, map[string]any{"backend": serviceName, "address": c.address, "zone": c.zone, "db_role": "primary"})
			for _, field := range missingFields {
				delete(foreign, field)
			}
			d.store.put(names["servers"]+c.id, foreign)
			rec.line("another writer puts the entry of %s: %v", c.id, foreign)
		}
		return nil
	})
	if d != nil {
		defer d.finish()
	}
	if err != nil {
		return false, err
	}
	broken := false
	started := time.Now()
	for n := 0; time.Since(started) < entryCaseTime; n++ {
		time.Sleep(200 * time.Millisecond)
		g := d.gateways[n%len(d.gateways)]
		c, err := open(g.frontend, database, apiKey)
		if err != nil {
			rec.line("client at %s: STARTUP: %v", g.name, err)
			continue
		}
		broken = d.checkRead(g, c) || broken
		broken = d.checkWrite(g, c, n) || broken
		c.close()
	}
	return broken, nil
}

// checkRead reads the booked item on the primary route and reports whether the client got other
// rows than those of the service.
func (d *deployment) checkRead(g *gateway, c *client) bool {
	id := newID()
	r, err := c.query(id, "READ "+bookedItem, 2*time.Second)
	d.rec.line("client at %s: %s READ %s: rows %v, signature %q, code %q, error %v", g.name, id, bookedItem, r.rows, r.signature, r.code, err)
	if err != nil || !r.ok() || len(r.rows) == 1 && r.rows[0] == bookedData {
		return false
	}
	d.rec.line("MIXED: the client got %v, the service has %s", r.rows, bookedData)
	return true
}

// checkWrite writes an item and reports whether it was acknowledged and is not in the log of the
// primary of the service.
func (d *deployment) checkWrite(g *gateway, c *client, n int) bool {
	id, item, data := newID(), fmt.Sprintf("item%d", n), fmt.Sprintf("data%d", n)
	r, err := c.query(id, "WRITE "+item+" "+data, 2*time.Second)
	d.rec.line("client at %s: %s WRITE %s %s: signature %q, code %q, error %v", g.name, id, item, data, r.signature, r.code, err)
	if err != nil || !r.ok() {
		return false
	}
	s := d.service
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range s.instances {
		for _, e := range in.log {
			if in.leads && e.item == item && e.data == data {
				return false
			}
		}
	}
	d.rec.line("MIXED: the write of %s was acknowledged, but no instance of the service has it", item)
	return true
}
