// Package platform is the client of the platform's key-value store, which
// provides compare-and-swap transactions, leases and watches over the etcd v3
// protocol.
//
// Invariant: a write whose response was lost is not sent again before the store
// has been searched for its operation ID.
package platform

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrUnavailable means that the store could not be reached. A write was not
	// run, and the call may be retried.
	ErrUnavailable = errors.New("platform store unavailable")
	// ErrOutcomeUnknown means that a write was sent but no response arrived, so
	// it may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("platform store: outcome unknown")
	// ErrConflict means that a compare of the transaction failed.
	ErrConflict = errors.New("platform store: compare failed")
	// ErrCompacted means that a watch starts at a revision that the store has
	// already compacted, or that belongs to an earlier generation.
	ErrCompacted = errors.New("platform store: revision compacted")
	// ErrLeaseNotFound means that the lease expired or was revoked.
	ErrLeaseNotFound = errors.New("platform store: lease not found")
	// ErrTooLarge means that a value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("platform store: value too large")
)

// ConflictError is an ErrConflict with the current state of the compared keys,
// for stores that report it.
type ConflictError struct{ Current []KeyValue }

// Error implements error.
func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// KeyValue is one key with its value and metadata.
type KeyValue struct {
	Key   string
	Value []byte
	// ModRevision is the revision of the last change; 0 means the key is absent.
	ModRevision int64
	Lease       LeaseID
}

// LeaseID identifies a lease; 0 means none.
type LeaseID int64

// Compare is a precondition: the key was last changed at ModRevision, or is
// absent if ModRevision is 0.
type Compare struct {
	Key         string
	ModRevision int64
}

// Put writes a value and attaches the key to a lease unless Lease is 0.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is an atomic write: it takes effect only if all compares hold.
type Txn struct {
	Compares []Compare
	Puts     []Put
	Deletes  []string
}

// Event is the change of one key: a put, or a deletion if Deleted is set.
type Event struct {
	KeyValue
	Deleted bool
}

// WatchUpdate carries all changes of one store revision. If Events is empty, it
// is a progress notification: all changes up to Revision were delivered.
type WatchUpdate struct {
	Revision int64
	Events   []Event
	// RequestedAt is set if the notification answers a progress request of this
	// client. It is the local time just before the request was sent: every
	// change that the store accepted before it was delivered.
	RequestedAt time.Time
	// Err ends the watch, for example with ErrCompacted.
	Err error
}

// Store is the platform's key-value store. All methods may be called
// concurrently and respect the context's deadline.
//
// Revisions increase, also across generations; see ComposeRevision. A compare with a
// revision of an earlier generation fails, because the store may have given the same
// number to another change since. A lease may end with its generation.
type Store interface {
	// Generation returns the newest generation that the store's answers have shown.
	Generation() Generation
	// Get returns a key, with ModRevision 0 if absent, and the store's revision.
	Get(ctx context.Context, key string) (KeyValue, int64, error)
	// List returns all keys with a prefix in ascending order, and the store's
	// revision at which they were read.
	List(ctx context.Context, prefix string) ([]KeyValue, int64, error)
	// ListStale is like List, but cheaper for the store. The result may be
	// seconds old and older than an earlier result, so it is not for callers
	// that need revisions to be monotonic.
	ListStale(ctx context.Context, prefix string) ([]KeyValue, int64, error)
	// Txn applies a transaction and returns its revision. Errors:
	// ErrConflict, with the current state of the keys only if the store was asked, ErrUnavailable, ErrOutcomeUnknown, ErrTooLarge,
	// ErrLeaseNotFound.
	Txn(ctx context.Context, txn Txn) (int64, error)
	// GrantLease creates a lease.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease once and returns its TTL. The caller must count
	// the TTL from a time before the call.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// RevokeLease revokes a lease and deletes the keys attached to it.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch delivers the changes of keys with a prefix in order, starting at
	// revision from. Canceling the context ends the watch. The channel is closed
	// when the watch ends.
	Watch(ctx context.Context, prefix string, from int64) (<-chan WatchUpdate, error)
	// Close closes the connection to the store.
	Close() error
}
