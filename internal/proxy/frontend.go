package proxy

import (
	"context"
	"time"

	"github.com/bramleylever/bramleylever/internal/frontend"
	"github.com/bramleylever/bramleylever/internal/membudget"
	"github.com/bramleylever/bramleylever/internal/pool"
	"github.com/bramleylever/bramleylever/internal/records"
	"github.com/bramleylever/bramleylever/internal/shares"
)

// warmConnections is the number of connections kept open to each instance, because opening one
// takes 10 to 30 ms.
const warmConnections = 1

// shareWait is how long a request waits for a token when this host has none. The owner moves
// shares between hosts to follow the demand, which takes a few round trips.
const shareWait = 100 * time.Millisecond

// A host gets no share until membership has learned which hosts are the owners, which takes
// several exchanges with other failure domains at an interval of 2 s. For startPeriod after the
// start, a request waits up to startShareWait for a token, the same time as for a primary by
// default. Otherwise requests within the rate of their account would be refused: with a wait of
// 3 s, this happened in 1 of 5 starts of two hosts.
const (
	startPeriod    = 10 * time.Second
	startShareWait = 5 * time.Second
)

// limiter admits requests while this host has tokens from its share of the account's rate.
type limiter struct {
	shares  *shares.Runner
	started time.Time
}

// Admit implements frontend.Limiter.
func (l limiter) Admit(account string, now time.Time) bool {
	if l.shares.Admit(account, now) {
		return true
	}
	wait := shareWait
	if now.Sub(l.started) < startPeriod {
		wait = startShareWait
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return l.shares.AdmitWithin(ctx, account)
}

func (p *Proxy) frontendConfig() (frontend.Config, error) {
	s := p.settings
	tlsConfig, err := p.tlsConfig()
	if err != nil {
		return frontend.Config{}, err
	}
	password, err := p.backendPassword()
	if err != nil {
		return frontend.Config{}, err
	}
	return frontend.Config{
		Domain:   s.FailureDomain,
		Feed:     p.feed,
		Topology: p.topology,
		Pool: pool.Config{
			Credentials:     pool.Credentials{User: s.Backend.User, Password: password},
			Budget:          p.shares,
			Dial:            pool.DialFunc(p.dial),
			WarmConnections: warmConnections,
			DialTimeout:     s.Backend.ConnectTimeout,
			Registry:        p.registry,
		},
		Limiter:   limiter{p.shares, p.now()},
		Confirmed: p.confirmed,
		TLS:       tlsConfig,
		Selection: s.Routing.Policy,
		Weight: func(instance string) float64 {
			return p.weights.Weight(records.Instance{Name: instance}, p.now())
		},
		Logger:          p.log.Named("routing"),
		LogEvery:        uint64(s.Log.RoutingSample),
		Registry:        p.registry,
		Seed:            p.identity.Incarnation,
		MaxMessageBytes: s.Limits.MessageBytes,
		Memory:          membudget.ForMachine(s.Limits.MemoryBytes, s.Limits.MessageBytes, p.registry),
		MaxConnections:  s.Limits.Connections,
		QueueTimeout:    s.Routing.QueueWait,
		QueueRequests:   s.Limits.QueueRequests,
		QueueBytes:      s.Limits.QueueBytes,
		GuardWait:       s.Routing.GuardWait,
		ReplicateWait:   s.Routing.ReplicateWait,
	}, nil
}
