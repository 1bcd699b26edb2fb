package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"

	pb "github.com/bramleylever/bramleylever/api/etcd/etcdserverpb"
)

const (
	// expiryInterval is the interval between checks for expired leases.
	expiryInterval = 20 * time.Millisecond
	// progressInterval is the interval between unsolicited progress notifications.
	progressInterval = time.Second
)

// Options configures a stand-in; the zero value is usable.
type Options struct {
	// Now is the clock by which leases expire; nil means time.Now.
	Now func() time.Time
}

// Server is a running stand-in.
type Server struct {
	pb.UnimplementedKVServer
	pb.UnimplementedLeaseServer
	pb.UnimplementedWatchServer

	engine    *engine
	faults    *faults
	calls     *callCounter
	listener  net.Listener
	grpc      *grpc.Server
	done      chan struct{}
	wg        sync.WaitGroup
	closeOnce sync.Once
}

// Start starts a stand-in on a TCP address; with port 0 the kernel chooses the port.
func Start(address string, o Options) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: address %s: %w", address, err)
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	s := &Server{
		engine:   newEngine(o.Now),
		faults:   newFaults(),
		calls:    newCallCounter(),
		listener: listener,
		done:     make(chan struct{}),
	}
	s.grpc = grpc.NewServer(
		grpc.UnaryInterceptor(s.intercept),
		grpc.MaxRecvMsgSize(2*maxRequestBytes),
	)
	pb.RegisterKVServer(s.grpc, s)
	pb.RegisterLeaseServer(s.grpc, s)
	pb.RegisterWatchServer(s.grpc, s)
	s.wg.Add(2)
	go func() {
		defer s.wg.Done()
		_ = s.grpc.Serve(&faultListener{Listener: listener, faults: s.faults})
	}()
	go func() {
		defer s.wg.Done()
		s.expireLeases()
	}()
	return s, nil
}

// Address returns the address that the stand-in listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the stand-in.
func (s *Server) Close() error {
	s.closeOnce.Do(func() {
		close(s.done)
		s.faults.close()
		s.grpc.Stop()
		s.wg.Wait()
	})
	return nil
}

func (s *Server) expireLeases() {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-ticker.C:
			s.engine.expire()
		}
	}
}

// Compact discards the history up to and including a revision.
func (s *Server) Compact(revision int64) { s.engine.compact(revision) }

// Revision returns the current revision.
func (s *Server) Revision() int64 {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	return s.engine.revision
}

// Range implements the Range call: it reads keys.
func (s *Server) Range(_ context.Context, r *pb.RangeRequest) (*pb.RangeResponse, error) {
	s.engine.expire()
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	return s.engine.read(r)
}

// Txn implements the Txn call: it changes keys atomically.
func (s *Server) Txn(_ context.Context, r *pb.TxnRequest) (*pb.TxnResponse, error) {
	return s.engine.txn(r)
}

// LeaseGrant implements the LeaseGrant call: it creates a lease.
func (s *Server) LeaseGrant(_ context.Context, r *pb.LeaseGrantRequest) (*pb.LeaseGrantResponse, error) {
	id, err := s.engine.grant(r.ID, r.TTL)
	if err != nil {
		return nil, err
	}
	return &pb.LeaseGrantResponse{Header: s.responseHeader(), ID: id, TTL: max(r.TTL, 1)}, nil
}

// LeaseRevoke implements the LeaseRevoke call: it deletes a lease and its keys.
func (s *Server) LeaseRevoke(_ context.Context, r *pb.LeaseRevokeRequest) (*pb.LeaseRevokeResponse, error) {
	if err := s.engine.revoke(r.ID); err != nil {
		return nil, err
	}
	return &pb.LeaseRevokeResponse{Header: s.responseHeader()}, nil
}

// LeaseKeepAlive implements the LeaseKeepAlive stream, which renews leases. Each
// message on it counts as a call.
func (s *Server) LeaseKeepAlive(stream pb.Lease_LeaseKeepAliveServer) error {
	for {
		r, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		s.calls.add(stream.Context(), CallKeepAlive)
		if err := s.faults.applyToRequest(stream.Context()); err != nil {
			return err
		}
		ttl := s.engine.keepAlive(r.ID)
		if s.faults.loseAnswer() {
			return errAnswerLost
		}
		if err := stream.Send(&pb.LeaseKeepAliveResponse{Header: s.responseHeader(), ID: r.ID, TTL: ttl}); err != nil {
			return err
		}
	}
}

func (s *Server) responseHeader() *pb.ResponseHeader {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	return s.engine.header()
}

// intercept counts each unary call and injects the faults into it.
func (s *Server) intercept(ctx context.Context, r any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	kind := unaryCallKind(r)
	s.calls.add(ctx, kind)
	if err := s.faults.applyToRequest(ctx); err != nil {
		return nil, err
	}
	response, err := handler(ctx, r)
	if err == nil && kind != CallRange && s.faults.loseAnswer() {
		return nil, errAnswerLost
	}
	return response, err
}
