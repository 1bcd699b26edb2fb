package records

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/internal/platform"
)

// maxApplyAttempts bounds how often a change is attempted; an attempt is repeated
// if another change of records was committed in the meantime.
const maxApplyAttempts = 10

// ConflictError reports that a record was changed since the revision that a change
// of it expected.
type ConflictError struct {
	Kind Kind
	Name string
	// Expected and Actual are mod revisions; 0 means that there is no record.
	Expected, Actual int64
	// Operator made the change that led to Actual; empty if unknown.
	Operator string
}

// Error names the record, both revisions and the operator of the other change.
func (e *ConflictError) Error() string {
	by := ""
	if e.Operator != "" {
		by = fmt.Sprintf(" by %q", e.Operator)
	}
	return fmt.Sprintf("record %s/%s: expected revision %d, found revision %d%s",
		e.Kind, e.Name, e.Expected, e.Actual, by)
}

// Unwrap makes the error match outcome.ErrConflict.
func (e *ConflictError) Unwrap() error { return outcome.ErrConflict }

// Client reads and changes records in the platform store on behalf of an operator.
type Client struct {
	store    platform.Store
	operator string
	now      func() time.Time
}

// NewClient returns a client that stores the operator's name with each change.
func NewClient(store platform.Store, operator string) *Client {
	return &Client{store: store, operator: operator, now: time.Now}
}

// logEntry is the JSON value of LogKey.
type logEntry struct {
	Operation string   `json:"operation"`
	Operator  string   `json:"operator"`
	Time      string   `json:"time"`
	Records   []string `json:"records"`
}

// storeState is the set of records in the store at one revision.
type storeState struct {
	set      *Set
	revision int64
	// logRevision is the mod revision of LogKey.
	logRevision int64
}

func loadState(ctx context.Context, store platform.Store) (storeState, error) {
	// LogKey is read before the records: a change between both reads then fails
	// the comparison of LogKey in write.
	log, _, err := store.Get(ctx, LogKey)
	if err != nil {
		return storeState{}, fmt.Errorf("read records: %w", err)
	}
	kvs, revision, err := store.List(ctx, Prefix)
	if err != nil {
		return storeState{}, fmt.Errorf("read records: %w", err)
	}
	list := make([]Record, 0, len(kvs))
	for _, kv := range kvs {
		// A record that cannot be decoded stays in the set, which keeps its error.
		r, _ := recordFromStore(kv, false)
		list = append(list, r)
	}
	return storeState{set: NewSet(list), revision: revision, logRevision: log.ModRevision}, nil
}

// List returns all records and the revision at which they were read.
func (c *Client) List(ctx context.Context) (*Set, int64, error) {
	s, err := loadState(ctx, c.store)
	return s.set, s.revision, err
}

// Get returns one record; ok is false if it does not exist.
func (c *Client) Get(ctx context.Context, kind Kind, name string) (r Record, ok bool, err error) {
	kv, _, err := c.store.Get(ctx, Record{Kind: kind, Name: name}.Key())
	if err != nil || kv.ModRevision == 0 {
		return Record{}, false, err
	}
	r, err = recordFromStore(kv, false)
	return r, err == nil, err
}

// ApplyResult is the result of a change.
type ApplyResult struct {
	// Revision is the revision of the change, or the one at which the records
	// were read if nothing had to be changed.
	Revision int64
	// Changed lists the ids of the changed records.
	Changed []string
}

// Apply changes records in one transaction. A record with a ModRevision is
// changed only if that is its current mod revision; a record without one only if
// it was not changed since Apply started. The configuration after the change must
// be valid as a whole. Apply returns a ConflictError, an error that names the
// invalid fields, or an error of platform.Apply.
func (c *Client) Apply(ctx context.Context, changes []Record) (ApplyResult, error) {
	var initial *Set
	for range maxApplyAttempts {
		before, err := loadState(ctx, c.store)
		if err != nil {
			return ApplyResult{}, err
		}
		if initial == nil {
			initial = before.set
		}
		changed, err := c.plan(before.set, initial, changes)
		if err != nil || len(changed) == 0 {
			return ApplyResult{Revision: before.revision}, err
		}
		revision, err := c.write(ctx, before, changed)
		if errors.Is(err, platform.ErrConflict) {
			continue
		}
		if err != nil {
			return ApplyResult{}, fmt.Errorf("apply records: %w", err)
		}
		return ApplyResult{Revision: revision, Changed: ids(changed)}, nil
	}
	return ApplyResult{}, fmt.Errorf("apply records: %d attempts lost against other changes: %w",
		maxApplyAttempts, outcome.ErrConflict)
}

