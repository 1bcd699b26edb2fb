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

// claim is the value of a relay's place and of a bucket's holder and epoch.
type claim struct {
	Host      string `json:"host"`
	Epoch     uint64 `json:"epoch,omitempty"`
	Operation string `json:"operation"`
}

func (e *Elector) newClaim(epoch uint64) (claim, []byte) {
	c := claim{Host: e.options.Self.Host, Epoch: epoch, Operation: platform.NewOperationID()}
	// A claim of plain fields always encodes.
	value, _ := json.Marshal(c)
	return c, value
}

func holderKey(bucket uint32) string { return fmt.Sprintf("%s%d/holder", bucketPrefix, bucket) }

func epochKey(bucket uint32) string { return fmt.Sprintf("%s%d/epoch", bucketPrefix, bucket) }

// ensureLease grants a lease when this host has none.
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

// contendRelay takes a vacant relay's place of this failure domain, if
// membership shows that one is missing.
func (e *Elector) contendRelay(ctx context.Context, now time.Time) {
	if now.Before(e.nextAttempt) {
		return
	}
	e.nextAttempt = now.Add(time.Duration(e.rng.Int64N(int64(laterAttempts))))
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
	err := e.takeRelay(ctx)
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		e.options.Log.Warn("relay not taken", zap.String(logging.FieldStep, "take relay"), zap.Error(err))
		return
	}
	e.revokeUnused()
}

// revokeUnused ends a lease that nothing hangs on, because another host was
// faster. Keeping it alive would cost the store a call a second for each host
// that ever lost.
func (e *Elector) revokeUnused() {
	e.mu.Lock()
	unused := e.lease != 0 && e.relay == "" && len(e.epochs) == 0
	e.mu.Unlock()
	if unused {
		e.giveBack()
	}
}

func (e *Elector) takeRelay(ctx context.Context) error {
	prefix := relayPrefix + e.options.Self.Domain + "/"
	taken, revision, err := e.options.Store.List(ctx, prefix)
	if err != nil {
		return err
	}
	held := map[string]bool{}
	for _, kv := range taken {
		held[kv.Key] = true
		if e.relayAttempt != "" && operationOf(kv.Value) == e.relayAttempt {
			// The answer to the attempt was lost, but it took effect.
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
		e.relayAttempt = c.Operation
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
	e.options.Log.Info("relay taken", zap.String(logging.FieldDecision, "take relay"),
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

// takeBucket becomes the holder of a vacant bucket in its next epoch.
func (e *Elector) takeBucket(ctx context.Context, bucket uint32) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	epoch, err := e.tryBucket(ctx, bucket)
	if err != nil {
		if !errors.Is(err, platform.ErrConflict) {
			e.options.Log.Warn("bucket not taken", zap.String(logging.FieldStep, "take bucket"),
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
	e.options.Log.Info("bucket taken", zap.String(logging.FieldDecision, "take bucket"),
		zap.Uint32("bucket", bucket), zap.Uint64("epoch", epoch))
	e.options.OnChange()
}

func (e *Elector) tryBucket(ctx context.Context, bucket uint32) (uint64, error) {
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
	e.attempts[bucket] = c
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

// reconcile compares what the store shows with what this host acts on: it
// adopts a bucket whose answer was lost, and frees one that it gave up.
func (e *Elector) reconcile(ctx context.Context) {
	e.holdersMu.Lock()
	var adopt, free []uint32
	for bucket, c := range e.holders {
		attempt := e.attempts[bucket]
		if c.Operation != attempt.Operation || attempt.Operation == "" {
			continue
		}
		if e.dropped[bucket] {
			free = append(free, bucket)
		} else if !e.holds(bucket) {
			adopt = append(adopt, bucket)
		}
	}
	e.holdersMu.Unlock()
	for _, bucket := range adopt {
		e.becomeHolder(bucket, e.attempts[bucket].Epoch)
	}
	for _, bucket := range free {
		e.freeBucket(ctx, bucket)
	}
}

func (e *Elector) holds(bucket uint32) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.epochs[bucket]
	return ok
}

// dropBucket gives a bucket up for a relay that holds fewer.
func (e *Elector) dropBucket(ctx context.Context, bucket uint32) {
	e.mu.Lock()
	delete(e.epochs, bucket)
	e.mu.Unlock()
	e.dropped[bucket] = true
	e.options.Log.Info("bucket given up", zap.String(logging.FieldDecision, "drop bucket"),
		zap.Uint32("bucket", bucket), zap.String(logging.FieldReason, "rebalance"))
	e.options.OnChange()
	e.freeBucket(ctx, bucket)
}

// freeBucket deletes the holder's key of a bucket that this host gave up. It is
// tried again at the next tick if it fails.
func (e *Elector) freeBucket(ctx context.Context, bucket uint32) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kv, _, err := e.options.Store.Get(ctx, holderKey(bucket))
	if err == nil && kv.ModRevision != 0 && operationOf(kv.Value) == e.attempts[bucket].Operation {
		_, err = e.options.Store.Txn(ctx, platform.Txn{
			Compares: []platform.Compare{{Key: kv.Key, ModRevision: kv.ModRevision}},
			Deletes:  []string{kv.Key},
		})
	}
	if err != nil {
		e.options.Log.Warn("bucket not freed", zap.String(logging.FieldStep, "drop bucket"),
			zap.Uint32("bucket", bucket), zap.Error(err))
		return
	}
	delete(e.dropped, bucket)
	delete(e.attempts, bucket)
}

// startWatch follows the holders of all buckets while this host is a relay.
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
		e.options.Log.Warn("buckets not read", zap.String(logging.FieldStep, "list buckets"), zap.Error(err))
		return
	}
	updates, err := e.options.Store.Watch(ctx, bucketPrefix, revision+1)
	if err != nil {
		e.options.Log.Warn("buckets not watched", zap.String(logging.FieldStep, "watch buckets"), zap.Error(err))
		return
	}
	clear(e.holders)
	for _, kv := range kvs {
		e.noteHolder(kv.Key, kv.Value, false)
	}
	e.watching = true
	go e.follow(updates)
}

func (e *Elector) follow(updates <-chan platform.WatchUpdate) {
	for update := range updates {
		if update.Err != nil {
			break
		}
		e.holdersMu.Lock()
		for _, event := range update.Events {
			e.noteHolder(event.Key, event.Value, event.Deleted)
		}
		e.holdersMu.Unlock()
	}
	e.holdersMu.Lock()
	e.watching = false
	e.holdersMu.Unlock()
}

// noteHolder records a key of the watch; the caller holds holdersMu.
func (e *Elector) noteHolder(key string, value []byte, deleted bool) {
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
