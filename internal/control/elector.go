package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/membership"
	"github.com/bramleylever/bramleylever/internal/peer"
	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/lease"
)

const (
	// RelaysPerDomain is the number of relays in each failure domain.
	RelaysPerDomain = 2

	leaseTTL          = 3 * time.Second
	keepAliveInterval = time.Second
	tickInterval      = 100 * time.Millisecond
	callTimeout       = time.Second
	// maxFirstDelay and maxRetryDelay bound the random delays before a host claims a relay
	// slot, so that few of the hosts that see the same free slot write to the store.
	maxFirstDelay = 500 * time.Millisecond
	maxRetryDelay = 3 * time.Second
)

// Options configures an Elector.
type Options struct {
	Self  peer.Identity
	Store platform.Store
	View  membership.View
	// OnChange is called when Relay or Claims changed. It must not block.
	OnChange func()
	Log      *zap.Logger
	Registry metrics.Registry
	// Now is the clock; nil means time.Now.
	Now  func() time.Time
	Seed uint64
}

// Elector acquires a relay slot and control buckets for this host. All of them are attached
// to one lease, so a relay costs the store one keep-alive call a second.
//
// Invariant: a bucket is reported as held only while the lease is valid on the local clock,
// and each holder of a bucket has a higher epoch than the previous one.
type Elector struct {
	options Options
	rng     *rand.Rand
	policy  *bucketPolicy
	changes metrics.Counter

	mu     sync.Mutex
	lease  platform.LeaseID
	clock  *lease.Clock
	relay  string
	epochs map[uint32]uint64

	holdersMu sync.Mutex
	holders   map[uint32]claim
	watching  bool

	// Only Run accesses the fields below. lastClaims holds the last claim sent for each
	// bucket, whether or not its answer arrived. releasing holds the released buckets whose
	// holder key is not deleted yet.
	lastClaims     map[uint32]claim
	releasing      map[uint32]bool
	relayOperation string
	renewed        time.Time
	nextAttemptAt  time.Time
}

// NewElector returns an Elector that holds nothing until Run is called.
func NewElector(o Options) *Elector {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	if o.OnChange == nil {
		o.OnChange = func() {}
	}
	return &Elector{
		options: o,
		rng:     rand.New(rand.NewPCG(o.Seed, o.Self.Incarnation)),
		policy:  newBucketPolicy(o.Self.Host),
		changes: metrics.GetOrRegisterCounter("control.bucket_changes_count", o.Registry),
		clock:   lease.New(lease.DefaultMargin),
		epochs:  map[uint32]uint64{},
		holders: map[uint32]claim{},

		lastClaims: map[uint32]claim{},
		releasing:  map[uint32]bool{},
	}
}

// Held implements Buckets.
func (e *Elector) Held(bucket uint32) (uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	epoch, ok := e.epochs[bucket]
	return epoch, ok && e.clock.Valid(e.options.Now())
}

// Relay reports whether this host is a relay of its failure domain.
func (e *Elector) Relay() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.relay != "" && e.clock.Valid(e.options.Now())
}

// Claims returns the buckets that this host holds, to publish in its membership entry.
func (e *Elector) Claims() []membership.BucketClaim {
	var claims []membership.BucketClaim
	for bucket := range uint32(BucketCount) {
		if epoch, ok := e.Held(bucket); ok {
			claims = append(claims, membership.BucketClaim{Bucket: bucket, Epoch: epoch})
		}
	}
	return claims
}

// Run claims duties and renews the lease until ctx ends, then releases all of them.
func (e *Elector) Run(ctx context.Context) error {
	e.nextAttemptAt = e.options.Now().Add(time.Duration(e.rng.Int64N(int64(maxFirstDelay))))
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			e.resign()
			return nil
		case <-ticker.C:
			e.tick(ctx)
		}
	}
}

func (e *Elector) tick(ctx context.Context) {
	now := e.options.Now()
	e.keepAlive(ctx, now)
	if e.options.View.Self().Draining {
		if e.Relay() {
			e.resign()
		}
		return
	}
	if !e.Relay() {
		e.tryRelaySlot(ctx, now)
		return
	}
	e.startWatch(ctx)
	e.reconcile(ctx)
	relays := e.liveRelays()
	holders := e.currentHolders()
	if bucket, ok := e.policy.nextClaim(now, holders, relays); ok {
		e.acquireBucket(ctx, bucket)
		return
	}
	if bucket, ok := e.policy.nextRelease(now, holders, relays); ok {
		e.releaseBucket(ctx, bucket)
	}
}

// keepAlive renews the lease. If the store no longer has it, the relay slot and all buckets
// are lost.
func (e *Elector) keepAlive(ctx context.Context, now time.Time) {
	e.mu.Lock()
	id, clock := e.lease, e.clock
	e.mu.Unlock()
	if id == 0 || now.Sub(e.renewed) < keepAliveInterval {
		return
	}
	e.renewed = now
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := e.options.Now()
	ttl, err := e.options.Store.KeepAlive(ctx, id)
	switch {
	case err == nil:
		clock.Renew(sent, ttl)
	case errors.Is(err, platform.ErrLeaseNotFound):
		e.clearDuties("lease expired in the store")
	default:
		e.options.Log.Warn("lease keep-alive failed", zap.String(logging.FieldStep, "keep-alive"), zap.Error(err))
	}
}

func (e *Elector) clearDuties(reason string) {
	e.mu.Lock()
	lost := len(e.epochs)
	e.clock.End()
	e.lease, e.relay = 0, ""
	clear(e.epochs)
	e.mu.Unlock()
	clear(e.lastClaims)
	clear(e.releasing)
	e.relayOperation = ""
	e.options.Log.Info("relay slot and control buckets released or lost", zap.String(logging.FieldDecision, "lose"),
		zap.Int("buckets", lost), zap.String(logging.FieldReason, reason))
	e.options.OnChange()
}

// resign revokes the lease, which releases the relay slot and all buckets.
func (e *Elector) resign() {
	e.mu.Lock()
	id := e.lease
	e.mu.Unlock()
	if id == 0 {
		return
	}
	// End the local clock first, so that Held is false before another host can claim a
	// bucket.
	e.clearDuties("given back")
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := e.options.Store.RevokeLease(ctx, id); err != nil {
		e.options.Log.Warn("lease revocation failed; the lease remains until it expires", zap.String(logging.FieldStep, "revoke"), zap.Error(err))
	}
}

func (e *Elector) liveRelays() []string {
	relays := []string{e.options.Self.Host}
	for _, m := range e.options.View.Members() {
		if m.Relay && m.State == membership.StateAlive && m.Host != e.options.Self.Host {
			relays = append(relays, m.Host)
		}
	}
	return relays
}

func (e *Elector) currentHolders() map[uint32]string {
	e.holdersMu.Lock()
	defer e.holdersMu.Unlock()
	copied := make(map[uint32]string, len(e.holders))
	for bucket, holder := range e.holders {
		copied[bucket] = holder.Host
	}
	if !e.watching {
		// Without a watch the holders are unknown, so no bucket counts as vacant.
		for bucket := range uint32(BucketCount) {
			if _, ok := copied[bucket]; !ok {
				copied[bucket] = ""
			}
		}
	}
	return copied
}
