package bench

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// WriteTable writes the result as a human-readable table.
func (r *Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(cells ...any) {
		for i, cell := range cells {
			if i > 0 {
				fmt.Fprint(t, "\t")
			}
			fmt.Fprint(t, cell)
		}
		fmt.Fprintln(t)
	}
	row("workload", r.Workload)
	row("seconds", r.Seconds)
	row("requests", r.Requests)
	row("answered", r.Answered)
	row("not run", r.NotRun)
	row("outcome unknown", r.Unknown)
	row("failed", r.Failed)
	row("reads p50/p99/max ms", fmt.Sprintf("%.1f / %.1f / %.1f", r.Reads.P50, r.Reads.P99, r.Reads.Max))
	row("writes p50/p99/max ms", fmt.Sprintf("%.1f / %.1f / %.1f", r.Writes.P50, r.Writes.P99, r.Writes.Max))
	row("reads from replicas", fmt.Sprintf("%.1f%% (%d + %d with an age, %d primary)",
		100*r.Replica.Fraction, r.Replica.ReplicaReads, r.Replica.ReplicaReadsWithAge, r.Replica.PrimaryReads))
	row("refused within rate", fmt.Sprintf("%d (%.3f%%)", r.RefusedWithinRate, r.RefusedWithinRatePct))
	row("worst-served account", fmt.Sprintf("%s: %.1f%% of what is within its rate", r.WorstServed.Account, 100*r.WorstServed.ServedFraction))
	for _, a := range r.Accounts {
		row("  "+a.Account, fmt.Sprintf("offered %d, within rate %d, answered %d, refused %d, wrongly %d",
			a.Offered, a.WithinRate, a.Answered, a.RefusedForRate, a.RefusedWithinRate))
	}
	for _, f := range r.Faults {
		row(fmt.Sprintf("at %.1fs %s", f.At.Seconds(), f.Action), f.Detail+f.Error)
	}
	for _, g := range r.Gaps {
		row(fmt.Sprintf("gap of %s at %s", g.Database, g.Fault), fmt.Sprintf("%.0f ms", g.GapMs))
	}
	for _, message := range slices.Sorted(maps.Keys(r.Errors)) {
		row("error", fmt.Sprintf("%d x %s", r.Errors[message], message))
	}
	for _, v := range r.Violations {
		row("VIOLATION "+v.Rule, v.Detail)
	}
	verdict := "history is consistent"
	if len(r.Violations) > 0 {
		verdict = "HISTORY BREAKS PROMISES"
	}
	row("verdict", verdict)
	return t.Flush()
}
