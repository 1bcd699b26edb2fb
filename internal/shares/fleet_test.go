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
	// idealRefillFactor makes the check stricter than what the package guarantees.
	// Refill at 98% with a clock that is 1% fast stays below it, and the ideal
	// bucket gains no slack over time that would hide a fault.
	idealRefillFactor = 0.99
)

// testHost is a host in a fleet with virtual time. Messages between hosts are calls
// in process, and flags inject faults.
type testHost struct {
	name   string
	runner *Runner
	fleet  *testFleet
	feed   *records.Feed

	// paused hosts do nothing; isolated hosts reach only themselves.
	paused   bool
	isolated bool
	// loseAnswers drops the answers to this host's calls.
	loseAnswers bool
	// clockRate is the rate of the host's clock.
	clockRate float64
}

// testFleet simulates the network, the bucket leases of the platform and the
// membership list, and checks admissions against an ideal bucket.
type testFleet struct {
	now         time.Duration
	hosts       []*testHost
	leaseHolder string
	epoch       uint64
	limit       records.Account
	units       int

	level float64
	// lapsed says that the leases have ended although the members still name a holder.
	lapsed   bool
	excess   float64
	admitted int
	refused  int
	// ideal is the highest limit under which grants may have been issued.
	ideal records.Account
}

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (h *testHost) clock() time.Time {
	return testStart.Add(time.Duration(float64(h.fleet.now) * h.clockRate))
}

// Held implements control.Buckets. One host holds the leases of all buckets, or none
// does.
func (h *testHost) Held(uint32) (uint64, bool) {
	return h.fleet.epoch, h.fleet.leaseHolder == h.name && !h.fleet.lapsed
}

func (h *testHost) Self() membership.Member {
	return membership.Member{Host: h.name, Address: h.name, State: membership.StateAlive}
}

func (h *testHost) Members() []membership.Member {
	var all []membership.Member
	for _, other := range h.fleet.hosts {
		m := other.Self()
		if other.name == h.fleet.leaseHolder {
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
		epoch:       1,
		leaseHolder: "h0",
		limit:       records.Account{Name: testAccount, RequestsPerSecond: testRate, Burst: testBurst},
		units:       testUnits,
		level:       testBurst,
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
		h.runner.borrow = h.borrowInProcess
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

var errUnreachable = errors.New("no connection")

// borrowInProcess delivers a call to another host of the fleet.
func (h *testHost) borrowInProcess(ctx context.Context, address string, in *peerv1.BorrowRequest) (*peerv1.BorrowReply, error) {
	for _, other := range h.fleet.hosts {
		if other.name != address {
			continue
		}
		if h.isolated || other.isolated || other.paused {
			return nil, errUnreachable
		}
		reply, err := (&server{runner: other.runner}).Borrow(ctx, in)
		if h.loseAnswers {
			return nil, errUnreachable
		}
		return reply, err
	}
	return nil, errUnreachable
}

// step advances the time; every host that is not paused then scans and receives
// requests.
func (f *testFleet) step(d time.Duration, requestsPerHost int) {
	f.now += d
	f.level = math.Min(f.ideal.Burst, f.level+idealRefillFactor*f.ideal.RequestsPerSecond*d.Seconds())
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

// run overloads all hosts for a time.
func (f *testFleet) run(d time.Duration) {
	const tick = 25 * time.Millisecond
	for end := f.now + d; f.now < end; {
		f.step(tick, 10)
	}
}

// takeOver moves all buckets to another host in the next epoch.
func (f *testFleet) takeOver(name string) {
	f.epoch++
	f.leaseHolder = name
}

// platformDown ends the leases of all buckets without a new lease holder.
func (f *testFleet) platformDown() { f.leaseHolder = "" }

// changeLimit applies a lower limit on all hosts. Grants under the old limit may
// still be valid, so ideal stays at the highest limit.
func (f *testFleet) changeLimit(rate, burst float64) {
	f.limit.RequestsPerSecond, f.limit.Burst = rate, burst
	for _, h := range f.hosts {
		h.feed.Publish(f.snapshot(h.feed.Current().Revision + 1))
	}
}

// openUnits makes every host open as many connections as it may and returns the
// number of open connections in the fleet.
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

// testMembers is a fixed membership list and set of held buckets for tests over gRPC.
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
