package quota

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

// WaitRestored waits until the attempt to read the allocations of an earlier process
// of this host has ended, successfully or not.
func (l *Limiter) WaitRestored(ctx context.Context) {
	select {
	case <-l.restored:
	case <-ctx.Done():
	}
}

// restore reads the allocations that an earlier process of this host wrote.
func (l *Limiter) restore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := l.now()
	if err := l.readLedgers(ctx); err != nil {
		l.options.Log.Warn("could not read the quota allocations", zap.String(logging.FieldStep, "read holdings"), zap.Error(err))
		return
	}
	oldest := l.startInGeneration(asked)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restoredHosts, l.restoredHostsUntil = l.recordedHosts(), asked.Add(restoredHostsTime)
	for shard := range l.ledgers {
		for name, allocations := range l.ledgers[shard] {
			if own, ok := allocations[l.options.Host]; ok && own.Generation >= oldest {
				a := l.account(name)
				// Other hosts may be about to reclaim the allocation, so it is marked as due
				// for renewal.
				a.fraction, a.recordedEqual = own.Fraction, own.Equal
				a.renewedAt = asked.Add(-limitsOf(own.Equal).renew)
				a.hosts = l.allocationHostCount()
				a.refilledAt = asked.Add(-minRestartTime)
				l.sequence = max(l.sequence, own.Sequence)
			}
		}
	}
}

// recordedHosts returns the number of hosts that have an allocation of any limit.
func (l *Limiter) recordedHosts() int {
	found := map[string]bool{}
	for shard := range l.ledgers {
		for _, allocations := range l.ledgers[shard] {
			for host := range allocations {
				found[host] = true
			}
		}
	}
	return len(found)
}

// applyDocument applies a ledger document read from the store.
func (l *Limiter) applyDocument(kv platform.KeyValue) {
	shard, ok := shardFromKey(kv.Key)
	if !ok {
		return
	}
	if kv.ModRevision < l.revisions[shard] {
		l.options.Log.Info("quota ledger left out: a newer one is known", zap.String("key", kv.Key),
			zap.Int64(logging.FieldRevision, kv.ModRevision), zap.Int64("known_revision", l.revisions[shard]))
		return
	}
	decoded, err := decodeLedger(kv.Value)
	if err != nil {
		l.options.Log.Error("could not decode a quota ledger; ignoring it", zap.String("key", kv.Key), zap.Error(err))
		return
	}
	l.setLedger(shard, decoded, kv.ModRevision)
}

// setLedger replaces the known ledger of a shard.
func (l *Limiter) setLedger(shard int, known ledger, revision int64) {
	l.ledgers[shard], l.revisions[shard] = known, revision
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, a := range l.accounts {
		if shardOf(name) == shard {
			a.allocations = known[name]
		}
	}
}

// shardSet is a set of shards, one bit each.
type shardSet uint64

func (s shardSet) has(shard int) bool { return s&(1<<shard) != 0 }

// firstN returns the first n of the shards, or all if there are fewer.
func (s shardSet) firstN(n int) shardSet {
	rest := s
	for range n {
		rest &= rest - 1
	}
	return s &^ rest
}

// dueShards returns the shards to write. Allocations that are too small are written
// every urgentWriteInterval, those due for renewal or off target every
// renewCheckInterval. Shards beyond one transaction remain due for the next tick. Nothing
// is written before the other hosts are known.
func (l *Limiter) dueShards() shardSet {
	if !l.options.HostsKnown() {
		return 0
	}
	now := l.now()
	renew := now.Sub(l.lastRenewal) >= renewCheckInterval
	if !renew && now.Sub(l.lastWrite) < urgentWriteInterval {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addAccounts(now)
	confirmed := l.options.ConfirmedAt()
	var shards shardSet
	for name, a := range l.accounts {
		shard := shardOf(name)
		a.equal = l.allocatesEqually(name)
		a.confirm(confirmed, now)
		if l.mustWrite(name, a, renew, now) {
			shards |= 1 << shard
		}
	}
	fitting := shards.firstN(maxTxnDocuments)
	if renew && fitting == shards {
		l.lastRenewal = now
	}
	return fitting
}

// mustWrite reports whether the allocation of an account has to be written: in any
// case if it is too small, otherwise only if renew is set.
func (l *Limiter) mustWrite(name string, a *account, renew bool, now time.Time) bool {
	switch {
	case a.needsUrgentWrite(now) && l.mayRaise(now):
		return true
	case !renew:
		return false
	case a.unrecorded:
		return true
	case a.fraction > 0 && !l.mayAllocate(name):
		return true
	}
	return a.needsWrite(l.ledgers[shardOf(name)].allocatedToOthers(name, l.options.Host), now)
}

// write writes the allocations in some shards to match the demand.
func (l *Limiter) write(ctx context.Context, shards shardSet) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l.lastWrite = l.now()
	var err error
	for range maxWriteAttempts {
		if err = l.tryWrite(ctx, shards); !errors.Is(err, platform.ErrConflict) {
			break
		}
	}
	lost := err != nil && !errors.Is(err, platform.ErrConflict)
	if lost != l.storeLost {
		l.options.Log.Warn("holdings", zap.String(logging.FieldStep, "record holdings"), zap.Bool("store_lost", lost), zap.Error(err))
	}
	l.storeLost = lost
}

