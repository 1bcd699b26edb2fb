// Package outcome classifies how a request ended, so that every layer agrees
// on whether it may be sent again.
//
// Invariant: an error that matches ErrNotRun is returned only if the request
// had no effect and will have none.
package outcome

import (
	"errors"
	"fmt"
)

var (
	// ErrNotRun marks a request that had no effect; it may be sent again.
	ErrNotRun = errors.New("not run")
	// ErrUnknown marks a request that was sent and whose effect is not known.
	ErrUnknown = errors.New("outcome unknown")
	// ErrConflict marks a compare-and-swap that lost against another change.
	ErrConflict = errors.New("conflict")
	// ErrWithdrawn marks a key that was withdrawn.
	ErrWithdrawn = errors.New("key withdrawn")
	// ErrStaleTerm marks a request in a term lower than the receiver's.
	ErrStaleTerm = errors.New("stale term")
)

// RetrySafe reports whether the request behind err can be sent again although
// it is not idempotent.
func RetrySafe(err error) bool {
	return errors.Is(err, ErrNotRun) && !errors.Is(err, ErrUnknown)
}

// Wrap adds the step and the peer at which err arose. It returns nil for nil.
func Wrap(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: peer %s: %w", step, peer, err)
}
