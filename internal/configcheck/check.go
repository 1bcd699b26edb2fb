package configcheck

import (
	"fmt"
	"slices"
)

// check collects the findings of a document.
type check struct {
	doc      *Document
	findings []Finding
}

func (c *check) add(s Severity, entry string, f Field, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: s, Path: c.doc.path(entry, f), Text: fmt.Sprintf(format, args...)})
}

// Check returns what is wrong with a document, in the order of its entries.
func Check(doc *Document) []Finding {
	c := &check{doc: doc}
	if doc.Version <= 0 {
		c.add(Error, "", FieldVersion, "%d is not a positive version", doc.Version)
	}
	c.services()
	c.routes()
	c.accounts()
	if doc.TransactionIdle < 0 {
		c.findings = append(c.findings, Finding{Error, doc.IdlePath, "is negative"})
	}
	return c.findings
}

func (c *check) services() {
	seen := map[string]string{}
	for _, s := range c.doc.Services {
		if s.Name == "" {
			c.add(Error, s.Path, FieldName, "is empty")
			continue
		}
		if first, ok := seen[s.Name]; ok {
			c.add(Error, s.Path, FieldName, "%q is defined by %s already", s.Name, first)
		} else {
			seen[s.Name] = s.Path
		}
		if s.MaxConns < 0 {
			c.add(Error, s.Path, FieldMaxConns, "%d is negative", s.MaxConns)
		}
		if s.SyncReplicas < 0 {
			c.add(Error, s.Path, FieldSyncReplicas, "%d is negative", s.SyncReplicas)
		}
		if !slices.ContainsFunc(c.doc.Routes, func(r Route) bool { return r.Service == s.Name }) {
			c.add(Warning, s.Path, FieldName, "no route leads to %q", s.Name)
		}
	}
}

func (c *check) routes() {
	seen := map[string]string{}
	for i := range c.doc.Routes {
		r := &c.doc.Routes[i]
		if r.Database == "" {
			c.add(Error, r.Path, FieldDatabase, "is empty")
		} else if first, ok := seen[r.Database]; ok {
			c.add(Error, r.Path, FieldDatabase, "%q is the database of %s already; only the last of them matches", r.Database, first)
		} else {
			seen[r.Database] = r.Path
		}
		switch {
		case r.Service == "":
			c.add(Error, r.Path, FieldService, "is empty")
		case !slices.ContainsFunc(c.doc.Services, func(s Service) bool { return s.Name == r.Service }):
			c.add(Error, r.Path, FieldService, "no service is named %q, so nothing can run", r.Service)
		}
		c.routeLimits(r)
		c.routeConsistency(r)
	}
}

func (c *check) routeLimits(r *Route) {
	if r.Timeout < 0 {
		c.add(Error, r.Path, FieldTimeout, "%v is negative", r.Timeout)
	}
	if r.Objective < 0 {
		c.add(Error, r.Path, FieldObjective, "%v is negative", r.Objective)
	}
	if r.Timeout > 0 && r.Objective > r.Timeout {
		c.add(Warning, r.Path, FieldTimeout, "%v ends a statement before its objective of %v", r.Timeout, r.Objective)
	}
	if c.doc.TransactionIdle > 0 && r.Timeout > c.doc.TransactionIdle {
		c.add(Warning, r.Path, FieldTimeout, "%v is above the %v after which a transaction is ended for being idle", r.Timeout, c.doc.TransactionIdle)
	}
}

func (c *check) routeConsistency(r *Route) {
	switch r.Consistency {
	case Strong:
		if r.MaxStaleness > 0 {
			c.add(Warning, r.Path, FieldMaxStaleness, "%v has no effect: reads of this consistency are never stale", r.MaxStaleness)
		}
	case Bounded, ReadYourWrites:
		if r.MaxStaleness < 0 {
			c.add(Error, r.Path, FieldMaxStaleness, "%v is negative", r.MaxStaleness)
		}
		if r.MaxStaleness == 0 {
			c.add(Warning, r.Path, FieldMaxStaleness, "is 0, so that only the primary can serve reads")
		}
	default:
		c.add(Error, r.Path, FieldConsistency, "%q is not known", r.Consistency)
	}
}

func (c *check) accounts() {
	names, keys := map[string]string{}, map[string]string{}
	for i := range c.doc.Accounts {
		a := &c.doc.Accounts[i]
		if a.Name == "" {
			c.add(Error, a.Path, FieldName, "is empty")
		} else if first, ok := names[a.Name]; ok {
			c.add(Error, a.Path, FieldName, "%q is defined by %s already", a.Name, first)
		} else {
			names[a.Name] = a.Path
		}
		if len(a.Keys) == 0 {
			c.add(Warning, a.Path, FieldKeys, "is empty, so that no caller belongs to %q", a.Name)
		}
		for _, key := range a.Keys {
			if key == "" {
				c.add(Error, a.Path, FieldKeys, "holds an empty key")
			} else if owner, ok := keys[key]; ok {
				c.add(Error, a.Path, FieldKeys, "holds a key that %s has too; its callers count for one of them", owner)
			} else {
				keys[key] = a.Path
			}
		}
		c.accountLimits(a)
	}
}

func (c *check) accountLimits(a *Account) {
	if a.Rate < 0 {
		c.add(Error, a.Path, FieldRate, "%v is negative", a.Rate)
	}
	if a.Burst < 0 {
		c.add(Error, a.Path, FieldBurst, "%v is negative", a.Burst)
	}
	if a.Rate == 0 && a.Burst > 0 {
		c.add(Warning, a.Path, FieldBurst, "%v has no effect: a rate of 0 is no limit", a.Burst)
	}
	if a.Rate > 0 && a.Burst >= 0 && a.Burst < 1 {
		c.add(Warning, a.Path, FieldBurst, "%v is below 1, so that operations wait for a token although the rate allows them", a.Burst)
	}
	for i := range c.doc.Routes {
		if c.doc.Routes[i].Priority == a.Priority {
			return
		}
	}
	if a.Priority != 0 && len(c.doc.Routes) > 0 {
		c.add(Warning, a.Path, FieldPriority, "%d is the priority of no route", a.Priority)
	}
}
