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
	"github.com/bramleylever/bramleylever/internal/topology"
)

const (
	// pushConcurrency bounds the pushes of one change that run at a time.
	pushConcurrency = 64
	// fetchInterval bounds how often a differing topology hash leads to a
	// fetch.
	fetchInterval = time.Second
	// maxReportInstances bounds what one report can make a coordinator keep.
	maxReportInstances = 64
)

// Register serves the Failover service on s.
func (r *Runner) Register(s grpc.ServiceRegistrar) { peerv1.RegisterFailoverServer(s, r) }

// deliver brings a report to the coordinator of the database.
func (r *Runner) deliver(ctx context.Context, now time.Time, d *database, report []Observation) {
	m, claimed, ok := r.holder(d.bucket)
	if epoch, _ := r.epochs.Epoch(d.bucket); d.coordinator != nil && epoch != 0 && epoch >= claimed {
		r.step(ctx, now, d, DomainReport{Domain: r.o.Self.Domain, Observations: report})
		return
	}
	if !ok || d.reporting || r.o.Peers == nil || m.Host == r.o.Self.Host {
		return
	}
	d.reporting = true
	request := &peerv1.ProbeReport{
		Sender:    r.o.Self.Sender(),
		Database:  d.name,
		Instances: observationMessages(report),
	}
	go func() {
		r.sendReport(ctx, m, request)
		r.post(func(time.Time) { d.reporting = false })
	}()
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
		r.o.Log.Debug("report probe", zap.String(logging.FieldPeer, to.Host), zap.Error(err))
		return
	}
	r.merge(reply.GetGroups())
}

func (r *Runner) client(address string) (peerv1.FailoverClient, error) {
	if r.o.Peers == nil {
		return nil, errors.New("no connections to peers")
	}
	conn, err := r.o.Peers.Conn(address)
	if err != nil {
		return nil, err
	}
	return peerv1.NewFailoverClient(conn), nil
}

// merge updates the table and reports the groups that changed it.
func (r *Runner) merge(groups []*peerv1.GroupTopology) []topology.Group {
	var changed []topology.Group
	for _, m := range groups {
		if g := groupOf(m); g.Database != "" && g.Primary != "" && r.update(g) {
			changed = append(changed, g)
		}
	}
	return changed
}

// push sends groups to members. Failures are left to the digests, which show
// the receiver that its table differs.
func (r *Runner) push(ctx context.Context, members []membership.Member, groups []topology.Group) {
	if r.o.Peers == nil || len(groups) == 0 {
		return
	}
	request := &peerv1.TopologyRequest{Sender: r.o.Self.Sender(), Groups: groupMessages(groups)}
	var sends errgroup.Group
	sends.SetLimit(pushConcurrency)
	for _, m := range members {
		if m.Host == r.o.Self.Host || m.State != membership.StateAlive {
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
				r.o.Log.Debug("push topology", zap.String(logging.FieldPeer, m.Host), zap.Error(err))
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
	event := DomainReport{Domain: domain, Observations: observationsOf(request.GetInstances())}
	r.post(func(now time.Time) {
		if d, ok := r.databases[name]; ok && d.coordinator != nil {
			r.step(r.ctx, now, d, event)
		}
	})
	reply := &peerv1.ProbeReportReply{Sender: r.o.Self.Sender()}
	if g, ok := r.o.Topology.Group(name); ok {
		reply.Groups = groupMessages([]topology.Group{g})
	}
	return reply, ctx.Err()
}

// PushTopology implements peerv1.FailoverServer. A push from another failure
// domain that changed the table is passed on within the own domain, because
// the coordinator knows only some hosts of other domains.
func (r *Runner) PushTopology(_ context.Context, request *peerv1.TopologyRequest) (*peerv1.TopologyReply, error) {
	changed := r.merge(request.GetGroups())
	if len(changed) > 0 && request.GetSender().GetDomain() != r.o.Self.Domain {
		go func() { r.push(r.ctx, membership.LiveIn(r.o.View, r.o.Self.Domain), changed) }()
	}
	return &peerv1.TopologyReply{Sender: r.o.Self.Sender()}, nil
}

// FetchTopology implements peerv1.FailoverServer.
func (r *Runner) FetchTopology(_ context.Context, request *peerv1.TopologyRequest) (*peerv1.TopologyReply, error) {
	r.merge(request.GetGroups())
	return &peerv1.TopologyReply{Sender: r.o.Self.Sender(), Groups: groupMessages(r.o.Topology.All())}, nil
}

// OnDigest takes the topology hash of another host and fetches its table if it
// differs, at most once per fetchInterval. It does not block.
func (r *Runner) OnDigest(from membership.Member, hash uint64) {
	if hash == r.o.Topology.Hash() {
		return
	}
	now := time.Now()
	last := r.fetchedAt.Load()
	if last != nil && now.Sub(*last) < fetchInterval || !r.fetchedAt.CompareAndSwap(last, &now) {
		return
	}
	go r.fetch(r.ctx, from)
}

func (r *Runner) fetch(ctx context.Context, from membership.Member) {
	client, err := r.client(from.Address)
	if err != nil {
		return
	}
	reply, err := peer.Call(ctx, func(ctx context.Context) (*peerv1.TopologyReply, error) {
		return client.FetchTopology(ctx, &peerv1.TopologyRequest{Sender: r.o.Self.Sender()})
	})
	if err != nil {
		r.o.Log.Debug("fetch topology", zap.String(logging.FieldPeer, from.Host), zap.Error(err))
		return
	}
	r.merge(reply.GetGroups())
}

// Switchover implements peerv1.FailoverServer. A request that names no sending
// host is passed on to the coordinator.
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
		Sender: r.o.Self.Sender(),
		Done:   done.Done,
		Reason: done.Reason,
		Group:  groupMessage(done.Group),
	}, nil
}

// RequestSwitchover asks the coordinator of a database, wherever it is, for a
// planned change of primary, and waits for the end. An empty target lets the
// coordinator choose. The error matches outcome.ErrUnknown if the coordinator
// did not answer.
func (r *Runner) RequestSwitchover(ctx context.Context, database, target string) (SwitchoverDone, error) {
	m, _, ok := membership.BucketHolder(r.o.View, control.Bucket("database", database))
	if !ok || m.Host == r.o.Self.Host {
		return r.localSwitchover(ctx, database, target)
	}
	client, err := r.client(m.Address)
	if err != nil {
		return SwitchoverDone{}, outcome.Wrap("switchover", m.Host, err)
	}
	reply, err := client.Switchover(ctx, &peerv1.SwitchoverRequest{
		Sender:   r.o.Self.Sender(),
		Database: database,
		Target:   target,
	})
	if err != nil {
		return SwitchoverDone{}, outcome.Wrap("switchover", m.Host, fmt.Errorf("%w: %w", outcome.ErrUnknown, err))
	}
	return SwitchoverDone{Done: reply.GetDone(), Reason: reply.GetReason(), Group: groupOf(reply.GetGroup())}, nil
}
