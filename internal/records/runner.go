package records

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/membership"
	"github.com/bramleylever/bramleylever/internal/peer"
	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/internal/recovery"
	"github.com/bramleylever/bramleylever/revision"
)

const (
	// DefaultFetchInterval is the time between two fetches from peers. Every
	// second fetch goes to another domain, so a host makes three attempts of
	// each kind within the age up to which a contact confirms.
	DefaultFetchInterval = 1500 * time.Millisecond
	// retryInterval is the time between two fetches while the host is not
	// confirmed, and the delay before a relay watches the store again.
	retryInterval = 250 * time.Millisecond
	// DefaultRelayInterval is the time between two checks whether this host is
	// a relay.
	DefaultRelayInterval = 250 * time.Millisecond
)

// RunnerOptions configure a Runner.
type RunnerOptions struct {
	Identity peer.Identity
	// Domains are all configured failure domains.
	Domains []string
	// Store is the platform store, which holds the records.
	Store platform.Store
	// Pool holds the connections to peers.
	Pool *peer.Pool
	// View is the member table of this host.
	View membership.View
	// Relay reports whether this host is currently a relay of its failure
	// domain.
	Relay func() bool
	// Seeds are peer addresses from the settings. Run fetches from all of them
	// when it starts, and while it knows no other peer and is not confirmed.
	Seeds []string
	// Feed publishes the snapshots.
	Feed *Feed
	Log  *zap.Logger
	// FetchInterval and RelayInterval default to DefaultFetchInterval and
	// DefaultRelayInterval.
	FetchInterval time.Duration
	RelayInterval time.Duration
	// Bound is the age up to which a contact confirms the records; 0 means
	// revision.DefaultBound.
	Bound time.Duration
	// Seed seeds the random choices, so that runs are reproducible.
	Seed uint64
}

// Runner keeps the records of one proxy up to date and serves them to peers. While
// the host is a relay, it also watches the store and pushes changes to the hosts
// of its failure domain.
type Runner struct {
	peerv1.UnimplementedRecordsServer

	o    RunnerOptions
	wake chan struct{}

	mu          sync.Mutex
	replica     *revision.Replica[*Set, []Record]
	random      *rand.Rand
	peerChoices int
}

// NewRunner returns a runner; Run starts it.
func NewRunner(o RunnerOptions) (*Runner, error) {
	if o.Store == nil || o.Pool == nil || o.View == nil || o.Relay == nil || o.Feed == nil {
		return nil, errors.New("records runner: store, pool, view, relay and feed are required")
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.FetchInterval <= 0 {
		o.FetchInterval = DefaultFetchInterval
	}
	if o.RelayInterval <= 0 {
		o.RelayInterval = DefaultRelayInterval
	}
	return &Runner{
		o:    o,
		wake: make(chan struct{}, 1),
		replica: revision.New(revision.Options{
			Domain: o.Identity.Domain, Domains: o.Domains, Bound: o.Bound,
		}, (*Set).With),
		random: rand.New(rand.NewPCG(o.Seed, uint64(len(o.Identity.Host)))),
	}, nil
}

// Run fetches, watches and pushes changes until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	wait.Add(2)
	go func() {
		defer wait.Done()
		recovery.Loop(ctx, "fetch of records", r.fetchLoop)
	}()
	go func() {
		defer wait.Done()
		recovery.Loop(ctx, "relay of records", r.relayLoop)
	}()
	wait.Wait()
	return ctx.Err()
}

// Confirmed reports whether the records in force are confirmed at the given time;
// see package revision.
func (r *Runner) Confirmed(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replica.Confirmed(now)
}

// Status returns the current freshness of the records.
func (r *Runner) Status() revision.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replica.Status(time.Now())
}

