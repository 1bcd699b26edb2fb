// Package backend reaches database instances: control statements on reserved
// connections and the data protocol's extensions.
package backend

import (
	"context"
	"time"

	"github.com/bramleylever/bramleylever/position"
)

// Role is an instance's part in its group.
type Role string

// The roles of an instance.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	// RoleFenced takes no writes and no log until it is told whom to follow.
	RoleFenced Role = "fenced"
)

// Status is what an instance reports of itself. The JSON form is the answer of
// cluster_status.
type Status struct {
	Instance string        `json:"instance"`
	Role     Role          `json:"role"`
	Term     position.Term `json:"term"`
	// LastLogTerm is the term of the last received log entry.
	LastLogTerm position.Term `json:"last_log_term"`
	Received    position.LSN  `json:"received"`
	Applied     position.LSN  `json:"applied"`
	// Confirmed is the LSN that a majority received in Term; primaries only.
	Confirmed       position.LSN     `json:"confirmed"`
	History         position.History `json:"history"`
	Connections     int              `json:"connections"`
	ConnectionLimit int              `json:"connection_limit"`
}

// Control drives one instance. Errors match outcome.ErrStaleTerm when the
// instance knows a higher term, outcome.ErrNotRun when the statement was not
// sent, and outcome.ErrUnknown when no answer came.
type Control interface {
	// Status returns the instance's present state.
	Status(ctx context.Context) (Status, error)
	// RaiseTerm makes the instance refuse everything of a lower term. It is
	// idempotent for the current term.
	RaiseTerm(ctx context.Context, t position.Term) (Status, error)
	// Promote makes the instance primary of exactly its current term.
	Promote(ctx context.Context, t position.Term) (Status, error)
	// Follow makes the instance replicate from a primary, dropping the log
	// behind the fork.
	Follow(ctx context.Context, t position.Term, primaryAddress string) (Status, error)
	// Quiesce refuses new write transactions, waits for the open ones and
	// returns the status with the final position. It ends by itself after
	// limit.
	Quiesce(ctx context.Context, limit time.Duration) (Status, error)
	// Close ends the connection.
	Close() error
}

// Dialer opens control connections.
type Dialer interface {
	DialControl(ctx context.Context, address string) (Control, error)
}

// Data protocol: ParameterStatus names and SQLSTATEs that instances use.
const (
	ParameterAppliedPosition = "applied_position"
	ParameterCommitPosition  = "commit_position"

	// SQLStateReadOnly refuses a write before any effect.
	SQLStateReadOnly = "25006"
	// SQLStateNotInPrerequisiteState reports a stale term, or a position that
	// is not in the instance's history.
	SQLStateNotInPrerequisiteState = "55000"
	// SQLStateLockNotAvailable reports that a bounded wait timed out.
	SQLStateLockNotAvailable = "55P03"
	// SQLStateTooManyConnections refuses a connection above the limit.
	SQLStateTooManyConnections = "53300"
)

// ControlUser is the role of control connections; they use reserved slots.
const ControlUser = "control"
