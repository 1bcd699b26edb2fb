package gateway

import (
	"github.com/rcrowley/go-metrics"

	"github.com/bramleylever/bramleylever/internal/statement"
)

// stats are the counters and histograms of the request path.
type stats struct {
	registry metrics.Registry
	latency  metrics.Histogram
	retries  metrics.Counter
	// choices counts the instance choices by reason.
	choices map[string]metrics.Counter
	// samples and sampleFailures count the successful and failed requests for leader
	// positions.
	samples        metrics.Counter
	sampleFailures metrics.Counter
}

// latencySample is the number of values in the sample of the latency histogram.
const latencySample = 512

func newStats(r metrics.Registry) *stats {
	choices := map[string]metrics.Counter{}
	for _, reason := range reasons {
		choices[reason] = metrics.GetOrRegisterCounter("gateway.choice_"+reason+"_count", r)
	}
	return &stats{
		choices:  choices,
		registry: r,
		latency:  metrics.GetOrRegisterHistogram("gateway.statement_us", r, metrics.NewUniformSample(latencySample)),
		retries:  metrics.GetOrRegisterCounter("gateway.retries_count", r),

		samples:        metrics.GetOrRegisterCounter("gateway.position_samples_count", r),
		sampleFailures: metrics.GetOrRegisterCounter("gateway.position_sample_failures_count", r),
	}
}

func (s *stats) result(code statement.Code) {
	name := "ok"
	if code != statement.OK {
		name = string(code)
	}
	metrics.GetOrRegisterCounter("gateway.result_"+name+"_count", s.registry).Inc(1)
}
