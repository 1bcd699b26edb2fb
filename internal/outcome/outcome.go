// Package outcome defines errors that classify the outcome of a request, so that all
// layers agree on whether it may be sent again.
//
// Invariant: an error that matches ErrNotRun is returned only if the request had no
// effect and will have none.
package outcome

import (
	"errors"
	"fmt"
)

var (
	// ErrNotRun means that the request had no effect and may be sent again.
	ErrNotRun = errors.New("not run")
	// ErrUnknown means that the request was sent and its effect is not known.
	ErrUnknown = errors.New("outcome unknown")
	// ErrConflict means that a compare-and-swap failed because of a concurrent change.
	ErrConflict = errors.New("conflict")
	// ErrWithdrawn means that the API key has been withdrawn.
	ErrWithdrawn = errors.New("key withdrawn")
	// ErrStaleTerm means that the term of the request is lower than the receiver's.
	ErrStaleTerm = errors.New("stale term")
)

// RetrySafe reports whether the request that failed with err can be sent again even if
// it is not idempotent.
func RetrySafe(err error) bool {
	return errors.Is(err, ErrNotRun) && !errors.Is(err, ErrUnknown)
}

// Wrap adds to err the step that failed and the peer at which it failed. It returns nil
// if err is nil.
func Wrap(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: peer %s: %w", step, peer, err)
}
