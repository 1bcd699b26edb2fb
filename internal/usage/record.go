package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/platform"
)

const recordPrefix = KeyPrefix + "window/"

// Record is the sealed sum of a window. It never changes.
type Record struct {
	Window Window `json:"window"`
	// Ends is the end of the window.
	Ends   time.Time `json:"ends"`
	Counts Counts    `json:"counts"`
	// Holder is the host that sealed the record and Token its fencing token.
	Holder string `json:"holder"`
	Token  int64  `json:"token"`
	// SealedAt is when the record was sealed, Hosts the number of hosts that were expected to
	// count, and Missing those whose final counts had not arrived.
	SealedAt time.Time `json:"sealed_at"`
	Hosts    int       `json:"hosts"`
	Missing  []string  `json:"missing,omitempty"`
	// Restarted are the hosts that counted only a part of the window, because no process that
	// ran at its start is known.
	Restarted []string `json:"restarted,omitempty"`
}

func recordKey(w Window) string { return recordPrefix + fmt.Sprintf("%012d", w) }

// DecodeRecord decodes a record as it stands in the store.
func DecodeRecord(value []byte) (*Record, error) {
	r := &Record{}
	if err := json.Unmarshal(value, r); err != nil {
		return nil, fmt.Errorf("decode usage record: %w", err)
	}
	return r, nil
}

// ListRecords returns the records in the store in ascending order of their windows, and those
// that could not be decoded as an error.
func ListRecords(ctx context.Context, store platform.Store) ([]*Record, error) {
	items, _, err := store.List(ctx, recordPrefix)
	if err != nil {
		return nil, fmt.Errorf("list usage records: %w", err)
	}
	var records []*Record
	var invalid []error
	for _, item := range items {
		r, err := DecodeRecord(item.Value)
		if err != nil {
			invalid = append(invalid, fmt.Errorf("key %s: %w", item.Key, err))
			continue
		}
		records = append(records, r)
	}
	return records, errors.Join(invalid...)
}

// seal creates the record of a window in the store, on the condition that there is none and
// that this host still has the duty, and returns the record that stands there afterwards: its
// own or an earlier one. It also deletes the record of the window that is no longer kept.
func (r *Runner) seal(ctx context.Context, record *Record) (*Record, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := recordKey(record.Window)
	_, err = r.options.Store.Txn(ctx, platform.Txn{
		Compares: []platform.Compare{{Key: dutyKey, ModRevision: r.duty.token}, {Key: key}},
		Puts:     []platform.Put{{Key: key, Value: value}},
		Deletes:  []string{recordKey(record.Window - keptRecords)},
	})
	if err == nil {
		return record, nil
	}
	if errors.Is(err, platform.ErrUnavailable) {
		return nil, err
	}
	// The record may be there, by an earlier attempt or by another holder.
	current, _, readErr := r.options.Store.Get(ctx, key)
	switch {
	case readErr != nil:
		return nil, errors.Join(err, readErr)
	case current.ModRevision != 0:
		return DecodeRecord(current.Value)
	}
	return nil, err
}

// keptRecords is the number of records that stay in the store, for an operator to look at.
const keptRecords = 60

// logRecord logs the result of a window, from which an operator finds the hosts that counted.
// It is an error if so many hosts are missing that the counts may be off by more than the
// tolerance.
func (r *Runner) logRecord(record *Record, took time.Duration) {
	level := zap.InfoLevel
	if float64(len(record.Missing)) > r.options.Policy.Tolerance*float64(record.Hosts) {
		level = zap.ErrorLevel
	}
	r.options.Log.Log(level, "usage window sealed", zap.String(logging.FieldDecision, "seal_usage"),
		zap.Int64("window", int64(record.Window)), zap.Int64("token", record.Token), zap.Int("hosts", record.Hosts),
		zap.Strings("missing", record.Missing), zap.Strings("restarted", record.Restarted), zap.Int64("operations", record.Counts.Total()),
		zap.Int("accounts", len(record.Counts)), zap.Duration("since_end", took))
}

// String returns the number of the window.
func (w Window) String() string { return strconv.FormatInt(int64(w), 10) }
