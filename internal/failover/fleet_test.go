package failover

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/bramleylever/bramleylever/internal/control"
	"github.com/bramleylever/bramleylever/internal/membership"
	"github.com/bramleylever/bramleylever/internal/peer"
	"github.com/bramleylever/bramleylever/internal/topology"
	"github.com/bramleylever/bramleylever/position"
)

// hostView returns the same members for each host, with a different Self.
type hostView struct {
	self    int
	members []membership.Member
}

func (v hostView) Self() membership.Member      { return v.members[v.self] }
func (v hostView) Members() []membership.Member { return slices.Clone(v.members) }

// lapsingBuckets is a control.Buckets whose leases are not held while down is set.
type lapsingBuckets struct {
	epoch uint64
	down  *atomic.Bool
}

func (o lapsingBuckets) Held(uint32) (uint64, bool) { return o.epoch, o.epoch != 0 && !o.down.Load() }

// testFleet is four hosts in three failure domains that communicate over loopback. Host a1
// holds all buckets in epoch 2.
type testFleet struct {
	group   *fakeGroup
	runners []*Runner
	tables  []*topology.Table
	down    atomic.Bool
}

func startFleet(t testing.TB) *testFleet {
	t.Helper()
	f := &testFleet{group: newFakeGroup("i1", "i2", "i3")}
	hosts := []membership.Member{{Host: "a1", Domain: "a"}, {Host: "a2", Domain: "a"}, {Host: "b1", Domain: "b"}, {Host: "c1", Domain: "c"}}
	var listeners []net.Listener
	for i := range hosts {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, listener)
		hosts[i].Address = listener.Addr().String()
		hosts[i].State = membership.StateAlive
	}
	for bucket := range uint32(control.BucketCount) {
		hosts[0].Buckets = append(hosts[0].Buckets, membership.BucketClaim{Bucket: bucket, Epoch: 2})
	}
	for i := range hosts {
		f.startHost(t, hosts, i, listeners[i])
	}
	return f
}

func (f *testFleet) startHost(t testing.TB, hosts []membership.Member, i int, listener net.Listener) {
	buckets := lapsingBuckets{down: &f.down}
	if i == 0 {
		buckets.epoch = 2
	}
	pool := peer.NewPool()
	table := topology.NewTable()
	r := NewRunner(Options{
		Self:     peer.Identity{Host: hosts[i].Host, Domain: hosts[i].Domain, Address: hosts[i].Address},
		Feed:     feedOf("i1", "i2", "i3"),
		Buckets:  buckets,
		Dialer:   fakeDialer{group: f.group, side: hosts[i].Domain},
		Topology: table,
		View:     hostView{self: i, members: hosts},
		Peers:    pool,
		Log:      zap.NewNop(),
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
	t.Cleanup(func() {
		cancel()
		<-ended
		server.Stop()
		_ = pool.Close()
	})
	f.runners = append(f.runners, r)
	f.tables = append(f.tables, table)
}

// agreedTopology returns the topology entry if all hosts have the same one, otherwise an
// empty one.
func (f *testFleet) agreedTopology() topology.Group {
	first, _ := f.tables[0].Group("ledger")
	for _, table := range f.tables {
		if g, _ := table.Group("ledger"); g != first {
			return topology.Group{}
		}
	}
	return first
}

func (f *testFleet) term() position.Term { return f.agreedTopology().Term }

// Guards against reports, topology changes and switchover requests that do not reach other
// hosts, and against a coordinator that stops while the platform is down.
func TestPromise2FleetFailover(t *testing.T) {
	t.Run("Promise 2: all hosts learn a failover and a switchover, also while the platform is down", func(t *testing.T) {
		g := NewWithT(t)
		f := startFleet(t)
		g.Eventually(f.term, "5s").Should(Equal(position.Term{Epoch: 2, Sequence: 1}))

		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		target := "i2"
		if f.agreedTopology().Primary == target {
			target = "i3"
		}
		done, err := f.runners[3].RequestSwitchover(ctx, "ledger", target)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(done.Done).To(BeTrue(), done.Reason)
		g.Eventually(f.agreedTopology, "5s").Should(HaveField("Primary", target))
		before := f.term()

		f.down.Store(true)
		f.group.mu.Lock()
		f.group.get(target).frozen = true
		f.group.mu.Unlock()
		g.Eventually(f.term, "10s").Should(Equal(position.Term{Epoch: 2, Sequence: before.Sequence + 1}))
		f.group.mu.Lock()
		defer f.group.mu.Unlock()
		g.Expect(f.group.violations).To(BeEmpty())
	})
}

// Guards against a switchover that is interrupted when the context of the requesting caller
// ends.
func TestPromise13SwitchoverOutlivesItsCaller(t *testing.T) {
	t.Run("Promise 13: a switchover completes after its caller's context ended", func(t *testing.T) {
		g := NewWithT(t)
		f := startFleet(t)
		g.Eventually(f.term, "5s").Should(Equal(position.Term{Epoch: 2, Sequence: 1}))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := f.runners[0].RequestSwitchover(ctx, "ledger", "i3")
		g.Expect(err).To(MatchError(context.Canceled))
		g.Eventually(f.agreedTopology, "5s").Should(HaveField("Primary", "i3"))
		released := metrics.GetOrRegisterCounter("failover.decisions_release_switchover_count", f.runners[0].options.Metrics)
		g.Expect(released.Count()).To(BeZero())
	})
}

// Guards against a host that keeps an old topology after it missed a push.
func TestFetchOnDigestMismatch(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t)
	g.Eventually(f.term, "5s").ShouldNot(BeZero())
	missed := topology.Group{Database: "other", Term: position.Term{Epoch: 1, Sequence: 1}, Primary: "x"}
	f.tables[2].Update(missed)
	g.Eventually(func() []topology.Group {
		f.runners[0].OnDigest(f.runners[2].options.View.Self(), f.tables[2].Hash())
		return f.tables[0].All()
	}, "5s").Should(ContainElement(missed))
}
