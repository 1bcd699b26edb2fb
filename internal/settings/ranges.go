package settings

import (
	"time"

	"github.com/bramleylever/bramleylever/internal/routing"
)

// The ranges are checked by this package and not by conf tags, because errors of conf do not name
// the field.

type durationRange struct {
	path            string
	value, min, max time.Duration
}

type numberRange struct {
	path            string
	value, min, max int
}

type choice struct {
	path, value string
	allowed     []string
}

func (s *Settings) choices() []choice {
	return []choice{
		{"log.level", s.Log.Level, []string{"debug", "info", "warn", "error"}},
		{"routing.policy", s.Routing.Policy, routing.Policies},
	}
}

func (s *Settings) numbers() []numberRange {
	return []numberRange{
		{"log.routing_sample", s.Log.RoutingSample, 0, 1_000_000},
		{"limits.connections", s.Limits.Connections, 1, 100_000},
		{"limits.message_bytes", s.Limits.MessageBytes, 1 << 10, 1 << 30},
		{"limits.memory_bytes", int(s.Limits.MemoryBytes), 64 << 20, 1 << 40},
		{"limits.queue_requests", s.Limits.QueueRequests, 1, 100_000},
		{"limits.queue_bytes", s.Limits.QueueBytes, 1 << 10, 1 << 30},
	}
}

func (s *Settings) durations() []durationRange {
	return []durationRange{
		{"platform.timeout", s.Platform.Timeout, 10 * time.Millisecond, 30 * time.Second},
		{"backend.connect_timeout", s.Backend.ConnectTimeout, 10 * time.Millisecond, 30 * time.Second},
		{"routing.guard_wait", s.Routing.GuardWait, 0, 10 * time.Second},
		{"routing.replicate_wait", s.Routing.ReplicateWait, 10 * time.Millisecond, time.Minute},
		{"routing.queue_wait", s.Routing.QueueWait, 10 * time.Millisecond, time.Minute},
		{"drain.readiness_delay", s.Drain.ReadinessDelay, 0, time.Minute},
		{"drain.timeout", s.Drain.Timeout, time.Second, 10 * time.Minute},
	}
}
