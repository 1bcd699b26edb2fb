package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/connpool"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/internal/recovery"
	"github.com/bramleylever/bramleylever/internal/staleness"
	"github.com/bramleylever/bramleylever/internal/statement"
	"github.com/bramleylever/bramleylever/position"
)

const (
	// maxSharedAge is the maximum age of a sample that is given to another host; an
	// older one is replaced by a new sample from the leader.
	maxSharedAge = 200 * time.Millisecond
	// sampleTimeout bounds the wait for a sample.
	sampleTimeout = 120 * time.Millisecond
	// maxSampleAttempts is the number of connection owners that are tried for a sample.
	maxSampleAttempts = 4
	// renewFraction is the fraction of a route's staleness limit at which the newest
	// sample is renewed in the background, while reads still use it.
	renewFraction = 0.75
)

// ErrNoLeader is returned if a service has no instance that can be asked for the
// leader's position.
var ErrNoLeader = errors.New("no instance to ask for a position")

// PositionSource requests the position of a service's leader from one host, which all
// hosts use for that service. In a large fleet most hosts rarely exchange statements
// with a leader, and without a sample every read would have to go to the leader.
type PositionSource interface {
	// Position returns a position of the leader that is at most age old at the time of
	// the call.
	Position(ctx context.Context, primary *catalog.Server) (p position.Position, age time.Duration, err error)
}

// LeaderPosition returns the position of a service's leader and the age of that
// sample. It answers other hosts, and takes a new sample only if the newest one is
// older than maxSharedAge.
func (g *Gateway) LeaderPosition(ctx context.Context, service string) (position.Position, time.Duration, error) {
	sample, ok := g.bounds.Newest(service)
	if age := g.now().Sub(sample.At); ok && age <= maxSharedAge {
		return sample.Position, age, nil
	}
	_, err := g.sampleRequests.Do("take "+service, func() (any, error) { return nil, g.takeSample(ctx, service) })
	if err != nil {
		return position.Position{}, 0, err
	}
	sample, _ = g.bounds.Newest(service)
	return sample.Position, g.now().Sub(sample.At), nil
}

// takeSample samples the leader's position by an empty transaction, which occupies no
// slot at the instance.
func (g *Gateway) takeSample(ctx context.Context, service string) error {
	var err error
	for range maxSampleAttempts {
		err = g.trySample(ctx, service)
		var ownerErr *connpool.OwnerError
		if !errors.As(err, &ownerErr) || ctx.Err() != nil {
			break
		}
	}
	return err
}

func (g *Gateway) trySample(ctx context.Context, service string) error {
	server := g.chooseLeader(g.options.Catalog(), service, nil, g.now())
	if server == nil {
		return ErrNoLeader
	}
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	conn, err := g.options.Conns.Acquire(ctx, server, connpool.Request{Account: anonymous})
	if err != nil {
		return err
	}
	defer conn.Release()
	sent := g.bounds.Now()
	if !g.mayUse(server) {
		return errLeaderUnusable
	}
	deadline, _ := ctx.Deadline()
	answer, err := conn.Do(deadline, connpool.Work{
		Begin: &statement.Statement{Kind: statement.Begin}, Statements: []statement.Statement{{Kind: statement.Rollback}},
	})
	switch {
	case answer.Refused != nil:
		if answer.Refused.Code == statement.ReadOnly {
			g.health.recordNotLeader(server, g.now())
		}
		return outcome.Wrap("sample position", server.ID, errors.New(string(answer.Refused.Code)))
	case answer.BeginPosition.IsZero():
		return outcome.Wrap("sample position", server.ID, err)
	}
	g.recordLeaderAnswer(server, sent, answer.BeginPosition)
	return nil
}

// recordLeaderAnswer records an answer that only the leader can give, to a request sent at
// the given time.
func (g *Gateway) recordLeaderAnswer(server *catalog.Server, sent staleness.Timestamp, p position.Position) {
	g.health.recordLeader(server, p.Term, g.now())
	g.bounds.Add(server.Service, sent, p)
}

// sample returns the position sample that a read of the operation must reach. An
// operation waits at most once for a missing sample; a sample that is about to expire
// is renewed in the background.
func (op *operation) sample(now time.Time) (staleness.Sample, bool) {
	g, service := op.gateway(), op.route.Service
	notBefore := op.arrived.Add(stalenessMargin - op.route.MaxStaleness)
	found, newest, ok := g.bounds.Lookup(service, notBefore)
	switch {
	case g.options.Positions == nil:
	case !ok && !op.waitedForSample:
		op.waitedForSample = true
		g.fetchSample(service)
		found, _, ok = g.bounds.Lookup(service, notBefore)
	case ok && now.Sub(newest) >= time.Duration(renewFraction*float64(op.route.MaxStaleness)):
		recovery.Go("fetch position sample", func() { g.fetchSample(service) })
	}
	return found, ok
}

// fetchSample requests a sample from the host that samples the service. Concurrent
// calls share one request.
func (g *Gateway) fetchSample(service string) {
	// The function below logs failures; without a sample, reads go to the leader.
	_, _ = g.sampleRequests.Do("fetch "+service, func() (any, error) {
		primary := g.options.Catalog().Primary(service)
		if primary == nil {
			return nil, ErrNoLeader
		}
		ctx, cancel := context.WithTimeout(context.Background(), sampleTimeout)
		defer cancel()
		// The age is subtracted from the send time, because the peer may have answered
		// at any time after that.
		sent := g.bounds.Now()
		p, age, err := g.options.Positions.Position(ctx, primary)
		if err != nil {
			g.stats.sampleFailures.Inc(1)
			g.log.Info("could not fetch a position sample", zap.String(logging.FieldDecision, "sample_position"),
				zap.String("service", service), zap.Error(err))
			return nil, err
		}
		g.stats.samples.Inc(1)
		sent.At = sent.At.Add(-age)
		g.bounds.Add(service, sent, p)
		return nil, nil
	})
}
