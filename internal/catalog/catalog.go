// Package catalog keeps a host's view of the fleet: the current configuration, the
// registered backend servers, and the failure domains that operators have evacuated.
//
// Invariant: the configuration version of a snapshot never decreases during the life
// of a process.
package catalog

import (
	"time"
)

// Consistency is the consistency level of the reads of a route.
type Consistency uint8

// The consistency levels.
const (
	// Strong reads see every commit that was acknowledged before the read began.
	Strong Consistency = iota
	// BoundedStaleness reads may miss commits younger than the route's MaxStaleness.
	BoundedStaleness
	// ReadYourWrites reads are bounded as well, and see all commits of their session.
	ReadYourWrites
)

var consistencyNames = [...]string{"strong", "bounded", "read_your_writes"}

// String returns the name used in logs.
func (c Consistency) String() string { return consistencyNames[c] }

// Route maps a database name to a service.
type Route struct {
	Name        string
	Database    string
	Service     string
	Consistency Consistency
	// MaxStaleness bounds the staleness of reads unless Consistency is Strong.
	MaxStaleness time.Duration
	// Timeout limits one statement; 0 means no limit.
	Timeout time.Duration
	// Objective is the latency objective of a whole operation.
	Objective time.Duration
	// Priority 0 is the highest.
	Priority int
	// Class is the rank of the priority among those of all routes; see Config.Classify.
	Class Class
	// Open says that callers need no key.
	Open bool
}

// Service is a group of instances: one primary and its replicas.
type Service struct {
	Name string
	// MaxConns limits the connections of all hosts to one instance.
	MaxConns int
	// SyncReplicas is the number of replicas that confirm a commit.
	SyncReplicas int
}

// Account is a client account with its limits.
type Account struct {
	Name     string
	Priority int
	// Rate is in operations per second, and Burst is the number of operations
	// allowed beyond it. A Rate of 0 means no limit.
	Rate  float64
	Burst float64
}

// Config is one version of the operators' configuration.
type Config struct {
	Version int64
	// Routes is keyed by database name.
	Routes   map[string]*Route
	Services map[string]*Service
	// Keys maps a caller's key to its account.
	Keys     map[string]*Account
	Accounts map[string]*Account
	// TransactionIdle is how long a transaction may stay idle; 0 means no limit.
	TransactionIdle time.Duration
}

// Role is the role that an instance reports for itself.
type Role uint8

// The roles.
const (
	Replica Role = iota
	Primary
)

// String returns the name used in logs.
func (r Role) String() string {
	if r == Primary {
		return "primary"
	}
	return "replica"
}

// Server is a backend server according to its own registration.
type Server struct {
	ID       string
	Service  string
	Address  string
	Domain   string
	Slots    int
	Role     Role
	Draining bool
	// Started is the start time in Unix milliseconds. It tells two processes of an
	// instance with the same id apart; 0 if not reported.
	Started int64
	// Sequence counts the writes of the process to its entry; 0 if not reported.
	Sequence int64
	// Revision is the store's revision of the entry.
	Revision int64
	// RoleRevision is the store's revision at which the role was first seen.
	RoleRevision int64
	// Lapsed is when the entry disappeared from the store; zero while it is present.
	Lapsed time.Time
	// DrainedAt is when a draining server must not get any more work; zero if it is
	// not draining.
	DrainedAt time.Time
}

// Drained reports whether the server must not get any work, not even if no other
// server can run it.
func (s *Server) Drained(now time.Time) bool {
	return !s.DrainedAt.IsZero() && !now.Before(s.DrainedAt)
}

// Snapshot is an immutable view of the catalog.
type Snapshot struct {
	// Config is nil until the first configuration has been read.
	Config  *Config
	Servers map[string]*Server
	// Groups holds the servers of each service, ordered by id.
	Groups    map[string][]*Server
	Evacuated map[string]bool
	// ConfirmedAt is when the store last confirmed the whole view.
	ConfirmedAt time.Time
	// Complete says that every part of the catalog has been read at least once. Until
	// then some parts may be missing.
	Complete bool
}

// Service returns the settings of a service, or nil if the configuration has not been
// read or does not contain the service.
func (s *Snapshot) Service(name string) *Service {
	if s.Config == nil {
		return nil
	}
	return s.Config.Services[name]
}

// ConfirmsCommits reports whether replicas confirm the commits of any service, or may do so
// because the configuration has not been read.
func (s *Snapshot) ConfirmsCommits() bool {
	if s.Config == nil {
		return true
	}
	for _, service := range s.Config.Services {
		if service.SyncReplicas > 0 {
			return true
		}
	}
	return false
}

// Primary returns the registered primary of a service, or nil if there is none. Of
// several, it returns the one that took the role last.
func (s *Snapshot) Primary(service string) *Server {
	var primary *Server
	for _, server := range s.Groups[service] {
		if server.Role != Primary {
			continue
		}
		if primary == nil || server.RoleRevision > primary.RoleRevision {
			primary = server
		}
	}
	return primary
}

// Usable reports whether new work may be sent to a server.
func (s *Snapshot) Usable(server *Server) bool {
	return !server.Draining && !s.Evacuated[server.Domain]
}
