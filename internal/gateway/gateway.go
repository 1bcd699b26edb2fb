// Package gateway serves client sessions. It authorizes each operation, applies the
// account's rate limit, chooses an instance, retries statements that did not run, and
// classifies the outcome. It is independent of the wire format.
//
// Invariant: a write or a commit is sent again only if it is certain that the previous
// attempt did not run.
package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/zeromicro/go-zero/core/syncx"
	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/connpool"
	"github.com/bramleylever/bramleylever/internal/membudget"
	"github.com/bramleylever/bramleylever/internal/reachability"
	"github.com/bramleylever/bramleylever/internal/staleness"
)

// Admission decides whether an account may start an operation of a class under its rate limit.
type Admission interface {
	Admit(account *catalog.Account, class catalog.Class, now time.Time) bool
}

// Terms says whether this host may use the leaders of services. An instance that was
// replaced may not know it and still answer like a leader.
type Terms interface {
	// Lost returns for how long the host has not been allowed to use any leader; zero
	// while it is.
	Lost() time.Duration
	// Closed returns the newest term of a service whose leader must not be used any
	// more, nor those of earlier terms; 0 if there is none.
	Closed(service string) uint64
	// Leader returns the instance that has proved to this host or to another one that
	// it leads the newest term of a service; the term is 0 if none is known.
	Leader(service string) (instance string, epoch uint64)
	// AddLeader records such a proof.
	AddLeader(service, instance string, epoch uint64)
}

// openTerms allows the use of every leader.
type openTerms struct{}

func (openTerms) Lost() time.Duration { return 0 }

func (openTerms) Closed(string) uint64 { return 0 }

func (openTerms) Leader(string) (string, uint64) { return "", 0 }

func (openTerms) AddLeader(string, string, uint64) {}

// OperationCounter counts the operations of client accounts.
type OperationCounter interface {
	// Count counts an operation that an instance began some time ago.
	Count(account string, ago time.Duration)
}

// Options configures a Gateway.
type Options struct {
	Catalog   func() *catalog.Snapshot
	Changed   func() <-chan struct{}
	Conns     connpool.Source
	Admission Admission
	// Positions provides samples of leader positions taken by other hosts. If nil,
	// the gateway has only the samples from its own traffic.
	Positions PositionSource
	// Terms restricts the use of leaders. If nil, every leader may be used.
	Terms Terms
	// Usage is told of each operation that an instance began. If nil, none is counted.
	Usage OperationCounter
	// Memory bounds what sessions keep; nil means no bound.
	Memory *membudget.Budget
	// Domain is the host's failure domain.
	Domain string
	// Reachability is told which failure domains answer and which do not.
	Reachability *reachability.Tracker
	// Domains knows which failure domains do not answer; nil knows none.
	Domains  *reachability.Domains
	Log      *zap.Logger
	Registry metrics.Registry
}

// Gateway holds the state shared by all sessions of a host.
type Gateway struct {
	options Options
	log     *zap.Logger
	bounds  *staleness.Bounds
	health  *health
	stats   *stats
	now     func() time.Time
	// sampleRequests merges concurrent requests for the same position sample.
	sampleRequests syncx.SingleFlight
	// leaderProofs merges concurrent requests for the proof that an instance leads.
	leaderProofs syncx.SingleFlight

	// opened counts the sessions that were opened.
	opened metrics.Counter
	// phase is the drainPhase.
	phase      atomic.Int32
	drainStats drainStats
	// work ends when the statements under way must end.
	work          context.Context
	interruptWork context.CancelFunc
	// servedCount counts served statements; one in servedLogInterval is logged.
	servedCount atomic.Uint64

	mu       sync.Mutex
	sessions map[*Session]struct{}
}

// New returns a gateway without sessions.
func New(o Options) *Gateway {
	if o.Terms == nil {
		o.Terms = openTerms{}
	}
	work, interrupt := context.WithCancel(context.Background())
	return &Gateway{
		work: work, interruptWork: interrupt, drainStats: newDrainStats(o.Registry),
		opened:  metrics.GetOrRegisterCounter("gateway.sessions_opened_count", o.Registry),
		options: o, log: o.Log, bounds: staleness.New(), health: newHealth(o.Reachability, o.Domains),
		stats: newStats(o.Registry), now: time.Now, sampleRequests: syncx.NewSingleFlight(), leaderProofs: syncx.NewSingleFlight(),
		sessions: map[*Session]struct{}{},
	}
}

// Sessions returns the number of open sessions.
func (g *Gateway) Sessions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.sessions)
}
