// Package frontend serves callers, the clients that connect to the proxy: it
// implements the server side of the PostgreSQL protocol, authenticates keys,
// keeps the session state under transaction pooling, and guarantees
// read-your-writes consistency for each session.
//
// Invariant: each request ends in one of three ways: answered, refused as "not
// run", or with an unknown outcome (SQLSTATE 08007). A request is retried only if
// it had no effect, only reads, or was declared idempotent, and never after part
// of its answer has reached the caller.
package frontend

import (
	"crypto/tls"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/membudget"
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
	// Confirmed reports whether this host has confirmed its configuration
	// recently enough to serve requests with a key; nil means always.
	Confirmed func(now time.Time) bool
	// TLS configures encryption for callers that ask for it; nil refuses TLS.
	TLS *tls.Config
	// Selection is the name of the replica selection policy.
	Selection string
	// Weight returns the fraction of its usual load that an instance gets while
	// it returns to service, above 0 and at most 1; nil means 1.
	Weight func(instance string) float64
	// ServerVersion is the server_version reported to callers; empty means
	// "16.0".
	ServerVersion string
	Logger        *zap.Logger
	// LogEvery is the sampling interval of the log of routing decisions: one in
	// LogEvery is logged; 0 logs none.
	LogEvery uint64
	Registry metrics.Registry
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Seed seeds the random number generator of replica selection.
	Seed uint64

	// MaxMessageBytes limits the size of a message and of a batch of messages
	// from a caller; 0 means 16 MiB.
	MaxMessageBytes int
	// Memory bounds the messages of all callers; nil means no bound.
	Memory *membudget.Budget
	// MaxConnections limits the connections of callers; 0 means 10,000.
	MaxConnections int
	// LoginTimeout limits the duration of start-up and authentication; 0 means
	// 10 s.
	LoginTimeout time.Duration
	// QueueTimeout limits the wait for a primary or for a backend connection; 0
	// means 5 s.
	QueueTimeout time.Duration
	// QueueRequests and QueueBytes limit the requests, over all databases, that
	// wait for a primary; 0 means 1,000 requests and 8 MiB.
	QueueRequests int
	QueueBytes    int
	// GuardWait limits how long a replica waits until it has applied the
	// position of the session; 0 means 10 ms.
	GuardWait time.Duration
	// ReplicateWait limits the wait until a commit is replicated; 0 means 5 s.
	ReplicateWait time.Duration
	// AnswerTimeout limits how long an instance may send nothing while a
	// request runs on it, and thereby the duration of a statement; 0 means
	// 5 min. Probes detect unresponsive instances earlier.
	AnswerTimeout time.Duration
	// DemotedGrace is how long a demoted instance may still answer the writes in
	// flight; 0 means 300 ms.
	DemotedGrace time.Duration
}

// defaultTo sets a field that has the zero value.
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
