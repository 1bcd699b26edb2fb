package relay

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/hosts"
	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/internal/recovery"
	"github.com/bramleylever/bramleylever/position"
)

// Sampler returns positions of services' leaders.
type Sampler interface {
	// LeaderPosition returns a position that the leader of a service had at most age
	// ago.
	LeaderPosition(ctx context.Context, service string) (p position.Position, age time.Duration, err error)
}

// samplerTimeout bounds how long another host's request waits for the leader. It is
// shorter than the time for which the other host waits for the reply.
const samplerTimeout = 80 * time.Millisecond

// positionOwnerKey takes the place of an account in the ranking, so that all hosts ask
// the same host for the position of a service's leader.
const positionOwnerKey = "position"

// Position implements gateway.PositionSource. The position comes from the host that
// samples the leader for all hosts, or from this host's own sampler if this is that host
// or no other host can be used.
func (r *Router) Position(ctx context.Context, primary *catalog.Server) (position.Position, time.Duration, error) {
	owner, ok := r.owner(primary, positionOwnerKey)
	if !ok || owner.Name == r.options.Self {
		return r.sampler.LeaderPosition(ctx, primary.Service)
	}
	conn, err := r.options.Peers.Conn(owner.Address)
	if err != nil {
		return position.Position{}, 0, outcome.Wrap("ask for position", owner.Name, err)
	}
	reply, err := peerv1.NewRelayClient(conn).Position(ctx, &peerv1.PositionRequest{
		Service: primary.Service, Revisions: r.options.Revisions(),
	})
	if err != nil {
		r.checkUnanswered(owner, err)
		return position.Position{}, 0, outcome.Wrap("ask for position", owner.Name, err)
	}
	r.options.Hint(reply.GetRevisions())
	return fromPosition(reply.GetPosition()), time.Duration(reply.GetAgeUs()) * time.Microsecond, nil
}

// checkUnanswered stops using a host that did not answer a request for a position, unless
// it answers a ping: then it is only waiting for the leader.
func (r *Router) checkUnanswered(owner hosts.Host, err error) {
	switch status.Code(err) {
	case codes.Unavailable:
		r.ownerFailed(owner, err)
	case codes.DeadlineExceeded:
		recovery.Go("ping connection owner", func() {
			if err := r.Ping(context.Background(), owner); err != nil {
				r.ownerFailed(owner, err)
			}
		})
	}
}

// Position implements the gRPC service.
func (s service) Position(ctx context.Context, request *peerv1.PositionRequest) (*peerv1.PositionReply, error) {
	r := s.router
	ctx, cancel := context.WithTimeout(ctx, samplerTimeout)
	defer cancel()
	r.options.Hint(request.GetRevisions())
	p, age, err := r.sampler.LeaderPosition(ctx, request.GetService())
	if err != nil {
		return nil, status.Error(codes.NotFound, err.Error())
	}
	return &peerv1.PositionReply{
		Position: toPosition(p), AgeUs: age.Microseconds(), Revisions: r.options.Revisions(),
	}, nil
}
