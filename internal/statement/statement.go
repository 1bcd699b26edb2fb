// Package statement holds the statements, results and error codes that the
// gateway decides on. It knows no wire format; codecs translate to and from it.
//
// Invariant: a Code for which NotRun is true is given to a caller only if the
// statement, and everything before it in the same transaction, has no effect.
package statement

import (
	"time"

	"github.com/bramleylever/bramleylever/position"
)

// Kind is the operation that a statement asks for.
type Kind uint8

// The kinds of statements. Status, Pause, Resume and Reset are sent by the
// gateway itself and never accepted from callers.
const (
	Invalid Kind = iota
	Begin
	Commit
	Rollback
	Read
	Write
	Set
	Prepare
	Execute
	Deallocate
	Reset
	Status
	Pause
	Resume
)

var kindNames = [...]string{"invalid", "begin", "commit", "rollback", "read", "write", "set", "prepare",
	"execute", "deallocate", "reset", "status", "pause", "resume"}

// String returns the name used in logs.
func (k Kind) String() string { return kindNames[k] }

// Statement is one request of a session.
type Statement struct {
	// ID is the caller's request id; empty for statements of the gateway.
	ID   string
	Kind Kind
	// ReadOnly marks a Begin of a transaction that only reads.
	ReadOnly bool
	// Writes marks a Prepare of a shape that writes.
	Writes bool
	// Name is the variable of a Set, or the prepared statement's name.
	Name string
	// Value is the value of a Set, or the shape of a Prepare.
	Value string
	// Args is the unchanged text after the name of an Execute.
	Args string
	// Text is the caller's unchanged text of a Read or a Write.
	Text string
	// After is the log position that the instance must hold; zero means any.
	After position.Position
	// Term is the term of a Pause.
	Term uint64
	// Problem says why an Invalid statement could not be read.
	Problem string
}

// Code says why a statement failed. The empty code is success.
type Code string

// The codes that callers and instances exchange.
const (
	OK        Code = ""
	Busy      Code = "BUSY"
	Aborted   Code = "ABORTED"
	Lagging   Code = "LAGGING"
	ReadOnly  Code = "READONLY"
	Misrouted Code = "MISROUTED"
	MaxConns  Code = "MAXCONN"
	NoStmt    Code = "NOSTMT"
	Failed    Code = "FAILED"
	Timeout   Code = "TIMEOUT"
	InDoubt   Code = "INDOUBT"
	NoDB      Code = "NODB"
	NoAuth    Code = "NOAUTH"
	Malformed Code = "MALFORMED"
)

// NotRun reports whether an instance that answered with the code did not run
// the statement, so that it may be sent again.
func (c Code) NotRun() bool {
	switch c {
	case Busy, Lagging, ReadOnly, Misrouted, MaxConns, NoStmt:
		return true
	}
	return false
}

// State is the state of a session or of an instance connection.
type State byte

// The session states.
const (
	Idle          State = 'I'
	InTransaction State = 'T'
	InFailed      State = 'E'
)

// Result is the answer to one statement.
type Result struct {
	Rows      []string
	Signature string
	Code      Code
	Detail    string
	State     State
	// Position is the end of the answering instance's log; zero if not known.
	Position position.Position
	// Instance answers a Status, a Pause or a Resume.
	Instance *Instance
}

// Instance is the state of an instance as it reports it.
type Instance struct {
	Primary bool
	// Received is the end of the log that the instance received; it may not
	// have applied all of it.
	Received position.Position
	Lag      time.Duration
}

// Succeeded reports whether the statement ran without an error.
func (r Result) Succeeded() bool { return r.Code == OK }
