package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// bufferLines is the number of lines that wait for a slow output.
	bufferLines = 4096
	// rateLimitPeriod and budgetLines bound the lines with one message: within
	// each period, at most that many are written.
	rateLimitPeriod = time.Second
	rateLimitLines  = 40
	// closeTimeout bounds the wait for waiting lines at the end.
	closeTimeout = 500 * time.Millisecond
)

// NonBlockingWriter is an output that never blocks its writers. Lines that the output
// does not take in time are dropped and counted.
type NonBlockingWriter struct {
	lines   chan []byte
	done    chan struct{}
	closed  sync.Once
	dropped atomic.Int64
}

// NewNonBlockingWriter returns an output in front of w.
func NewNonBlockingWriter(w io.Writer) *NonBlockingWriter {
	b := &NonBlockingWriter{lines: make(chan []byte, bufferLines), done: make(chan struct{})}
	go func() {
		defer close(b.done)
		for line := range b.lines {
			// An output that fails cannot be reported anywhere else.
			_, _ = w.Write(line)
		}
	}()
	return b
}

// Write implements io.Writer. It takes a copy of the line.
func (b *NonBlockingWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (b *NonBlockingWriter) Sync() error { return nil }

// Dropped returns the number of lines that were dropped.
func (b *NonBlockingWriter) Dropped() int64 { return b.dropped.Load() }

// Close writes the waiting lines, for a moment. Nothing may be written after.
func (b *NonBlockingWriter) Close() {
	b.closed.Do(func() { close(b.lines) })
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
}

// messageCount counts the lines of one message in the present period.
type messageCount struct {
	period  int64
	written int
	omitted int
}

// rateLimitCore leaves out lines beyond the budget of their message, and says how
// many were left out with the first line of a later period. Lines that are
// errors are always written.
type rateLimitCore struct {
	zapcore.Core
	limiter *rateLimiter
}

type rateLimiter struct {
	mu       sync.Mutex
	now      func() time.Time
	messages map[string]*messageCount
	omitted  metrics.Counter
}

// WithRateLimit returns a logger that writes at most a number of lines a second
// with the same message; those left out are counted in a registry.
func WithRateLimit(logger *zap.Logger, registry metrics.Registry) *zap.Logger {
	limiter := &rateLimiter{
		now: time.Now, messages: map[string]*messageCount{},
		omitted: metrics.GetOrRegisterCounter("logging.omitted_lines_count", registry),
	}
	return logger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return &rateLimitCore{Core: core, limiter: limiter}
	}))
}

// With implements zapcore.Core.
func (c *rateLimitCore) With(fields []zapcore.Field) zapcore.Core {
	return &rateLimitCore{Core: c.Core.With(fields), limiter: c.limiter}
}

// Check implements zapcore.Core.
func (c *rateLimitCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c *rateLimitCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	if e.Level >= zapcore.ErrorLevel {
		return c.Core.Write(e, fields)
	}
	write, omitted := c.limiter.take(e.Message)
	if !write {
		return nil
	}
	if omitted > 0 {
		fields = append(fields, zap.Int(FieldOmitted, omitted))
	}
	return c.Core.Write(e, fields)
}

// take counts a line. It reports whether to write it, and how many were left
// out in the period before.
func (b *rateLimiter) take(message string) (write bool, omitted int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	period := b.now().UnixNano() / int64(rateLimitPeriod)
	m := b.messages[message]
	if m == nil {
		m = &messageCount{period: period}
		b.messages[message] = m
	}
	if m.period != period {
		omitted = m.omitted
		*m = messageCount{period: period}
	}
	if m.written >= rateLimitLines {
		m.omitted++
		b.omitted.Inc(1)
		return false, 0
	}
	m.written++
	return true, omitted
}
