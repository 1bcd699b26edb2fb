package shares

import "github.com/rcrowley/go-metrics"

// stats holds the metrics of a runner.
type stats struct {
	admitted metrics.Counter
	refused  metrics.Counter
	late     metrics.Counter
	sent     metrics.Counter
	failed   metrics.Counter
	handled  metrics.Counter
	rejected metrics.Counter
	owned    metrics.Gauge
	duration metrics.Timer
}

func newStats(r metrics.Registry) stats {
	if r == nil {
		r = metrics.NewRegistry()
	}
	return stats{
		admitted: metrics.GetOrRegisterCounter("shares.admitted_requests", r),
		refused:  metrics.GetOrRegisterCounter("shares.refused_requests", r),
		late:     metrics.GetOrRegisterCounter("shares.admitted_late_requests", r),
		sent:     metrics.GetOrRegisterCounter("shares.sent_calls", r),
		failed:   metrics.GetOrRegisterCounter("shares.failed_calls", r),
		handled:  metrics.GetOrRegisterCounter("shares.handled_demands", r),
		rejected: metrics.GetOrRegisterCounter("shares.rejected_demands", r),
		owned:    metrics.GetOrRegisterGauge("shares.owned_buckets", r),
		duration: metrics.GetOrRegisterTimer("shares.call_nanoseconds", r),
	}
}

func (s *stats) count(admitted bool) {
	if admitted {
		s.admitted.Inc(1)
	} else {
		s.refused.Inc(1)
	}
}
