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

	"github.com/bramleylever/bramleylever/internal/recovery"
)

const (
	// keepaliveTime is how long a connection may be idle before it is probed;
	// 1 s is the minimum of gRPC.
	keepaliveTime = time.Second
	// keepaliveTimeout is how long to wait for the answer to a probe before the
	// connection is closed.
	keepaliveTimeout = 700 * time.Millisecond
	// streamWindowBytes and connWindowBytes are the flow-control windows of a stream, and of
	// all streams of a connection.
	streamWindowBytes = 64 << 10
	connWindowBytes   = 1 << 20
)

// Server is the gRPC server on which the components of the proxy register their
// services for peers.
type Server struct {
	*grpc.Server
	listener net.Listener
}

// Listen returns a server that listens on an address; with port 0 the kernel
// chooses a port. Serve must be called after the services are registered.
func Listen(address string, registry metrics.Registry) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	return NewServer(listener, registry), nil
}

// NewServer returns a server on an open listener.
func NewServer(listener net.Listener, registry metrics.Registry) *Server {
	options := append(recovery.ServerOptions(),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		// A fixed window bounds what a stream can send before the receiver takes it in.
		grpc.InitialWindowSize(streamWindowBytes), grpc.InitialConnWindowSize(connWindowBytes),
		grpc.StatsHandler(NewTrafficStats(registry)),
		// Closes the connection to a peer that became unreachable, which ends the
		// peer's leases of connections that this host owns.
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	)
	return &Server{Server: grpc.NewServer(options...), listener: listener}
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve handles calls until Stop is called.
func (s *Server) Serve() error { return s.Server.Serve(s.listener) }

// TrafficStats is a stats.Handler that counts the calls between proxies and their
// bytes on the wire, without the framing of HTTP/2 and TCP.
type TrafficStats struct {
	received, sent, calls metrics.Counter
}

// NewTrafficStats returns a handler whose counters are registered in a registry.
// With a nil registry, the counters are not published.
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
