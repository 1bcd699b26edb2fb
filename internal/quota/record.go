package quota

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/platform"
)

// WaitRestored waits until the holdings of an earlier incarnation of this host
// were read, or could not be.
func (l *Limiter) WaitRestored(ctx context.Context) {
	select {
	case <-l.adopted:
	case <-ctx.Done():
	}
}

// adopt reads the holdings that an earlier incarnation of this host left.
func (l *Limiter) adopt(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := l.now()
	items, _, err := l.options.Store.List(ctx, Prefix)
	if err != nil {
		l.options.Log.Warn("holdings not read", zap.String(logging.FieldStep, "read holdings"), zap.Error(err))
		return
	}
	for _, item := range items {
		l.observe(item)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for shard := range l.ledgers {
		for name, holdings := range l.ledgers[shard] {
			if own, ok := holdings[l.options.Host]; ok {
				a := l.account(name)
				// The others may be about to reclaim it, so it is renewed next.
				a.fraction, a.recordedEqual = own.Fraction, own.Equal
				a.renewed = asked.Add(-lifetime(renewTime, own.Equal))
				a.hosts = l.holderCount()
				a.updated = asked.Add(-restartTime)
				l.sequence = max(l.sequence, own.Sequence)
			}
		}
	}
}

// observe takes a document of the store over.
func (l *Limiter) observe(kv platform.KeyValue) {
	shard, err := strconv.Atoi(strings.TrimPrefix(kv.Key, Prefix))
	if err != nil || shard < 0 || shard >= shardCount || kv.ModRevision < l.revisions[shard] {
		return
	}
	decoded, err := decodeLedger(kv.Value)
	if err != nil {
		l.options.Log.Error("holdings not readable", zap.String("key", kv.Key), zap.Error(err))
		return
	}
	l.ledgers[shard], l.revisions[shard] = decoded, kv.ModRevision
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, a := range l.accounts {
		if shardOf(name) == shard {
			a.holdings = decoded[name]
		}
	}
}

// shardSet is a set of shards, one bit each.
type shardSet uint64

func (s shardSet) has(shard int) bool { return s&(1<<shard) != 0 }

// first returns at most n of the shards.
func (s shardSet) first(n int) shardSet {
	rest := s
	for range n {
		rest &= rest - 1
	}
	return s &^ rest
}

// due returns the shards to write: now and then those with a holding that is
// old or does not suit, and sooner those with one that is too small. Those that
// do not fit into one transaction are due again at once.
func (l *Limiter) due() shardSet {
	now := l.now()
	renew := now.Sub(l.renewed) >= renewPause
	if !renew && now.Sub(l.written) < urgentPause {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addAccounts(now)
	var shards shardSet
	for name, a := range l.accounts {
		shard := shardOf(name)
		a.equal = l.holdsEqually(name)
		if l.mustWrite(name, a, renew, now) {
			shards |= 1 << shard
		}
	}
	fitting := shards.first(maxDocuments)
	if renew && fitting == shards {
		l.renewed = now
	}
	return fitting
}

// mustWrite reports whether the holding of an account has to be written: at once
// if it is too small, else when holdings are renewed.
func (l *Limiter) mustWrite(name string, a *account, renew bool, now time.Time) bool {
	switch {
	case a.urgent(now):
		return true
	case !renew:
		return false
	case a.fraction > 0 && !l.holds(name):
		return true
	}
	return a.stale(l.ledgers[shardOf(name)].others(name, l.options.Host), now)
}

// write records the holdings of some shards that suit the demand.
func (l *Limiter) write(ctx context.Context, shards shardSet) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l.written = l.now()
	var err error
	for range writeTries {
		if err = l.tryWrite(ctx, shards); !errors.Is(err, platform.ErrConflict) {
			break
		}
	}
	lost := err != nil && !errors.Is(err, platform.ErrConflict)
	if lost != l.failed {
		l.options.Log.Warn("holdings", zap.String(logging.FieldStep, "record holdings"), zap.Bool("store_lost", lost), zap.Error(err))
	}
	l.failed = lost
}

// change is what one write does to one account.
type change struct {
	account  string
	fraction float64
	equal    bool
}

// tryWrite writes the shards in which this host holds or needs something, if
// they are as last observed. A holding is lowered and shortened before the
// call, and raised and prolonged after it succeeded.
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
			l.observe(current)
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
		l.accounts[c.account].record(c.fraction, c.equal, sent)
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
		if !recorded && a.wanted(tightRoom, now) == 0 && a.wish == 0 {
			continue
		}
		if next[shard] == nil {
			next[shard] = l.ledgers[shard].clone()
			l.sightings.prune(next[shard], l.options.Host, now)
		}
		target := 0.0
		if l.holds(name) {
			target = a.target(next[shard].others(name, l.options.Host), now)
		}
		next[shard].set(name, l.options.Host, holding{Fraction: target, Sequence: l.sequence, Equal: a.equal})
		changes = append(changes, change{name, target, a.equal})
		a.refill(now)
		a.fraction = min(a.fraction, target)
		a.recordedEqual = a.recordedEqual && a.equal
	}
	return changes
}

// addAccounts gives accounts that nobody has asked for yet their initial part.
func (l *Limiter) addAccounts(now time.Time) {
	if now.Sub(l.started) < settleTime+l.phase {
		return
	}
	for name, c := range l.options.Accounts() {
		_, known := l.accounts[name]
		if known || c.Rate <= 0 || !l.holds(name) {
			continue
		}
		a := l.account(name)
		a.limit, a.hosts = l.limit(c), l.holderCount()
		a.wish = a.initial()
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
			return txn, fmt.Errorf("encode holdings: %w", err)
		}
		key := Prefix + strconv.Itoa(shard)
		txn.Compares = append(txn.Compares, platform.Compare{Key: key, ModRevision: l.revisions[shard]})
		txn.Puts = append(txn.Puts, platform.Put{Key: key, Value: value})
	}
	return txn, nil
}
