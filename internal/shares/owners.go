package shares

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/control"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/membership"
	"github.com/bramleylever/bramleylever/internal/records"
	"github.com/bramleylever/bramleylever/share"
)

// bucketState holds the owners of the resources of one bucket in one epoch. It is
// kept when the lease lapses and is renewed late, because no other host grants in
// the same epoch.
type bucketState struct {
	epoch      uint64
	held       bool
	byResource map[resource]*share.Owner
}

// owners manages the resource owners of the buckets that this host holds. A bucket
// that is lost and gained again in a new epoch starts with new owners.
type owners struct {
	options Options
	stats   stats

	mu      sync.Mutex
	buckets map[uint32]*bucketState
	hosts   int
	// limits holds the limits of the last snapshot that was read.
	limits   map[resource]share.Limit
	snapshot *records.Snapshot
}

func newOwners(options Options, s stats) *owners {
	return &owners{options: options, stats: s, buckets: map[uint32]*bucketState{}, hosts: 1}
}

// readLimits updates the limits if the records have changed.
func (o *owners) readLimits() {
	snapshot := o.options.Feed.Current()
	if snapshot == o.snapshot {
		return
	}
	o.snapshot = snapshot
	o.limits = map[resource]share.Limit{}
	for name, a := range snapshot.Accounts {
		o.limits[resource{share.Rate, name}] = share.Limit{Rate: a.RequestsPerSecond, Capacity: a.Burst}
	}
	for _, db := range snapshot.Databases {
		for _, in := range db.Instances {
			o.limits[resource{share.Units, in.Name}] = share.Limit{Capacity: float64(db.ConnectionLimit)}
		}
	}
}

// refresh updates the buckets that this host holds, the limits and the number of
// hosts. It creates all owners of a bucket right away, so that the time for which
// the owner of a new epoch must wait begins at once.
func (o *owners) refresh(now time.Time) {
	hosts := 0
	for _, m := range o.options.Members.Members() {
		if m.State == membership.StateAlive && !m.Draining {
			hosts++
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.hosts = max(1, hosts)
	o.readLimits()
	owned := 0
	for bucket := uint32(0); bucket < control.BucketCount; bucket++ {
		if _, ok := o.heldBucket(bucket); ok {
			owned++
		}
	}
	o.stats.owned.Update(int64(owned))
	if owned == 0 {
		return
	}
	for res, limit := range o.limits {
		o.resourceOwner(res, limit, now)
	}
}

// heldBucket returns the state of a bucket if this host holds the bucket now.
func (o *owners) heldBucket(bucket uint32) (*bucketState, bool) {
	epoch, held := o.options.Buckets.Held(bucket)
	b, had := o.buckets[bucket]
	if had && b.held && (!held || b.epoch != epoch) {
		b.held = false
		o.log("share_owner_lost", bucket, b.epoch)
	}
	if !held {
		return nil, false
	}
	if !had || b.epoch != epoch {
		b = &bucketState{epoch: epoch, byResource: map[resource]*share.Owner{}}
		o.buckets[bucket] = b
	}
	if !b.held {
		b.held = true
		o.log("share_owner_gained", bucket, epoch)
	}
	return b, true
}

func (o *owners) log(decision string, bucket uint32, epoch uint64) {
	if o.options.Log == nil {
		return
	}
	o.options.Log.Info("share ownership changed",
		zap.String(logging.FieldDecision, decision),
		zap.Uint32("bucket", bucket),
		zap.Uint64("epoch", epoch))
}

// resourceOwner returns the owner of a resource, updated to the present limit, if
// this host holds the bucket of the resource.
func (o *owners) resourceOwner(res resource, limit share.Limit, now time.Time) (*share.Owner, bool) {
	b, ok := o.heldBucket(res.bucket())
	if !ok {
		return nil, false
	}
	owner, ok := b.byResource[res]
	if !ok {
		owner = share.NewOwner(config(res.kind), b.epoch, limit, o.hosts, now)
		b.byResource[res] = owner
	}
	owner.SetLimit(limit, now)
	owner.SetHosts(o.hosts)
	return owner, true
}

// handle answers the demands of one holder. Demands for resources that this
// host does not own are left out.
func (o *owners) handle(in *peerv1.BorrowRequest, now time.Time) (*peerv1.BorrowReply, error) {
	if in.GetSender().GetHost() == "" {
		return nil, status.Error(codes.InvalidArgument, "borrow: sender.host is empty")
	}
	reply := &peerv1.BorrowReply{Sender: o.options.Identity.Sender()}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.readLimits()
	owned := 0
	for i, d := range in.GetDemands() {
		res := resource{kindFromProto(d.GetKind()), d.GetResource()}
		limit, ok := o.limits[res]
		if !ok {
			continue
		}
		owner, ok := o.resourceOwner(res, limit, now)
		if !ok {
			continue
		}
		owned++
		answer, err := handleDemand(owner, in.GetSender(), d, now)
		if errors.Is(err, share.ErrMalformed) {
			o.stats.rejected.Inc(1)
			return nil, status.Errorf(codes.InvalidArgument, "borrow: peer %s: demands[%d]: %s",
				in.GetSender().GetHost(), i, err)
		}
		if err != nil {
			o.stats.rejected.Inc(1)
			continue
		}
		o.stats.handled.Inc(1)
		reply.Grants = append(reply.Grants, &peerv1.ResourceGrants{
			Kind:     d.GetKind(),
			Resource: d.GetResource(),
			Grants:   grantsToProto(answer.Grants),
			Sequence: answer.Sequence,
			Epoch:    answer.Epoch,
		})
	}
	if owned == 0 {
		return nil, status.Error(codes.NotFound, "borrow: this host owns none of the resources")
	}
	return reply, nil
}

func handleDemand(owner *share.Owner, sender *peerv1.Sender, d *peerv1.Demand, now time.Time) (share.Answer, error) {
	call, err := callFromProto(sender, d)
	if err != nil {
		return share.Answer{}, err
	}
	answer, err := owner.Handle(call, now)
	if err != nil {
		return share.Answer{}, fmt.Errorf("%s: %w", d.GetResource(), err)
	}
	return answer, nil
}

// server serves the calls of other hosts over gRPC.
type server struct {
	peerv1.UnimplementedSharesServer
	runner *Runner
}

// Register adds the service to a gRPC server.
func (r *Runner) Register(s grpc.ServiceRegistrar) {
	peerv1.RegisterSharesServer(s, &server{runner: r})
}

// Borrow handles the call of another host.
func (s *server) Borrow(_ context.Context, in *peerv1.BorrowRequest) (*peerv1.BorrowReply, error) {
	return s.runner.owners.handle(in, s.runner.options.Now())
}
