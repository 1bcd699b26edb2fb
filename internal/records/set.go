package records

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Set is an immutable set of records, which may include invalid ones.
type Set struct {
	entries map[string]entry
}

type entry struct {
	record Record
	value  any
	err    error
}

// NewSet returns a set of the given records without the deleted ones.
func NewSet(list []Record) *Set {
	return (&Set{entries: map[string]entry{}}).With(list)
}

// With returns a copy of the set with the changes applied.
func (s *Set) With(changes []Record) *Set {
	next := &Set{entries: make(map[string]entry, s.Len()+len(changes))}
	if s != nil {
		maps.Copy(next.entries, s.entries)
	}
	for _, r := range changes {
		if r.Deleted {
			delete(next.entries, r.ID())
			continue
		}
		value, err := decodeBody(r.Kind, r.Name, r.SchemaVersion, r.Body)
		if err != nil {
			err = fmt.Errorf("record %s: %w", r.ID(), err)
		}
		next.entries[r.ID()] = entry{record: r, value: value, err: err}
	}
	return next
}

// Len returns the number of records.
func (s *Set) Len() int {
	if s == nil {
		return 0
	}
	return len(s.entries)
}

// Get returns a record by kind and name.
func (s *Set) Get(kind Kind, name string) (Record, bool) {
	if s == nil {
		return Record{}, false
	}
	e, ok := s.entries[Record{Kind: kind, Name: name}.ID()]
	return e.record, ok
}

// Records returns all records, sorted by kind and name.
func (s *Set) Records() []Record {
	out := make([]Record, 0, s.Len())
	if s == nil {
		return out
	}
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		out = append(out, s.entries[id].record)
	}
	return out
}

// Snapshot builds the snapshot of a revision. It omits invalid records and names
// them in the error, because a host that cannot decode a record must not act on a
// part of it. The snapshot is usable even if the error is not nil.
func (s *Set) Snapshot(revision int64) (*Snapshot, error) {
	snapshot := &Snapshot{
		Revision:  revision,
		Databases: map[string]Database{},
		Accounts:  map[string]Account{},
		Keys:      map[string]Key{},
		Routes:    map[string]Route{},
		Domains:   map[string]ServiceState{},
		Hosts:     map[string]ServiceState{},
		Backends:  map[string]ServiceState{},
	}
	if s == nil {
		return snapshot, nil
	}
	var errs []error
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		e := s.entries[id]
		if e.err != nil {
			errs = append(errs, e.err)
			continue
		}
		snapshot.add(e.record, e.value)
	}
	errs = append(errs, snapshot.removeDanglingReferences()...)
	return snapshot, errors.Join(errs...)
}

func (s *Snapshot) add(r Record, value any) {
	switch value := value.(type) {
	case Database:
		s.Databases[r.Name] = value
	case Account:
		s.Accounts[r.Name] = value
	case Key:
		s.Keys[r.Name] = value
	case Route:
		s.Routes[r.Name] = value
	case ServiceState:
		switch r.Kind {
		case KindDomain:
			s.Domains[r.Name] = value
		case KindHost:
			s.Hosts[r.Name] = value
		default:
			s.Backends[r.Name] = value
		}
	}
}

// removeDanglingReferences removes databases with an instance of another database,
// and keys and routes that refer to unknown records. It returns an error for each,
// and for each backend record of an unknown instance.
func (s *Snapshot) removeDanglingReferences() []error {
	errs := s.checkInstances()
	for _, id := range slices.Sorted(maps.Keys(s.Keys)) {
		if account := s.Keys[id].Account; !hasKey(s.Accounts, account) {
			errs = append(errs, fmt.Errorf("record key/%s: body.account: unknown account %q", id, account))
			delete(s.Keys, id)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
		r := s.Routes[name]
		var err error
		switch {
		case !hasKey(s.Databases, r.Database):
			err = fmt.Errorf("record route/%s: body.database: unknown database %q", name, r.Database)
		case r.Open && !hasKey(s.Accounts, r.Account):
			err = fmt.Errorf("record route/%s: body.account: unknown account %q", name, r.Account)
		}
		if err != nil {
			errs = append(errs, err)
			delete(s.Routes, name)
		}
	}
	return errs
}

// checkInstances finds instances that belong to two databases. It keeps the first
// database by name and removes the other, because two groups must not write to
// one instance. It also reports backend records of unknown instances.
func (s *Snapshot) checkInstances() []error {
	var errs []error
	names, addresses := map[string]string{}, map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(s.Databases)) {
		var err error
		for _, in := range s.Databases[name].Instances {
			if other, taken := names[in.Name]; taken {
				err = fmt.Errorf("record database/%s: body.instances: instance %q is also in database %q", name, in.Name, other)
			} else if other, taken := addresses[in.Address]; taken {
				err = fmt.Errorf("record database/%s: body.instances: address %q is also in database %q", name, in.Address, other)
			}
		}
		if err != nil {
			errs = append(errs, err)
			delete(s.Databases, name)
			continue
		}
		for _, in := range s.Databases[name].Instances {
			names[in.Name], addresses[in.Address] = name, name
		}
	}
	for _, backend := range slices.Sorted(maps.Keys(s.Backends)) {
		if !hasKey(names, backend) {
			errs = append(errs, fmt.Errorf("record backend/%s: name: unknown instance", backend))
		}
	}
	return errs
}

func hasKey[V any](m map[string]V, key string) bool {
	_, ok := m[key]
	return ok
}
