//go:build review

package main

import (
	"strings"
	"sync"
	"time"
)

const (
	// reportRows and reportRowBytes are the size of the result that a read of reportItem has.
	reportItem     = "report"
	reportRows     = 100
	reportRowBytes = 1_000_000
	smallRows      = 1
	readPause      = 500 * time.Millisecond
)

// runRows lets one client for each of two gateways read an item with a large result: many rows,
// each of legal size.
func runRows(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, 0, 3, nil)
	if d != nil {
		defer d.finish()
	}
	if err != nil {
		return false, err
	}
	rows := smallRows
	if trouble {
		rows = reportRows
	}
	row := "ROW " + strings.Repeat("x", reportRowBytes) + "\r\n"
	d.service.setResult(reportItem, strings.Repeat(row, rows))
	end := time.Now().Add(caseLimit)
	var group sync.WaitGroup
	for _, g := range d.gateways[:machinesOfFault] {
		group.Go(func() { d.readReport(g, end) })
	}
	ordinary := make(chan struct{})
	go d.ordinaryCaller(ordinary)
	group.Wait()
	close(ordinary)
	return d.countFaults() >= machinesOfFault, nil
}

// readsPerClient is how often a client reads the item at most.
const readsPerClient = 25

// readReport reads the item until enough machines have failed or the client has read it often.
func (d *deployment) readReport(g *gateway, end time.Time) {
	for range readsPerClient {
		if time.Now().After(end) || d.machinesFailed() >= machinesOfFault {
			return
		}
		time.Sleep(readPause)
		if !g.awaitReady(2 * time.Second) {
			continue
		}
		c, err := open(g.frontend, boundedDatabase, apiKey)
		if err != nil {
			d.rec.line("client at %s: STARTUP: %v", g.name, err)
			continue
		}
		id := newID()
		r, err := c.query(id, "READ "+reportItem, requestLimit)
		d.rec.line("client at %s: %s READ %s: %d rows, signature %q, code %q, error %v", g.name, id, reportItem, len(r.rows), r.signature, r.code, err)
		c.close()
	}
}
