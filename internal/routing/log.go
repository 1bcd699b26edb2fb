package routing

import (
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/logging"
)

// DecisionLog logs routing decisions, one line for each decision in the sample.
type DecisionLog struct {
	logger *zap.Logger
	every  uint64
	count  atomic.Uint64
}

// NewDecisionLog returns a log that writes every nth decision, where n is every; 0 turns
// it off.
func NewDecisionLog(logger *zap.Logger, every uint64) *DecisionLog {
	return &DecisionLog{logger: logger, every: every}
}

// Entry describes a decision in the log.
type Entry struct {
	Database string
	Instance string
	Account  string
	Session  uint32
	Class    string
	Reason   string
}

// Add counts a decision and logs it if it is in the sample.
func (l *DecisionLog) Add(e Entry) {
	if l.every == 0 || l.count.Add(1)%l.every != 0 {
		return
	}
	l.logger.Info("route",
		zap.String(logging.FieldDecision, "route"),
		zap.String(logging.FieldDatabase, e.Database),
		zap.String(logging.FieldInstance, e.Instance),
		zap.String(logging.FieldAccount, e.Account),
		zap.Uint32(logging.FieldSession, e.Session),
		zap.String(logging.FieldStatement, e.Class),
		zap.String(logging.FieldReason, e.Reason),
	)
}
