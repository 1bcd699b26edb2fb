package promotion

import (
	"cmp"
	"slices"
	"strings"

	"github.com/bramleylever/bramleylever/internal/catalog"
)

// Member is a process of an instance that may hold acknowledged commits of its service,
// whether or not it is registered now.
type Member struct {
	ID string `json:"id"`
	// Started is the start time of the process in Unix milliseconds; 0 if not reported. A
	// process that starts again under the same id holds nothing of before.
	Started int64  `json:"started,omitempty"`
	Address string `json:"address"`
	Domain  string `json:"failure_domain"`
	// Draining says that the instance was stopping when it was last registered. A new
	// instance at its address gets its log.
	Draining bool `json:"draining,omitempty"`
	// Retired says that other members hold every commit that the instance had when it was
	// last heard of. It is still asked, but no promotion waits for it.
	Retired bool `json:"retired,omitempty"`
}

func memberOf(server *catalog.Server) Member {
	return Member{ID: server.ID, Started: server.Started, Address: server.Address, Domain: server.Domain, Draining: server.Draining}
}

// isProcess reports whether a server is the member's process.
func (m Member) isProcess(server *catalog.Server) bool {
	return server.ID == m.ID && server.Started == m.Started
}

// isIn reports whether the member is registered.
func (m Member) isIn(snapshot *catalog.Snapshot) bool {
	server := snapshot.Servers[m.ID]
	return server != nil && m.isProcess(server) && server.Lapsed.IsZero()
}

// isSucceededBy reports whether a server is the instance that got the member's log.
func (m Member) isSucceededBy(server *catalog.Server) bool {
	return m.Draining && m.Address != "" && server.ID != m.ID && server.Address == m.Address && server.Started >= m.Started
}

// isReported reports whether the log that the member held is among the reports. A primary's
// does not count, because it can still grow, and an empty one counts only if that is
// accepted: a process that has just started again may not have registered yet.
func (m Member) isReported(reports []Candidate, acceptEmpty bool) bool {
	return slices.ContainsFunc(reports, func(c Candidate) bool {
		if c.Primary || c.Received.LSN == 0 && !acceptEmpty {
			return false
		}
		return m.isProcess(c.Server) || m.isSucceededBy(c.Server)
	})
}

// memberList lists the members of one service, ordered by id and start time.
type memberList []Member

func compareMembers(a, b Member) int {
	return cmp.Or(strings.Compare(a.ID, b.ID), cmp.Compare(a.Started, b.Started))
}

// put returns the list with a member added or replaced.
func (l memberList) put(m Member) memberList {
	i, found := slices.BinarySearchFunc(l, m, compareMembers)
	if found {
		l[i] = m
		return l
	}
	return slices.Insert(l, i, m)
}

// with returns the list with the registered servers, which are not retired.
func (l memberList) with(servers []*catalog.Server) memberList {
	out := slices.Clone(l)
	for _, server := range servers {
		if server.Lapsed.IsZero() {
			out = out.put(memberOf(server))
		}
	}
	return out
}

// activate returns the list with a member that is not retired.
func (l memberList) activate(m Member) memberList {
	out := slices.Clone(l)
	i, found := slices.BinarySearchFunc(out, m, compareMembers)
	if !found {
		return out.put(m)
	}
	out[i].Retired = false
	return out
}

// merge returns the members of both lists. One is retired if no list has it otherwise.
func (l memberList) merge(other memberList) memberList {
	out := slices.Clone(l)
	for _, m := range other {
		if i, found := slices.BinarySearchFunc(out, m, compareMembers); found {
			m.Retired = m.Retired && out[i].Retired
			m.Draining = m.Draining || out[i].Draining
		}
		out = out.put(m)
	}
	return out
}

// maxRetiredMembers is the number of retired members that a list keeps, those that started
// last.
const maxRetiredMembers = 3

// retire returns the list with some members retired.
func (l memberList) retire(members memberList) memberList {
	out := slices.Clone(l)
	for _, m := range members {
		m.Retired = true
		out = out.put(m)
	}
	retired := slices.DeleteFunc(slices.Clone(out), func(m Member) bool { return !m.Retired })
	slices.SortFunc(retired, func(a, b Member) int { return cmp.Compare(a.Started, b.Started) })
	forgotten := retired[:max(0, len(retired)-maxRetiredMembers)]
	return slices.DeleteFunc(out, func(m Member) bool { return slices.Contains(forgotten, m) })
}

// missingFrom returns the members that are neither retired nor known to the catalog.
func (l memberList) missingFrom(snapshot *catalog.Snapshot) memberList {
	return slices.DeleteFunc(slices.Clone(l), func(m Member) bool {
		server := snapshot.Servers[m.ID]
		return m.Retired || server != nil && m.isProcess(server)
	})
}

// unreported returns the members that are not retired and whose logs are not among the
// reports.
func (l memberList) unreported(reports []Candidate, acceptEmpty bool) memberList {
	return slices.DeleteFunc(slices.Clone(l), func(m Member) bool { return m.Retired || m.isReported(reports, acceptEmpty) })
}

// silent returns the members whose processes have not reported.
func (l memberList) silent(reports []Candidate) memberList {
	return slices.DeleteFunc(slices.Clone(l), func(m Member) bool {
		return slices.ContainsFunc(reports, func(c Candidate) bool { return m.isProcess(c.Server) })
	})
}

// servers returns the instances to ask for the members' logs, except one. An instance that
// is not registered is asked at its last address, unless its process is known to be gone.
func (l memberList) servers(service string, snapshot *catalog.Snapshot, except *catalog.Server) []*catalog.Server {
	var out []*catalog.Server
	for i, m := range l {
		if except != nil && except.ID == m.ID {
			continue
		}
		hasStartedAgain := i+1 < len(l) && l[i+1].ID == m.ID
		server := snapshot.Servers[m.ID]
		switch {
		case server == nil && !hasStartedAgain:
			out = append(out, &catalog.Server{ID: m.ID, Service: service, Address: m.Address, Domain: m.Domain, Started: m.Started})
		case server != nil && m.isProcess(server):
			out = append(out, server)
		}
	}
	return out
}

// String lists the ids.
func (l memberList) String() string {
	ids := make([]string, len(l))
	for i, m := range l {
		ids[i] = m.ID
	}
	return strings.Join(ids, ", ")
}
