package usage

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/hosts"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/recovery"
)

// pushState is what one collector has acknowledged of this host's counts.
type pushState struct {
	// final is the newest window whose final counts it has.
	final Window
	// sent are the counts that it has of windows that are not final.
	sent map[Window]Counts
	// next is when the counts of open windows are sent again.
	next time.Time
}

// Push sends to each collector what it does not have yet: final counts at once, those of open
// windows at intervals. It is called by one goroutine at a time.
func (r *Runner) Push(ctx context.Context) {
	before := r.Closed()
	r.Close()
	r.logCounted(before)
	now := r.Now()
	first, _ := r.collectorsOf()
	known := map[string]*pushState{}
	var group sync.WaitGroup
	for _, h := range first {
		if h.Name == r.options.Host {
			continue
		}
		state := r.pushes[h.Name]
		if state == nil {
			state = &pushState{final: r.options.Policy.At(now) - r.options.Policy.kept(), sent: map[Window]Counts{}}
		}
		known[h.Name] = state
		group.Go(func() {
			defer recovery.Contain("push usage counts", nil)
			r.pushTo(ctx, h, state, now)
		})
	}
	group.Wait()
	r.pushes = known
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock.Keep(names(first, r.options.Host))
}

// logCounted logs this host's final counts of the windows that were closed since the given
// one, so that an account's count can be traced to the hosts.
func (r *Runner) logCounted(since Window) {
	for w := since + 1; w <= r.Closed(); w++ {
		counts, _ := r.Snapshot(w)
		if len(counts) > 0 {
			r.log.Info("usage counted", zap.String(logging.FieldDecision, "count_usage"), zap.Stringer("window", w), zap.Any("operations", counts))
		}
	}
}

func (r *Runner) pushTo(ctx context.Context, to hosts.Host, state *pushState, now time.Time) {
	closed := r.Closed()
	newest := max(closed, r.options.Policy.At(now))
	if state.final >= closed && now.Before(state.next) {
		return
	}
	changes, full := map[Window]Report{}, map[Window]Counts{}
	for w := state.final + 1; w <= newest; w++ {
		counts, final := r.Snapshot(w)
		full[w] = counts
		changes[w] = r.report(counts.changedSince(state.sent[w]), final)
	}
	// The delay also bounds the attempts at a collector that does not answer.
	state.next = now.Add(pushInterval + time.Duration(len(r.options.Alive()))*pushPerHost)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := r.ownNow()
	ack, err := r.options.Peers.Record(ctx, to, changes, nil)
	if err != nil {
		return
	}
	r.acknowledge(to.Name, ack, sent, r.ownNow())
	state.sent = full
	state.final = closed
}

// report returns counts of this process.
func (r *Runner) report(counts Counts, final bool) Report {
	return Report{Source: r.source, Started: r.started, Counts: counts, Final: final}
}

// ownNow returns the time by this host's clock alone.
func (r *Runner) ownNow() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Own(r.options.WallNow(), r.options.SteadyNow())
}

// acknowledge compares the clocks, taking the answer for one of the middle of the call, and
// notes which windows are reported.
func (r *Runner) acknowledge(host string, ack Acknowledgement, sent, answered time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock.Compare(host, ack.Clock.Sub(sent.Add(answered.Sub(sent)/2)))
	r.reported = max(r.reported, ack.Reported)
}

// collect asks the other collectors for what they know of a window.
func (r *Runner) collect(ctx context.Context, w Window, now time.Time, first []hosts.Host) {
	if now.Before(r.collectAt) {
		return
	}
	r.collectAt = now.Add(collectInterval)
	r.eachOther(first, func(h hosts.Host) {
		ctx, cancel := context.WithTimeout(ctx, collectInterval)
		defer cancel()
		reports, records, err := r.options.Peers.Collect(ctx, h, w)
		if err != nil {
			return
		}
		r.Receive(map[Window][]Report{w: reports}, records)
	})
}

// announce passes a record on to the other collectors, which one of them needs if it takes
// over the duty after the store has lost the record.
func (r *Runner) announce(ctx context.Context, first []hosts.Host, record SharedRecord) {
	r.eachOther(first, func(h hosts.Host) {
		ctx, cancel := context.WithTimeout(ctx, collectInterval)
		defer cancel()
		// A collector that does not hear it learns it from the store.
		_, _ = r.options.Peers.Record(ctx, h, nil, []SharedRecord{record})
	})
}

// eachOther calls f in parallel for the given hosts but this one.
func (r *Runner) eachOther(all []hosts.Host, f func(hosts.Host)) {
	var group sync.WaitGroup
	for _, h := range all {
		if h.Name == r.options.Host {
			continue
		}
		group.Go(func() {
			defer recovery.Contain("exchange of usage counts", nil)
			f(h)
		})
	}
	group.Wait()
}

// Receive adds what another host sent.
func (r *Runner) Receive(counts map[Window][]Report, records []SharedRecord) Acknowledgement {
	for _, record := range records {
		r.learn(record)
	}
	own := r.ownNow()
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := r.options.Policy.At(own)
	for w, reports := range counts {
		if w < newest-2*r.options.Policy.kept() || w > newest+r.options.Policy.kept() {
			// No host's clock is that far off; the entry would only take memory.
			continue
		}
		for _, report := range reports {
			r.table.Merge(w, report)
		}
	}
	return Acknowledgement{Clock: own, Reported: r.reported}
}

// Known returns what this host knows of a window, its own counts included.
func (r *Runner) Known(w Window) ([]Report, []SharedRecord) {
	own, final := r.Snapshot(w)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Merge(w, r.report(own, final))
	var records []SharedRecord
	if record, ok := r.records[w]; ok {
		records = []SharedRecord{record}
	}
	return r.table.Reports(w), records
}
