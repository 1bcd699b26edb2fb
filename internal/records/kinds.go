// Package records holds the operators' configuration: record kinds with their
// schema versions, validation, the immutable snapshot that the request path
// reads, and the dissemination of accepted revisions.
//
// Invariant: the revision in force on a host never decreases.
package records

import "time"

// Kind names a type of record.
type Kind string

// The kinds of records.
const (
	KindDatabase Kind = "database"
	KindAccount  Kind = "account"
	KindKey      Kind = "key"
	KindRoute    Kind = "route"
	KindDomain   Kind = "domain"
	KindHost     Kind = "host"
	KindBackend  Kind = "backend"
)

// ServiceState says whether a host, failure domain or backend server takes new
// work.
type ServiceState string

// The states of a host, failure domain or backend server.
const (
	// StateActive takes work; it is the state of whatever has no record.
	StateActive ServiceState = "active"
	// StateLeaving gets no new work and finishes the work in flight.
	StateLeaving ServiceState = "leaving"
)

// Instance is one member of a database group.
type Instance struct {
	Name    string
	Address string
	Domain  string
}

// Database is a group of instances that replicate one database.
type Database struct {
	Name      string
	Instances []Instance
	// ConnectionLimit is the number of data connections that each instance
	// accepts from the whole fleet.
	ConnectionLimit int
}

// Account is a client account with its limits over the whole fleet.
type Account struct {
	Name string
	// RequestsPerSecond is the long-term rate.
	RequestsPerSecond float64
	// Burst is the number of requests that may come at once after idling.
	Burst float64
	// Weight is the account's part when connections are scarce; at least 1.
	Weight int
	// ServeUnconfirmed keeps serving the account's keys on hosts that cannot
	// confirm their configuration; withdrawals then reach them late.
	ServeUnconfirmed bool
}

// Key is a caller's key; only a SCRAM-SHA-256 verifier of its secret is kept.
type Key struct {
	ID         string
	Account    string
	Salt       []byte
	Iterations int
	StoredKey  []byte
	ServerKey  []byte
	Withdrawn  bool
}

// Route maps the database name that callers use to a database.
type Route struct {
	Name     string
	Database string
	// Open lets the user "anonymous" in without a key, for Account.
	Open    bool
	Account string
	// MaxStaleness is the default age that reads accept; negative means that
	// reads state no age.
	MaxStaleness time.Duration
}

// Snapshot is the configuration at one revision. It is immutable once
// published.
type Snapshot struct {
	Revision  int64
	Databases map[string]Database
	Accounts  map[string]Account
	Keys      map[string]Key
	Routes    map[string]Route
	// Domains, Hosts and Backends hold only what has a record.
	Domains  map[string]ServiceState
	Hosts    map[string]ServiceState
	Backends map[string]ServiceState
}

// InstanceLeaving reports whether the instance or its failure domain is taken
// out of service.
func (s *Snapshot) InstanceLeaving(in Instance) bool {
	return s.Backends[in.Name] == StateLeaving || s.Domains[in.Domain] == StateLeaving
}

// HostLeaving reports whether a host or its failure domain is taken out of
// service.
func (s *Snapshot) HostLeaving(host, domain string) bool {
	return s.Hosts[host] == StateLeaving || s.Domains[domain] == StateLeaving
}
