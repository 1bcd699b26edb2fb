package failover

import (
	"context"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/membership"
	"github.com/bramleylever/bramleylever/internal/peer"
	"github.com/bramleylever/bramleylever/internal/records"
	"github.com/bramleylever/bramleylever/internal/topology"
	"github.com/bramleylever/bramleylever/position"
)

func TestFailover(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "failover")
}

// allBuckets is a control.Buckets that holds every bucket in one epoch.
type allBuckets uint64

func (b allBuckets) Held(uint32) (uint64, bool) { return uint64(b), true }

// fixedView is a membership.View that does not change; its first member is Self.
type fixedView []membership.Member

func (v fixedView) Self() membership.Member      { return v[0] }
func (v fixedView) Members() []membership.Member { return slices.Clone(v) }

func feedOf(instances ...string) *records.Feed {
	db := records.Database{Name: "ledger"}
	for _, name := range instances {
		db.Instances = append(db.Instances, records.Instance{Name: name, Address: name, Domain: "d-" + name})
	}
	feed := records.NewFeed()
	feed.Publish(&records.Snapshot{Revision: 1, Databases: map[string]records.Database{"ledger": db}})
	return feed
}

func newSingleHostRunner(g *fakeGroup, table *topology.Table) *Runner {
	return NewRunner(Options{
		Self:         peer.Identity{Host: "h1", Domain: "a"},
		Feed:         feedOf("i1", "i2", "i3"),
		Buckets:      allBuckets(3),
		Dialer:       fakeDialer{group: g, side: "a"},
		Topology:     table,
		View:         fixedView{{Host: "h1", Domain: "a", State: membership.StateAlive}},
		Log:          zap.NewNop(),
		SingleDomain: true,
	})
}

var _ = Describe("Runner", func() {
	run := func(r *Runner) (stop func()) {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = r.Run(ctx)
		}()
		stop = func() {
			cancel()
			<-ended
		}
		DeferCleanup(stop)
		return stop
	}

	// Guards against a new group that stays without a primary, and against a promotion in a
	// group whose primary is healthy.
	It("promotes a first primary, adopts an existing one and replaces an unreachable one", func() {
		g := newFakeGroup("i1", "i2", "i3")
		table := topology.NewTable()
		stop := run(newSingleHostRunner(g, table))
		Eventually(table.All, "5s").Should(ConsistOf(HaveField("Primary", Not(BeEmpty()))))
		first, _ := table.Group("ledger")

		stop()
		second := topology.NewTable()
		r := newSingleHostRunner(g, second)
		r.options.Buckets = allBuckets(4)
		run(r)
		Eventually(second.All, "5s").Should(ConsistOf(first))

		g.mu.Lock()
		g.write(g.get(first.Primary))
		for _, in := range g.instances {
			g.replicate(in)
		}
		g.acknowledge(g.get(first.Primary))
		Expect(g.acked).To(HaveLen(1))
		g.partition("a", first.Primary)
		g.mu.Unlock()
		Eventually(func() position.Term {
			group, _ := second.Group("ledger")
			return group.Term
		}, "5s").Should(Equal(position.Term{Epoch: 4, Sequence: 1}))
		g.mu.Lock()
		defer g.mu.Unlock()
		Expect(g.violations).To(BeEmpty())
	})
})
