package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"

	pb "github.com/bramleylever/bramleylever/api/etcd/etcdserverpb"
)

const (
	// DefaultTimeout limits a call whose context has no earlier deadline.
	DefaultTimeout = 2 * time.Second
	// DefaultProgressInterval is the interval between progress requests of a
	// watch.
	DefaultProgressInterval = time.Second
	// maxMessageBytes is large enough for a list of all records at the target
	// deployment size.
	maxMessageBytes = 32 << 20
	// pingInterval and pingTimeout detect a connection whose peer no longer responds.
	pingInterval = 10 * time.Second
	pingTimeout  = 3 * time.Second
)

// Options configures the connection to the store.
type Options struct {
	// Endpoints are host:port addresses, tried in round-robin order.
	Endpoints []string
	// LocalAddress is the source IP address of connections; if empty, the
	// kernel chooses it.
	LocalAddress string
	// DialFunc replaces the TCP dialer.
	DialFunc func(ctx context.Context, address string) (net.Conn, error)
	// Timeout limits each call except Watch; 0 means DefaultTimeout.
	Timeout time.Duration
	// ProgressInterval is the interval between progress requests of a watch; 0
	// means DefaultProgressInterval.
	ProgressInterval time.Duration
}

// Dial returns a client of the store at the given endpoints. It doesn't wait for
// a connection: if the store is unreachable, the calls fail.
func Dial(_ context.Context, o Options) (Store, error) {
	if len(o.Endpoints) == 0 {
		return nil, errors.New("platform: no endpoints")
	}
	dial, err := o.dialer()
	if err != nil {
		return nil, err
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.ProgressInterval <= 0 {
		o.ProgressInterval = DefaultProgressInterval
	}
	conn, err := grpc.NewClient("passthrough:///platform",
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(),
		grpc.WithContextDialer(roundRobin(o.Endpoints, dial)),
		grpc.WithStatsHandler(sentHandler{}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 2, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: o.Timeout,
		}),
	)
	if err != nil {
		return nil, fmt.Errorf("platform: connect: %w", err)
	}
	return &client{
		conn:             conn,
		kv:               pb.NewKVClient(conn),
		lease:            pb.NewLeaseClient(conn),
		watch:            pb.NewWatchClient(conn),
		timeout:          o.Timeout,
		progressInterval: o.ProgressInterval,
		generations:      NewGenerationTracker(nil),
	}, nil
}

func (o Options) dialer() (func(context.Context, string) (net.Conn, error), error) {
	if o.DialFunc != nil {
		return o.DialFunc, nil
	}
	d := &net.Dialer{}
	if o.LocalAddress != "" {
		ip := net.ParseIP(o.LocalAddress)
		if ip == nil {
			return nil, fmt.Errorf("platform: local address %q is not an IP address", o.LocalAddress)
		}
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}, nil
}

// roundRobin returns a dial function that starts with another endpoint on each
// call and tries the others if that one fails.
func roundRobin(endpoints []string, dial func(context.Context, string) (net.Conn, error)) func(context.Context, string) (net.Conn, error) {
	var mu sync.Mutex
	next := 0
	return func(ctx context.Context, _ string) (net.Conn, error) {
		mu.Lock()
		first := next
		// A connection may break right after it was opened. gRPC then dials
		// again, and starting with another endpoint avoids the faulty one.
		next = (next + 1) % len(endpoints)
		mu.Unlock()
		var errs []error
		for i := range endpoints {
			address := endpoints[(first+i)%len(endpoints)]
			conn, err := dial(ctx, address)
			if err == nil {
				return conn, nil
			}
			errs = append(errs, fmt.Errorf("endpoint %s: %w", address, err))
		}
		return nil, errors.Join(errs...)
	}
}

// sentKey is the context key of the flag that records whether a call's request
// was handed to a connection.
type sentKey struct{}

// sentHandler sets the flag of a call once its request may have been sent.
type sentHandler struct{}

func (sentHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (sentHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.OutPayload); !ok {
		return
	}
	if sent, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
		sent.Store(true)
	}
}

func (sentHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (sentHandler) HandleConn(context.Context, stats.ConnStats) {}
