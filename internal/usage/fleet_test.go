package usage

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/hosts"
	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/internal/platform/platformtest"
)

const (
	testWindow = 5 * time.Second
	leaseTime  = 3 * time.Second
)

var (
	errCut   = errors.New("cut off")
	epoch    = time.Unix(1_800_000_000, 0)
	accounts = []string{"reports", "billing"}
)

// fleet is a set of hosts that exchange messages by function calls, on a virtual clock.
type fleet struct {
	now    time.Time
	memory *platformtest.Memory
	hosts  []*host
	api    *reportAPI
	// kept is a copy of the store.
	kept platformtest.Copy
	// counted is what instances began, by account.
	counted Counts
	// loseReports makes reports arrive without an answer, and dropReports not arrive.
	loseReports, dropReports bool
	// killAtReport kills the next host that reports, before its report is sent.
	killAtReport bool
}

// host is one host; a restart replaces its runner.
type host struct {
	fleet  *fleet
	name   string
	runner *Runner
	lease  platform.LeaseID
	until  time.Time
	dead   bool
	// cutFromPeers and cutFromStore block its messages; jump is the error of its time of day.
	cutFromPeers, cutFromStore bool
	jump                       time.Duration
	// hidden are hosts of whose existence this one does not know.
	hidden map[string]bool
}

func newFleet(count int) *fleet {
	f := &fleet{now: epoch, counted: Counts{}, api: &reportAPI{counts: map[Window]Counts{}, holders: map[int64]string{}}}
	f.memory = platformtest.NewMemory(func() time.Time { return f.now })
	f.kept = f.memory.Copy()
	for i := range count {
		h := &host{fleet: f, name: fmt.Sprintf("host-%d", i)}
		f.hosts = append(f.hosts, h)
		h.start()
	}
	return f
}

// start starts a new process on the host.
func (h *host) start() {
	f := h.fleet
	h.dead, h.lease, h.until = false, 0, time.Time{}
	h.runner = New(Options{
		Policy: Policy{Window: testWindow, Tolerance: 0.05, ReportTime: 10 * time.Second},
		Host:   h.name, Store: hostStore{Store: f.memory, host: h},
		Lease:      func() (platform.LeaseID, time.Duration) { return h.lease, h.until.Sub(f.now) },
		Registered: f.registered, Alive: h.alive, Peers: peers{h}, Reporter: reporter{h},
		Fenced:  func() bool { return true },
		WallNow: func() time.Time { return f.now.Add(h.jump) }, SteadyNow: func() time.Time { return f.now },
		Log: zap.NewNop(), Registry: metrics.NewRegistry(),
	})
}

func (f *fleet) registered() []hosts.Host {
	var all []hosts.Host
	for _, h := range f.hosts {
		if h.until.After(f.now.Add(-leaseTime)) {
			all = append(all, hosts.Host{Name: h.name})
		}
	}
	return all
}

func (h *host) alive() []hosts.Host {
	var all []hosts.Host
	hidden := h.hidden
	for _, h := range h.fleet.hosts {
		if !h.dead && !hidden[h.name] {
			all = append(all, hosts.Host{Name: h.name})
		}
	}
	return all
}

