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
	// budgetPeriod and budgetLines bound the lines with one message: within
	// each period, at most that many are written.
	budgetPeriod = time.Second
	budgetLines  = 40
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

// budget counts the lines of one message in the present period.
type budget struct {
	period  int64
	written int
	left    int
}

// budgetCore leaves out lines beyond the budget of their message, and says how
// many were left out with the first line of a later period. Lines that are
// errors are always written.
type budgetCore struct {
	zapcore.Core
	shared *budgets
}

type budgets struct {
	mu       sync.Mutex
	now      func() time.Time
	messages map[string]*budget
	omitted  metrics.Counter
}

// WithRateLimit returns a logger that writes at most a number of lines a second
// with the same message; those left out are counted in a registry.
func WithRateLimit(logger *zap.Logger, registry metrics.Registry) *zap.Logger {
	shared := &budgets{
		now: time.Now, messages: map[string]*budget{},
		omitted: metrics.GetOrRegisterCounter("logging.omitted_lines_count", registry),
	}
	return logger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return &budgetCore{Core: core, shared: shared}
	}))
}

// With implements zapcore.Core.
func (c *budgetCore) With(fields []zapcore.Field) zapcore.Core {
	return &budgetCore{Core: c.Core.With(fields), shared: c.shared}
}

// Check implements zapcore.Core.
func (c *budgetCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c *budgetCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	if e.Level >= zapcore.ErrorLevel {
		return c.Core.Write(e, fields)
	}
	write, left := c.shared.take(e.Message)
	if !write {
		return nil
	}
	if left > 0 {
		fields = append(fields, zap.Int(FieldOmitted, left))
	}
	return c.Core.Write(e, fields)
}

// take counts a line. It reports whether to write it, and how many were left
// out in the period before.
func (b *budgets) take(message string) (write bool, left int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	period := b.now().UnixNano() / int64(budgetPeriod)
	m := b.messages[message]
	if m == nil {
		m = &budget{period: period}
		b.messages[message] = m
	}
	if m.period != period {
		left = m.left
		*m = budget{period: period}
	}
	if m.written >= budgetLines {
		m.left++
		b.omitted.Inc(1)
		return false, 0
	}
	m.written++
	return true, left
}
