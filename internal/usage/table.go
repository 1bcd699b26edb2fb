package usage

import (
	"maps"
	"slices"
	"time"
)

// Source is a process that counts.
type Source struct{ Host, Process string }

// Report is what a process has counted in a window so far.
type Report struct {
	Source Source
	Counts Counts
	// Started is when the process started.
	Started time.Time
	// Final says that the process counts nothing more in the window.
	Final bool
}

// Table holds what a collector knows of all processes' counts. Its caller serializes the
// calls.
type Table struct{ windows map[Window]map[Source]*Report }

// NewTable returns an empty table.
func NewTable() *Table { return &Table{windows: map[Window]map[Source]*Report{}} }

// Merge adds what a process has counted. Counts of a process only grow, so the higher one of
// two reports is the newer one.
func (t *Table) Merge(w Window, r Report) {
	if t.windows[w] == nil {
		t.windows[w] = map[Source]*Report{}
	}
	known := t.windows[w][r.Source]
	if known == nil {
		known = &Report{Source: r.Source, Counts: Counts{}, Started: r.Started}
		t.windows[w][r.Source] = known
	}
	known.Counts.raise(r.Counts)
	known.Final = known.Final || r.Final
}

// Reports returns a copy of what is known of a window.
func (t *Table) Reports(w Window) []Report {
	reports := make([]Report, 0, len(t.windows[w]))
	for _, r := range t.windows[w] {
		copied := *r
		copied.Counts = maps.Clone(r.Counts)
		reports = append(reports, copied)
	}
	return reports
}

// Sum returns the counts of a window over all processes.
func (t *Table) Sum(w Window) Counts {
	sum := Counts{}
	for _, r := range t.windows[w] {
		sum.add(r.Counts)
	}
	return sum
}

// Missing returns those of the expected hosts that have not sent final counts of a window.
func (t *Table) Missing(w Window, expected []string) []string {
	final := map[string]bool{}
	for source, r := range t.windows[w] {
		final[source.Host] = final[source.Host] || r.Final
	}
	missing := slices.DeleteFunc(slices.Clone(expected), func(host string) bool { return final[host] })
	slices.Sort(missing)
	return missing
}

// Restarted returns the hosts of which only processes are known that started after the given
// time. What an earlier process counted after that time is lost.
func (t *Table) Restarted(w Window, after time.Time) []string {
	whole := map[string]bool{}
	for source, r := range t.windows[w] {
		whole[source.Host] = whole[source.Host] || !r.Started.After(after)
	}
	var restarted []string
	for host, known := range whole {
		if !known {
			restarted = append(restarted, host)
		}
	}
	slices.Sort(restarted)
	return restarted
}

// Forget drops the windows before the given one.
func (t *Table) Forget(before Window) {
	maps.DeleteFunc(t.windows, func(w Window, _ map[Source]*Report) bool { return w < before })
}
