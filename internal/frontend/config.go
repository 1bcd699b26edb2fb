// Package frontend serves callers: it speaks the PostgreSQL protocol, checks
// keys, keeps the session state under transaction pooling, and guarantees
// read-your-writes for each session.
//
// Invariant: each request ends in one of three ways: answered, refused as "not
// run", or outcome unknown (08007). A request is sent again only if it had no
// effect, reads only, or was declared idempotent, and never after part of its
// answer reached the caller.
package frontend

import (
	"crypto/tls"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/pool"
	"github.com/bramleylever/bramleylever/internal/records"
	"github.com/bramleylever/bramleylever/internal/topology"
)

// Limiter admits requests within the rates of client accounts.
type Limiter interface {
	// Admit reports whether one more request of an account may run.
	Admit(account string, now time.Time) bool
}

// Config configures a server. Feed and Topology are required; every other
// field has a default.
type Config struct {
	// Domain is the failure domain of this host.
	Domain   string
	Feed     *records.Feed
	Topology *topology.Table
	// Pool configures the backend connections and the proxy's credentials.
	Pool pool.Config
	// Limiter admits requests; nil admits all.
	Limiter Limiter
	// Confirmed reports whether the configuration was confirmed recently
	// enough to serve requests with a key; nil means always.
	Confirmed func(now time.Time) bool
	// TLS is used for callers that ask for it; nil refuses TLS.
	TLS *tls.Config
	// Selection is the name of the replica selection policy.
	Selection string
	// Weight returns the part of its load that an instance gets while it
	// returns to service, above 0 and at most 1; nil means 1.
	Weight func(instance string) float64
	// ServerVersion is reported to callers.
	ServerVersion string
	Logger        *zap.Logger
	// LogEvery logs one of this many routing decisions; 0 logs none.
	LogEvery uint64
	Registry metrics.Registry
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Seed makes random choices repeatable.
	Seed uint64

	// MaxMessageBytes bounds a message of a caller; 0 means 16 MiB.
	MaxMessageBytes int
	// MaxConnections bounds the connections of callers; 0 means 10,000.
	MaxConnections int
	// LoginTimeout bounds start-up and authentication; 0 means 10 s.
	LoginTimeout time.Duration
	// QueueTimeout bounds the wait for a primary or a connection; 0 means 5 s.
	QueueTimeout time.Duration
	// QueueRequests and QueueBytes bound the requests of all databases that
	// wait for a primary; 0 means 1,000 requests and 8 MB.
	QueueRequests int
	QueueBytes    int
	// GuardWait is how long a replica may wait for a session's position; 0
	// means 10 ms.
	GuardWait time.Duration
	// ReplicateWait bounds the wait for the replication of a commit; 0 means
	// 5 s.
	ReplicateWait time.Duration
	// AnswerTimeout bounds the time without any message of an instance that
	// owes an answer, and so the longest statement; 0 means 5 min. Instances
	// that do not answer at all are noticed earlier, by probes.
	AnswerTimeout time.Duration
	// DemotedGrace is how long an instance that was demoted may still answer
	// writes in flight; 0 means 300 ms.
	DemotedGrace time.Duration
}

func defaultTo[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (c *Config) setDefaults() {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.Registry == nil {
		c.Registry = metrics.NewRegistry()
	}
	if c.Pool.Now == nil {
		c.Pool.Now = c.Now
	}
	if c.Pool.Registry == nil {
		c.Pool.Registry = c.Registry
	}
	defaultTo(&c.ServerVersion, "16.0")
	defaultTo(&c.MaxMessageBytes, 16<<20)
	defaultTo(&c.MaxConnections, 10000)
	defaultTo(&c.LoginTimeout, 10*time.Second)
	defaultTo(&c.QueueTimeout, 5*time.Second)
	defaultTo(&c.QueueRequests, 1000)
	defaultTo(&c.QueueBytes, 8<<20)
	defaultTo(&c.GuardWait, 10*time.Millisecond)
	defaultTo(&c.ReplicateWait, 5*time.Second)
	defaultTo(&c.AnswerTimeout, 5*time.Minute)
	defaultTo(&c.DemotedGrace, 300*time.Millisecond)
}
