package usage

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/hosts"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/platform"
)

// settle seals and reports one window. It reports false if the holder has to wait.
func (r *Runner) settle(ctx context.Context, w Window, now time.Time, first []hosts.Host) bool {
	record, stored := r.record(w)
	if !stored {
		var ok bool
		if record, ok = r.prepare(ctx, w, now, first, record); !ok {
			return false
		}
		if record == nil {
			return true
		}
	}
	if now.Before(r.retryAt) || !r.duty.holds() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err := r.options.Reporter.Report(ctx, w, record.Counts, r.options.Host, r.duty.token)
	r.logReport(w, now, err)
	switch {
	case errors.Is(err, ErrSuperseded):
		r.duty.release(ctx, now, "a higher token has been used")
		return false
	case err != nil:
		r.retryAt = now.Add(reportTimeout)
		return false
	}
	shared := SharedRecord{Record: record, Reported: true}
	r.learn(shared)
	r.announce(ctx, first, shared)
	return true
}

// record returns the known record of a window, and whether it stands in the store of the
// present generation.
func (r *Runner) record(w Window) (record *Record, stored bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record = r.records[w].Record
	if record == nil {
		return nil, false
	}
	generation, _ := platform.SplitRevision(record.Token)
	return record, generation == r.generation
}

// prepare seals the record of a window once its counts are complete or late. A record that an
// earlier generation of the store has lost is sealed again as it was. It returns no record for
// a window that cannot be reported, and false if the holder has to wait.
func (r *Runner) prepare(ctx context.Context, w Window, now time.Time, first []hosts.Host, lost *Record) (*Record, bool) {
	sinceEnd := now.Sub(r.options.Policy.End(w))
	expected := names(r.options.Registered(), r.options.Host)
	record := r.sum(w, expected)
	if lost == nil {
		if len(record.Missing) > 0 || r.mayBeLost(w) {
			r.collect(ctx, w, now, append(slices.Clone(first), r.toAsk(record.Missing, sinceEnd)...))
			record = r.sum(w, expected)
			lost, _ = r.record(w)
		}
	}
	switch {
	case lost != nil:
		record.Counts, record.Missing, record.Hosts = lost.Counts, lost.Missing, lost.Hosts
	case r.mayBeLost(w):
		if float64(sinceEnd) < lastShare*float64(r.options.Policy.ReportTime) {
			return nil, false
		}
		return nil, r.giveUp(w)
	default:
		switch r.options.Policy.decide(sinceEnd, len(expected), len(record.Missing)) {
		case actionWait:
			return nil, false
		case actionYield:
			r.duty.release(ctx, now, "the counts of most hosts are missing")
			return nil, false
		case actionSeal:
		}
	}
	record.SealedAt = now
	sealed, err := r.seal(ctx, record)
	if err != nil {
		r.log.Warn("could not seal a usage window", zap.String(logging.FieldStep, "seal usage"), zap.Stringer("window", w), zap.Error(err))
		if errors.Is(err, platform.ErrConflict) {
			r.duty.lose(now, "another host has the duty")
		}
		return nil, false
	}
	r.logRecord(sealed, sinceEnd)
	if len(sealed.Missing) > 0 {
		r.stats.incomplete.Inc(1)
	}
	shared := SharedRecord{Record: sealed}
	r.learn(shared)
	r.announce(ctx, first, shared)
	return sealed, true
}

const (
	// askDelay is how long after the end of a window the holder asks hosts themselves for their
	// counts. They may have sent them to other collectors, if they know of other hosts.
	askDelay = 2 * time.Second
	// maxAsked bounds the hosts that are asked in one go.
	maxAsked = 32
)

// toAsk returns the hosts that the holder asks for the counts that it lacks.
func (r *Runner) toAsk(missing []string, sinceEnd time.Duration) []hosts.Host {
	if sinceEnd < askDelay {
		return nil
	}
	all := slices.Clone(r.options.Registered())
	all = slices.DeleteFunc(all, func(h hosts.Host) bool { return !slices.Contains(missing, h.Name) })
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(maxAsked, len(all))]
}

// mayBeLost reports whether a record of the window may have been in the store before it came
// back from an older copy. A report without it could differ from the one that was made.
func (r *Runner) mayBeLost(w Window) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.generation == platform.FirstGeneration {
		return false
	}
	since, certain := r.clock.At(r.generationSince)
	if !certain {
		since = since.Add(maxClockError)
	}
	return w < r.options.Policy.At(since)
}

// giveUp skips a window that must not be reported.
func (r *Runner) giveUp(w Window) bool {
	r.log.Error("usage window lost: its record was lost with the store's last changes and no host has a copy",
		zap.String(logging.FieldDecision, "skip_usage"), zap.Stringer("window", w))
	r.stats.lost.Inc(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reported = max(r.reported, w)
	return true
}

// sum returns the record of a window from what this host knows.
func (r *Runner) sum(w Window, expected []string) *Record {
	own, final := r.Snapshot(w)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Merge(w, r.report(own, final))
	return &Record{
		Window: w, Ends: r.options.Policy.End(w), Counts: r.table.Sum(w), Holder: r.options.Host, Token: r.duty.token, Hosts: len(expected),
		Missing: r.table.Missing(w, expected), Restarted: r.table.Restarted(w, r.options.Policy.End(w-1)),
	}
}

// logReport logs and counts the answer to a report.
func (r *Runner) logReport(w Window, now time.Time, err error) {
	sinceEnd := now.Sub(r.options.Policy.End(w))
	fields := []zap.Field{
		zap.String(logging.FieldDecision, "report_usage"), zap.Stringer("window", w),
		zap.Int64("token", r.duty.token), zap.Duration("since_end", sinceEnd), zap.Error(err),
	}
	switch {
	case err != nil:
		r.stats.failures.Inc(1)
		r.log.Warn("usage window not reported", fields...)
	case sinceEnd > r.options.Policy.ReportTime:
		r.stats.late.Inc(1)
		r.log.Error("usage window reported late", fields...)
	default:
		r.stats.reports.Inc(1)
		r.log.Info("usage window reported", fields...)
	}
}
