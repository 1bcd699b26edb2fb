package records

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Set is an immutable set of records.
type Set struct {
	entries map[string]entry
}

type entry struct {
	record Record
	value  any
	err    error
}

// NewSet returns a set of the given records; deleted ones are left out.
func NewSet(list []Record) *Set {
	return (&Set{entries: map[string]entry{}}).With(list)
}

// With returns the set after a change.
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

// Records returns all records in the order of kind and name.
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

// Snapshot builds the snapshot of a revision. Records that are not valid are
// left out and named in the error: a host that does not understand a record
// must not act on a part of it. The snapshot can be used in any case.
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
	errs = append(errs, snapshot.prune()...)
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

// prune removes records that refer to unknown ones and returns the errors.
func (s *Snapshot) prune() []error {
	errs := s.checkInstances()
	for _, id := range slices.Sorted(maps.Keys(s.Keys)) {
		if account := s.Keys[id].Account; !has(s.Accounts, account) {
			errs = append(errs, fmt.Errorf("record key/%s: body.account: unknown account %q", id, account))
			delete(s.Keys, id)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
		r := s.Routes[name]
		var err error
		switch {
		case !has(s.Databases, r.Database):
			err = fmt.Errorf("record route/%s: body.database: unknown database %q", name, r.Database)
		case r.Open && !has(s.Accounts, r.Account):
			err = fmt.Errorf("record route/%s: body.account: unknown account %q", name, r.Account)
		}
		if err != nil {
			errs = append(errs, err)
			delete(s.Routes, name)
		}
	}
	return errs
}

// checkInstances finds instances that two databases claim. The first database
// by name keeps serving; the other one is removed, because two groups must not
// write to one instance.
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
		if !has(names, backend) {
			errs = append(errs, fmt.Errorf("record backend/%s: name: unknown instance", backend))
		}
	}
	return errs
}

func has[V any](m map[string]V, key string) bool {
	_, ok := m[key]
	return ok
}
