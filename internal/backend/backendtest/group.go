// Package backendtest is a contract test suite for database instances: terms, majority
// acknowledgement, read guards, refused writes and failover. It runs against any
// implementation of instances, through any backend.Dialer.
package backendtest

import (
	"context"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/bramleylever/bramleylever/internal/backend"
)

// Group is a group of instances under test. Instances are numbered from 0.
type Group interface {
	// Addresses returns the addresses of the instances, in their order.
	Addresses() []string
	// Connect opens a data connection.
	Connect(ctx context.Context, instance int) (*pgconn.PgConn, error)
	// Isolate cuts the connections between an instance and the others. The test can
	// still connect to it.
	Isolate(instance int) error
	// Heal restores all connections that Isolate cut.
	Heal() error
	// Freeze stops an instance from responding until Thaw.
	Freeze(instance int)
	Thaw(instance int)
	// Close stops the instances.
	Close()
}

// Implementation is an implementation of instances that the suite tests.
type Implementation struct {
	// Start returns n new instances with empty logs. They are fenced in term 0.0.
	Start func(n int) (Group, error)
	// Dialer opens control connections to the instances.
	Dialer backend.Dialer
}