// plan returns the records that differ from the current configuration, and checks
// that the configuration after the change is valid. initial is the configuration
// when Apply started.
func (c *Client) plan(current, initial *Set, changes []Record) ([]Record, error) {
	var changed []Record
	for _, r := range changes {
		currentRecord, _ := current.Get(r.Kind, r.Name)
		initialRecord, _ := initial.Get(r.Kind, r.Name)
		expected := initialRecord.ModRevision
		if r.ModRevision != 0 {
			expected = r.ModRevision
		}
		if currentRecord.ModRevision != expected {
			return nil, &ConflictError{
				Kind: r.Kind, Name: r.Name,
				Expected: expected, Actual: currentRecord.ModRevision, Operator: currentRecord.Operator,
			}
		}
		if Unchanged(currentRecord, r) {
			continue
		}
		r.ModRevision = currentRecord.ModRevision
		changed = append(changed, r)
	}
	if _, err := current.With(changed).Snapshot(0); err != nil {
		return nil, fmt.Errorf("apply records: not valid: %w", err)
	}
	return changed, nil
}

// Unchanged reports whether replacing current with next would have no effect.
func Unchanged(current, next Record) bool {
	if next.Deleted || current.ModRevision == 0 {
		return next.Deleted && current.ModRevision == 0
	}
	return current.SchemaVersion == next.SchemaVersion && bytes.Equal(canonicalJSON(current.Body), canonicalJSON(next.Body))
}

// canonicalJSON returns a form of a JSON value that does not depend on white space,
// key order or number format.
func canonicalJSON(raw json.RawMessage) []byte {
	var v any
	if json.Unmarshal(raw, &v) != nil {
		return raw
	}
	out, err := json.Marshal(v)
	if err != nil {
		return raw
	}
	return out
}

func ids(list []Record) []string {
	out := make([]string, 0, len(list))
	for _, r := range list {
		out = append(out, r.ID())
	}
	return out
}

// write commits the change. The transaction compares LogKey, so that it fails if
// any record was changed after the configuration was validated.
func (c *Client) write(ctx context.Context, before storeState, changed []Record) (int64, error) {
	id := platform.NewOperationID()
	log, err := json.Marshal(logEntry{
		Operation: id, Operator: c.operator,
		Time: c.now().UTC().Format(time.RFC3339Nano), Records: ids(changed),
	})
	if err != nil {
		return 0, err
	}
	txn := platform.Txn{
		Compares: []platform.Compare{{Key: LogKey, ModRevision: before.logRevision}},
		Puts:     []platform.Put{{Key: LogKey, Value: log}},
	}
	for _, r := range changed {
		txn.Compares = append(txn.Compares, platform.Compare{Key: r.Key(), ModRevision: r.ModRevision})
		if r.Deleted {
			txn.Deletes = append(txn.Deletes, r.Key())
			continue
		}
		r.Operation, r.Operator = id, c.operator
		value, err := r.toStore()
		if err != nil {
			return 0, err
		}
		txn.Puts = append(txn.Puts, platform.Put{Key: r.Key(), Value: value})
	}
	return platform.Apply(ctx, c.store, platform.Operation{ID: id, Txn: txn, ReadRevision: before.revision})
}

// HistoryEntry is one committed change of records.
type HistoryEntry struct {
	Revision int64    `json:"revision"`
	Operator string   `json:"operator"`
	Time     string   `json:"time"`
	Records  []string `json:"records"`
}

// History returns the changes since a revision, including it, oldest first. It
// returns platform.ErrCompacted if the store no longer keeps all of them.
func (c *Client) History(ctx context.Context, from int64) ([]HistoryEntry, error) {
	_, current, err := c.store.Get(ctx, LogKey)
	if err != nil {
		return nil, fmt.Errorf("read history: %w", err)
	}
	updates, err := platform.History(ctx, c.store, LogKey, from, current)
	if err != nil {
		return nil, fmt.Errorf("read history: %w", err)
	}
	var out []HistoryEntry
	for _, u := range updates {
		for _, event := range u.Events {
			var entry logEntry
			if err := json.Unmarshal(event.Value, &entry); err != nil {
				return nil, fmt.Errorf("read history: revision %d: %w", u.Revision, err)
			}
			out = append(out, HistoryEntry{
				Revision: u.Revision, Operator: entry.Operator, Time: entry.Time, Records: entry.Records,
			})
		}
	}
	return out, nil
}
