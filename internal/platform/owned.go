package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
)

// CreateOwned creates a key whose value no other writer uses, and returns its revision. If
// the key is there with that value already, the answer to an earlier creation or deletion
// was lost: it is written again, so that the revision is new and higher than any that this
// writer has used. Errors: ErrConflict if the key belongs to another writer, else those of
// Store.Txn; after ErrOutcomeUnknown the next call finds out.
func CreateOwned(ctx context.Context, store Store, put Put) (int64, error) {
	revision, err := store.Txn(ctx, Txn{Compares: []Compare{{Key: put.Key}}, Puts: []Put{put}})
	if !errors.Is(err, ErrConflict) {
		return revision, err
	}
	current, err := conflicting(ctx, store, put.Key, err)
	if err != nil {
		return 0, err
	}
	if current.ModRevision == 0 || !bytes.Equal(current.Value, put.Value) {
		return 0, &ConflictError{Current: []KeyValue{current}}
	}
	return store.Txn(ctx, Txn{Compares: []Compare{{Key: put.Key, ModRevision: current.ModRevision}}, Puts: []Put{put}})
}

// conflicting returns the state of a key that a failed compare has reported, or reads it.
func conflicting(ctx context.Context, store Store, key string, conflict error) (KeyValue, error) {
	var reported *ConflictError
	if errors.As(conflict, &reported) {
		for _, current := range reported.Current {
			if current.Key == key {
				return current, nil
			}
		}
	}
	current, _, err := store.Get(ctx, key)
	if err != nil {
		return KeyValue{}, fmt.Errorf("read conflicting key: %w", err)
	}
	return current, nil
}

// OwnedKey is a key that only its owner writes. Each write names the revision of the one
// before. A write without an answer, which the store may still carry out later, therefore
// has no effect any more once the next one has succeeded. It is not safe for concurrent use.
type OwnedKey struct {
	Key string
	// revision is that of the newest write that was answered.
	revision int64
	// unsure says that the outcome of the newest write is not known, and late that a write
	// was ever not answered.
	unsure bool
	late   bool
}

// maxOwnedAttempts bounds the writes of a call that find a revision that they do not expect:
// that of a write without an answer, of an earlier process, or none after a lease has ended.
const maxOwnedAttempts = 3

// Unsure reports whether the outcome of the newest write is not known.
func (k *OwnedKey) Unsure() bool { return k.unsure }

// MayBeLate reports whether the store may still carry out an earlier write. Then the key
// must not be deleted: that write may name the state before the creation of the key.
func (k *OwnedKey) MayBeLate() bool { return k.late }

// Put writes the value. The errors are those of Store.Txn.
func (k *OwnedKey) Put(ctx context.Context, store Store, value []byte, lease LeaseID) error {
	return k.write(ctx, store, Txn{Puts: []Put{{Key: k.Key, Value: value, Lease: lease}}})
}

// Delete deletes the key. If MayBeLate, use Put instead.
func (k *OwnedKey) Delete(ctx context.Context, store Store) error {
	return k.write(ctx, store, Txn{Deletes: []string{k.Key}})
}

func (k *OwnedKey) write(ctx context.Context, store Store, txn Txn) error {
	var err error
	for range maxOwnedAttempts {
		var revision int64
		txn.Compares = []Compare{{Key: k.Key, ModRevision: k.revision}}
		revision, err = store.Txn(ctx, txn)
		if err == nil {
			k.revision, k.unsure = revision, false
			if len(txn.Puts) == 0 {
				k.revision = 0
			}
			return nil
		}
		if !errors.Is(err, ErrConflict) {
			if !errors.Is(err, ErrUnavailable) {
				k.unsure, k.late = true, true
			}
			return err
		}
		current, readErr := conflicting(ctx, store, k.Key, err)
		if readErr != nil {
			return readErr
		}
		k.revision = current.ModRevision
	}
	return err
}
