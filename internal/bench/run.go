package bench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
)

// Target is the system under test.
type Target interface {
	// Hosts returns the names of the proxy hosts.
	Hosts() []string
	// URL returns the connection URL of a route for an account at a host.
	URL(host, account, route string) string
	// Inject carries out one fault and returns a description of what was done.
	Inject(f Fault) (string, error)
	// Counters returns each counter summed over all proxies.
	Counters() map[string]int64
}

// Options configures a run.
type Options struct {
	Workload Workload
	Duration time.Duration
	// SettleTime is the time between the end of the load and reading the databases.
	SettleTime time.Duration
	Poisson    bool
	Seed       uint64
	Faults     []Fault
	// Progress receives a progress line every 5 s; nil disables it.
	Progress io.Writer
}

// FaultReport records the time and the result of an injected fault.
type FaultReport struct {
	Fault
	At     time.Duration `json:"-"`
	Detail string        `json:"detail"`
	Error  string        `json:"error,omitempty"`
}

const (
	progressInterval = 5 * time.Second
	prepareTimeout   = 30 * time.Second
)

// Run sends the workload to a target, injects the faults and evaluates the
// results. An error means that the run itself failed; violated guarantees are
// listed in the result.
func Run(target Target, o Options) (*Result, error) {
	positions, err := prepare(target, o.Workload)
	if err != nil {
		return nil, err
	}
	h := &history{}
	before := target.Counters()
	start := time.Now()
	var reports []FaultReport
	var group sync.WaitGroup
	group.Go(func() { reports = injectFaults(target, o.Faults, start, o.Duration) })
	group.Go(func() { reportProgress(o, h, start) })
	for i, account := range o.Workload.Accounts {
		group.Go(func() { runLoad(target, o, i, account, positions, h, start) })
	}
	group.Wait()
	time.Sleep(o.SettleTime)
	after := target.Counters()
	found, err := countAllRows(target, o.Workload)
	if err != nil {
		return nil, err
	}
	return evaluate(o, h, reports, counterDeltas(before, after), found), nil
}

// prepare creates the tables and returns, for each route, the session position
// after their creation. Sessions start from it, so that no replica without the
// tables serves their reads.
func prepare(target Target, w Workload) (map[string]string, error) {
	positions := map[string]string{}
	ctx, cancel := context.WithTimeout(context.Background(), prepareTimeout)
	defer cancel()
	for _, route := range w.Routes {
		conn, err := pgx.Connect(ctx, target.URL(target.Hosts()[0], w.Accounts[0].Account, route))
		if err != nil {
			return nil, fmt.Errorf("prepare %s: %w", route, err)
		}
		for _, sql := range []string{
			"CREATE TABLE entries (op bigint, session bigint, seq bigint)",
			"CREATE INDEX entries_session ON entries (session, seq)",
			"CREATE TABLE readings (op bigint PRIMARY KEY, session bigint, seq bigint)",
			"CREATE INDEX readings_session ON readings (session, seq)",
		} {
			if _, err := conn.Exec(ctx, sql); err != nil {
				return nil, fmt.Errorf("prepare %s: %s: %w", route, sql, err)
			}
		}
		positions[route] = conn.PgConn().ParameterStatus(positionParameter)
		_ = conn.Close(ctx)
	}
	return positions, nil
}

// runLoad sends an account's requests at their intended times. Each session takes
// the account's next request as soon as it has finished its previous one.
func runLoad(target Target, o Options, index int, account AccountLoad, positions map[string]string, h *history, start time.Time) {
	rng := rand.New(rand.NewPCG(o.Seed, uint64(index)))
	due := arrivals(account, o.Duration, o.Poisson, rng)
	var next atomic.Int64
	var group sync.WaitGroup
	for k := range account.Sessions {
		s := &session{
			id:       int64(index+1)<<16 | int64(k),
			account:  account,
			route:    o.Workload.Routes[k%len(o.Workload.Routes)],
			workload: o.Workload,
			target:   target,
			history:  h,
			rng:      rand.New(rand.NewPCG(o.Seed, uint64(index+1)<<32|uint64(k))),
			start:    start,
			host:     k,
			position: positions[o.Workload.Routes[k%len(o.Workload.Routes)]],
		}
		group.Go(func() {
			for {
				i := next.Add(1) - 1
				if i >= int64(len(due)) {
					s.disconnect(context.Background())
					return
				}
				time.Sleep(time.Until(start.Add(due[i])))
				s.request(due[i])
			}
		})
	}
	group.Wait()
}

// injectFaults injects the faults that are due within the duration of the load.
func injectFaults(target Target, faults []Fault, start time.Time, duration time.Duration) []FaultReport {
	var reports []FaultReport
	for _, f := range faults {
		if f.At >= duration {
			break
		}
		time.Sleep(time.Until(start.Add(f.At)))
		report := FaultReport{Fault: f, At: time.Since(start)}
		detail, err := target.Inject(f)
		report.Detail = detail
		if err != nil {
			report.Error = err.Error()
		}
		reports = append(reports, report)
	}
	return reports
}

func reportProgress(o Options, h *history, start time.Time) {
	if o.Progress == nil {
		return
	}
	for time.Since(start)+progressInterval < o.Duration {
		time.Sleep(progressInterval)
		h.mu.Lock()
		done := len(h.operations)
		h.mu.Unlock()
		fmt.Fprintf(o.Progress, "%s of %s, %d requests\n", time.Since(start).Round(time.Second), o.Duration, done)
	}
}

// countAllRows returns, for each route, the number of rows of each operation.
func countAllRows(target Target, w Workload) (map[string]map[int64]int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), prepareTimeout)
	defer cancel()
	found := map[string]map[int64]int{}
	for _, route := range w.Routes {
		var err error
		for _, host := range target.Hosts() {
			if found[route], err = countRows(ctx, target.URL(host, w.Accounts[0].Account, route)); err == nil {
				break
			}
		}
		if err != nil {
			return nil, fmt.Errorf("read %s after the run: %w", route, err)
		}
	}
	return found, nil
}

func counterDeltas(before, after map[string]int64) map[string]int64 {
	out := map[string]int64{}
	for name, value := range after {
		out[name] = value - before[name]
	}
	return out
}
