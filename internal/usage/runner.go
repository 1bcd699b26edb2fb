package usage

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/clock"
	"github.com/bramleylever/bramleylever/internal/hosts"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/internal/recovery"
)

// ErrSuperseded marks a report that was refused because a higher fencing token has been used.
var ErrSuperseded = errors.New("report refused")

// Reporter hands the counts of a window to whoever asks for them.
type Reporter interface {
	// Report reports a window. It returns ErrSuperseded if the report was refused for good;
	// after any other error it may still arrive.
	Report(ctx context.Context, w Window, counts Counts, holder string, token int64) error
}

// Peers carries messages between hosts.
type Peers interface {
	// Record adds counts and records to the table of a collector.
	Record(ctx context.Context, to hosts.Host, counts map[Window]Report, records []SharedRecord) (Acknowledgement, error)
	// Collect returns what a collector knows of a window.
	Collect(ctx context.Context, from hosts.Host, w Window) ([]Report, []SharedRecord, error)
}

// SharedRecord is a record that a holder passes on to the collectors.
type SharedRecord struct {
	Record   *Record
	Reported bool
}

// Acknowledgement is a collector's answer.
type Acknowledgement struct {
	// Clock is the time by the collector's own clock.
	Clock time.Time
	// Reported is the newest window of which it knows that the report was accepted.
	Reported Window
}

// Options configures a Runner.
type Options struct {
	Policy Policy
	Host   string
	Store  platform.Store
	// Lease returns the host's lease and how long it is still valid.
	Lease func() (platform.LeaseID, time.Duration)
	// Registered returns the hosts that are registered, and Alive those that are running, this
	// host included.
	Registered func() []hosts.Host
	Alive      func() []hosts.Host
	Peers      Peers
	Reporter   Reporter
	// Fenced says that reports with an old fencing token are refused.
	Fenced func() bool
	// WallNow and SteadyNow are the time of day and a clock that never jumps. If nil, those of
	// the host.
	WallNow   func() time.Time
	SteadyNow func() time.Time
	Log       *zap.Logger
	Registry  metrics.Registry
}

const (
	// tickInterval is how often a host looks at the windows.
	tickInterval = 200 * time.Millisecond
	// collectors is the number of hosts that every host sends its counts to.
	collectors = 2
	// pushInterval is how often a host sends the counts of the open window, so that what is
	// lost with a host that is killed stays small. It grows with the fleet by pushPerHost.
	pushInterval = time.Second
	pushPerHost  = 2 * time.Millisecond
	// collectInterval is how often a holder asks the collectors for what it lacks.
	collectInterval = 400 * time.Millisecond
)

// Runner counts this host's operations, collects those of others and takes part in the duty
// to report.
type Runner struct {
	options Options
	log     *zap.Logger
	source  Source
	started time.Time
	// Recorder counts this host's operations.
	*Recorder
	duty   duty
	stats  stats
	pushes map[string]*pushState

	// collectAt is when the holder may ask the collectors again, and retryAt when it may
	// report again after a failure.
	collectAt time.Time
	retryAt   time.Time
	// loaded is the token with which this host read the records in the store.
	loaded int64

	mu    sync.Mutex
	clock WallClock
	table *Table
	// records are the known records of the windows that are kept, and reported the newest
	// window whose report is known to be accepted; only later ones are due.
	records  map[Window]SharedRecord
	reported Window
	// generation is that of the store, known since this reading of the steady clock.
	generation      platform.Generation
	generationSince time.Time
}

// stats are the metrics of a Runner.
type stats struct {
	reports, late, incomplete, lost metrics.Counter
	failures                        metrics.Counter
}

// New returns a runner; Run starts it.
func New(o Options) *Runner {
	if o.WallNow == nil {
		o.WallNow, o.SteadyNow = time.Now, clock.Now
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("usage."+name+"_count", o.Registry)
	}
	r := &Runner{
		options: o, log: o.Log, table: NewTable(), records: map[Window]SharedRecord{}, pushes: map[string]*pushState{},
		source: Source{Host: o.Host, Process: fmt.Sprintf("%016x", rand.Uint64())},
		stats: stats{
			reports: counter("reports"), late: counter("late_reports"), incomplete: counter("incomplete_windows"),
			lost: counter("lost_windows"), failures: counter("failed_reports"),
		},
	}
	r.duty = duty{store: o.Store, lease: o.Lease, identity: []byte(o.Host + " " + r.source.Process), log: o.Log}
	r.Recorder = NewRecorder(o.Policy, r.Now)
	r.started = r.Now()
	// Windows that cannot be reported in time any more are left to processes that ran then.
	r.reported = o.Policy.At(r.started.Add(-o.Policy.ReportTime))
	r.generation, r.generationSince = o.Store.Generation(), o.SteadyNow()
	return r
}