// updateReplica changes the replica under the lock, and publishes a snapshot if the
// replica is started and its revision is new. It publishes without the lock, so
// that subscribers may call the runner; the feed rejects a snapshot if a newer one
// was published first.
func (r *Runner) updateReplica(reason string, change func(*revision.Replica[*Set, []Record])) {
	r.mu.Lock()
	change(r.replica)
	started, rev, set := r.replica.Started(), r.replica.Revision(), r.replica.State()
	r.mu.Unlock()
	if !started || rev <= r.o.Feed.Current().Revision {
		return
	}
	snapshot, err := set.Snapshot(rev)
	if err != nil {
		r.o.Log.Error("invalid records omitted from the snapshot", zap.Int64(logging.FieldRevision, rev), zap.Error(err))
	}
	if r.o.Feed.Publish(snapshot) {
		r.o.Log.Info("configuration snapshot in force",
			zap.String(logging.FieldDecision, "records_accepted"),
			zap.Int64(logging.FieldRevision, rev),
			zap.String(logging.FieldReason, reason))
	}
}

// wakeFetch makes the fetch loop fetch immediately.
func (r *Runner) wakeFetch() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Runner) fetchLoop(ctx context.Context) {
	r.fetchFromSeeds(ctx)
	for {
		interval := r.o.FetchInterval
		if !r.Confirmed(time.Now()) {
			interval = min(interval, retryInterval)
		}
		timer := time.NewTimer(r.jitter(interval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-r.wake:
			timer.Stop()
		case <-timer.C:
		}
		if address := r.choosePeer(); address != "" {
			r.logFetchError(address, r.fetch(ctx, address))
		} else if !r.Confirmed(time.Now()) {
			r.fetchFromSeeds(ctx)
		}
	}
}

func (r *Runner) logFetchError(address string, err error) {
	if err != nil {
		r.o.Log.Debug("fetching records from a peer failed", zap.String(logging.FieldPeer, address), zap.Error(err))
	}
}

// jitter returns a random duration between 3/4 and 5/4 of d.
func (r *Runner) jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d*3/4 + time.Duration(r.random.Int64N(int64(d)/2+1))
}

// fetchFromSeeds fetches from all seeds concurrently, so that a host that starts
// gets the highest revision that any of them has.
func (r *Runner) fetchFromSeeds(ctx context.Context) {
	var wait sync.WaitGroup
	for _, address := range r.o.Seeds {
		if address == r.o.Identity.Address {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer recovery.Contain("fetch of records", nil)
			r.logFetchError(address, r.fetch(ctx, address))
		}()
	}
	wait.Wait()
}

// choosePeer returns the address of the peer to fetch from next: alternately a
// relay of the local domain and a host of another domain. If there is none of the
// wanted kind, it returns another live peer, or "" if there is none.
func (r *Runner) choosePeer() string {
	members := r.o.View.Members()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peerChoices++
	var candidates, local, others []string
	for _, m := range members {
		if m.State != membership.StateAlive || m.Host == r.o.Identity.Host || m.Address == "" {
			continue
		}
		switch {
		case m.Domain != r.o.Identity.Domain:
			others = append(others, m.Address)
		case m.Relay:
			candidates = append(candidates, m.Address)
		default:
			local = append(local, m.Address)
		}
	}
	if len(candidates) == 0 {
		candidates = local
	}
	if len(candidates) == 0 || (r.peerChoices%2 == 0 && len(others) > 0) {
		candidates = others
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[r.random.IntN(len(candidates))]
}

// fetch gets the changes that this host lacks from a peer, and the peer's
// confirmation of its records.
func (r *Runner) fetch(ctx context.Context, address string) error {
	conn, err := r.o.Pool.Conn(address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	afterRevision := r.replica.Revision()
	r.mu.Unlock()
	requestedAt := time.Now()
	reply, err := peer.Call(ctx, func(ctx context.Context) (*peerv1.FetchReply, error) {
		return peerv1.NewRecordsClient(conn).Fetch(ctx, &peerv1.FetchRequest{
			Sender: r.o.Identity.Sender(), AfterRevision: afterRevision,
		})
	})
	if err != nil {
		return fmt.Errorf("fetch records: peer %s: %w", address, err)
	}
	r.updateReplica("fetched from "+address, func(replica *revision.Replica[*Set, []Record]) {
		if reply.GetSnapshot() {
			replica.Adopt(reply.GetRevision(), NewSet(recordsFromProto(reply.GetRecords())))
		}
		for _, c := range reply.GetChanges() {
			replica.Apply(changeFromProto(c))
		}
		replica.ConfirmByPeer(time.Now(), requestedAt, confirmationFromProto(reply.GetSender(), reply.GetConfirmation()))
	})
	return nil
}
