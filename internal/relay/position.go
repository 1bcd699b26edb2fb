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
	"github.com/bramleylever/bramleylever/position"
)

// Sampler tells the positions of leaders.
type Sampler interface {
	// LeaderPosition returns a position that the leader of a service had at most
	// age ago.
	LeaderPosition(ctx context.Context, service string) (p position.Position, age time.Duration, err error)
}

// samplerTimeout bounds how long another host's request waits for the leader; it
// is shorter than the other host waits.
const samplerTimeout = 80 * time.Millisecond

// sampleKey is hashed in the place of an account, so that all hosts ask the same
// one for the position of a leader.
const sampleKey = "position"

// Position asks the host that samples a service, or this host's own sampler if
// it is the one or no other is reached. The position is one that the leader had
// at most age before the call.
func (r *Router) Position(ctx context.Context, primary *catalog.Server) (position.Position, time.Duration, error) {
	holder, ok := r.holder(primary, sampleKey)
	if !ok || holder.Name == r.options.Self {
		return r.sampler.LeaderPosition(ctx, primary.Service)
	}
	conn, err := r.options.Peers.Conn(holder.Address)
	if err != nil {
		return position.Position{}, 0, outcome.Wrap("ask for position", holder.Name, err)
	}
	reply, err := peerv1.NewRelayClient(conn).Position(ctx, &peerv1.PositionRequest{
		Service: primary.Service, Revisions: toRevisions(r.options.Revisions()),
	})
	if err != nil {
		r.checkLate(holder, err)
		return position.Position{}, 0, outcome.Wrap("ask for position", holder.Name, err)
	}
	r.options.Hint(fromRevisions(reply.GetRevisions()))
	return fromPosition(reply.GetPosition()), time.Duration(reply.GetAgeUs()) * time.Microsecond, nil
}

// checkLate gives a host up that did not answer a request for a position, unless
// it answers a ping and so only waits for the leader.
func (r *Router) checkLate(holder hosts.Host, err error) {
	switch status.Code(err) {
	case codes.Unavailable:
		r.failed(holder, err)
	case codes.DeadlineExceeded:
		go func() {
			if err := r.Ping(context.Background(), holder); err != nil {
				r.failed(holder, err)
			}
		}()
	}
}

// Position implements the gRPC service.
func (s service) Position(ctx context.Context, request *peerv1.PositionRequest) (*peerv1.PositionReply, error) {
	r := s.router
	ctx, cancel := context.WithTimeout(ctx, samplerTimeout)
	defer cancel()
	r.options.Hint(fromRevisions(request.GetRevisions()))
	p, age, err := r.sampler.LeaderPosition(ctx, request.GetService())
	if err != nil {
		return nil, status.Error(codes.NotFound, err.Error())
	}
	return &peerv1.PositionReply{
		Position: toPosition(p), AgeUs: age.Microseconds(), Revisions: toRevisions(r.options.Revisions()),
	}, nil
}