// Now returns the time of day by the median of the hosts' clocks.
func (r *Runner) Now() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now(r.options.WallNow(), r.options.SteadyNow())
}

// Run counts and reports until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { recovery.Loop(ctx, "usage counts", func(ctx context.Context) { r.every(ctx, r.Push) }) })
	r.every(ctx, r.Step)
	group.Wait()
}

func (r *Runner) every(ctx context.Context, f func(context.Context)) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f(ctx)
		}
	}
}

// Stop ends all windows, sends the last counts and gives the duty back. It is called once Run
// has returned.
func (r *Runner) Stop(ctx context.Context) {
	r.CloseAll()
	r.Push(ctx)
	if r.duty.token != 0 {
		r.duty.release(ctx, r.Now(), "the host stops")
	}
}

// collectorsOf returns the hosts that collect, the first of the fleet in the order of the
// duty, and this host's position in that order.
func (r *Runner) collectorsOf() (first []hosts.Host, rank int) {
	all := slices.Clone(r.options.Alive())
	hosts.Rank(all, dutyKey)
	rank = slices.IndexFunc(all, func(h hosts.Host) bool { return h.Name == r.options.Host })
	return all[:min(len(all), collectors)], max(0, rank)
}

// Step looks at the windows that have ended and does what is due. It is called by one
// goroutine at a time.
func (r *Runner) Step(ctx context.Context) {
	now := r.Now()
	r.followGeneration()
	newest := r.options.Policy.At(now) - 1
	r.forget(newest)
	due := r.due(newest)
	if len(due) == 0 {
		return
	}
	first, rank := r.collectorsOf()
	if !r.duty.holds() && !isTurn(rank, now.Sub(r.options.Policy.End(due[0]))) {
		return
	}
	if !r.duty.acquire(ctx, now) || !r.load(ctx) {
		return
	}
	if !r.options.Fenced() && now.Before(r.duty.takenAt.Add(lateReportTime)) {
		// A report of the holder before may still arrive, and must not arrive after ours.
		return
	}
	for _, w := range due {
		if !r.settle(ctx, w, now, first) {
			return
		}
	}
}

// due returns the windows up to the newest one that are not known to be reported.
func (r *Runner) due(newest Window) []Window {
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []Window
	for w := max(r.reported+1, newest-r.options.Policy.kept()); w <= newest; w++ {
		if !r.records[w].Reported {
			due = append(due, w)
		}
	}
	return due
}

// forget drops what concerns windows that are no longer kept.
func (r *Runner) forget(newest Window) {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := newest - r.options.Policy.kept()
	r.table.Forget(oldest)
	for w := range r.records {
		if w < oldest {
			delete(r.records, w)
		}
	}
}

// followGeneration notes when the store came back from an older copy. Records that were
// sealed before may be gone.
func (r *Runner) followGeneration() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g := r.options.Store.Generation(); g != r.generation {
		r.generation, r.generationSince = g, r.options.SteadyNow()
	}
}

// load reads the records in the store once after the duty was taken.
func (r *Runner) load(ctx context.Context) bool {
	if r.loaded == r.duty.token {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	records, err := ListRecords(ctx, r.options.Store)
	if err != nil {
		r.log.Warn("could not read the usage records", zap.String(logging.FieldStep, "read usage records"), zap.Error(err))
		return false
	}
	for _, record := range records {
		r.learn(SharedRecord{Record: record})
	}
	r.loaded = r.duty.token
	return true
}

// learn keeps a record that stands in the store or did.
func (r *Runner) learn(s SharedRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := s.Record.Window
	known, ok := r.records[w]
	if !ok || s.Record.Token > known.Record.Token {
		// A record that is sealed again after the store lost it has a newer token and the same
		// counts.
		known.Record = s.Record
	}
	known.Reported = known.Reported || s.Reported
	r.records[w] = known
	if known.Reported {
		r.reported = max(r.reported, w)
	}
}

// names returns the names of hosts, and that of this one in any case.
func names(all []hosts.Host, self string) []string {
	result := []string{self}
	for _, h := range all {
		if h.Name != self {
			result = append(result, h.Name)
		}
	}
	return result
}
