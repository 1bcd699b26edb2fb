// Package statement defines the statements, results and error codes of the gateway,
// independent of the wire format. Codecs translate to and from it.
//
// Invariant: a caller gets a Code for which NotRun is true only if the statement, and
// all statements before it in the same transaction, have no effect.
package statement

import (
	"time"

	"github.com/bramleylever/bramleylever/position"
)

// Kind is the operation that a statement requests.
type Kind uint8

// The kinds of statements. Reset, Status, Pause, Resume and Demote are sent only by the
// gateway itself and are not accepted from callers.
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
	Demote
)

var kindNames = [...]string{"invalid", "begin", "commit", "rollback", "read", "write", "set", "prepare",
	"execute", "deallocate", "reset", "status", "pause", "resume", "demote"}

// PreparesSession reports whether the statement only changes the state of the session: an
// operation of the caller follows it.
func (k Kind) PreparesSession() bool { return k == Set || k == Prepare || k == Deallocate }

// String returns the name used in logs.
func (k Kind) String() string { return kindNames[k] }

// Statement is one request of a session.
type Statement struct {
	// ID is the caller's request id; empty for statements of the gateway.
	ID   string
	Kind Kind
	// ReadOnly marks the Begin of a read-only transaction.
	ReadOnly bool
	// Writes marks the Prepare of a statement that writes.
	Writes bool
	// Name is the variable of a Set, or the prepared statement's name.
	Name string
	// Value is the value of a Set, or the shape of a Prepare, which is the text of the
	// prepared statement.
	Value string
	// Args is the unchanged text that follows the name in an Execute.
	Args string
	// Text is the caller's unchanged text of a Read or a Write.
	Text string
	// After is the log position that the instance must have applied; zero means any.
	After position.Position
	// Term is the term of a Pause or a Demote.
	Term uint64
	// Problem says why an Invalid statement could not be parsed.
	Problem string
}

// Code is the reason why a statement failed. The empty code means success.
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

// NotRun reports whether the code means that the instance did not run the statement, so
// that it may be sent again.
func (c Code) NotRun() bool {
	switch c {
	case Busy, Lagging, ReadOnly, Misrouted, MaxConns, NoStmt:
		return true
	}
	return false
}

// State is the transaction state of a session or of a connection to an instance.
type State byte

// The transaction states.
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
	// Instance is set in the answer to a Status, a Pause, a Resume or a Demote.
	Instance *Instance
}

// Instance is the state of an instance as reported by itself.
type Instance struct {
	Primary bool
	// Term is the newest term that the instance knows.
	Term uint64
	// Received is the end of the log that the instance has received; it may not have
	// applied all of it yet.
	Received position.Position
	Lag      time.Duration
	// Paused is the term below which a paused replica receives no log entries; 0 without a
	// pause.
	Paused uint64
}

// Succeeded reports whether the statement ran without an error.
func (r Result) Succeeded() bool { return r.Code == OK }
