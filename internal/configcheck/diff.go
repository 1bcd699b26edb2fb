package configcheck

import (
	"fmt"
	"slices"
)

// Difference is what a new version changes for callers.
type Difference struct {
	Path   string `json:"path"`
	Effect string `json:"effect"`
}

// String formats the difference as one line.
func (d Difference) String() string { return fmt.Sprintf("change: %s: %s", d.Path, d.Effect) }

// diff collects differences.
type diff struct {
	from, to    *Document
	differences []Difference
}

func (d *diff) add(path, format string, args ...any) {
	d.differences = append(d.differences, Difference{Path: path, Effect: fmt.Sprintf(format, args...)})
}

// changed adds a difference if the values differ.
func changed[T comparable](d *diff, entry string, f Field, from, to T, effect string) {
	if from != to {
		d.add(d.to.path(entry, f), "%v becomes %v: %s", from, to, effect)
	}
}

// Diff returns what a document changes against the one in force.
func Diff(from, to *Document) []Difference {
	d := &diff{from: from, to: to}
	if to.Version <= from.Version {
		d.add(to.path("", FieldVersion), "%d is not above %d: hosts keep the version in force", to.Version, from.Version)
	}
	d.routes()
	d.services()
	d.accounts()
	if from.TransactionIdle != to.TransactionIdle {
		d.add(to.IdlePath, "%v becomes %v: when idle transactions are ended", from.TransactionIdle, to.TransactionIdle)
	}
	return d.differences
}

// byName finds an entry by its name, or returns nil.
func byName[T any](entries []T, name func(*T) string, wanted string) *T {
	i := slices.IndexFunc(entries, func(e T) bool { return name(&e) == wanted })
	if i < 0 {
		return nil
	}
	return &entries[i]
}

func routeKey(r *Route) string { return r.Database }

func serviceKey(s *Service) string { return s.Name }

func accountKey(a *Account) string { return a.Name }

func (d *diff) routes() {
	for i := range d.from.Routes {
		if old := &d.from.Routes[i]; byName(d.to.Routes, routeKey, old.Database) == nil {
			d.add(old.Path, "database %q is gone: its sessions are refused", old.Database)
		}
	}
	for i := range d.to.Routes {
		r := &d.to.Routes[i]
		old := byName(d.from.Routes, routeKey, r.Database)
		if old == nil {
			d.add(r.Path, "database %q is new", r.Database)
			continue
		}
		changed(d, r.Path, FieldService, old.Service, r.Service, "from the next transaction on")
		changed(d, r.Path, FieldConsistency, old.Consistency, r.Consistency, "which instances may serve its reads")
		changed(d, r.Path, FieldMaxStaleness, old.MaxStaleness, r.MaxStaleness, "how old its reads may be")
		changed(d, r.Path, FieldTimeout, old.Timeout, r.Timeout, "when its statements are given up")
		changed(d, r.Path, FieldObjective, old.Objective, r.Objective, "the order of its waiting work, and when its reads leave their failure domain")
		changed(d, r.Path, FieldPriority, old.Priority, r.Priority, "its place when there is too little room")
		changed(d, r.Path, FieldOpen, old.Open, r.Open, "whether callers need a key")
	}
}

func (d *diff) services() {
	for i := range d.from.Services {
		if old := &d.from.Services[i]; byName(d.to.Services, serviceKey, old.Name) == nil {
			d.add(old.Path, "service %q is gone: its connections are closed", old.Name)
		}
	}
	for i := range d.to.Services {
		s := &d.to.Services[i]
		old := byName(d.from.Services, serviceKey, s.Name)
		if old == nil {
			d.add(s.Path, "service %q is new", s.Name)
			continue
		}
		changed(d, s.Path, FieldMaxConns, old.MaxConns, s.MaxConns, "connections that all hosts together open to an instance")
		changed(d, s.Path, FieldSyncReplicas, old.SyncReplicas, s.SyncReplicas, "replicas that a promotion may miss")
	}
}

func (d *diff) accounts() {
	for i := range d.from.Accounts {
		if old := &d.from.Accounts[i]; byName(d.to.Accounts, accountKey, old.Name) == nil {
			d.add(old.Path, "account %q is gone with %d keys: its callers are refused", old.Name, len(old.Keys))
		}
	}
	for i := range d.to.Accounts {
		a := &d.to.Accounts[i]
		old := byName(d.from.Accounts, accountKey, a.Name)
		if old == nil {
			d.add(a.Path, "account %q is new with %d keys", a.Name, len(a.Keys))
			continue
		}
		if n := missing(old.Keys, a.Keys); n > 0 {
			d.add(d.to.path(a.Path, FieldKeys), "%d keys of %q are withdrawn: their sessions are refused at once", n, a.Name)
		}
		if n := missing(a.Keys, old.Keys); n > 0 {
			d.add(d.to.path(a.Path, FieldKeys), "%d keys of %q are new", n, a.Name)
		}
		changed(d, a.Path, FieldRate, old.Rate, a.Rate, limitEffect(old.Rate, a.Rate))
		changed(d, a.Path, FieldBurst, old.Burst, a.Burst, limitEffect(old.Burst, a.Burst))
		changed(d, a.Path, FieldPriority, old.Priority, a.Priority, "its place when there is too little room")
	}
}

// missing returns the number of keys that are in one list but not in the other.
func missing(keys, others []string) int {
	n := 0
	for _, key := range keys {
		if !slices.Contains(others, key) {
			n++
		}
	}
	return n
}

func limitEffect(from, to float64) string {
	if to < from {
		return "the limit is lowered"
	}
	return "the limit is raised"
}
