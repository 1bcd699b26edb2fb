// Package gateway serves sessions: it authorizes and admits each operation,
// chooses the instance that runs it, retries what did not run, and classifies
// how it ended. It knows no wire format.
//
// Invariant: a write or a commit is sent at most once, unless the instance
// answered that it did not run.
package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/zeromicro/go-zero/core/syncx"
	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/connpool"
	"github.com/bramleylever/bramleylever/internal/reachability"
	"github.com/bramleylever/bramleylever/internal/staleness"
)

// Admission decides whether an account may start an operation.
type Admission interface {
	Admit(account *catalog.Account, now time.Time) bool
}

// Options configures a Gateway.
type Options struct {
	Catalog   func() *catalog.Snapshot
	Changed   func() <-chan struct{}
	Conns     connpool.Source
	Admission Admission
	// Positions gives samples of leaders' positions; nil if the host relies on
	// its own traffic.
	Positions PositionSource
	// Domain is the host's failure domain.
	Domain string
	// Reachability learns which failure domains answer.
	Reachability *reachability.Tracker
	Log          *zap.Logger
	Registry     metrics.Registry
}

// Gateway holds the state that the sessions of a host share.
type Gateway struct {
	options Options
	log     *zap.Logger
	bounds  *staleness.Bounds
	health  *health
	stats   *stats
	now     func() time.Time
	// sampling joins concurrent requests for the same sample.
	sampling syncx.SingleFlight

	draining atomic.Bool
	// served counts statements, for the sample in the log.
	served atomic.Uint64

	mu       sync.Mutex
	sessions map[*Session]struct{}
}

// New returns a gateway without sessions.
func New(o Options) *Gateway {
	return &Gateway{
		options: o, log: o.Log, bounds: staleness.New(), health: newHealth(o.Reachability),
		stats: newStats(o.Registry), now: time.Now, sampling: syncx.NewSingleFlight(), sessions: map[*Session]struct{}{},
	}
}

// Sessions returns the number of open sessions.
func (g *Gateway) Sessions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.sessions)
}

// Drain marks the gateway as stopping: transactions that are open go on, and
// sessions are closed once they are idle.
func (g *Gateway) Drain() {
	g.draining.Store(true)
	g.CloseIdle()
}

// CloseIdle closes the sessions that are between operations, so that their
// callers connect to other hosts.
func (g *Gateway) CloseIdle() {
	g.mu.Lock()
	sessions := make([]*Session, 0, len(g.sessions))
	for s := range g.sessions {
		sessions = append(sessions, s)
	}
	g.mu.Unlock()
	for _, s := range sessions {
		s.closeIfIdle()
	}
}
