package promotion

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/platform"
)

// The keys below which duties and suspicions lie; a service's name follows.
const (
	dutyPrefix      = "bramleylever/promotion/duty/"
	suspicionPrefix = "bramleylever/promotion/suspicion/"
)

const (
	// tickInterval is how often a host looks at the primaries.
	tickInterval = 100 * time.Millisecond
	callTimeout  = 800 * time.Millisecond
	// acquirePause is the least time between two attempts to take a duty, and
	// suspicionPause the one between two reads of the suspicions.
	acquirePause   = 400 * time.Millisecond
	suspicionPause = 250 * time.Millisecond
	// promotionTime is how long a promotion may take until it shows.
	promotionTime = 1500 * time.Millisecond
	// repeatPause is the pause before an order without an answer is repeated.
	repeatPause = 200 * time.Millisecond
	// settleTime is the least time between two promotions of one service that
	// are not planned.
	settleTime = 3 * time.Second
	// minLease is the least validity of the host's lease with which a duty is
	// used, so that it does not lapse under way.
	minLease = 300 * time.Millisecond
)

var (
	// ErrSuperseded marks an order that was refused, because a higher fencing
	// token was used or because the instance does not run.
	ErrSuperseded = errors.New("order refused")
	// ErrNotReady marks a service for which no order can be given now.
	ErrNotReady = errors.New("no instance to promote")
)

// Promoter orders promotions from the platform.
type Promoter interface {
	// Promote makes an instance the primary of its service. The error is
	// ErrSuperseded if the order was refused. After another error it may be
	// carried out later.
	Promote(ctx context.Context, service, id, holder string, token int64) error
}

// Inspector asks instances how far they are.
type Inspector interface {
	// Status returns what an instance received.
	Status(ctx context.Context, server *catalog.Server) (Candidate, error)
	// Pause stops a replica from receiving from primaries of terms below the
	// next one, and returns what it received.
	Pause(ctx context.Context, server *catalog.Server) (Candidate, error)
	// Resume ends a pause.
	Resume(ctx context.Context, server *catalog.Server) error
}

// Options configures a Runner.
type Options struct {
	Host      string
	Domain    string
	Store     platform.Store
	Catalog   func() *catalog.Snapshot
	Lease     func() (platform.LeaseID, time.Duration)
	Hosts     func() (hosts, domains int)
	Promoter  Promoter
	Inspector Inspector
	// Failing reports whether this host's own traffic does not reach the
	// primary of a service.
	Failing  func(primary *catalog.Server) bool
	Log      *zap.Logger
	Registry metrics.Registry
}

// Runner takes part in the promotion duty of all services.
type Runner struct {
	options Options
	now     func() time.Time
	orders  metrics.Counter

	mu     sync.Mutex
	groups map[string]*group
}

// group is the state for one service. It is used by one goroutine at a time.
type group struct {
	busy         bool
	suspected    string
	missingSince time.Time
	acquireAfter time.Time
	readAfter    time.Time
	settled      time.Time
	token        int64
	lease        platform.LeaseID
	// ordered is the instance for which the token was used.
	ordered string
	due     time.Time
}

// New returns a runner; Run starts it.
func New(o Options) *Runner {
	return &Runner{
		options: o, now: time.Now, groups: map[string]*group{},
		orders: metrics.GetOrRegisterCounter("promotion.orders_count", o.Registry),
	}
}

// Run looks after the primaries until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		snapshot := r.options.Catalog()
		if !snapshot.Complete {
			continue
		}
		for service := range snapshot.Groups {
			r.start(ctx, service, snapshot)
		}
	}
}

// start runs one step for a service unless the previous one is under way.
func (r *Runner) start(ctx context.Context, service string, snapshot *catalog.Snapshot) {
	r.mu.Lock()
	g := r.groups[service]
	if g == nil {
		g = &group{}
		r.groups[service] = g
	}
	busy := g.busy
	g.busy = true
	r.mu.Unlock()
	if busy {
		return
	}
	go func() {
		r.step(ctx, service, g, snapshot)
		r.mu.Lock()
		g.busy = false
		r.mu.Unlock()
	}()
}

// step looks at one service once.
func (r *Runner) step(ctx context.Context, service string, g *group, snapshot *catalog.Snapshot) {
	primary := snapshot.Primary(service)
	reason := planned(snapshot, primary)
	if reason == NoReason {
		reason = r.suspect(ctx, service, g, primary)
	}
	if reason == NoReason {
		return
	}
	now := r.now()
	if g.ordered != "" && now.Before(g.due) {
		return
	}
	if (reason == Unreachable || reason == Missing) && now.Sub(g.settled) < settleTime {
		return
	}
	if !r.acquire(ctx, service, g) {
		return
	}
	if reason == Unreachable && !r.quorum(ctx, service, g, primary) {
		return
	}
	r.promote(ctx, service, g, snapshot, primary, reason)
}

// suspect keeps this host's suspicion in the store in step with what its own
// traffic shows.
func (r *Runner) suspect(ctx context.Context, service string, g *group, primary *catalog.Server) Reason {
	if primary == nil {
		if g.missingSince.IsZero() {
			g.missingSince = r.now()
		}
		if r.now().Sub(g.missingSince) < missingTime {
			return NoReason
		}
		return Missing
	}
	g.missingSince = time.Time{}
	suspected := ""
	if r.options.Failing(primary) {
		suspected = primary.ID
	}
	if suspected != g.suspected {
		r.report(ctx, service, g, suspected)
	}
	if suspected == "" {
		return NoReason
	}
	return Unreachable
}
