package catalog

import (
	"slices"
	"strings"
	"time"

	"github.com/bramleylever/bramleylever/internal/platform"
)

// LapseGrace is how long a server stays in the view after its entry disappeared from
// the store. Entries expire during an outage of the store and are written again within
// two seconds of its end.
const LapseGrace = 2 * time.Second

// prefixCount is the number of prefixes that a follower reads.
const prefixCount = 2

// view is the mutable state behind the snapshots. It does no I/O.
type view struct {
	config    *Config
	servers   map[string]*Server
	evacuated map[string]bool
	// confirmedAt holds, by prefix, when the store last confirmed the keys.
	confirmedAt map[string]time.Time

	// The fields below bridge a restore of the store.

	// generations holds, by prefix, the generation of the newest full read.
	generations map[string]platform.Generation
	// removed holds the servers that have left lately, and outdated the entries that are
	// left out.
	removed  map[string]removedServer
	outdated map[string]outdatedServer
	// evacuationMissing is since when a restored store does not show an evacuation.
	evacuationMissing map[string]time.Time
}

func newView() *view {
	return &view{
		servers: map[string]*Server{}, evacuated: map[string]bool{}, confirmedAt: map[string]time.Time{},
		generations: map[string]platform.Generation{}, removed: map[string]removedServer{},
		outdated: map[string]outdatedServer{}, evacuationMissing: map[string]time.Time{},
	}
}

func (v *view) confirm(prefix string, at time.Time) { v.confirmedAt[prefix] = at }

// oldestConfirmation returns the oldest confirmation time of all prefixes.
func (v *view) oldestConfirmation() time.Time {
	var oldest time.Time
	for _, at := range v.confirmedAt {
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// setConfig replaces the configuration unless its version is not newer. It reports
// whether it did.
func (v *view) setConfig(c *Config) bool {
	if v.config != nil && c.Version <= v.config.Version {
		return false
	}
	v.config = c
	return true
}

// drainMargin is subtracted from the time during which a draining server may get work,
// because a host learns of the drain a little after the store accepted it.
const drainMargin = 750 * time.Millisecond

// putServer adds or updates a server. A server that is already draining when it is first
// seen counts as drained, because it may have been draining for a long time.
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

// lapseServer marks a server whose entry disappeared. A draining server is removed at
// once.
func (v *view) lapseServer(id string, now time.Time) {
	old := v.servers[id]
	if old == nil || !old.Lapsed.IsZero() {
		return
	}
	if old.Draining {
		v.removeServer(old, now)
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
	for _, server := range v.servers {
		if !server.Lapsed.IsZero() && now.Sub(server.Lapsed) >= LapseGrace {
			v.removeServer(server, now)
			removed = true
		}
	}
	return removed
}

// snapshot copies the view. Configurations and servers are shared with the copy, because
// they are never modified once they are in the view.
func (v *view) snapshot() *Snapshot {
	s := &Snapshot{
		Config:      v.config,
		Servers:     make(map[string]*Server, len(v.servers)),
		Groups:      map[string][]*Server{},
		Evacuated:   make(map[string]bool, len(v.evacuated)),
		ConfirmedAt: v.oldestConfirmation(),
		Complete:    v.config != nil && len(v.confirmedAt) == prefixCount,
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
