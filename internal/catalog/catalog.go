// Package catalog keeps what a host knows of the fleet: the configuration in
// force, the backend servers that registered themselves, and the failure
// domains that operators evacuated.
//
// Invariant: the configuration version of a snapshot never decreases during
// the life of a process.
package catalog

import (
	"time"
)

// Consistency is what a route promises for its reads.
type Consistency uint8

// The consistency levels.
const (
	// Strong reads see every commit that was acknowledged before.
	Strong Consistency = iota
	// BoundedStaleness reads may lack commits younger than the route's bound.
	BoundedStaleness
	// ReadYourWrites reads see, in addition, all commits of their session.
	ReadYourWrites
)

var consistencyNames = [...]string{"strong", "bounded", "read_your_writes"}

// String returns the name used in logs.
func (c Consistency) String() string { return consistencyNames[c] }

// Route leads a database name to a service.
type Route struct {
	Name        string
	Database    string
	Service     string
	Consistency Consistency
	// MaxStaleness bounds the age of reads unless Consistency is Strong.
	MaxStaleness time.Duration
	// Timeout limits one statement; 0 means no limit.
	Timeout time.Duration
	// Objective is the latency objective of a whole operation.
	Objective time.Duration
	// Priority 0 is the highest.
	Priority int
	// Open routes need no key.
	Open bool
}

// Service is a group of instances: one primary and its replicas.
type Service struct {
	Name string
	// MaxConns limits the connections of all callers to one instance.
	MaxConns int
	// SyncReplicas is the number of replicas that confirm a commit.
	SyncReplicas int
}

// Account is a client account with its limits.
type Account struct {
	Name     string
	Priority int
	// Rate is operations per second and Burst the operations beyond it; a
	// Rate of 0 means no limit.
	Rate  float64
	Burst float64
}

// Config is one version of the operators' configuration.
type Config struct {
	Version int64
	// Routes is keyed by database name.
	Routes   map[string]*Route
	Services map[string]*Service
	// Keys leads from a caller's key to its account.
	Keys     map[string]*Account
	Accounts map[string]*Account
	// TransactionIdle is how long a transaction may stay idle; 0 means no limit.
	TransactionIdle time.Duration
}

// Role is how an instance sees itself in its group.
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

// Server is a backend server as it registered itself.
type Server struct {
	ID       string
	Service  string
	Address  string
	Domain   string
	Slots    int
	Role     Role
	Draining bool
	// Started identifies the incarnation of an instance that kept its id, in
	// Unix milliseconds; 0 if not stated.
	Started int64
	// Revision is the store's revision of the entry.
	Revision int64
	// RoleRevision is the store's revision at which the role was first seen.
	RoleRevision int64
	// Lapsed is when the entry disappeared; zero while it is present.
	Lapsed time.Time
	// DrainedAt is when a draining server must not get work any more; zero if it
	// is not draining.
	DrainedAt time.Time
}

// Drained reports whether the server must not get any work, not even as the
// only one that can run it.
func (s *Server) Drained(now time.Time) bool {
	return !s.DrainedAt.IsZero() && !now.Before(s.DrainedAt)
}

// Snapshot is an immutable view of the catalog.
type Snapshot struct {
	// Config is nil until the first version was read.
	Config  *Config
	Servers map[string]*Server
	// Groups holds the servers of each service in the order of their ids.
	Groups    map[string][]*Server
	Evacuated map[string]bool
	// ConfirmedAt is when the store last confirmed the view.
	ConfirmedAt time.Time
	// Complete says that all parts of the catalog were read at least once.
	// Before that a part may be known without another.
	Complete bool
}

// Service returns the settings of a service, or nil if the configuration does
// not name it or was not read yet.
func (s *Snapshot) Service(name string) *Service {
	if s.Config == nil {
		return nil
	}
	return s.Config.Services[name]
}

// Primary returns the registered primary of a service: the server that took
// the role last. It returns nil if there is none.
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
