package catalog

import (
	"slices"
	"strings"
	"time"
)

// LapseGrace is how long a server stays in the view after its entry
// disappeared. Entries lapse during a store outage and come back within two
// seconds of its return.
const LapseGrace = 2 * time.Second

// prefixCount is the number of prefixes that a follower reads.
const prefixCount = 2

// view is the mutable state behind the snapshots. It does no I/O.
type view struct {
	config    *Config
	servers   map[string]*Server
	evacuated map[string]bool
	// confirmed holds, by prefix, when the store last confirmed the keys.
	confirmed map[string]time.Time
}

func newView() *view {
	return &view{servers: map[string]*Server{}, evacuated: map[string]bool{}, confirmed: map[string]time.Time{}}
}

func (v *view) confirm(prefix string, at time.Time) { v.confirmed[prefix] = at }

// oldest returns the oldest confirmation of all prefixes.
func (v *view) oldest() time.Time {
	var oldest time.Time
	for _, at := range v.confirmed {
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// setConfig takes a configuration over unless it is older than the present one.
func (v *view) setConfig(c *Config) bool {
	if v.config != nil && c.Version <= v.config.Version {
		return false
	}
	v.config = c
	return true
}

// drainMargin is kept from the time for which a draining server may get work,
// because a host learns of the announcement a little after it was accepted.
const drainMargin = 750 * time.Millisecond

// putServer takes a registration over. A server that is draining when it is
// seen for the first time may have been so for long.
func (v *view) putServer(server Server, drainTime time.Duration, now time.Time) {
	server.RoleRevision = server.Revision
	old := v.servers[server.ID]
	if server.Draining {
		server.DrainedAt = now
		switch {
		case old == nil:
		case old.Draining:
			server.DrainedAt = old.DrainedAt
		default:
			server.DrainedAt = now.Add(drainTime - drainMargin)
		}
	}
	if old != nil {
		if server.Revision < old.Revision {
			return
		}
		if old.Role == server.Role && old.Started == server.Started {
			server.RoleRevision = old.RoleRevision
		}
	}
	v.servers[server.ID] = &server
}

// lapseServer notes that a registration disappeared. A server that announced
// its leaving is removed at once.
func (v *view) lapseServer(id string, now time.Time) {
	old := v.servers[id]
	if old == nil || !old.Lapsed.IsZero() {
		return
	}
	if old.Draining {
		delete(v.servers, id)
		return
	}
	lapsed := *old
	lapsed.Lapsed = now
	v.servers[id] = &lapsed
}

// expire removes servers whose entry has been missing for LapseGrace and
// reports whether there was one.
func (v *view) expire(now time.Time) bool {
	removed := false
	for id, server := range v.servers {
		if !server.Lapsed.IsZero() && now.Sub(server.Lapsed) >= LapseGrace {
			delete(v.servers, id)
			removed = true
		}
	}
	return removed
}

// snapshot copies the view. Configurations and servers are shared, because
// they are never changed after they were taken over.
func (v *view) snapshot() *Snapshot {
	s := &Snapshot{
		Config:      v.config,
		Servers:     make(map[string]*Server, len(v.servers)),
		Groups:      map[string][]*Server{},
		Evacuated:   make(map[string]bool, len(v.evacuated)),
		ConfirmedAt: v.oldest(),
		Complete:    v.config != nil && len(v.confirmed) == prefixCount,
	}
	for id, server := range v.servers {
		s.Servers[id] = server
		s.Groups[server.Service] = append(s.Groups[server.Service], server)
	}
	for _, group := range s.Groups {
		slices.SortFunc(group, func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
	}
	for domain := range v.evacuated {
		s.Evacuated[domain] = true
	}
	return s
}
