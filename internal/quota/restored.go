package quota

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/platform"
)

// After the store has been restored from an older copy, its ledgers hold allocations of
// some time ago: the sum of what hosts use may be higher than they say. Every host goes on
// with what it had, records that again, and raises nothing before all allocations that are
// not recorded again have ended. The first host that has waited for that long records
// that the generation is settled, for hosts that start later.

// settledKey holds the newest generation in which the ledgers are known to be complete.
const settledKey = Prefix + "settled"

// settled is the value of settledKey in JSON.
type settled struct {
	Generation platform.Generation `json:"generation"`
}

const (
	// rereadInterval is the time between two attempts to read the ledgers of a restored
	// store.
	rereadInterval = 500 * time.Millisecond
	// settleDelayPerHost is multiplied by the number of hosts to get the longest delay
	// after which a host records that a generation is settled.
	settleDelayPerHost = 50 * time.Millisecond
)

// restoredState is what a limiter knows of the restores of the store. It is used by Run
// only, except raiseAfter, which the limiter's lock guards.
type restoredState struct {
	// generation is that of the ledgers that were read last.
	generation platform.Generation
	// settled is the newest generation that is recorded as settled.
	settled         platform.Generation
	settledRevision int64
	// raiseAfter is when this host may raise its allocations again, and settleAfter when
	// it records that the generation is settled; zero if nothing is to be recorded.
	raiseAfter  time.Time
	settleAfter time.Time
	rereadAfter time.Time
}

// mayRaise reports whether allocations may be raised. The caller holds the lock.
func (l *Limiter) mayRaise(now time.Time) bool { return !now.Before(l.store.raiseAfter) }

// followGeneration reads the ledgers again if the store has been restored. It reports
// false if they are not known, so that nothing can be written.
func (l *Limiter) followGeneration(ctx context.Context) bool {
	now := l.now()
	newest := l.options.Store.Generation()
	if newest == l.store.generation {
		l.recordSettled(ctx, now)
		return true
	}
	if now.Before(l.store.rereadAfter) {
		return false
	}
	l.store.rereadAfter = now.Add(rereadInterval)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := l.readLedgers(ctx); err != nil {
		l.options.Log.Warn("could not read the quota ledgers of a restored store", zap.String(logging.FieldStep, "read holdings"), zap.Error(err))
		return false
	}
	l.holdAllocations(now)
	l.options.Log.Info("quota allocations held: the store was restored", zap.String(logging.FieldDecision, "hold_allocations"),
		zap.Int64(logging.FieldGeneration, int64(l.store.generation)), zap.Duration("hold_for", l.holdTime()))
	return true
}

// holdTime returns how long allocations must not be raised after a restore.
func (l *Limiter) holdTime() time.Duration { return limitsOf(l.largeFleet()).reclaim }

// holdAllocations makes this host record its allocations again and not raise them until
// those that other hosts cannot record again have ended.
func (l *Limiter) holdAllocations(now time.Time) {
	hold := l.holdTime()
	delay := rand.N(time.Duration(max(1, len(l.options.Hosts()))) * settleDelayPerHost)
	l.store.settleAfter = now.Add(hold + delay)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.store.raiseAfter = now.Add(hold)
	for _, a := range l.accounts {
		a.unrecorded = a.fraction > 0
	}
}

// readLedgers replaces the known ledgers by those in the store.
func (l *Limiter) readLedgers(ctx context.Context) error {
	generation := l.options.Store.Generation()
	items, asOf, err := l.options.Store.List(ctx, Prefix)
	if err != nil {
		return err
	}
	if read, _ := platform.SplitRevision(asOf); read > generation {
		generation = read
	}
	for shard := range l.ledgers {
		if g, _ := platform.SplitRevision(l.revisions[shard]); g < generation {
			l.setLedger(shard, ledger{}, 0)
		}
	}
	for _, item := range items {
		if item.Key == settledKey {
			l.applySettled(item)
			continue
		}
		l.applyDocument(item)
	}
	l.store.generation = generation
	return nil
}

func (l *Limiter) applySettled(item platform.KeyValue) {
	var value settled
	if err := json.Unmarshal(item.Value, &value); err != nil {
		l.options.Log.Error("could not decode the settled generation; ignoring it", zap.String("key", item.Key), zap.Error(err))
		return
	}
	l.store.settled, l.store.settledRevision = value.Generation, item.ModRevision
}

// recordSettled records that the generation is settled once this host has waited for
// long enough and no other host has done so.
func (l *Limiter) recordSettled(ctx context.Context, now time.Time) {
	if l.store.settleAfter.IsZero() || now.Before(l.store.settleAfter) {
		return
	}
	l.store.settleAfter = now.Add(renewCheckInterval)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, _, err := l.options.Store.Get(ctx, settledKey)
	if err == nil && item.ModRevision != 0 {
		l.applySettled(item)
	}
	if err == nil && l.store.settled < l.store.generation {
		err = l.writeSettled(ctx, item.ModRevision)
	}
	if err != nil {
		l.options.Log.Info("could not record the settled generation", zap.String(logging.FieldStep, "record holdings"), zap.Error(err))
		return
	}
	l.store.settleAfter = time.Time{}
}

func (l *Limiter) writeSettled(ctx context.Context, known int64) error {
	value, err := json.Marshal(settled{Generation: l.store.generation})
	if err != nil {
		return fmt.Errorf("encode settled generation: %w", err)
	}
	_, err = l.options.Store.Txn(ctx, platform.Txn{
		Compares: []platform.Compare{{Key: settledKey, ModRevision: known}},
		Puts:     []platform.Put{{Key: settledKey, Value: value}},
	})
	return err
}

// startInGeneration prepares a process that starts. While the generation may not be
// settled, it raises nothing, and it takes over only those of its recorded allocations
// that were written in the returned generation.
func (l *Limiter) startInGeneration(now time.Time) (oldest platform.Generation) {
	if l.store.generation <= max(platform.FirstGeneration, l.store.settled) {
		return 0
	}
	l.holdAllocations(now)
	l.options.Log.Info("quota allocations held: the store was restored before the start", zap.String(logging.FieldDecision, "hold_allocations"),
		zap.Int64(logging.FieldGeneration, int64(l.store.generation)), zap.Duration("hold_for", l.holdTime()))
	return l.store.generation
}

// shardFromKey returns the shard whose ledger a key holds.
func shardFromKey(key string) (int, bool) {
	shard, err := strconv.Atoi(strings.TrimPrefix(key, Prefix))
	return shard, err == nil && shard >= 0 && shard < shardCount
}
