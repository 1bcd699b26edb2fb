package records

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/bramleylever/bramleylever/internal/platform"
)

// Keys in the platform store.
const (
	// Root is the prefix of all keys of a fleet.
	Root = "/bramleylever/"
	// Prefix is the prefix of the keys of records.
	Prefix = Root + "records/"
	// LogKey holds a description of the last change of records. Every change
	// writes it, so its versions are the history of all records, and its mod
	// revision is that of the last change.
	LogKey = Root + "records-log"
)

// Record is a configuration record in the form that operators write and hosts
// exchange.
type Record struct {
	Kind          Kind            `json:"kind"`
	Name          string          `json:"name"`
	SchemaVersion int             `json:"schema_version,omitempty"`
	Body          json.RawMessage `json:"body,omitempty"`
	// ModRevision is the revision of the last change; 0 means unknown.
	ModRevision int64 `json:"mod_revision,omitempty"`
	Deleted     bool  `json:"deleted,omitempty"`
	// Operator is who made the last change, and Operation its operation id.
	Operator  string `json:"operator,omitempty"`
	Operation string `json:"-"`
}

// ID returns the record's key in the store without Prefix.
func (r Record) ID() string { return string(r.Kind) + "/" + r.Name }

// Key returns the record's key in the store.
func (r Record) Key() string { return Prefix + r.ID() }

// storedRecord is the JSON value of a record's key.
type storedRecord struct {
	Operation     string          `json:"operation"`
	Operator      string          `json:"operator"`
	SchemaVersion int             `json:"schema_version"`
	Body          json.RawMessage `json:"body"`
}

// parseKey splits a store key into kind and name.
func parseKey(key string) (Kind, string, error) {
	kind, name, ok := strings.Cut(strings.TrimPrefix(key, Prefix), "/")
	if !ok || !strings.HasPrefix(key, Prefix) {
		return "", "", fmt.Errorf("key %q is not %s<kind>/<name>", key, Prefix)
	}
	return Kind(kind), name, nil
}

// recordFromStore decodes a record from its key and value. Unknown fields of the
// value are an error; the returned record then holds what could be decoded.
func recordFromStore(kv platform.KeyValue, deleted bool) (Record, error) {
	kind, name, err := parseKey(kv.Key)
	if err != nil {
		return Record{}, err
	}
	r := Record{Kind: kind, Name: name, ModRevision: kv.ModRevision, Deleted: deleted}
	if deleted {
		return r, nil
	}
	var errs []error
	o := parseObject("", kv.Value, &errs)
	r.Operation = o.text("operation", false)
	r.Operator = o.text("operator", false)
	r.SchemaVersion = o.integer("schema_version", 1, maxSchemaVersion, 0)
	body, ok := o.takeField("body")
	if !ok {
		o.fail("body", errors.New("is missing"))
	}
	r.Body = body
	o.rejectUnknownFields()
	if len(errs) > 0 {
		return r, fmt.Errorf("record %s: %w", r.ID(), errors.Join(errs...))
	}
	return r, nil
}

const maxSchemaVersion = 1_000_000

// toStore returns the value to store at the record's key.
func (r Record) toStore() ([]byte, error) {
	value, err := json.Marshal(storedRecord{
		Operation: r.Operation, Operator: r.Operator, SchemaVersion: r.SchemaVersion, Body: r.Body,
	})
	if err != nil {
		return nil, fmt.Errorf("record %s: %w", r.ID(), err)
	}
	return value, nil
}

// ParseFile parses and validates a record file: {"records": [...]}, each record
// with kind, name, schema_version and body, or with deleted instead of the last
// two. With mod_revision, the change is made only if that is the current revision
// of the record.
func ParseFile(raw []byte) ([]Record, error) {
	var errs []error
	file := parseObject("", raw, &errs)
	out := []Record{}
	seen := map[string]bool{}
	for _, item := range file.list("records") {
		r := Record{
			Kind:          Kind(item.text("kind", true)),
			Name:          item.text("name", true),
			SchemaVersion: item.integer("schema_version", 0, maxSchemaVersion, 0),
			Deleted:       item.boolean("deleted"),
			Operator:      item.text("operator", false),
		}
		item.decodeField("mod_revision", false, &r.ModRevision)
		if body, ok := item.takeField("body"); ok {
			r.Body = body
		}
		item.rejectUnknownFields()
		if seen[r.ID()] {
			item.fail("name", fmt.Errorf("duplicate record %s", r.ID()))
		}
		seen[r.ID()] = true
		if !r.Deleted {
			if _, err := decodeBody(r.Kind, r.Name, r.SchemaVersion, r.Body); err != nil {
				item.fail("", fmt.Errorf("record %s: %w", r.ID(), err))
			}
		}
		out = append(out, r)
	}
	file.rejectUnknownFields()
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return out, nil
}
