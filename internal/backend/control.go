// Package backend defines the control interface of database instances, its
// implementation over the PostgreSQL protocol, and the names and SQLSTATEs that
// instances use on data connections.
package backend

import (
	"context"
	"time"

	"github.com/bramleylever/bramleylever/position"
)

// Role is the role of an instance in its group.
type Role string

// The roles of an instance.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	// RoleFenced accepts neither writes nor log entries until Promote or Follow gives
	// the instance another role.
	RoleFenced Role = "fenced"
)

// Status is the state that an instance reports. Its JSON form is the result of
// cluster_status.
type Status struct {
	Instance string        `json:"instance"`
	Role     Role          `json:"role"`
	Term     position.Term `json:"term"`
	// LastLogTerm is the term of the last received log entry.
	LastLogTerm position.Term `json:"last_log_term"`
	Received    position.LSN  `json:"received"`
	Applied     position.LSN  `json:"applied"`
	// Confirmed is the highest LSN that a majority of the group has received in Term.
	// It is meaningful only on a primary.
	Confirmed       position.LSN     `json:"confirmed"`
	History         position.History `json:"history"`
	Connections     int              `json:"connections"`
	ConnectionLimit int              `json:"connection_limit"`
}

// Control runs control statements on one instance. Errors match outcome.ErrStaleTerm
// when the instance knows a higher term, outcome.ErrNotRun when the statement was not
// sent, and outcome.ErrUnknown when no response arrived.
type Control interface {
	// Status returns the current state of the instance.
	Status(ctx context.Context) (Status, error)
	// RaiseTerm raises the instance's term to t and fences the instance, which then
	// refuses control statements and replication of lower terms. It is idempotent for
	// the current term.
	RaiseTerm(ctx context.Context, t position.Term) (Status, error)
	// Promote makes the instance the primary of term t, which must be its current term.
	Promote(ctx context.Context, t position.Term) (Status, error)
	// Follow makes the instance replicate from the primary at primaryAddress. Log
	// entries that the primary doesn't have are removed from the end of its log.
	Follow(ctx context.Context, t position.Term, primaryAddress string) (Status, error)
	// Quiesce refuses new write transactions, waits until open ones have ended, and
	// returns the status with the final log position. The instance accepts writes again
	// after limit.
	Quiesce(ctx context.Context, limit time.Duration) (Status, error)
	// Close closes the connection.
	Close() error
}

// Dialer opens control connections.
type Dialer interface {
	DialControl(ctx context.Context, address string) (Control, error)
}

// Names of ParameterStatus messages and SQLSTATEs on data connections.
const (
	ParameterAppliedPosition = "applied_position"
	ParameterCommitPosition  = "commit_position"

	// SQLStateReadOnly is returned for a write that was refused before it had any
	// effect.
	SQLStateReadOnly = "25006"
	// SQLStateNotInPrerequisiteState is returned for a stale term, and for a position
	// that is not in the instance's history.
	SQLStateNotInPrerequisiteState = "55000"
	// SQLStateLockNotAvailable is returned when a wait reaches its time limit.
	SQLStateLockNotAvailable = "55P03"
	// SQLStateTooManyConnections is returned for a connection above the limit.
	SQLStateTooManyConnections = "53300"
)

// ControlUser is the database role of control connections. They have connection slots
// of their own, which data connections can't use up.
const ControlUser = "control"
