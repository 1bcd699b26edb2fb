package leadership

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/platform"
)

// The keys of the records of hand-overs.
const (
	// listPrefix is the common prefix of the keys below.
	listPrefix = "bramleylever/promotion/handover"
	// RecordPrefix is the key prefix of the hand-over records; the name of the service
	// follows. The value is a Record in JSON.
	RecordPrefix = listPrefix + "/"
	// settledKey holds the newest settled generation of the store as a settledRecord in
	// JSON.
	settledKey = listPrefix + "-settled"
)

// maxRecordsPerTxn is the number of records that one transaction writes. The store allows
// 32 operations, and each record takes a compare and a put.
const maxRecordsPerTxn = 16

// Record is what the store keeps of the last hand-over of a service.
type Record struct {
	// ClosedEpoch is the newest term that was closed.
	ClosedEpoch uint64 `json:"closed_epoch"`
	// Target is the instance whose promotion was to be ordered, and Token the fencing
	// token of the order. They are empty if only the closing is known.
	Target string `json:"target"`
	Token  int64  `json:"token"`
	// TargetStarted is the start time of the target's process in Unix milliseconds; 0 if it is
	// not known.
	TargetStarted int64 `json:"target_started,omitempty"`
	// Ended says that no host uses a leader of the closed term or of an earlier one any more.
	Ended bool `json:"ended,omitempty"`
	// Answered says that the order was answered and will not be carried out late.
	Answered bool `json:"answered,omitempty"`
}

type settledRecord struct {
	Generation platform.Generation `json:"generation"`
}

// storedRecords is what the store holds of the hand-overs.
type storedRecords struct {
	StoreRead
	// revisions holds the revision of each record by its key.
	revisions map[string]int64
}

// loadRecords reads the records of the hand-overs from the store.
func (r *Runner) loadRecords(ctx context.Context) (storedRecords, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	stored := storedRecords{StoreRead: StoreRead{Sent: r.now(), Closed: map[string]uint64{}}, revisions: map[string]int64{}}
	items, asOf, err := r.options.Store.List(ctx, listPrefix)
	if err != nil {
		return stored, err
	}
	stored.Generation, _ = platform.SplitRevision(asOf)
	for _, item := range items {
		stored.revisions[item.Key] = item.ModRevision
		if err := stored.add(item); err != nil {
			r.options.Log.Warn("could not decode a hand-over record; ignoring it", zap.String("key", item.Key), zap.Error(err))
		}
	}
	return stored, nil
}

func (s *storedRecords) add(item platform.KeyValue) error {
	if item.Key == settledKey {
		var settled settledRecord
		err := json.Unmarshal(item.Value, &settled)
		s.Settled = settled.Generation
		return err
	}
	service, ok := strings.CutPrefix(item.Key, RecordPrefix)
	if !ok {
		return nil
	}
	var record Record
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return err
	}
	s.Closed[service] = record.ClosedEpoch
	return nil
}

// missing returns the services of which a store lacks a closed term.
func (s *storedRecords) missing(closed map[string]uint64) []string {
	var services []string
	for _, service := range slices.Sorted(maps.Keys(closed)) {
		if s.Closed[service] < closed[service] {
			services = append(services, service)
		}
	}
	return services
}

// restoreRecords writes the closed terms that a restored store has lost.
func (r *Runner) restoreRecords(ctx context.Context, stored *storedRecords) error {
	closed := r.core.ClosedTerms()
	for services := range slices.Chunk(stored.missing(closed), maxRecordsPerTxn) {
		var txn platform.Txn
		for _, service := range services {
			value, err := json.Marshal(Record{ClosedEpoch: closed[service]})
			if err != nil {
				return fmt.Errorf("encode hand-over record: %w", err)
			}
			key := RecordPrefix + service
			txn.Compares = append(txn.Compares, platform.Compare{Key: key, ModRevision: stored.revisions[key]})
			txn.Puts = append(txn.Puts, platform.Put{Key: key, Value: value})
		}
		if err := r.writeRecords(ctx, txn); err != nil {
			return fmt.Errorf("record closed terms of %v: %w", services, err)
		}
		r.options.Log.Info("closed terms recorded again: the restored store lacks them", zap.String(logging.FieldDecision, "record_closed_terms"),
			zap.Strings("services", services), zap.Int64(logging.FieldGeneration, int64(stored.Generation)))
	}
	return nil
}

// settle records that the generation that was read is settled, if this host may.
func (r *Runner) settle(ctx context.Context, stored *storedRecords) error {
	if stored.Settled >= stored.Generation || stored.Generation != r.options.Store.Generation() || !r.core.MaySettle(r.now()) {
		return nil
	}
	value, err := json.Marshal(settledRecord{Generation: stored.Generation})
	if err != nil {
		return fmt.Errorf("encode settled generation: %w", err)
	}
	err = r.writeRecords(ctx, platform.Txn{
		Compares: []platform.Compare{{Key: settledKey, ModRevision: stored.revisions[settledKey]}},
		Puts:     []platform.Put{{Key: settledKey, Value: value}},
	})
	if err != nil {
		return fmt.Errorf("record settled generation: %w", err)
	}
	r.core.MarkSettled(stored.Generation)
	r.options.Log.Info("store generation settled", zap.String(logging.FieldDecision, "settle_generation"),
		zap.Int64(logging.FieldGeneration, int64(stored.Generation)))
	return nil
}

func (r *Runner) writeRecords(ctx context.Context, txn platform.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := r.options.Store.Txn(ctx, txn)
	return err
}
