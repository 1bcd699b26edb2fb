package peer

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"
)

const (
	// keepaliveTime is how long a connection may be silent before it is probed;
	// 1 s is the least that gRPC allows.
	keepaliveTime = time.Second
	// keepaliveTimeout is how long a probe may stay without an answer.
	keepaliveTimeout = 700 * time.Millisecond
)

// Server is the gRPC server on which the slices register their services.
type Server struct {
	*grpc.Server
	listener net.Listener
}

// Listen opens the address for peers; port 0 lets the kernel choose. Serve must
// be called after the services are registered.
func Listen(address string, registry metrics.Registry) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	return NewServer(listener, registry), nil
}

// NewServer returns a server on a listener that is open already.
func NewServer(listener net.Listener, registry metrics.Registry) *Server {
	server := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.StatsHandler(NewTrafficStats(registry)),
		// A host that is cut off must not keep leases of this one.
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	)
	return &Server{Server: server, listener: listener}
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve answers calls until Stop.
func (s *Server) Serve() error { return s.Server.Serve(s.listener) }

// TrafficStats counts the bytes of calls between proxies, as they are on the wire
// without the framing of HTTP/2 and TCP.
type TrafficStats struct {
	received, sent, calls metrics.Counter
}

// NewTrafficStats registers its counters in a registry; a nil registry counts
// nothing that is shown.
func NewTrafficStats(registry metrics.Registry) *TrafficStats {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	return &TrafficStats{
		received: metrics.GetOrRegisterCounter("peer.received_bytes", registry),
		sent:     metrics.GetOrRegisterCounter("peer.sent_bytes", registry),
		calls:    metrics.GetOrRegisterCounter("peer.calls_count", registry),
	}
}

// TagRPC implements stats.Handler.
func (t *TrafficStats) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (t *TrafficStats) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch s := s.(type) {
	case *stats.Begin:
		t.calls.Inc(1)
	case *stats.InPayload:
		t.received.Inc(int64(s.WireLength))
	case *stats.InHeader:
		t.received.Inc(int64(s.WireLength))
	case *stats.OutPayload:
		t.sent.Inc(int64(s.WireLength))
	}
}

// TagConn implements stats.Handler.
func (t *TrafficStats) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (t *TrafficStats) HandleConn(context.Context, stats.ConnStats) {}
