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
	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/connpool"
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
	Pool      *connpool.Pool
	Admission Admission
	// Domain is the host's failure domain.
	Domain string
	// Hosts returns the number of hosts that share the instances' connections.
	Hosts    func() int
	Log      *zap.Logger
	Registry metrics.Registry
}

// Gateway holds the state that the sessions of a host share.
type Gateway struct {
	options Options
	log     *zap.Logger
	bounds  *staleness.Bounds
	health  *health
	stats   *stats
	now     func() time.Time

	draining atomic.Bool

	mu       sync.Mutex
	sessions map[*Session]struct{}
}

// New returns a gateway without sessions.
func New(o Options) *Gateway {
	return &Gateway{
		options: o, log: o.Log, bounds: staleness.New(), health: newHealth(),
		stats: newStats(o.Registry), now: time.Now, sessions: map[*Session]struct{}{},
	}
}

// connLimit is the number of connections that this host opens to an instance
// of the service, and keep how many of them stay open unused. Instances refuse
// what exceeds their own limit, so a host may go a little beyond an equal part
// while others need less.
func (g *Gateway) connLimit(snapshot *catalog.Snapshot, service string) connpool.Limit {
	s := snapshot.Config.Services[service]
	if s == nil || s.MaxConns == 0 {
		return connpool.Limit{Open: defaultConnLimit, Idle: defaultConnLimit}
	}
	equal := s.MaxConns / max(1, g.options.Hosts())
	return connpool.Limit{Open: max(minConnLimit, equal+connBurst), Idle: max(1, equal)}
}

const (
	// defaultConnLimit applies to services without a limit of their own.
	defaultConnLimit = 16
	// minConnLimit lets every host run a statement beside an open transaction.
	minConnLimit = 2
	// connBurst is how many connections beyond its equal part of an instance's
	// limit a host may open.
	connBurst = 1
)

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
