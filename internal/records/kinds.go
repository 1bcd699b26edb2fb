// Package records holds the configuration that operators write: the record kinds
// with their schema versions, validation, the immutable snapshot that the request
// path reads, and the distribution of committed revisions to all hosts.
//
// Invariant: the revision in force on a host never decreases.
package records

import "time"

// Kind is the type of a record.
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

// ServiceState determines whether a host, failure domain or backend server takes
// new work.
type ServiceState string

// The service states of a host, failure domain or backend server.
const (
	// StateActive takes new work; it is the state of an object without a record.
	StateActive ServiceState = "active"
	// StateLeaving is being drained: it gets no new work and finishes the work in
	// flight.
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
	// ConnectionLimit is the maximum number of data connections to each instance
	// from all hosts together.
	ConnectionLimit int
}

// Account is a client account. Its limits apply to all hosts together.
type Account struct {
	Name string
	// RequestsPerSecond is the sustained rate.
	RequestsPerSecond float64
	// Burst is the number of requests that are admitted at once after an idle
	// period.
	Burst float64
	// Weight is the account's relative share when connections are scarce; at
	// least 1.
	Weight int
	// ServeUnconfirmed admits the account's keys also on hosts that cannot confirm
	// their configuration, where withdrawals may take effect late.
	ServeUnconfirmed bool
}

// Key is a caller's key. It holds a SCRAM-SHA-256 verifier instead of the secret.
type Key struct {
	ID         string
	Account    string
	Salt       []byte
	Iterations int
	StoredKey  []byte
	ServerKey  []byte
	Withdrawn  bool
}

// Route maps a database name that callers connect to onto a Database.
type Route struct {
	Name     string
	Database string
	// Open admits the user "anonymous" without a key, on behalf of Account.
	Open    bool
	Account string
	// MaxStaleness is the default bound on the staleness of reads; negative means
	// that there is none.
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
	// Domains, Hosts and Backends hold only objects that have a record.
	Domains  map[string]ServiceState
	Hosts    map[string]ServiceState
	Backends map[string]ServiceState
}

// InstanceLeaving reports whether an instance or its failure domain is in
// StateLeaving.
func (s *Snapshot) InstanceLeaving(in Instance) bool {
	return s.Backends[in.Name] == StateLeaving || s.Domains[in.Domain] == StateLeaving
}

// HostLeaving reports whether a host or its failure domain is in StateLeaving.
func (s *Snapshot) HostLeaving(host, domain string) bool {
	return s.Hosts[host] == StateLeaving || s.Domains[domain] == StateLeaving
}