func (f *fleet) find(name string) *host {
	for _, h := range f.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// step advances the clock by one tick and runs the hosts once.
func (f *fleet) step() {
	f.now = f.now.Add(tickInterval)
	for _, h := range f.hosts {
		if h.dead {
			continue
		}
		h.renewLease()
		h.runner.Push(context.Background())
		h.runner.Step(context.Background())
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

// count lets a host count operations.
func (f *fleet) count(h *host, account string, n int) {
	for range n {
		h.runner.Count(account, 0)
	}
	f.counted[account] += int64(n)
}

func (h *host) renewLease() {
	store, ctx := h.runner.options.Store, context.Background()
	if h.lease != 0 {
		if _, err := store.KeepAlive(ctx, h.lease); err == nil {
			h.until = h.fleet.now.Add(leaseTime)
			return
		} else if !errors.Is(err, platform.ErrLeaseNotFound) {
			return
		}
	}
	if id, err := store.GrantLease(ctx, leaseTime); err == nil {
		h.lease, h.until = id, h.fleet.now.Add(leaseTime)
	}
}

// hostStore is the store as one host reaches it.
type hostStore struct {
	platform.Store
	host *host
}

func (s hostStore) Txn(ctx context.Context, txn platform.Txn) (int64, error) {
	if s.host.cutFromStore {
		return 0, platform.ErrUnavailable
	}
	return s.Store.Txn(ctx, txn)
}

func (s hostStore) Get(ctx context.Context, key string) (platform.KeyValue, int64, error) {
	if s.host.cutFromStore {
		return platform.KeyValue{}, 0, platform.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s hostStore) List(ctx context.Context, prefix string) ([]platform.KeyValue, int64, error) {
	if s.host.cutFromStore {
		return nil, 0, platform.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

func (s hostStore) KeepAlive(ctx context.Context, id platform.LeaseID) (time.Duration, error) {
	if s.host.cutFromStore {
		return 0, platform.ErrUnavailable
	}
	return s.Store.KeepAlive(ctx, id)
}

func (s hostStore) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if s.host.cutFromStore {
		return 0, platform.ErrUnavailable
	}
	return s.Store.GrantLease(ctx, ttl)
}

// peers passes messages on to other hosts of the fleet.
type peers struct{ from *host }

func (p peers) reach(name string) (*Runner, error) {
	to := p.from.fleet.find(name)
	if to.dead || to.cutFromPeers || p.from.cutFromPeers {
		return nil, errCut
	}
	return to.runner, nil
}

func (p peers) Record(_ context.Context, to hosts.Host, counts map[Window]Report, records []SharedRecord) (Acknowledgement, error) {
	runner, err := p.reach(to.Name)
	if err != nil {
		return Acknowledgement{}, err
	}
	all := map[Window][]Report{}
	for w, report := range counts {
		all[w] = []Report{report}
	}
	return runner.Receive(all, records), nil
}

func (p peers) Collect(_ context.Context, from hosts.Host, w Window) ([]Report, []SharedRecord, error) {
	runner, err := p.reach(from.Name)
	if err != nil {
		return nil, nil, err
	}
	reports, records := runner.Known(w)
	return reports, records, nil
}

// reportAPI takes reports and notes what must not happen.
type reportAPI struct {
	counts   map[Window]Counts
	at       map[Window]time.Time
	newest   int64
	holders  map[int64]string
	problems []string
}

func (a *reportAPI) take(w Window, counts Counts, holder string, token int64, now time.Time) error {
	if known, ok := a.holders[token]; ok && known != holder {
		a.problems = append(a.problems, fmt.Sprintf("%s and %s used token %d", known, holder, token))
	}
	a.holders[token] = holder
	if token < a.newest {
		return ErrSuperseded
	}
	a.newest = token
	if known, ok := a.counts[w]; ok && !maps.Equal(known, counts) {
		a.problems = append(a.problems, fmt.Sprintf("window %d: reported %v, then %v", w, known, counts))
	}
	if a.at == nil {
		a.at = map[Window]time.Time{}
	}
	if _, ok := a.counts[w]; !ok {
		a.at[w] = now
	}
	a.counts[w] = maps.Clone(counts)
	return nil
}

// total returns the sum of the reported counts.
func (a *reportAPI) total() Counts {
	sum := Counts{}
	for _, counts := range a.counts {
		sum.add(counts)
	}
	return sum
}

// reporter is the API as one host reaches it.
type reporter struct{ host *host }

func (r reporter) Report(_ context.Context, w Window, counts Counts, _ string, token int64) error {
	f := r.host.fleet
	if f.killAtReport {
		f.killAtReport, r.host.dead = false, true
		return errCut
	}
	if f.dropReports {
		return errCut
	}
	err := f.api.take(w, counts, r.host.name+r.host.runner.source.Process, token, f.now)
	if f.loseReports {
		return errCut
	}
	return err
}
