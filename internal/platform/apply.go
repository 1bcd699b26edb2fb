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
	// readBackPause separates the attempts to learn an unknown outcome.
	readBackPause = 50 * time.Millisecond
	// readBackTimeout bounds the attempts if the context has no deadline.
	readBackTimeout = 10 * time.Second
)

// NewOperationID returns a unique id for one write.
func NewOperationID() string {
	id := make([]byte, operationIDBytes)
	// rand.Read never returns an error.
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}

// Operation is a write whose outcome can be learned although its answer was
// lost.
type Operation struct {
	// ID is unique; the value of the first put contains it.
	ID string
	// Txn has at least one compare and one put. At least one compared key is
	// also changed, so the transaction takes effect at most once, however
	// often it arrives.
	Txn Txn
	// ReadRevision is a store revision before the operation, usually the one
	// at which the compared keys were read.
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
		if o.Txn.changes(compare) {
			return nil
		}
	}
	return errors.New("no compared key is changed")
}

// changes reports whether the transaction makes a compare fail afterwards.
func (t Txn) changes(compare Compare) bool {
	if compare.ModRevision > 0 && slices.Contains(t.Deletes, compare.Key) {
		return true
	}
	return slices.ContainsFunc(t.Puts, func(p Put) bool { return p.Key == compare.Key })
}

// Apply runs an operation and returns its revision. After an unknown outcome it
// looks for the operation id in the store. If the id is not there, the same
// compares make it safe to send the same transaction again: at most one of the
// copies can take effect. Errors: ErrConflict if another change won,
// ErrUnavailable if the operation was not run, ErrOutcomeUnknown if the outcome
// could not be learned before the deadline or from the kept history.
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
		revision, err = o.settle(ctx, store)
		switch {
		case err == nil, errors.Is(err, ErrConflict), errors.Is(err, ErrLeaseNotFound):
			return revision, err
		case errors.Is(err, ErrCompacted):
			return 0, fmt.Errorf("apply: operation %s: %w: %w", o.ID, ErrOutcomeUnknown, err)
		}
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("apply: operation %s: %w: %w", o.ID, ErrOutcomeUnknown, err)
		case <-time.After(readBackPause):
		}
	}
}

// settle looks for the operation and sends it once more if no copy of it has
// taken effect and one still can.
func (o Operation) settle(ctx context.Context, store Store) (int64, error) {
	revision, found, err := o.find(ctx, store)
	if err != nil || found {
		return revision, err
	}
	revision, err = store.Txn(ctx, o.Txn)
	if !errors.Is(err, ErrConflict) && !errors.Is(err, ErrLeaseNotFound) {
		return revision, err
	}
	// The transaction can no longer take effect, so what the history says now
	// is final.
	refused := err
	revision, found, err = o.find(ctx, store)
	if err != nil || found {
		return revision, err
	}
	return 0, fmt.Errorf("apply: operation %s: %w", o.ID, refused)
}

// find looks for the operation in the key's present value, then in its history.
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

// History returns the changes below a prefix from one revision to another, both
// included. It returns ErrCompacted if the store no longer keeps all of them.
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
