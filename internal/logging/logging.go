// Package logging creates zap loggers that write JSON lines, and redirects go-zero's log to them.
package logging

import (
	"fmt"
	"io"
	"os"

	"github.com/zeromicro/go-zero/core/logx"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Names of the fields that log lines of decisions have in common.
const (
	FieldDecision = "decision"
	FieldDatabase = "database"
	FieldInstance = "instance"
	FieldAccount  = "account"
	FieldKey      = "key_id"
	FieldPeer     = "peer"
	FieldDomain   = "failure_domain"
	FieldTerm     = "term"
	FieldRevision = "revision"
	// FieldGeneration is the generation of the platform store's data.
	FieldGeneration = "store_generation"
	FieldReason     = "reason"
	FieldStep       = "step"
	FieldSession    = "session"
	FieldStatement  = "statement_class"
	FieldOmitted    = "omitted_lines"
)

// New returns a logger that writes JSON lines of at least the given level
// (debug, info, warn, error) to w; nil means standard error.
func New(level string, w io.Writer) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: expected debug, info, warn or error", level)
	}
	if w == nil {
		w = os.Stderr
	}
	encoder := zap.NewProductionEncoderConfig()
	encoder.TimeKey = "time"
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), zapcore.Lock(zapcore.AddSync(w)), parsed)
	return zap.New(core), nil
}

// AttachGoZero redirects go-zero's log lines to logger and disables its periodic statistics.
func AttachGoZero(logger *zap.Logger) {
	// The first call of SetUp in a process installs a console writer; later calls have no
	// effect. Calling it here prevents go-zero from replacing the writer that is set below.
	_ = logx.SetUp(logx.LogConf{Mode: "console", Level: "info"})
	logx.SetWriter(goZeroWriter{logger.Named("go-zero").Sugar()})
	logx.DisableStat()
}

// goZeroWriter implements logx.Writer on top of a zap logger.
type goZeroWriter struct{ log *zap.SugaredLogger }

func fields(in []logx.LogField) []any {
	out := make([]any, 0, 2*len(in))
	for _, f := range in {
		out = append(out, f.Key, f.Value)
	}
	return out
}

func (w goZeroWriter) Alert(v any)  { w.log.Error(v) }
func (w goZeroWriter) Close() error { return w.log.Sync() }
func (w goZeroWriter) Severe(v any) { w.log.Error(v) }
func (w goZeroWriter) Stack(v any)  { w.log.Error(v) }
func (w goZeroWriter) Debug(v any, f ...logx.LogField) {
	w.log.Debugw(fmt.Sprint(v), fields(f)...)
}
func (w goZeroWriter) Error(v any, f ...logx.LogField) {
	w.log.Errorw(fmt.Sprint(v), fields(f)...)
}
func (w goZeroWriter) Info(v any, f ...logx.LogField) {
	w.log.Infow(fmt.Sprint(v), fields(f)...)
}
func (w goZeroWriter) Slow(v any, f ...logx.LogField) {
	w.log.Warnw(fmt.Sprint(v), fields(f)...)
}
func (w goZeroWriter) Stat(v any, f ...logx.LogField) {
	w.log.Debugw(fmt.Sprint(v), fields(f)...)
}
