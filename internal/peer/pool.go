package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
)

// maxReconnectDelay bounds the backoff between connection attempts, so that a peer
// that restarts is reachable again within a second.
const maxReconnectDelay = time.Second

// maxMessageBytes bounds the size of a message; it is large enough for a snapshot
// of all records at the target size of a fleet.
const maxMessageBytes = 16 << 20

// Pool holds one gRPC connection for each peer address.
type Pool struct {
	options []grpc.DialOption

	mu     sync.Mutex
	conns  map[string]*grpc.ClientConn
	closed bool
}

// NewPool returns a pool that dials with the given options in addition to its
// defaults.
func NewPool(options ...grpc.DialOption) *Pool {
	defaults := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  50 * time.Millisecond,
				Multiplier: 2,
				Jitter:     0.2,
				MaxDelay:   maxReconnectDelay,
			},
			MinConnectTimeout: maxReconnectDelay,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithNoProxy(),
	}
	return &Pool{
		options: append(defaults, options...),
		conns:   map[string]*grpc.ClientConn{},
	}
}

// WithDial returns an option that replaces the TCP dialer.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) grpc.DialOption {
	return grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		return dial(ctx, "tcp", address)
	})
}

// WithTrafficStats returns an option that counts calls and their bytes in a
// registry.
func WithTrafficStats(registry metrics.Registry) grpc.DialOption {
	return grpc.WithStatsHandler(NewTrafficStats(registry))
}

// Conn returns the connection to an address and creates it if there is none.
func (p *Pool) Conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, fmt.Errorf("connect: peer %s: pool is closed", address)
	}
	if conn, ok := p.conns[address]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address, p.options...)
	if err != nil {
		return nil, fmt.Errorf("connect: peer %s: %w", address, err)
	}
	p.conns[address] = conn
	return conn, nil
}

// CloseConn closes the connection to an address and removes it from the pool.
func (p *Pool) CloseConn(address string) {
	p.mu.Lock()
	conn, ok := p.conns[address]
	delete(p.conns, address)
	p.mu.Unlock()
	if ok {
		_ = conn.Close()
	}
}

// Close closes all connections; Conn returns an error from then on.
func (p *Pool) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	var errs []error
	for _, conn := range p.conns {
		errs = append(errs, conn.Close())
	}
	clear(p.conns)
	return errors.Join(errs...)
}

// CallTimeout is the timeout of a call to a peer, unless the caller's context ends
// earlier.
const CallTimeout = time.Second

// Call runs a call with CallTimeout.
func Call[T any](ctx context.Context, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return call(ctx)
}
