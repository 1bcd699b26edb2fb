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
	"github.com/bramleylever/bramleylever/revision"
)

const (
	// DefaultFetchInterval is the period in which a host asks a relay or a
	// peer. Each second call goes to another domain, so a host has three
	// tries of each kind within the bound of a confirmation.
	DefaultFetchInterval = 1500 * time.Millisecond
	// hurryInterval replaces it while the host is not confirmed or behind.
	hurryInterval = 250 * time.Millisecond
	// DefaultRelayInterval is the period in which a host checks whether it is
	// a relay.
	DefaultRelayInterval = 250 * time.Millisecond
)

// RunnerOptions are the parts that a runner works with.
type RunnerOptions struct {
	Identity peer.Identity
	// Domains are all configured failure domains.
	Domains []string
	// Store is the platform store.
	Store platform.Store
	// Pool connects to peers.
	Pool *peer.Pool
	// View answers who is alive.
	View membership.View
	// Relay reports whether this host is a relay of its failure domain at this
	// moment.
	Relay func() bool
	// Seeds are peer addresses from the settings, asked on start.
	Seeds []string
	// Feed receives the snapshots.
	Feed *Feed
	Log  *zap.Logger
	// FetchInterval and RelayInterval default to the constants.
	FetchInterval time.Duration
	RelayInterval time.Duration
	// Bound is the age up to which a contact confirms; 0 means the default of
	// package revision.
	Bound time.Duration
	// Seed makes the randomized choices repeatable.
	Seed uint64
}

// Runner keeps the records of one proxy up to date, serves them to peers and,
// if it is a relay, watches the store for its failure domain.
type Runner struct {
	peerv1.UnimplementedRecordsServer

	o    RunnerOptions
	wake chan struct{}

	mu      sync.Mutex
	replica *revision.Replica[*Set, []Record]
	random  *rand.Rand
	turn    int
}

// NewRunner returns a runner; Run starts it.
func NewRunner(o RunnerOptions) (*Runner, error) {
	if o.Store == nil || o.Pool == nil || o.View == nil || o.Relay == nil || o.Feed == nil {
		return nil, errors.New("records runner: store, pool, view, relay and feed are needed")
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

// Run works until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	wait.Add(2)
	go func() {
		defer wait.Done()
		r.fetchLoop(ctx)
	}()
	go func() {
		defer wait.Done()
		r.relayLoop(ctx)
	}()
	wait.Wait()
	return ctx.Err()
}

// Confirmed reports whether the records in force are confirmed at the given
// moment, in the sense of package revision.
func (r *Runner) Confirmed(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replica.Confirmed(now)
}

// Status returns the freshness of the records at this moment.
func (r *Runner) Status() revision.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replica.Status(time.Now())
}

// update changes the replica under the lock, and publishes the result if it is
// started and new. It publishes without the lock, so that subscribers may ask
// the runner; the feed refuses a revision that was overtaken.
func (r *Runner) update(reason string, change func(*revision.Replica[*Set, []Record])) {
	r.mu.Lock()
	change(r.replica)
	started, at, set := r.replica.Started(), r.replica.Revision(), r.replica.State()
	r.mu.Unlock()
	if !started || at <= r.o.Feed.Current().Revision {
		return
	}
	snapshot, err := set.Snapshot(at)
	if err != nil {
		r.o.Log.Error("records left out of the snapshot", zap.Int64(logging.FieldRevision, at), zap.Error(err))
	}
	if r.o.Feed.Publish(snapshot) {
		r.o.Log.Info("records in force",
			zap.String(logging.FieldDecision, "records_accepted"),
			zap.Int64(logging.FieldRevision, at),
			zap.String(logging.FieldReason, reason))
	}
}

// hurry makes the fetch loop ask at once.
func (r *Runner) hurry() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Runner) fetchLoop(ctx context.Context) {
	r.askSeeds(ctx)
	for {
		pause := r.o.FetchInterval
		if !r.Confirmed(time.Now()) {
			pause = min(pause, hurryInterval)
		}
		timer := time.NewTimer(r.jitter(pause))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-r.wake:
			timer.Stop()
		case <-timer.C:
		}
		if address := r.choose(); address != "" {
			r.logFetch(address, r.fetch(ctx, address))
		} else if !r.Confirmed(time.Now()) {
			r.askSeeds(ctx)
		}
	}
}

func (r *Runner) logFetch(address string, err error) {
	if err != nil {
		r.o.Log.Debug("fetch failed", zap.String(logging.FieldPeer, address), zap.Error(err))
	}
}

// jitter returns a duration between three and five quarters of d.
func (r *Runner) jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d*3/4 + time.Duration(r.random.Int64N(int64(d)/2+1))
}

// askSeeds asks all addresses of the settings at once, so that a host that
// starts takes the highest revision that any of them shows.
func (r *Runner) askSeeds(ctx context.Context) {
	var wait sync.WaitGroup
	for _, address := range r.o.Seeds {
		if address == r.o.Identity.Address {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			r.logFetch(address, r.fetch(ctx, address))
		}()
	}
	wait.Wait()
}

// choose returns the address to ask next: in turn a relay of the own domain
// and a host of another domain.
func (r *Runner) choose() string {
	members := r.o.View.Members()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn++
	var relays, own, others []string
	for _, m := range members {
		if m.State != membership.StateAlive || m.Host == r.o.Identity.Host || m.Address == "" {
			continue
		}
		switch {
		case m.Domain != r.o.Identity.Domain:
			others = append(others, m.Address)
		case m.Relay:
			relays = append(relays, m.Address)
		default:
			own = append(own, m.Address)
		}
	}
	if len(relays) == 0 {
		relays = own
	}
	if len(relays) == 0 || (r.turn%2 == 0 && len(others) > 0) {
		relays = others
	}
	if len(relays) == 0 {
		return ""
	}
	return relays[r.random.IntN(len(relays))]
}

// fetch asks a peer for what this host lacks and for its freshness.
func (r *Runner) fetch(ctx context.Context, address string) error {
	conn, err := r.o.Pool.Conn(address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	after := r.replica.Revision()
	r.mu.Unlock()
	asked := time.Now()
	reply, err := peer.Call(ctx, func(ctx context.Context) (*peerv1.FetchReply, error) {
		return peerv1.NewRecordsClient(conn).Fetch(ctx, &peerv1.FetchRequest{
			Sender: r.o.Identity.Sender(), AfterRevision: after,
		})
	})
	if err != nil {
		return fmt.Errorf("fetch records: peer %s: %w", address, err)
	}
	r.update("fetched from "+address, func(replica *revision.Replica[*Set, []Record]) {
		if reply.GetSnapshot() {
			replica.Adopt(reply.GetRevision(), NewSet(fromMessages(reply.GetRecords())))
		}
		for _, c := range reply.GetChanges() {
			replica.Apply(changeFrom(c))
		}
		replica.ConfirmByPeer(time.Now(), asked, confirmationFrom(reply.GetSender(), reply.GetConfirmation()))
	})
	return nil
}
