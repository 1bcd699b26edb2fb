package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/connpool"
	"github.com/bramleylever/bramleylever/internal/outcome"
)

// acquireWaitDivisor divides the remaining time of the work: a lease waits for a
// connection for that part of it at most.
const acquireWaitDivisor = 2

// service implements the gRPC service on a Router.
type service struct {
	peerv1.UnimplementedRelayServer
	router *Router
}

// Ping implements the gRPC service.
func (s service) Ping(context.Context, *peerv1.PingRequest) (*peerv1.PingReply, error) {
	return &peerv1.PingReply{}, nil
}

// Lease implements the gRPC service. It runs the work of another host on one of this
// host's connections.
func (s service) Lease(stream peerv1.Relay_LeaseServer) error {
	r := s.router
	memory := r.options.Memory.Lease()
	defer memory.Release()
	if err := memory.Hold(announced(stream.Context()), memoryWait); err != nil {
		return stream.Send(exhaustedReply(err))
	}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetOpen() == nil {
		return status.Error(codes.InvalidArgument, "the first request of a lease must name an instance")
	}
	r.options.Hint(first.GetOpen().GetRevisions())
	l, err := r.openLease(stream, first)
	if errors.Is(err, errDraining) {
		return stream.Send(leavingReply())
	}
	if err != nil {
		reply := failureReply(&connpool.Answer{}, err)
		reply.NotRun = true
		return stream.Send(reply)
	}
	defer l.close()
	for request := first; ; {
		if !l.start() {
			// The other host has been told that this request is not run.
			return nil
		}
		deadline := r.now().Add(time.Duration(request.GetRemainingMs()) * time.Millisecond)
		answer, err := l.handle.Do(deadline, fromRequest(request))
		reply := toReply(&answer)
		if err != nil {
			reply = failureReply(&answer, err)
		}
		reply.Revisions = r.options.Revisions()
		if err := l.reply(reply); err != nil {
			return err
		}
		memory.Release()
		if request, err = stream.Recv(); err != nil {
			// The other host has ended the lease or is gone.
			return nil
		}
		if err := memory.Hold(requestBytes(request), 0); err != nil {
			return stream.Send(exhaustedReply(err))
		}
	}
}

// errDraining is returned for a lease that is asked for while the host drains.
var errDraining = errors.New("host is stopping")

// openLease gets a connection for another host. Waiting for it counts as a lease, from before
// the check of the drain on: a host that drains and counts no lease gets none any more.
func (r *Router) openLease(stream peerv1.Relay_LeaseServer, first *peerv1.LeaseRequest) (*lease, error) {
	r.opening.Add(1)
	defer r.opening.Add(-1)
	if r.draining.Load() {
		return nil, errDraining
	}
	open := first.GetOpen()
	snapshot := r.options.Catalog()
	server := snapshot.Servers[open.GetServerId()]
	if server == nil || server.Started != open.GetStarted() {
		return nil, fmt.Errorf("instance %s is not known here: %w", open.GetServerId(), outcome.ErrNotRun)
	}
	wait := time.Duration(first.GetRemainingMs()) * time.Millisecond / acquireWaitDivisor
	ctx, cancel := context.WithTimeout(stream.Context(), wait)
	defer cancel()
	request := connpool.Request{
		Account: open.GetAccount(), Values: fromRequest(first).Values,
		Class: catalog.Class(min(open.GetClass(), uint32(catalog.MaxClass))), Due: dueFromProto(open.GetDueMs()),
	}
	handle, err := r.options.Pool.AcquireHandle(ctx, server, request, r.connLimit(snapshot, server))
	if err != nil {
		return nil, err
	}
	return r.addLease(stream, handle), nil
}

// failureReply returns the reply for work that failed.
func failureReply(answer *connpool.Answer, err error) *peerv1.LeaseReply {
	reply := toReply(answer)
	reply.Error = []byte(err.Error())
	reply.NotRun = outcome.RetrySafe(err)
	reply.Unreachable = errors.Is(err, connpool.ErrUnreachable)
	var refusal *connpool.Refusal
	if errors.As(err, &refusal) {
		reply.RefusalCode, reply.NotRun = []byte(refusal.Code), true
	}
	return reply
}

// maxConns returns the maximum number of connections that an instance accepts.
func maxConns(snapshot *catalog.Snapshot, server *catalog.Server) int {
	if s := snapshot.Service(server.Service); s != nil && s.MaxConns > 0 {
		return s.MaxConns
	}
	return defaultMaxConns
}

// connLimit returns how many connections this host may keep to an instance. The owners
// share all but a reserve of the instance's connections. The next host in the ranking
// gets the same limit, because it may have to replace an owner.
func (r *Router) connLimit(snapshot *catalog.Snapshot, server *catalog.Server) connpool.Limit {
	conns := maxConns(snapshot, server)
	ranked, count := r.rankedOwners(server, conns)
	for rank, h := range ranked {
		if h.Name == r.options.Self && rank <= count {
			share := max(minOwnedConns, int(ownedFraction*float64(conns))/count)
			return connpool.Limit{MaxOpen: share, MaxIdle: share}
		}
	}
	return connpool.Limit{MaxOpen: directConns, MaxIdle: 1}
}

const (
	// defaultMaxConns applies to services without a limit of their own.
	defaultMaxConns = 32
	// ownedFraction is the fraction of an instance's connections for its owners. The
	// rest is reserved for hosts that cannot reach an owner.
	ownedFraction = 0.85
	// minOwnedConns is the minimum number of connections that an owner may open.
	minOwnedConns = 2
	// directConns is the number of connections that a host that is not an owner may open.
	directConns = 2
)
