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

// maxApplyAttempts bounds how often a change is tried again after it lost
// against a change of other records.
const maxApplyAttempts = 10

// ConflictError says which change won.
type ConflictError struct {
	Kind Kind
	Name string
	// Expected and Actual are mod revisions; 0 means absent.
	Expected, Actual int64
	// Operator is who made the change that won, if it is known.
	Operator string
}

// Error names the record, the revision that won and its operator.
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

// Client changes and reads records on behalf of an operator.
type Client struct {
	store    platform.Store
	operator string
	now      func() time.Time
}

// NewClient returns a client that signs its changes with the operator's name.
func NewClient(store platform.Store, operator string) *Client {
	return &Client{store: store, operator: operator, now: time.Now}
}

// logEntry is the value of LogKey.
type logEntry struct {
	Operation string   `json:"operation"`
	Operator  string   `json:"operator"`
	Time      string   `json:"time"`
	Records   []string `json:"records"`
}

// state is what the store held at one revision.
type state struct {
	set      *Set
	revision int64
	// log is the mod revision of LogKey.
	log int64
}

func load(ctx context.Context, store platform.Store) (state, error) {
	// The log is read first: a change in between makes the compare fail.
	log, _, err := store.Get(ctx, LogKey)
	if err != nil {
		return state{}, fmt.Errorf("read records: %w", err)
	}
	kvs, revision, err := store.List(ctx, Prefix)
	if err != nil {
		return state{}, fmt.Errorf("read records: %w", err)
	}
	list := make([]Record, 0, len(kvs))
	for _, kv := range kvs {
		// A record that cannot be read stays in the set with its error.
		r, _ := fromStore(kv, false)
		list = append(list, r)
	}
	return state{set: NewSet(list), revision: revision, log: log.ModRevision}, nil
}

// List returns all records and the revision at which they were read.
func (c *Client) List(ctx context.Context) (*Set, int64, error) {
	s, err := load(ctx, c.store)
	return s.set, s.revision, err
}

// Get returns one record; ok is false if it does not exist.
func (c *Client) Get(ctx context.Context, kind Kind, name string) (r Record, ok bool, err error) {
	kv, _, err := c.store.Get(ctx, Record{Kind: kind, Name: name}.Key())
	if err != nil || kv.ModRevision == 0 {
		return Record{}, false, err
	}
	r, err = fromStore(kv, false)
	return r, err == nil, err
}

// ApplyResult says what a change did.
type ApplyResult struct {
	// Revision is that of the change, or the one at which nothing had to be
	// changed.
	Revision int64
	// Changed are the ids of the changed records.
	Changed []string
}

// Apply changes records in one transaction. A record with a ModRevision is
// changed only if that is its present revision; any other only if it did not
// change while the command ran. The configuration after the change must be
// valid as a whole. Errors: ConflictError, an error that names the fields that
// are not valid, and those of platform.Apply.
func (c *Client) Apply(ctx context.Context, changes []Record) (ApplyResult, error) {
	var first *Set
	for range maxApplyAttempts {
		before, err := load(ctx, c.store)
		if err != nil {
			return ApplyResult{}, err
		}
		if first == nil {
			first = before.set
		}
		changed, err := c.plan(before.set, first, changes)
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

// plan returns the records that really change, and checks them against the
// present configuration. first is the configuration that the command started
// from.
func (c *Client) plan(present, first *Set, changes []Record) ([]Record, error) {
	var changed []Record
	for _, r := range changes {
		now, _ := present.Get(r.Kind, r.Name)
		start, _ := first.Get(r.Kind, r.Name)
		expected := start.ModRevision
		if r.ModRevision != 0 {
			expected = r.ModRevision
		}
		if now.ModRevision != expected {
			return nil, &ConflictError{
				Kind: r.Kind, Name: r.Name,
				Expected: expected, Actual: now.ModRevision, Operator: now.Operator,
			}
		}
		if Unchanged(now, r) {
			continue
		}
		r.ModRevision = now.ModRevision
		changed = append(changed, r)
	}
	if _, err := present.With(changed).Snapshot(0); err != nil {
		return nil, fmt.Errorf("apply records: not valid: %w", err)
	}
	return changed, nil
}

// Unchanged reports whether a change would leave a record as it is.
func Unchanged(now, next Record) bool {
	if next.Deleted || now.ModRevision == 0 {
		return next.Deleted && now.ModRevision == 0
	}
	return now.SchemaVersion == next.SchemaVersion && bytes.Equal(compact(now.Body), compact(next.Body))
}

func compact(raw json.RawMessage) []byte {
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

// write runs the change. It compares LogKey, so that what was validated is
// what takes effect.
func (c *Client) write(ctx context.Context, before state, changed []Record) (int64, error) {
	id := platform.NewOperationID()
	log, err := json.Marshal(logEntry{
		Operation: id, Operator: c.operator,
		Time: c.now().UTC().Format(time.RFC3339Nano), Records: ids(changed),
	})
	if err != nil {
		return 0, err
	}
	txn := platform.Txn{
		Compares: []platform.Compare{{Key: LogKey, ModRevision: before.log}},
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

// HistoryEntry is one change of records.
type HistoryEntry struct {
	Revision int64    `json:"revision"`
	Operator string   `json:"operator"`
	Time     string   `json:"time"`
	Records  []string `json:"records"`
}

// History returns the changes from a revision on, oldest first, as far as the
// store keeps them. It returns platform.ErrCompacted if it does not reach back
// that far.
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
