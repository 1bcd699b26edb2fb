package control

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
	"github.com/bramleylever/bramleylever/internal/membership"
	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/lease"
)

const (
	relayPrefix  = "/bramleylever/relays/"
	bucketPrefix = "/bramleylever/buckets/"
)

// claim is the stored value of a relay slot, of a bucket's holder and of a bucket's epoch.
type claim struct {
	Host      string `json:"host"`
	Epoch     uint64 `json:"epoch,omitempty"`
	Operation string `json:"operation"`
}

func (e *Elector) newClaim(epoch uint64) (claim, []byte) {
	c := claim{Host: e.options.Self.Host, Epoch: epoch, Operation: platform.NewOperationID()}
	// Marshal cannot fail for a struct of strings and numbers.
	value, _ := json.Marshal(c)
	return c, value
}

func holderKey(bucket uint32) string { return fmt.Sprintf("%s%d/holder", bucketPrefix, bucket) }

func epochKey(bucket uint32) string { return fmt.Sprintf("%s%d/epoch", bucketPrefix, bucket) }

// ensureLease returns the lease of this host and requests one from the store if there is
// none.
func (e *Elector) ensureLease(ctx context.Context) (platform.LeaseID, error) {
	e.mu.Lock()
	id := e.lease
	e.mu.Unlock()
	if id != 0 {
		return id, nil
	}
	sent := e.options.Now()
	id, err := e.options.Store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return 0, err
	}
	clock := lease.New(lease.DefaultMargin)
	clock.Renew(sent, leaseTTL)
	e.mu.Lock()
	e.lease, e.clock = id, clock
	e.mu.Unlock()
	e.renewed = sent
	return id, nil
}

// tryRelaySlot claims a free relay slot of this failure domain if the membership shows
// fewer live relays than RelaysPerDomain.
func (e *Elector) tryRelaySlot(ctx context.Context, now time.Time) {
	if now.Before(e.nextAttemptAt) {
		return
	}
	e.nextAttemptAt = now.Add(time.Duration(e.rng.Int64N(int64(maxRetryDelay))))
	relays := 0
	for _, m := range membership.LiveIn(e.options.View, e.options.Self.Domain) {
		if m.Relay && m.Host != e.options.Self.Host {
			relays++
		}
	}
	if relays >= RelaysPerDomain {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := e.acquireRelaySlot(ctx)
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		e.options.Log.Warn("claim of a relay slot failed", zap.String(logging.FieldStep, "take relay"), zap.Error(err))
		return
	}
	e.revokeUnusedLease()
}

// revokeUnusedLease revokes a lease without a relay slot or bucket, which is left when
// another host claimed the slot first. Otherwise each host that ever lost a claim would
// cost the store one keep-alive call a second.
func (e *Elector) revokeUnusedLease() {
	e.mu.Lock()
	unused := e.lease != 0 && e.relay == "" && len(e.epochs) == 0
	e.mu.Unlock()
	if unused {
		e.resign()
	}
}

func (e *Elector) acquireRelaySlot(ctx context.Context) error {
	prefix := relayPrefix + e.options.Self.Domain + "/"
	taken, revision, err := e.options.Store.List(ctx, prefix)
	if err != nil {
		return err
	}
	held := map[string]bool{}
	for _, kv := range taken {
		held[kv.Key] = true
		if e.relayOperation != "" && operationOf(kv.Value) == e.relayOperation {
			// The claim took effect, but its answer was lost.
			e.becomeRelay(kv.Key)
			return nil
		}
	}
	for n := range RelaysPerDomain {
		key := prefix + strconv.Itoa(n)
		if held[key] {
			continue
		}
		id, err := e.ensureLease(ctx)
		if err != nil {
			return err
		}
		c, value := e.newClaim(0)
		e.relayOperation = c.Operation
		_, err = platform.Apply(ctx, e.options.Store, platform.Operation{
			ID: c.Operation,
			Txn: platform.Txn{
				Compares: []platform.Compare{{Key: key}},
				Puts:     []platform.Put{{Key: key, Value: value, Lease: id}},
			},
			ReadRevision: revision,
		})
		if err != nil {
			return err
		}
		e.becomeRelay(key)
		return nil
	}
	return nil
}

func (e *Elector) becomeRelay(key string) {
	e.mu.Lock()
	e.relay = key
	e.mu.Unlock()
	e.options.Log.Info("relay slot acquired", zap.String(logging.FieldDecision, "take relay"),
		zap.String(logging.FieldDomain, e.options.Self.Domain), zap.String("key", key))
	e.options.OnChange()
}

func operationOf(value []byte) string {
	var c claim
	if json.Unmarshal(value, &c) != nil {
		return ""
	}
	return c.Operation
}

// acquireBucket claims a vacant bucket in its next epoch.
func (e *Elector) acquireBucket(ctx context.Context, bucket uint32) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	epoch, err := e.claimBucket(ctx, bucket)
	if err != nil {
		if !errors.Is(err, platform.ErrConflict) {
			e.options.Log.Warn("claim of a bucket failed", zap.String(logging.FieldStep, "take bucket"),
				zap.Uint32("bucket", bucket), zap.Error(err))
		}
		return
	}
	e.becomeHolder(bucket, epoch)
}

func (e *Elector) becomeHolder(bucket uint32, epoch uint64) {
	e.mu.Lock()
	e.epochs[bucket] = epoch
	e.mu.Unlock()
	e.changes.Inc(1)
	e.options.Log.Info("control bucket acquired", zap.String(logging.FieldDecision, "take bucket"),
		zap.Uint32("bucket", bucket), zap.Uint64("epoch", epoch))
	e.options.OnChange()
}