// change is the change that one write makes to the allocation of an account.
type change struct {
	account  string
	fraction float64
	equal    bool
}

// tryWrite writes the shards in which this host has or needs an allocation, provided
// that they are unchanged in the store. A lower fraction or a shorter lifetime applies
// locally before the call, a higher or longer one only after the call succeeded.
func (l *Limiter) tryWrite(ctx context.Context, shards shardSet) error {
	sent := l.now()
	l.sequence++
	var next [shardCount]ledger
	changes := l.plan(&next, shards, sent)
	if len(changes) == 0 {
		return nil
	}
	txn, err := l.transaction(&next)
	if err != nil {
		return err
	}
	l.writes.Inc(1)
	revision, err := l.options.Store.Txn(ctx, txn)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		for _, current := range conflict.Current {
			l.applyDocument(current)
		}
	}
	if err != nil {
		return err
	}
	for shard := range next {
		if next[shard] != nil {
			l.ledgers[shard], l.revisions[shard] = next[shard], revision
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range changes {
		l.accounts[c.account].applyWrite(c.fraction, c.equal, sent)
	}
	return nil
}

// plan computes the new documents of the shards to write.
func (l *Limiter) plan(next *[shardCount]ledger, shards shardSet, now time.Time) []change {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changes []change
	for name, a := range l.accounts {
		shard := shardOf(name)
		_, recorded := l.ledgers[shard][name][l.options.Host]
		if !shards.has(shard) {
			continue
		}
		if !recorded && a.neededFraction(minHeadroom, now) == 0 && a.initialTarget == 0 {
			continue
		}
		if next[shard] == nil {
			next[shard] = l.ledgers[shard].clone()
			l.renewals.prune(next[shard], l.options.Host, now, l.options.Registered)
		}
		target := 0.0
		if l.mayAllocate(name) {
			target = l.target(name, a, next[shard], now)
		}
		next[shard].set(name, l.options.Host, l.recordedAllocation(target, a.equal))
		changes = append(changes, change{name, target, a.equal})
		a.refill(now)
		a.fraction = min(a.fraction, target)
		a.recordedEqual = a.recordedEqual && a.equal
	}
	return changes
}

// target returns the fraction of an account's limit to allocate to this host. The caller
// holds the lock.
func (l *Limiter) target(name string, a *account, known ledger, now time.Time) float64 {
	if a.unrecorded && !a.expired(now) {
		// What other hosts have recorded may be older than what they use.
		return a.fraction
	}
	target := a.targetFraction(known.allocatedToOthers(name, l.options.Host), now)
	switch {
	case l.mayRaise(now):
		return target
	case a.expired(now):
		return 0
	}
	return min(target, a.fraction)
}

// recordedAllocation returns the entry of this host in a ledger.
func (l *Limiter) recordedAllocation(fraction float64, equal bool) allocation {
	a := allocation{Fraction: fraction, Sequence: l.sequence, Equal: equal}
	if l.store.generation > platform.FirstGeneration {
		a.Generation = l.store.generation
	}
	return a
}

// addAccounts adds accounts that had no operation yet, with an initial allocation.
func (l *Limiter) addAccounts(now time.Time) {
	if now.Sub(l.started) < startupDelay+l.startupPhase {
		return
	}
	for name, c := range l.options.Accounts() {
		_, known := l.accounts[name]
		if known || c.Rate <= 0 || !l.mayAllocate(name) {
			continue
		}
		a := l.account(name)
		a.limit, a.hosts = l.limit(c), l.allocationHostCount()
		a.initialTarget = a.initialAllocation()
	}
}

func (l *Limiter) transaction(next *[shardCount]ledger) (platform.Txn, error) {
	var txn platform.Txn
	for shard := range next {
		if next[shard] == nil {
			continue
		}
		value, err := json.Marshal(next[shard])
		if err != nil {
			return txn, fmt.Errorf("encode quota ledger: %w", err)
		}
		key := Prefix + strconv.Itoa(shard)
		txn.Compares = append(txn.Compares, platform.Compare{Key: key, ModRevision: l.revisions[shard]})
		txn.Puts = append(txn.Puts, platform.Put{Key: key, Value: value})
	}
	return txn, nil
}
