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
}

// latencySample is the number of values that the latency histogram keeps.
const latencySample = 512

func newStats(r metrics.Registry) *stats {
	return &stats{
		registry: r,
		latency:  metrics.GetOrRegisterHistogram("gateway.statement_us", r, metrics.NewUniformSample(latencySample)),
		retries:  metrics.GetOrRegisterCounter("gateway.retries_count", r),
	}
}

func (s *stats) result(code statement.Code) {
	name := "ok"
	if code != statement.OK {
		name = string(code)
	}
	metrics.GetOrRegisterCounter("gateway.result_"+name+"_count", s.registry).Inc(1)
}
