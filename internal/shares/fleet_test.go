package shares

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"go.uber.org/zap"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/control"
	"github.com/bramleylever/bramleylever/internal/membership"
	"github.com/bramleylever/bramleylever/internal/peer"
	"github.com/bramleylever/bramleylever/internal/records"
)

const (
	testAccount  = "growers"
	testInstance = "ledger-1"
	testRate     = 200.0
	testBurst    = 100.0
	testUnits    = 20
	// idealPart makes the check stricter than the promise: refill at 98% with a
	// clock that is 1% fast stays below it, so no slack adds up that would hide
	// a fault.
	idealPart = 0.99
)

// testHost is a host in a fleet with virtual time. Messages between hosts are
// calls in process, and faults are switches.
type testHost struct {
	name   string
	runner *Runner
	fleet  *testFleet
	feed   *records.Feed

	// paused hosts do nothing; cut hosts reach nobody but themselves.
	paused bool
	cut    bool
	// loseAnswers drops the answers to this host's calls.
	loseAnswers bool
	// clockRate is the rate of the host's clock.
	clockRate float64
}

// testFleet is the network, the platform's buckets and the member table.
type testFleet struct {
	now    time.Duration
	hosts  []*testHost
	holder string
	epoch  uint64
	limit  records.Account
	units  int

	level    float64
	excess   float64
	admitted int
	refused  int
	// ideal is the highest limit that grants may come from.
	ideal records.Account
}

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (h *testHost) clock() time.Time {
	return testStart.Add(time.Duration(float64(h.fleet.now) * h.clockRate))
}

// Held implements control.Buckets: the lease of the platform as the holder's
// lease clock knows it.
func (h *testHost) Held(uint32) (uint64, bool) {
	return h.fleet.epoch, h.fleet.holder == h.name
}

func (h *testHost) Self() membership.Member {
	return membership.Member{Host: h.name, Address: h.name, State: membership.StateAlive}
}

func (h *testHost) Members() []membership.Member {
	var all []membership.Member
	for _, other := range h.fleet.hosts {
		m := other.Self()
		if other.name == h.fleet.holder {
			for b := range uint32(control.BucketCount) {
				m.Buckets = append(m.Buckets, membership.BucketClaim{Bucket: b, Epoch: h.fleet.epoch})
			}
		}
		all = append(all, m)
	}
	return all
}

func newTestFleet(hosts int) *testFleet {
	f := &testFleet{
		epoch:  1,
		holder: "h0",
		limit:  records.Account{Name: testAccount, RequestsPerSecond: testRate, Burst: testBurst},
		units:  testUnits,
		level:  testBurst,
	}
	f.ideal = f.limit
	for i := range hosts {
		h := &testHost{name: fmt.Sprintf("h%d", i), fleet: f, feed: records.NewFeed()}
		h.clockRate = []float64{1, 1.01}[i%2]
		h.feed.Publish(f.snapshot(1))
		h.runner = New(Options{
			Identity: peer.Identity{Host: h.name, Address: h.name, Incarnation: 1},
			Feed:     h.feed,
			Members:  h,
			Buckets:  h,
			Log:      zap.NewNop(),
			Now:      h.clock,
		})
		h.runner.borrow = h.carry
		f.hosts = append(f.hosts, h)
	}
	return f
}

func (f *testFleet) snapshot(revision int64) *records.Snapshot {
	return &records.Snapshot{
		Revision: revision,
		Accounts: map[string]records.Account{testAccount: f.limit},
		Databases: map[string]records.Database{"ledger": {
			Name:            "ledger",
			Instances:       []records.Instance{{Name: testInstance}},
			ConnectionLimit: f.units,
		}},
	}
}

var errCut = errors.New("no connection")

// carry takes a call to another host of the fleet.
func (h *testHost) carry(ctx context.Context, address string, in *peerv1.BorrowRequest) (*peerv1.BorrowReply, error) {
	for _, other := range h.fleet.hosts {
		if other.name != address {
			continue
		}
		if h.cut || other.cut || other.paused {
			return nil, errCut
		}
		reply, err := (&server{runner: other.runner}).Borrow(ctx, in)
		if h.loseAnswers {
			return nil, errCut
		}
		return reply, err
	}
	return nil, errCut
}

// step lets time pass; every host that runs scans and takes requests.
func (f *testFleet) step(d time.Duration, requestsPerHost int) {
	f.now += d
	f.level = math.Min(f.ideal.Burst, f.level+idealPart*f.ideal.RequestsPerSecond*d.Seconds())
	for _, h := range f.hosts {
		if h.paused {
			continue
		}
		h.runner.scan(context.Background())
		h.runner.calls.Wait()
		for range requestsPerHost {
			if !h.runner.Admit(testAccount, h.clock()) {
				f.refused++
				continue
			}
			f.admitted++
			f.level--
			f.excess = math.Max(f.excess, -f.level)
		}
	}
}

// run is a span of overload on all hosts.
func (f *testFleet) run(d time.Duration) {
	const tick = 25 * time.Millisecond
	for end := f.now + d; f.now < end; {
		f.step(tick, 10)
	}
}

// takeOver moves all buckets to another host in the next epoch.
func (f *testFleet) takeOver(name string) {
	f.epoch++
	f.holder = name
}

// platformDown ends the lease without a successor.
func (f *testFleet) platformDown() { f.holder = "" }

// changeLimit puts a lower limit in force on all hosts. Grants under the old
// limit may last, so the ideal keeps the highest.
func (f *testFleet) changeLimit(rate, burst float64) {
	f.limit.RequestsPerSecond, f.limit.Burst = rate, burst
	for _, h := range f.hosts {
		h.feed.Publish(f.snapshot(h.feed.Current().Revision + 1))
	}
}

// openUnits lets every host open as many connections as it may, and returns
// the sum.
func (f *testFleet) openUnits(open map[string]int) int {
	sum := 0
	for _, h := range f.hosts {
		if !h.paused {
			now := h.clock()
			limit := h.runner.Limit(testInstance, now)
			open[h.name] = min(max(open[h.name], limit), h.runner.HardLimit(testInstance, now))
			h.runner.Report(testInstance, open[h.name], 5)
		}
		sum += open[h.name]
	}
	return sum
}

// testMembers is a fixed member table and set of buckets for tests over gRPC.
type testMembers struct {
	mu      sync.Mutex
	self    membership.Member
	members []membership.Member
	held    bool
}

func (m *testMembers) Self() membership.Member { return m.self }

func (m *testMembers) Members() []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members
}

func (m *testMembers) Held(uint32) (uint64, bool) { return 1, m.held }
