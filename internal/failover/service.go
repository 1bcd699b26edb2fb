package failover

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/control"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/membership"
	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/internal/peer"
	"github.com/bramleylever/bramleylever/internal/recovery"
	"github.com/bramleylever/bramleylever/internal/topology"
)

const (
	// maxConcurrentPushes is the maximum number of concurrent pushes of one topology
	// change.
	maxConcurrentPushes = 64
	// fetchInterval is the minimum time between fetches caused by differing topology
	// hashes.
	fetchInterval = time.Second
	// maxReportInstances is the maximum number of instances in one probe report. It bounds
	// the state that a report can create in a coordinator.
	maxReportInstances = 64
)

// Register registers the Failover service with s.
func (r *Runner) Register(s grpc.ServiceRegistrar) { peerv1.RegisterFailoverServer(s, r) }

// deliverReport passes a report to the coordinator of the database on this host, or sends
// it to the host that holds the bucket.
func (r *Runner) deliverReport(ctx context.Context, now time.Time, d *database, report []Observation) {
	m, claimed, ok := r.bucketHolder(d.bucket)
	if epoch, _ := r.epochs.Epoch(d.bucket); d.coordinator != nil && epoch != 0 && epoch >= claimed {
		r.step(ctx, now, d, DomainReport{Domain: r.options.Self.Domain, Observations: report})
		return
	}
	if !ok || d.reporting || r.options.Peers == nil || m.Host == r.options.Self.Host {
		return
	}
	d.reporting = true
	request := &peerv1.ProbeReport{
		Sender:    r.options.Self.Sender(),
		Database:  d.name,
		Instances: observationsToProto(report),
	}
	recovery.Go("probe report", func() {
		defer r.post(func(time.Time) { d.reporting = false })
		r.sendReport(ctx, m, request)
	})
}

func (r *Runner) sendReport(ctx context.Context, to membership.Member, request *peerv1.ProbeReport) {
	client, err := r.client(to.Address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, ReportInterval)
	defer cancel()
	reply, err := client.ReportProbe(ctx, request)
	if err != nil {
		r.options.Log.Debug("delivery of a probe report failed", zap.String(logging.FieldPeer, to.Host), zap.Error(err))
		return
	}
	r.mergeTopology(reply.GetGroups())
}

func (r *Runner) client(address string) (peerv1.FailoverClient, error) {
	if r.options.Peers == nil {
		return nil, errors.New("no connections to peers")
	}
	conn, err := r.options.Peers.Conn(address)
	if err != nil {
		return nil, err
	}
	return peerv1.NewFailoverClient(conn), nil
}

// mergeTopology applies received groups to the topology table and returns those that
// changed it.
func (r *Runner) mergeTopology(groups []*peerv1.GroupTopology) []topology.Group {
	var changed []topology.Group
	for _, m := range groups {
		if g := groupFromProto(m); g.Database != "" && g.Primary != "" && r.update(g) {
			changed = append(changed, g)
		}
	}
	return changed
}

// push sends groups to live members. A failed push is not retried: the receiver fetches the
// table when a gossip digest shows it that its own differs.
func (r *Runner) push(ctx context.Context, members []membership.Member, groups []topology.Group) {
	if r.options.Peers == nil || len(groups) == 0 {
		return
	}
	request := &peerv1.TopologyRequest{Sender: r.options.Self.Sender(), Groups: groupsToProto(groups)}
	var sends errgroup.Group
	sends.SetLimit(maxConcurrentPushes)
	for _, m := range members {
		if m.Host == r.options.Self.Host || m.State != membership.StateAlive {
			continue
		}
		sends.Go(func() error {
			client, err := r.client(m.Address)
			if err != nil {
				return err
			}
			_, err = peer.Call(ctx, func(ctx context.Context) (*peerv1.TopologyReply, error) {
				return client.PushTopology(ctx, request)
			})
			if err != nil {
				r.options.Log.Debug("topology push to a peer failed", zap.String(logging.FieldPeer, m.Host), zap.Error(err))
			}
			return nil
		})
	}
	_ = sends.Wait()
}

// ReportProbe implements peerv1.FailoverServer.
func (r *Runner) ReportProbe(ctx context.Context, request *peerv1.ProbeReport) (*peerv1.ProbeReportReply, error) {
	domain := request.GetSender().GetDomain()
	if domain == "" {
		return nil, status.Error(codes.InvalidArgument, "report probe: sender.domain is empty")
	}
	if n := len(request.GetInstances()); n > maxReportInstances {
		return nil, status.Errorf(codes.InvalidArgument, "report probe: %d instances exceed the limit of %d", n, maxReportInstances)
	}
	name := request.GetDatabase()
	event := DomainReport{Domain: domain, Observations: observationsFromProto(request.GetInstances())}
	r.post(func(now time.Time) {
		if d, ok := r.databases[name]; ok && d.coordinator != nil {
			r.step(r.ctx, now, d, event)
		}
	})
	reply := &peerv1.ProbeReportReply{Sender: r.options.Self.Sender()}
	if g, ok := r.options.Topology.Group(name); ok {
		reply.Groups = groupsToProto([]topology.Group{g})
	}
	return reply, ctx.Err()
}

