package catalog

import (
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/platform"
)

// A store that was restored from an older copy first shows what was true some time ago.
// Operators and servers write again what they had written since, which takes a moment.
// Until then a host goes on with what it knows: entries of servers that are older than
// the known ones are left out, and evacuations that are missing stay in force.

const (
	// outdatedGrace is how long an entry that is older than what is known is left out. A
	// server that runs has written a newer one by then, and the store has removed the
	// entry of one that does not.
	outdatedGrace = 6 * time.Second
	// removedRetention is how long the last entry of a server that has left is remembered.
	removedRetention = time.Minute
)

// entryVersion orders the entries of one server, whatever revisions the store gives them.
type entryVersion struct {
	// started is the start time of the process, and sequence counts its writes; 0 if not
	// reported.
	started  int64
	sequence int64
}

func (s *Server) entryVersion() entryVersion { return entryVersion{s.Started, s.Sequence} }

// before reports whether a version is known to be older than another one.
func (v entryVersion) before(other entryVersion) bool {
	if v.started == 0 || other.started == 0 {
		return false
	}
	if v.started != other.started {
		return v.started < other.started
	}
	return v.sequence < other.sequence
}

// removedServer is what is remembered of a server that has left.
type removedServer struct {
	version entryVersion
	at      time.Time
}

// outdatedServer is an entry that is left out, because a newer one is known.
type outdatedServer struct {
	server Server
	since  time.Time
}

// observeGeneration records the generation of a full read below a prefix. It reports
// whether the store was restored since the one before.
func (v *view) observeGeneration(prefix string, revision int64) (restored bool) {
	generation, _ := platform.SplitRevision(revision)
	known, seen := v.generations[prefix]
	v.generations[prefix] = max(known, generation)
	return seen && generation > known
}

// isOutdated reports whether the entry of a server in a restored store is older than what
// is known of that server.
func (v *view) isOutdated(server *Server) bool {
	if known := v.servers[server.ID]; known != nil {
		return server.entryVersion().before(known.entryVersion())
	}
	removed, ok := v.removed[server.ID]
	if !ok {
		return false
	}
	version := server.entryVersion()
	return version == removed.version || version.before(removed.version)
}

// leaveOut leaves an entry of a full read out if it is outdated, or if it is one that was
// left out before and has not changed since.
func (v *view) leaveOut(server *Server, restored bool, now time.Time) bool {
	if old, ok := v.outdated[server.ID]; ok && old.server.Revision == server.Revision {
		return true
	}
	delete(v.outdated, server.ID)
	if !restored || !v.isOutdated(server) {
		return false
	}
	v.outdated[server.ID] = outdatedServer{server: *server, since: now}
	return true
}

// removeServer removes a server from the view.
func (v *view) removeServer(server *Server, now time.Time) {
	delete(v.servers, server.ID)
	v.removed[server.ID] = removedServer{version: server.entryVersion(), at: now}
}

// forgetRemoved forgets servers that left long ago.
func (v *view) forgetRemoved(now time.Time) {
	for id, removed := range v.removed {
		if now.Sub(removed.at) >= removedRetention {
			delete(v.removed, id)
		}
	}
}

// endOutdated returns the entries that have been left out for long enough.
func (v *view) endOutdated(now time.Time) []Server {
	var ended []Server
	for id, o := range v.outdated {
		if now.Sub(o.since) >= outdatedGrace {
			delete(v.outdated, id)
			ended = append(ended, o.server)
		}
	}
	return ended
}

// missEvacuation records that a restored store does not show an evacuation.
func (v *view) missEvacuation(domain string, now time.Time) {
	if _, missing := v.evacuationMissing[domain]; !missing {
		v.evacuationMissing[domain] = now
	}
}

// endEvacuations returns the failure domains whose evacuation has been missing for
// LapseGrace.
func (v *view) endEvacuations(now time.Time) []string {
	var ended []string
	for domain, since := range v.evacuationMissing {
		if now.Sub(since) >= LapseGrace {
			ended = append(ended, domain)
		}
	}
	return ended
}

// expireRestored applies what was left out or kept after a restore for long enough. It
// reports whether the view changed. The caller holds the lock.
func (f *Follower) expireRestored(now time.Time) bool {
	f.view.forgetRemoved(now)
	outdated := f.view.endOutdated(now)
	for i := range outdated {
		f.logServer(&outdated[i])
		f.view.putServer(outdated[i], f.drainTime(), now)
	}
	evacuations := f.view.endEvacuations(now)
	for _, domain := range evacuations {
		f.applyEvacuation(domain, true)
	}
	return len(outdated)+len(evacuations) > 0
}

// logLeftOut logs an entry of a restored store that is older than what is known.
func (f *Follower) logLeftOut(server *Server) {
	f.log.Info("backend server entry left out: a newer one is known", zap.String(logging.FieldInstance, server.ID),
		zap.Stringer("role", server.Role), zap.Bool("draining", server.Draining),
		zap.Int64(logging.FieldRevision, server.Revision))
}
