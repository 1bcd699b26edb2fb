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
	// bufferLines is the number of lines that are buffered for a slow output.
	bufferLines = 4096
	// At most rateLimitLines lines with the same message are written per rateLimitPeriod.
	rateLimitPeriod = time.Second
	rateLimitLines  = 40
	// closeTimeout limits how long Close waits for buffered lines to be written.
	closeTimeout = 500 * time.Millisecond
)

// NonBlockingWriter is a log output whose Write never blocks. It buffers lines for the underlying
// writer; while the buffer is full, lines are dropped and counted.
type NonBlockingWriter struct {
	lines   chan []byte
	done    chan struct{}
	closed  sync.Once
	dropped atomic.Int64
}

// NewNonBlockingWriter returns a NonBlockingWriter that writes to w in a goroutine.
func NewNonBlockingWriter(w io.Writer) *NonBlockingWriter {
	b := &NonBlockingWriter{lines: make(chan []byte, bufferLines), done: make(chan struct{})}
	go func() {
		defer close(b.done)
		for line := range b.lines {
			// The error is ignored, because there is no other output to report it to.
			_, _ = w.Write(line)
		}
	}()
	return b
}

// Write implements io.Writer. It buffers a copy of the line.
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

// Close waits up to closeTimeout until the buffered lines are written. Write must not be called
// after Close.
func (b *NonBlockingWriter) Close() {
	b.closed.Do(func() { close(b.lines) })
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
}

// messageCount holds the numbers of written and omitted lines of one message in a period.
type messageCount struct {
	period  int64
	written int
	omitted int
}

// rateLimitCore omits lines beyond the rate limit of their message. The first line that is written
// in a later period has the number of omitted lines in FieldOmitted. Lines of level error and
// above are always written.
type rateLimitCore struct {
	zapcore.Core
	limiter *rateLimiter
}

type rateLimiter struct {
	mu           sync.Mutex
	now          func() time.Time
	messages     map[string]*messageCount
	omittedLines metrics.Counter
}

// WithRateLimit returns a logger that limits the number of lines per second with the same message.
// Omitted lines are counted in a metric of the registry.
func WithRateLimit(logger *zap.Logger, registry metrics.Registry) *zap.Logger {
	limiter := &rateLimiter{
		now: time.Now, messages: map[string]*messageCount{},
		omittedLines: metrics.GetOrRegisterCounter("logging.omitted_lines_count", registry),
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

// take counts a line and reports whether to write it. omitted is the number of lines that were
// omitted in the last period with lines of this message; it is returned once.
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
		b.omittedLines.Inc(1)
		return false, 0
	}
	m.written++
	return true, omitted
}
