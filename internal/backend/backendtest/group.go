// Package backendtest is the contract suite of database instances: terms,
// majorities, guards and refusals, as the design page states them. Any
// implementation of instances can run it, through any backend.Dialer.
package backendtest

import (
	"context"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/bramleylever/bramleylever/internal/backend"
)

// Group is a group of instances under test. Instances are counted from 0.
type Group interface {
	// Addresses returns the addresses in the order of the instances.
	Addresses() []string
	// Connect opens a data connection.
	Connect(ctx context.Context, instance int) (*pgconn.PgConn, error)
	// Isolate cuts an instance off from the others, not from the test.
	Isolate(instance int) error
	// Heal ends all cuts.
	Heal() error
	// Freeze makes an instance answer nothing until Thaw.
	Freeze(instance int)
	Thaw(instance int)
	// Close ends the instances.
	Close()
}

// Implementation is what the suite is run against.
type Implementation struct {
	// Start returns n new instances with empty logs, fenced in term 0.0.
	Start func(n int) (Group, error)
	// Dialer opens control connections to them.
	Dialer backend.Dialer
}
