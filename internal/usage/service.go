package usage

import (
	"context"
	"encoding/json"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/hosts"
	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/internal/peer"
)

// GRPCPeers implements Peers by gRPC calls.
type GRPCPeers struct{ Pool *peer.Pool }

// Record implements Peers.
func (p GRPCPeers) Record(ctx context.Context, to hosts.Host, counts map[Window]Report, records []SharedRecord) (Acknowledgement, error) {
	conn, err := p.Pool.Conn(to.Address)
	if err != nil {
		return Acknowledgement{}, outcome.Wrap("send usage counts", to.Name, err)
	}
	request := &peerv1.RecordUsageRequest{}
	for w, report := range counts {
		request.Counts = append(request.Counts, countsToProto(w, report))
	}
	if request.Records, err = recordsToProto(records); err != nil {
		return Acknowledgement{}, err
	}
	reply, err := peerv1.NewUsageClient(conn).Record(ctx, request)
	if err != nil {
		return Acknowledgement{}, outcome.Wrap("send usage counts", to.Name, err)
	}
	return Acknowledgement{Clock: time.UnixMilli(reply.GetClockUnixMs()), Reported: Window(reply.GetReportedWindow())}, nil
}

// Collect implements Peers.
func (p GRPCPeers) Collect(ctx context.Context, from hosts.Host, w Window) ([]Report, []SharedRecord, error) {
	conn, err := p.Pool.Conn(from.Address)
	if err != nil {
		return nil, nil, outcome.Wrap("collect usage counts", from.Name, err)
	}
	reply, err := peerv1.NewUsageClient(conn).Collect(ctx, &peerv1.CollectUsageRequest{Window: int64(w)})
	if err != nil {
		return nil, nil, outcome.Wrap("collect usage counts", from.Name, err)
	}
	var reports []Report
	for _, c := range reply.GetCounts() {
		if c.GetWindow() == int64(w) {
			reports = append(reports, reportFromProto(c))
		}
	}
	records, err := recordsFromProto(reply.GetRecords())
	return reports, records, outcome.Wrap("collect usage counts", from.Name, err)
}

// Register adds the service for other hosts to a server.
func (r *Runner) Register(s grpc.ServiceRegistrar) { peerv1.RegisterUsageServer(s, service{runner: r}) }

type service struct {
	peerv1.UnimplementedUsageServer
	runner *Runner
}

// Record implements the gRPC service.
func (s service) Record(_ context.Context, request *peerv1.RecordUsageRequest) (*peerv1.RecordUsageReply, error) {
	records, err := recordsFromProto(request.GetRecords())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	counts := map[Window][]Report{}
	for _, c := range request.GetCounts() {
		w := Window(c.GetWindow())
		counts[w] = append(counts[w], reportFromProto(c))
	}
	ack := s.runner.Receive(counts, records)
	return &peerv1.RecordUsageReply{ClockUnixMs: ack.Clock.UnixMilli(), ReportedWindow: int64(ack.Reported)}, nil
}

// Collect implements the gRPC service.
func (s service) Collect(_ context.Context, request *peerv1.CollectUsageRequest) (*peerv1.CollectUsageReply, error) {
	w := Window(request.GetWindow())
	reports, records := s.runner.Known(w)
	reply := &peerv1.CollectUsageReply{}
	for _, report := range reports {
		reply.Counts = append(reply.Counts, countsToProto(w, report))
	}
	var err error
	if reply.Records, err = recordsToProto(records); err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return reply, nil
}

func countsToProto(w Window, r Report) *peerv1.UsageCounts {
	return &peerv1.UsageCounts{
		Host: r.Source.Host, Process: r.Source.Process, StartedUnixMs: r.Started.UnixMilli(),
		Window: int64(w), Final: r.Final, Operations: r.Counts,
	}
}

func reportFromProto(c *peerv1.UsageCounts) Report {
	return Report{
		Source: Source{Host: c.GetHost(), Process: c.GetProcess()}, Started: time.UnixMilli(c.GetStartedUnixMs()),
		Counts: c.GetOperations(), Final: c.GetFinal(),
	}
}

func recordsToProto(records []SharedRecord) ([]*peerv1.UsageRecord, error) {
	var result []*peerv1.UsageRecord
	for _, shared := range records {
		value, err := json.Marshal(shared.Record)
		if err != nil {
			return nil, err
		}
		result = append(result, &peerv1.UsageRecord{Window: int64(shared.Record.Window), Value: value, Reported: shared.Reported})
	}
	return result, nil
}

func recordsFromProto(records []*peerv1.UsageRecord) ([]SharedRecord, error) {
	var result []SharedRecord
	for _, r := range records {
		record, err := DecodeRecord(r.GetValue())
		if err != nil {
			return nil, err
		}
		result = append(result, SharedRecord{Record: record, Reported: r.GetReported()})
	}
	return result, nil
}
