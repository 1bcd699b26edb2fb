package platform

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"time"
)

const (
	operationIDBytes = 16
	// readBackInterval is the pause between attempts to determine an unknown outcome.
	readBackInterval = 50 * time.Millisecond
	// readBackTimeout limits these attempts if the context has no earlier deadline.
	readBackTimeout = 10 * time.Second
)

// NewOperationID returns a random ID for one write.
func NewOperationID() string {
	id := make([]byte, operationIDBytes)
	// rand.Read never returns an error.
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}

// Operation is a write whose outcome can be determined even if its response was
// lost.
type Operation struct {
	// ID is unique and part of the value of the first put.
	ID string
	// Txn has at least one compare and one put. It also changes at least one of
	// the compared keys, so it takes effect at most once even if it is sent
	// several times.
	Txn Txn
	// ReadRevision is a store revision older than the operation, usually the
	// one at which the compared keys were read. The search for a lost operation
	// starts after it.
	ReadRevision int64
}

func (o Operation) validate() error {
	if o.ID == "" {
		return errors.New("no id")
	}
	if len(o.Txn.Compares) == 0 || len(o.Txn.Puts) == 0 {
		return errors.New("no compare or no put")
	}
	if !bytes.Contains(o.Txn.Puts[0].Value, []byte(o.ID)) {
		return errors.New("the first put does not contain the id")
	}
	for _, compare := range o.Txn.Compares {
		if o.Txn.invalidates(compare) {
			return nil
		}
	}
	return errors.New("no compared key is changed")
}

// invalidates reports whether a compare fails once the transaction has been applied.
func (t Txn) invalidates(compare Compare) bool {
	if compare.ModRevision > 0 && slices.Contains(t.Deletes, compare.Key) {
		return true
	}
	return slices.ContainsFunc(t.Puts, func(p Put) bool { return p.Key == compare.Key })
}

// Apply runs an operation and returns its revision. If the outcome is unknown, it
// searches the store for the operation ID. If the ID is not there, sending the
// same transaction again is safe: because of its compares, at most one of the
// copies can take effect. Errors: ErrConflict if a concurrent change made a
// compare fail, ErrUnavailable if the operation was not run, ErrOutcomeUnknown if
// the outcome could not be determined before the deadline or the history needed
// for it was compacted.
func Apply(ctx context.Context, store Store, o Operation) (int64, error) {
	if err := o.validate(); err != nil {
		return 0, fmt.Errorf("apply: operation %s: %w", o.ID, err)
	}
	revision, err := store.Txn(ctx, o.Txn)
	if !errors.Is(err, ErrOutcomeUnknown) {
		return revision, err
	}
	ctx, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	for {
		revision, err = o.resolveOutcome(ctx, store)
		switch {
		case err == nil, errors.Is(err, ErrConflict), errors.Is(err, ErrLeaseNotFound):
			return revision, err
		case errors.Is(err, ErrCompacted):
			return 0, fmt.Errorf("apply: operation %s: %w: %w", o.ID, ErrOutcomeUnknown, err)
		}
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("apply: operation %s: %w: %w", o.ID, ErrOutcomeUnknown, err)
		case <-time.After(readBackInterval):
		}
	}
}

// resolveOutcome searches the store for the operation and, if no copy of it has
// taken effect, sends it once more.
func (o Operation) resolveOutcome(ctx context.Context, store Store) (int64, error) {
	revision, found, err := o.find(ctx, store)
	if err != nil || found {
		return revision, err
	}
	revision, err = store.Txn(ctx, o.Txn)
	if !errors.Is(err, ErrConflict) && !errors.Is(err, ErrLeaseNotFound) {
		return revision, err
	}
	// The store rejected the transaction, so it can no longer take effect, and
	// the result of this search is final.
	txnErr := err
	revision, found, err = o.find(ctx, store)
	if err != nil || found {
		return revision, err
	}
	return 0, fmt.Errorf("apply: operation %s: %w", o.ID, txnErr)
}

// find searches for the operation in the key's current value and then in its
// history. It returns the operation's revision and whether it was found.
func (o Operation) find(ctx context.Context, store Store) (int64, bool, error) {
	key := o.Txn.Puts[0].Key
	kv, current, err := store.Get(ctx, key)
	if err != nil {
		return 0, false, err
	}
	if bytes.Contains(kv.Value, []byte(o.ID)) {
		return kv.ModRevision, true, nil
	}
	if kv.ModRevision != 0 && kv.ModRevision <= o.ReadRevision {
		return 0, false, nil
	}
	history, err := History(ctx, store, key, o.ReadRevision+1, current)
	if err != nil {
		return 0, false, err
	}
	for _, update := range history {
		for _, event := range update.Events {
			if event.Key == key && bytes.Contains(event.Value, []byte(o.ID)) {
				return update.Revision, true, nil
			}
		}
	}
	return 0, false, nil
}

// History returns the changes of keys with a prefix between two revisions, both
// inclusive. It returns ErrCompacted if some of them have been compacted.
func History(ctx context.Context, store Store, prefix string, from, to int64) ([]WatchUpdate, error) {
	if from > to {
		return nil, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	updates, err := store.Watch(ctx, prefix, from)
	if err != nil {
		return nil, err
	}
	var out []WatchUpdate
	for u := range updates {
		if u.Err != nil {
			return nil, u.Err
		}
		if len(u.Events) > 0 && u.Revision <= to {
			out = append(out, u)
		}
		if u.Revision >= to {
			return out, nil
		}
	}
	return nil, fmt.Errorf("history of %s: %w: %w", prefix, ErrUnavailable, ctx.Err())
}