func (e *Elector) claimBucket(ctx context.Context, bucket uint32) (uint64, error) {
	kv, revision, err := e.options.Store.Get(ctx, epochKey(bucket))
	if err != nil {
		return 0, err
	}
	var last claim
	if kv.ModRevision != 0 {
		if err := json.Unmarshal(kv.Value, &last); err != nil {
			return 0, fmt.Errorf("decode %s: %w", kv.Key, err)
		}
	}
	id, err := e.ensureLease(ctx)
	if err != nil {
		return 0, err
	}
	c, value := e.newClaim(last.Epoch + 1)
	e.lastClaims[bucket] = c
	_, err = platform.Apply(ctx, e.options.Store, platform.Operation{
		ID: c.Operation,
		Txn: platform.Txn{
			Compares: []platform.Compare{
				{Key: epochKey(bucket), ModRevision: kv.ModRevision},
				{Key: holderKey(bucket)},
			},
			Puts: []platform.Put{
				{Key: epochKey(bucket), Value: value},
				{Key: holderKey(bucket), Value: value, Lease: id},
			},
		},
		ReadRevision: revision,
	})
	if err == nil {
		e.holdersMu.Lock()
		e.holders[bucket] = c
		e.holdersMu.Unlock()
	}
	return c.Epoch, err
}

// reconcile compares the holders in the store with the state of this host. It adopts
// buckets whose claim took effect although the answer was lost, and retries the deletion of
// released ones.
func (e *Elector) reconcile(ctx context.Context) {
	e.holdersMu.Lock()
	var adopt, toDelete []uint32
	for bucket, c := range e.holders {
		attempt := e.lastClaims[bucket]
		if c.Operation != attempt.Operation || attempt.Operation == "" {
			continue
		}
		if e.releasing[bucket] {
			toDelete = append(toDelete, bucket)
		} else if !e.holds(bucket) {
			adopt = append(adopt, bucket)
		}
	}
	e.holdersMu.Unlock()
	for _, bucket := range adopt {
		e.becomeHolder(bucket, e.lastClaims[bucket].Epoch)
	}
	for _, bucket := range toDelete {
		e.deleteHolderKey(ctx, bucket)
	}
}

func (e *Elector) holds(bucket uint32) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.epochs[bucket]
	return ok
}

// releaseBucket gives up a bucket so that a relay with fewer buckets can claim it.
func (e *Elector) releaseBucket(ctx context.Context, bucket uint32) {
	e.mu.Lock()
	delete(e.epochs, bucket)
	e.mu.Unlock()
	e.releasing[bucket] = true
	e.options.Log.Info("control bucket released", zap.String(logging.FieldDecision, "drop bucket"),
		zap.Uint32("bucket", bucket), zap.String(logging.FieldReason, "rebalance"))
	e.options.OnChange()
	e.deleteHolderKey(ctx, bucket)
}

// deleteHolderKey deletes the holder key of a released bucket. If that fails, the next tick
// retries it.
func (e *Elector) deleteHolderKey(ctx context.Context, bucket uint32) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kv, _, err := e.options.Store.Get(ctx, holderKey(bucket))
	if err == nil && kv.ModRevision != 0 && operationOf(kv.Value) == e.lastClaims[bucket].Operation {
		_, err = e.options.Store.Txn(ctx, platform.Txn{
			Compares: []platform.Compare{{Key: kv.Key, ModRevision: kv.ModRevision}},
			Deletes:  []string{kv.Key},
		})
	}
	if err != nil {
		e.options.Log.Warn("deletion of the bucket holder key failed; retrying at the next tick", zap.String(logging.FieldStep, "drop bucket"),
			zap.Uint32("bucket", bucket), zap.Error(err))
		return
	}
	delete(e.releasing, bucket)
	delete(e.lastClaims, bucket)
}

// startWatch lists the holders of all buckets and watches them, unless a watch is already
// running.
func (e *Elector) startWatch(ctx context.Context) {
	e.holdersMu.Lock()
	defer e.holdersMu.Unlock()
	if e.watching {
		return
	}
	listCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kvs, revision, err := e.options.Store.List(listCtx, bucketPrefix)
	if err != nil {
		e.options.Log.Warn("listing of bucket holders failed", zap.String(logging.FieldStep, "list buckets"), zap.Error(err))
		return
	}
	updates, err := e.options.Store.Watch(ctx, bucketPrefix, revision+1)
	if err != nil {
		e.options.Log.Warn("watch of bucket holders failed", zap.String(logging.FieldStep, "watch buckets"), zap.Error(err))
		return
	}
	clear(e.holders)
	for _, kv := range kvs {
		e.recordHolder(kv.Key, kv.Value, false)
	}
	e.watching = true
	go e.followWatch(updates)
}

func (e *Elector) followWatch(updates <-chan platform.WatchUpdate) {
	for update := range updates {
		if update.Err != nil {
			break
		}
		e.holdersMu.Lock()
		for _, event := range update.Events {
			e.recordHolder(event.Key, event.Value, event.Deleted)
		}
		e.holdersMu.Unlock()
	}
	e.holdersMu.Lock()
	e.watching = false
	e.holdersMu.Unlock()
}

// recordHolder applies a key of the listing or the watch to e.holders. The caller holds
// holdersMu.
func (e *Elector) recordHolder(key string, value []byte, deleted bool) {
	name, isHolder := strings.CutSuffix(strings.TrimPrefix(key, bucketPrefix), "/holder")
	bucket, err := strconv.ParseUint(name, 10, 32)
	if !isHolder || err != nil || bucket >= BucketCount {
		return
	}
	if deleted {
		delete(e.holders, uint32(bucket))
		return
	}
	var c claim
	if json.Unmarshal(value, &c) == nil {
		e.holders[uint32(bucket)] = c
	}
}
