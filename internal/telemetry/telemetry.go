// Package telemetry exports the metrics of a process, which are all in one go-metrics registry, as
// JSON and in the Prometheus text format. The name of a metric has the form
// "subsystem.what_unit".
package telemetry

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles that are exported for histograms and timers.
var quantiles = []float64{0.5, 0.95, 0.99}

// WriteJSON writes all metrics of a registry as one JSON object.
func WriteJSON(r metrics.Registry, w io.Writer) {
	metrics.WriteJSONOnce(r, w)
}

// WritePrometheus writes all metrics of a registry in the Prometheus text
// format, sorted by name.
func WritePrometheus(r metrics.Registry, w io.Writer) error {
	all := map[string]any{}
	r.Each(func(name string, metric any) { all[name] = metric })
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	out := bufio.NewWriter(w)
	for _, name := range names {
		writeMetric(out, prometheusName(name), all[name])
	}
	return out.Flush()
}

// prometheusName maps "pool.wait_seconds" to "bramleylever_pool_wait_seconds".
func prometheusName(name string) string {
	mapped := strings.Map(func(c rune) rune {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '_':
			return c
		default:
			return '_'
		}
	}, name)
	return "bramleylever_" + mapped
}

func writeMetric(w io.Writer, name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case metrics.Gauge:
		fmt.Fprintf(w, "# TYPE %s gauge\n%s %d\n", name, name, m.Value())
	case metrics.GaugeFloat64:
		fmt.Fprintf(w, "# TYPE %s gauge\n%s %g\n", name, name, m.Value())
	case metrics.Meter:
		fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case metrics.Histogram:
		s := m.Snapshot()
		writeSummary(w, name, s.Percentiles(quantiles), s.Sum(), s.Count())
	case metrics.Timer:
		s := m.Snapshot()
		writeSummary(w, name, s.Percentiles(quantiles), s.Sum(), s.Count())
	}
}

func writeSummary(w io.Writer, name string, values []float64, sum, count int64) {
	fmt.Fprintf(w, "# TYPE %s summary\n", name)
	for i, q := range quantiles {
		fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, q, values[i])
	}
	fmt.Fprintf(w, "%s_sum %d\n%s_count %d\n", name, sum, name, count)
}
