package membership_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/bramleylever/bramleylever/internal/membership"
	"github.com/bramleylever/bramleylever/internal/peer"
)

// startHost serves a membership runner on loopback until stop is called.
func startHost(t *testing.T, host, domain string, seeds []string, digest func() membership.Digest) (r *membership.Runner, address string, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address = listener.Addr().String()
	pool := peer.NewPool()
	r = membership.NewRunner(membership.Options{
		Self:   peer.Identity{Host: host, Domain: domain, Address: address, Incarnation: uint64(time.Now().UnixNano())},
		Seeds:  seeds,
		Peers:  pool,
		Log:    zap.NewNop(),
		Digest: digest,
	})
	server := grpc.NewServer()
	r.Register(server)
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = r.Run(ctx)
	}()
	var stopped atomic.Bool
	stop = func() {
		if stopped.CompareAndSwap(false, true) {
			cancel()
			<-ended
			server.Stop()
			_ = pool.Close()
		}
	}
	t.Cleanup(stop)
	return r, address, stop
}

// Guards against a runner that loses members, digests, bucket claims or the
// announcement of a leaving host on the way over gRPC.
func TestRunnersJoinAndLeave(t *testing.T) {
	g := NewWithT(t)
	var seen atomic.Uint64
	first, address, _ := startHost(t, "h1", "a", nil, nil)
	first.OnDigest(func(_ membership.Member, d membership.Digest) { seen.Store(d.TopologyHash) })
	seeds := []string{address}
	second, _, _ := startHost(t, "h2", "a", seeds, func() membership.Digest { return membership.Digest{TopologyHash: 7} })
	third, _, stopThird := startHost(t, "h3", "b", seeds, func() membership.Digest { return membership.Digest{TopologyHash: 7} })

	g.Eventually(first.Members, "10s").Should(HaveLen(3))
	g.Eventually(seen.Load, "5s").Should(Equal(uint64(7)))
	third.SetBuckets([]membership.BucketClaim{{Bucket: 4, Epoch: 9}})
	g.Eventually(func() string {
		m, epoch, _ := membership.BucketHolder(second, 4)
		if epoch != 9 {
			return ""
		}
		return m.Host
	}, "10s").Should(Equal("h3"))

	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	third.Leave(ctx)
	stopThird()
	g.Eventually(func() bool {
		_, _, ok := membership.BucketHolder(second, 4)
		return ok
	}, "10s").Should(BeFalse())
}
