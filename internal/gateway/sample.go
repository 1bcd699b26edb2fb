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
	"github.com/bramleylever/bramleylever/internal/staleness"
	"github.com/bramleylever/bramleylever/internal/statement"
	"github.com/bramleylever/bramleylever/position"
)

const (
	// sharedAge is the age up to which a sample is given to another host
	// instead of asking the leader again.
	sharedAge = 200 * time.Millisecond
	// sampleTimeout bounds the wait for a sample.
	sampleTimeout = 120 * time.Millisecond
	// renewPart is the part of a route's bound at which the newest sample is
	// renewed while reads still use it.
	renewPart = 0.75
)

// ErrNoLeader marks a service without an instance that is worth asking to lead.
var ErrNoLeader = errors.New("no instance to ask for a position")

// PositionSource asks one host of the fleet, the same for all, for the position
// of a service's leader. In a large fleet most hosts seldom hear from a leader
// themselves, and without a sample every read would have to go to it.
type PositionSource interface {
	// Position returns a position that the leader had at most age before the
	// call.
	Position(ctx context.Context, primary *catalog.Server) (p position.Position, age time.Duration, err error)
}

// LeaderPosition returns the position of a service's leader and its age. It
// serves other hosts, so it takes a new sample only if its newest one is old.
func (g *Gateway) LeaderPosition(ctx context.Context, service string) (position.Position, time.Duration, error) {
	sample, ok := g.bounds.Newest(service)
	if age := g.now().Sub(sample.At); ok && age <= sharedAge {
		return sample.Position, age, nil
	}
	_, err := g.sampling.Do("take "+service, func() (any, error) { return nil, g.takeSample(ctx, service) })
	if err != nil {
		return position.Position{}, 0, err
	}
	sample, _ = g.bounds.Newest(service)
	return sample.Position, g.now().Sub(sample.At), nil
}

// takeSample opens and ends a transaction at the leader, which occupies no slot
// there.
func (g *Gateway) takeSample(ctx context.Context, service string) error {
	server := g.chooseLeader(g.options.Catalog(), service, nil, g.now())
	if server == nil {
		return ErrNoLeader
	}
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	conn, err := g.options.Conns.Acquire(ctx, server, anonymous, nil)
	if err != nil {
		return err
	}
	defer conn.Release()
	sent := g.bounds.Now()
	deadline, _ := ctx.Deadline()
	answer, err := conn.Do(deadline, connpool.Work{
		Begin: &statement.Statement{Kind: statement.Begin}, Statements: []statement.Statement{{Kind: statement.Rollback}},
	})
	switch {
	case answer.Refused != nil:
		if answer.Refused.Code == statement.ReadOnly {
			g.health.refusesLead(server, g.now())
		}
		return outcome.Wrap("sample position", server.ID, errors.New(string(answer.Refused.Code)))
	case answer.BeginPosition.IsZero():
		return outcome.Wrap("sample position", server.ID, err)
	}
	g.noteLeader(server, sent, answer.BeginPosition)
	return nil
}

// noteLeader records an answer that only a leader gives.
func (g *Gateway) noteLeader(server *catalog.Server, sent staleness.Timestamp, p position.Position) {
	g.health.leads(server, p.Term, g.now())
	g.bounds.Add(server.Service, sent, p)
}

// sample returns the sample that bounds a read of the operation. An operation
// without one waits for it once; a sample that is getting old is renewed in the
// background.
func (op *operation) sample(now time.Time) (staleness.Sample, bool) {
	g, service := op.gateway(), op.route.Service
	notBefore := op.arrived.Add(stalenessMargin - op.route.MaxStaleness)
	found, newest, ok := g.bounds.Lookup(service, notBefore)
	switch {
	case g.options.Positions == nil:
	case !ok && !op.sampled:
		op.sampled = true
		g.fetchSample(service)
		found, _, ok = g.bounds.Lookup(service, notBefore)
	case ok && now.Sub(newest) >= time.Duration(renewPart*float64(op.route.MaxStaleness)):
		go g.fetchSample(service)
	}
	return found, ok
}

// fetchSample asks the host that samples the service. Concurrent calls share
// one request.
func (g *Gateway) fetchSample(service string) {
	// A failure is logged where it is met; without a sample reads go to the
	// leader.
	_, _ = g.sampling.Do("fetch "+service, func() (any, error) {
		primary := g.options.Catalog().Primary(service)
		if primary == nil {
			return nil, ErrNoLeader
		}
		ctx, cancel := context.WithTimeout(context.Background(), sampleTimeout)
		defer cancel()
		// The age counts from before the request, because the answer may have
		// been made at any time after it.
		sent := g.bounds.Now()
		p, age, err := g.options.Positions.Position(ctx, primary)
		if err != nil {
			g.stats.sampleFailures.Inc(1)
			g.log.Info("position not sampled", zap.String(logging.FieldDecision, "sample_position"),
				zap.String("service", service), zap.Error(err))
			return nil, err
		}
		g.stats.samples.Inc(1)
		sent.At = sent.At.Add(-age)
		g.bounds.Add(service, sent, p)
		return nil, nil
	})
}
