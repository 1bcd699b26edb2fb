// Package configcheck checks a configuration of the gateway before it is sent: errors, entries
// that can never match, limits that contradict each other, and what differs from the version in
// force.
//
// Invariant: a configuration with a finding of severity Error is refused, or serves some callers
// not at all; Warning means that an entry has no effect or probably not the intended one.
package configcheck

import (
	"fmt"
	"time"
)

// Field is a field of a document. Documents of different formats name it differently.
type Field string

// The fields.
const (
	FieldVersion      Field = "version"
	FieldName         Field = "name"
	FieldDatabase     Field = "database"
	FieldService      Field = "service"
	FieldConsistency  Field = "consistency"
	FieldTimeout      Field = "timeout"
	FieldObjective    Field = "objective"
	FieldMaxStaleness Field = "max_staleness"
	FieldPriority     Field = "priority"
	FieldOpen         Field = "open"
	FieldMaxConns     Field = "max_conns"
	FieldSyncReplicas Field = "sync_replicas"
	FieldKeys         Field = "keys"
	FieldRate         Field = "rate"
	FieldBurst        Field = "burst"
	FieldIdle         Field = "transaction_idle"
)

// Consistency is the consistency that a route names.
type Consistency string

// The consistencies.
const (
	Strong         Consistency = "strong"
	Bounded        Consistency = "bounded"
	ReadYourWrites Consistency = "read_your_writes"
)

// Route is an entry that leads a database name to a service. Path is where it stands.
type Route struct {
	Path, Name, Database, Service    string
	Consistency                      Consistency
	Timeout, Objective, MaxStaleness time.Duration
	Priority                         int
	Open                             bool
}

// Service is a group of instances.
type Service struct {
	Path, Name             string
	MaxConns, SyncReplicas int
}

// Account is a client account with its keys and limits.
type Account struct {
	Path, Name  string
	Keys        []string
	Priority    int
	Rate, Burst float64
}

// Document is a configuration as it was written: entries that hide each other are all there.
type Document struct {
	Version         int64
	Routes          []Route
	Services        []Service
	Accounts        []Account
	TransactionIdle time.Duration
	// Names holds the format's own names of the fields, and IdlePath where the limit of idle
	// transactions stands.
	Names    map[Field]string
	IdlePath string
}

// path returns the path of a field of an entry.
func (d *Document) path(entry string, f Field) string {
	name, ok := d.Names[f]
	if !ok {
		name = string(f)
	}
	if entry == "" {
		return name
	}
	return entry + "." + name
}

// Severity says how bad a finding is.
type Severity string

// The severities.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is what is wrong with a field.
type Finding struct {
	Severity Severity `json:"severity"`
	Path     string   `json:"path"`
	Text     string   `json:"text"`
}

// String formats the finding as one line.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Severity, f.Path, f.Text) }
