//go:build review

// Command review2 runs the cases of the second review against gateways in separate processes. It
// holds the stand-ins of the platform's store, of its failover interface and of a database.
//
// It exits with 1 if a rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitError  = 2

	startLimit = 20 * time.Second
)

// caseFunc runs a case and reports whether the rule was broken.
type caseFunc func(rec *record, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{
	"memory": runMemory,
	"sync":   runSync,
	"entry":  runEntry,
	"rows":   runRows,
	"ahead":  runAhead,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		os.Exit(exitError)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitError)
	}
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.line("the case could not run: %v", err)
		os.Exit(exitError)
	case broken:
		rec.line("the rule was broken")
		os.Exit(exitBroken)
	}
	rec.line("the rule held")
	os.Exit(exitHeld)
}

const (
	serviceName = "ledger7a"
	database    = "lepu270"
	apiKey      = "u6wsjnbanfqasnmgkcuy"
)

// configuration returns an operator's configuration with one route of each type.
func configuration(sync int) map[string]any {
	config := document(configJSON, nil)
	config["backends"].([]any)[0].(map[string]any)["sync_replicas"] = sync
	return config
}

// newDeployment starts a store, a service of three instances and gateways, one for each zone. It
// calls prepare, unless it is nil, before it starts the gateways.
func newDeployment(rec *record, sync int, gateways int, prepare func(*deployment) error) (*deployment, error) {
	binary, err := filepath.Abs("target/bramleylever")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		dir: dir, binary: binary, rec: rec, store: newStore(), zones: []string{"zone-a", "zone-b", "zone-c"},
		subnet: os.Getpid() % 20000,
	}
	storeListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	cloudListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.storeAt, d.cloudAt = storeListener.Addr().String(), cloudListener.Addr().String()
	go d.store.serve(storeListener)
	d.store.put(names["config"], configuration(sync))
	d.service = newService(serviceName, d.store, rec)
	d.service.sync = sync
	mux := http.NewServeMux()
	mux.HandleFunc(names["failover"], d.service.failover)
	go func() { _ = http.Serve(cloudListener, mux) }()
	for _, zone := range d.zones {
		if _, err := d.service.add("127.0.0.1", zone, 60*time.Millisecond); err != nil {
			return nil, err
		}
	}
	if prepare != nil {
		if err := prepare(d); err != nil {
			return d, err
		}
	}
	for i := range gateways {
		if _, err := d.addGateway(d.zones[i%len(d.zones)]); err != nil {
			return d, err
		}
	}
	for _, g := range d.gateways {
		if !g.awaitReady(startLimit) {
			return d, fmt.Errorf("%s is not ready after %v", g.name, startLimit)
		}
	}
	rec.line("%d gateways are ready", gateways)
	return d, nil
}

// finish ends all processes. The logs stay if KEEP is set.
func (d *deployment) finish() {
	d.end()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}
