package frontend

import (
	"github.com/rcrowley/go-metrics"
)

// requestOutcome is one of the three ways in which a request can end.
type requestOutcome uint8

const (
	outcomeAnswered requestOutcome = iota
	outcomeNotRun
	outcomeUnknown
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"answered", "not_run", "unknown"}

// serverMetrics holds the metrics, which are registered once so that counting
// needs no look-up in the registry.
type serverMetrics struct {
	// requests counts the requests by the class of their statements and by their
	// outcome.
	requests [ClassUnsupported + 1][outcomeCount]metrics.Counter
	// Reads by target: a replica, the primary, or a replica in a session with a
	// maximum staleness.
	readsReplica, readsPrimary, readsStale metrics.Counter
	retries, forwarded, fallbacks          metrics.Counter
	refusedConnections, cancelled          metrics.Counter
	queueTime, replicateWait               metrics.Timer
}

func newServerMetrics(r metrics.Registry) *serverMetrics {
	m := &serverMetrics{
		readsReplica:       metrics.GetOrRegisterCounter("routing.reads_replica_requests", r),
		readsPrimary:       metrics.GetOrRegisterCounter("routing.reads_primary_requests", r),
		readsStale:         metrics.GetOrRegisterCounter("routing.reads_replica_with_age_requests", r),
		retries:            metrics.GetOrRegisterCounter("frontend.retried_requests", r),
		forwarded:          metrics.GetOrRegisterCounter("frontend.forwarded_requests", r),
		fallbacks:          metrics.GetOrRegisterCounter("routing.fallback_requests", r),
		refusedConnections: metrics.GetOrRegisterCounter("frontend.refused_connections", r),
		cancelled:          metrics.GetOrRegisterCounter("frontend.cancelled_requests", r),
		queueTime:          metrics.GetOrRegisterTimer("frontend.queue_time_seconds", r),
		replicateWait:      metrics.GetOrRegisterTimer("frontend.replicate_wait_seconds", r),
	}
	for class := range m.requests {
		for outcome := range m.requests[class] {
			name := "frontend." + Class(class).String() + "_" + outcomeNames[outcome] + "_requests"
			m.requests[class][outcome] = metrics.GetOrRegisterCounter(name, r)
		}
	}
	return m
}
