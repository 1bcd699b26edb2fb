// Package platform reaches the platform's key-value service: compare-and-swap,
// leases and watches, over the published etcd v3 protocol.
//
// Invariant: a write whose answer was lost is never repeated; its operation id
// is read back first.
package platform

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrUnavailable marks a call that was not run; it may be repeated.
	ErrUnavailable = errors.New("platform store unavailable")
	// ErrOutcomeUnknown marks a write that was sent and got no answer.
	ErrOutcomeUnknown = errors.New("platform store: outcome unknown")
	// ErrConflict marks a transaction with a compare that failed.
	ErrConflict = errors.New("platform store: compare failed")
	// ErrCompacted marks a watch from a revision that is no longer kept.
	ErrCompacted = errors.New("platform store: revision compacted")
	// ErrLeaseNotFound marks a lease that expired or was revoked.
	ErrLeaseNotFound = errors.New("platform store: lease not found")
	// ErrTooLarge marks a value above MaxValueBytes.
	ErrTooLarge = errors.New("platform store: value too large")
)

// ConflictError is an ErrConflict that carries the present state of the
// compared keys, from services that report it.
type ConflictError struct{ Current []KeyValue }

// Error describes the conflict.
func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// KeyValue is one key as the store holds it.
type KeyValue struct {
	Key   string
	Value []byte
	// ModRevision is the store revision of the last change; 0 means absent.
	ModRevision int64
	Lease       LeaseID
}

// LeaseID identifies a lease; 0 means none.
type LeaseID int64

// Compare requires that a key was last changed at ModRevision; 0 requires that
// the key is absent.
type Compare struct {
	Key         string
	ModRevision int64
}

// Put writes a value, bound to a lease unless Lease is 0.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is an atomic write: all compares hold, or nothing is changed.
type Txn struct {
	Compares []Compare
	Puts     []Put
	Deletes  []string
}

// Event is one change seen by a watch.
type Event struct {
	KeyValue
	Deleted bool
}

// WatchUpdate carries all changes of one store revision, or an empty Events as
// progress: everything up to Revision was delivered.
type WatchUpdate struct {
	Revision int64
	Events   []Event
	// RequestedAt is set on progress that answers a request of this client: the
	// local time before the request was sent. Every change that the store
	// accepted before RequestedAt was delivered.
	RequestedAt time.Time
	// Err ends the watch, for example with ErrCompacted.
	Err error
}

// Store is the platform's key-value service. All methods may be called
// concurrently and honor the context's deadline.
type Store interface {
	// Get returns a key (ModRevision 0 if absent) and the store's revision.
	Get(ctx context.Context, key string) (KeyValue, int64, error)
	// List returns all keys with a prefix in ascending order, and the store's
	// revision at which they were read.
	List(ctx context.Context, prefix string) ([]KeyValue, int64, error)
	// ListStale is like List, but the answer may be seconds old. It costs the
	// service less. Nothing that must not go back may depend on it.
	ListStale(ctx context.Context, prefix string) ([]KeyValue, int64, error)
	// Txn applies a transaction and returns its revision. Errors:
	// ErrConflict, ErrUnavailable, ErrOutcomeUnknown, ErrTooLarge,
	// ErrLeaseNotFound.
	Txn(ctx context.Context, txn Txn) (int64, error)
	// GrantLease creates a lease.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease once and returns its time to live, which the
	// caller counts from before the call.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch delivers the changes below a prefix from a revision on, in order.
	// The channel is closed when the watch ends; cancel the context to end it.
	Watch(ctx context.Context, prefix string, from int64) (<-chan WatchUpdate, error)
	// Close releases the connection.
	Close() error
}
