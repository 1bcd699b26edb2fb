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
	// RelaysPerDomain is the number of relays that each failure domain has.
	RelaysPerDomain = 2

	leaseTTL       = 3 * time.Second
	keepAlivePause = time.Second
	tickInterval   = 100 * time.Millisecond
	callTimeout    = time.Second
	// firstAttempt and laterAttempts spread the hosts that see a relay's place
	// vacant, so that few of them write to the store.
	firstAttempt  = 500 * time.Millisecond
	laterAttempts = 3 * time.Second
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

// Elector holds a relay's place and control buckets for this host. All of them
// hang on one lease, so a relay costs the store one keep-alive a second.
//
// Invariant: a bucket is reported as held only while the lease clock is valid,
// and every holder of a bucket has a higher epoch than the one before.
type Elector struct {
	options Options
	rng     *rand.Rand
	contest *contest
	changes metrics.Counter

	mu     sync.Mutex
	lease  platform.LeaseID
	clock  *lease.Clock
	relay  string
	epochs map[uint32]uint64

	holdersMu sync.Mutex
	holders   map[uint32]claim
	watching  bool

	// The fields below belong to Run. attempts holds the last claim of each
	// bucket that was sent, whether or not its answer came; dropped holds the
	// buckets that were given up and whose key is still to be deleted.
	attempts     map[uint32]claim
	dropped      map[uint32]bool
	relayAttempt string
	renewed      time.Time
	nextAttempt  time.Time
}

// NewElector returns an elector that holds nothing until Run is called.
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
		contest: newContest(o.Self.Host),
		changes: metrics.GetOrRegisterCounter("control.bucket_changes_count", o.Registry),
		clock:   lease.New(lease.DefaultMargin),
		epochs:  map[uint32]uint64{},
		holders: map[uint32]claim{},

		attempts: map[uint32]claim{},
		dropped:  map[uint32]bool{},
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

// Claims returns the buckets that this host holds, for its membership entry.
func (e *Elector) Claims() []membership.BucketClaim {
	var claims []membership.BucketClaim
	for bucket := range uint32(BucketCount) {
		if epoch, ok := e.Held(bucket); ok {
			claims = append(claims, membership.BucketClaim{Bucket: bucket, Epoch: epoch})
		}
	}
	return claims
}

// Run contends and renews until ctx ends, then gives everything back.
func (e *Elector) Run(ctx context.Context) error {
	e.nextAttempt = e.options.Now().Add(time.Duration(e.rng.Int64N(int64(firstAttempt))))
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			e.giveBack()
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
			e.giveBack()
		}
		return
	}
	if !e.Relay() {
		e.contendRelay(ctx, now)
		return
	}
	e.startWatch(ctx)
	e.reconcile(ctx)
	relays := e.liveRelays()
	holders := e.currentHolders()
	if bucket, ok := e.contest.next(now, holders, relays); ok {
		e.takeBucket(ctx, bucket)
		return
	}
	if bucket, ok := e.contest.surplus(now, holders, relays); ok {
		e.dropBucket(ctx, bucket)
	}
}

// keepAlive renews the lease. If the store lost it, everything that hung on it
// is lost too.
func (e *Elector) keepAlive(ctx context.Context, now time.Time) {
	e.mu.Lock()
	id, clock := e.lease, e.clock
	e.mu.Unlock()
	if id == 0 || now.Sub(e.renewed) < keepAlivePause {
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
		e.lose("lease expired in the store")
	default:
		e.options.Log.Warn("keep-alive failed", zap.String(logging.FieldStep, "keep-alive"), zap.Error(err))
	}
}

func (e *Elector) lose(reason string) {
	e.mu.Lock()
	lost := len(e.epochs)
	e.clock.End()
	e.lease, e.relay = 0, ""
	clear(e.epochs)
	e.mu.Unlock()
	clear(e.attempts)
	clear(e.dropped)
	e.relayAttempt = ""
	e.options.Log.Info("control duties lost", zap.String(logging.FieldDecision, "lose"),
		zap.Int("buckets", lost), zap.String(logging.FieldReason, reason))
	e.options.OnChange()
}

// giveBack revokes the lease, which frees the relay's place and all buckets.
func (e *Elector) giveBack() {
	e.mu.Lock()
	id := e.lease
	e.mu.Unlock()
	if id == 0 {
		return
	}
	// The clock ends before the store lets others in.
	e.lose("given back")
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := e.options.Store.RevokeLease(ctx, id); err != nil {
		e.options.Log.Warn("revoke failed; the lease expires", zap.String(logging.FieldStep, "revoke"), zap.Error(err))
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
		// Without a watch nothing is known to be vacant.
		for bucket := range uint32(BucketCount) {
			if _, ok := copied[bucket]; !ok {
				copied[bucket] = ""
			}
		}
	}
	return copied
}
