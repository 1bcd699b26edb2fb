package leadership

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/platform"
)

// service implements the gRPC service on a Runner.
type service struct {
	peerv1.UnimplementedLeadershipServer
	runner *Runner
}

// Register adds the gRPC service for other hosts to a server.
func (r *Runner) Register(s grpc.ServiceRegistrar) {
	peerv1.RegisterLeadershipServer(s, service{runner: r})
}

// Heartbeat implements the gRPC service.
func (s service) Heartbeat(_ context.Context, request *peerv1.HeartbeatRequest) (*peerv1.HeartbeatReply, error) {
	r := s.runner
	r.core.MergeClosed(closedFromProto(request.GetClosed()))
	r.options.Hint(request.GetRevisions())
	reply := heartbeatToProto(r.core.Heartbeat(r.now()), request.GetMembersHash(), r.options.Revisions())
	reply.Catalog = r.options.Catalog.Confirmations()
	return reply, nil
}

// CloseTerm implements the gRPC service. No statement is sent to a leader of the term
// after the reply, and no answer of it counts any more.
func (s service) CloseTerm(_ context.Context, request *peerv1.CloseTermRequest) (*peerv1.CloseTermReply, error) {
	closed := request.GetClosed()
	if closed.GetService() == "" || closed.GetEpoch() == 0 {
		return nil, status.Error(codes.InvalidArgument, "closed: service and epoch are required")
	}
	s.runner.closeLocally(closed.GetService(), closed.GetEpoch())
	return &peerv1.CloseTermReply{}, nil
}

// Demote implements the gRPC service.
func (s service) Demote(ctx context.Context, request *peerv1.DemoteRequest) (*peerv1.DemoteReply, error) {
	if request.GetEpoch() == 0 {
		return nil, status.Error(codes.InvalidArgument, "epoch is required")
	}
	if err := s.runner.options.DemoteHere(ctx, request.GetServerId(), request.GetEpoch()); err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &peerv1.DemoteReply{}, nil
}

func closedToProto(closed map[string]uint64) []*peerv1.ClosedTerm {
	out := make([]*peerv1.ClosedTerm, 0, len(closed))
	for name, epoch := range closed {
		out = append(out, &peerv1.ClosedTerm{Service: name, Epoch: epoch})
	}
	return out
}

func closedFromProto(closed []*peerv1.ClosedTerm) map[string]uint64 {
	out := make(map[string]uint64, len(closed))
	for _, c := range closed {
		out[c.GetService()] = max(out[c.GetService()], c.GetEpoch())
	}
	return out
}

// unknownAge stands for a store age that is not known.
const unknownAge = ^uint32(0)

// ageToProto rounds up, so that nothing looks younger than it is.
func ageToProto(age time.Duration) uint32 {
	return uint32((age + time.Millisecond - 1) / time.Millisecond)
}

func ageFromProto(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

const (
	// ageUnit is the unit of the ages of a compact heartbeat, and unknownUnits stands
	// for an age that is not known.
	ageUnit      = 10 * time.Millisecond
	unknownUnits = 255
)

// heartbeatToProto encodes a heartbeat for a host that counts the hosts with the given
// hash. If these are the same as the sender's, the ages need no names.
func heartbeatToProto(h Heartbeat, membersHash uint64, revisions *peerv1.CatalogRevisions) *peerv1.HeartbeatReply {
	reply := &peerv1.HeartbeatReply{
		Closed: closedToProto(h.Closed), StoreAgeMs: unknownAge, Confirms: h.Confirms,
		Revisions: revisions, SettledGeneration: int64(h.Settled),
	}
	for name, leader := range h.Leaders {
		reply.Leaders = append(reply.Leaders, &peerv1.Leader{Service: name, Epoch: leader.Epoch, ServerId: leader.Instance})
	}
	if membersHash == h.MembersHash {
		reply.Ages = compactAges(h)
	} else {
		for id, age := range h.Ages {
			reply.Hosts = append(reply.Hosts, id)
			reply.AgesMs = append(reply.AgesMs, ageToProto(age))
		}
	}
	if h.StoreAge >= 0 && h.StoreAge < maxStoreSilence {
		reply.StoreAgeMs = ageToProto(h.StoreAge)
	}
	return reply
}

// compactAges returns the ages of all members in the order of their names.
func compactAges(h Heartbeat) []byte {
	out := make([]byte, len(h.Members))
	for i, id := range h.Members {
		out[i] = unknownUnits
		if age, ok := h.Ages[id]; ok {
			out[i] = byte(min(unknownUnits, (age+ageUnit-1)/ageUnit))
		}
	}
	return out
}

// heartbeatFromProto decodes a heartbeat. members are the hosts that this host counted
// when it sent the request.
func heartbeatFromProto(reply *peerv1.HeartbeatReply, members []uint32) Heartbeat {
	h := Heartbeat{
		Ages: make(map[uint32]time.Duration, len(reply.GetHosts())), Closed: closedFromProto(reply.GetClosed()),
		Leaders: make(map[string]Leader, len(reply.GetLeaders())), StoreAge: -1, Confirms: reply.GetConfirms(),
		Settled: platform.Generation(reply.GetSettledGeneration()),
	}
	for _, l := range reply.GetLeaders() {
		h.Leaders[l.GetService()] = Leader{Instance: l.GetServerId(), Epoch: l.GetEpoch()}
	}
	ages := reply.GetAgesMs()
	for i, id := range reply.GetHosts() {
		if i < len(ages) {
			h.Ages[id] = ageFromProto(ages[i])
		}
	}
	if compact := reply.GetAges(); len(compact) == len(members) {
		for i, units := range compact {
			if units != unknownUnits {
				h.Ages[members[i]] = time.Duration(units) * ageUnit
			}
		}
	}
	if reply.GetStoreAgeMs() != unknownAge {
		h.StoreAge = ageFromProto(reply.GetStoreAgeMs())
	}
	return h
}