// PushTopology implements peerv1.FailoverServer. It forwards changes that come from another
// failure domain to all hosts of its own domain, because the coordinator knows only some
// hosts of other domains.
func (r *Runner) PushTopology(_ context.Context, request *peerv1.TopologyRequest) (*peerv1.TopologyReply, error) {
	changed := r.mergeTopology(request.GetGroups())
	if len(changed) > 0 && request.GetSender().GetDomain() != r.options.Self.Domain {
		recovery.Go("push topology", func() { r.push(r.ctx, membership.LiveIn(r.options.View, r.options.Self.Domain), changed) })
	}
	return &peerv1.TopologyReply{Sender: r.options.Self.Sender()}, nil
}

// FetchTopology implements peerv1.FailoverServer.
func (r *Runner) FetchTopology(_ context.Context, request *peerv1.TopologyRequest) (*peerv1.TopologyReply, error) {
	r.mergeTopology(request.GetGroups())
	return &peerv1.TopologyReply{Sender: r.options.Self.Sender(), Groups: groupsToProto(r.options.Topology.All())}, nil
}

// OnDigest compares the topology hash of another host with that of this host and fetches
// the other host's table if they differ, at most once per fetchInterval. It does not block.
func (r *Runner) OnDigest(from membership.Member, hash uint64) {
	if hash == r.options.Topology.Hash() {
		return
	}
	now := time.Now()
	last := r.fetchedAt.Load()
	if last != nil && now.Sub(*last) < fetchInterval || !r.fetchedAt.CompareAndSwap(last, &now) {
		return
	}
	recovery.Go("fetch topology", func() { r.fetch(r.ctx, from) })
}

func (r *Runner) fetch(ctx context.Context, from membership.Member) {
	client, err := r.client(from.Address)
	if err != nil {
		return
	}
	reply, err := peer.Call(ctx, func(ctx context.Context) (*peerv1.TopologyReply, error) {
		return client.FetchTopology(ctx, &peerv1.TopologyRequest{Sender: r.options.Self.Sender()})
	})
	if err != nil {
		r.options.Log.Debug("topology fetch from a peer failed", zap.String(logging.FieldPeer, from.Host), zap.Error(err))
		return
	}
	r.mergeTopology(reply.GetGroups())
}

// Switchover implements peerv1.FailoverServer. A request without a sending host is
// forwarded to the host that coordinates the database.
func (r *Runner) Switchover(ctx context.Context, request *peerv1.SwitchoverRequest) (*peerv1.SwitchoverReply, error) {
	var done SwitchoverDone
	var err error
	if request.GetSender().GetHost() == "" {
		done, err = r.RequestSwitchover(ctx, request.GetDatabase(), request.GetTarget())
	} else {
		done, err = r.localSwitchover(ctx, request.GetDatabase(), request.GetTarget())
	}
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &peerv1.SwitchoverReply{
		Sender: r.options.Self.Sender(),
		Done:   done.Done,
		Reason: done.Reason,
		Group:  groupToProto(done.Group),
	}, nil
}

// RequestSwitchover requests a planned switchover from the coordinator of a database, on
// this host or another one, and waits for the result. With an empty target the coordinator
// chooses the instance. The error matches outcome.ErrUnknown if the coordinator did not
// answer.
func (r *Runner) RequestSwitchover(ctx context.Context, database, target string) (SwitchoverDone, error) {
	m, _, ok := membership.BucketHolder(r.options.View, control.Bucket("database", database))
	if !ok || m.Host == r.options.Self.Host {
		return r.localSwitchover(ctx, database, target)
	}
	client, err := r.client(m.Address)
	if err != nil {
		return SwitchoverDone{}, outcome.Wrap("switchover", m.Host, err)
	}
	reply, err := client.Switchover(ctx, &peerv1.SwitchoverRequest{
		Sender:   r.options.Self.Sender(),
		Database: database,
		Target:   target,
	})
	if err != nil {
		return SwitchoverDone{}, outcome.Wrap("switchover", m.Host, fmt.Errorf("%w: %w", outcome.ErrUnknown, err))
	}
	return SwitchoverDone{Done: reply.GetDone(), Reason: reply.GetReason(), Group: groupFromProto(reply.GetGroup())}, nil
}
