package gateway

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/staleness"
)

// attempts records the attempts of one statement and the instances that are excluded
// until the next pause.
type attempts struct {
	tried map[string]bool
	count int
	// busy is the number of pauses after a refusal for lack of a slot or a connection,
	// and refused says that there was one since the last pause.
	busy    int
	refused bool
	last    string
	// history lists the first maxHistory attempts with their instance and outcome.
	history []string
	// reason is why the last instance was chosen. sent is when the last statement was
	// sent to an instance that had to be the leader.
	reason string
	sent   staleness.Timestamp
	// connecting, running and pausing are the total times spent waiting for a
	// connection, waiting for answers, and between attempts.
	connecting time.Duration
	running    time.Duration
	pausing    time.Duration
}

// maxHistory bounds the attempts listed in a log line.
const maxHistory = 5

// logFields returns the log fields that describe the attempts.
func (a *attempts) logFields() []zap.Field {
	return []zap.Field{
		zap.Int("attempts", a.count), zap.String("choice", a.reason), zap.String("last_attempt", a.last), zap.Strings("tried", a.history),
		zap.Duration("connecting", a.connecting), zap.Duration("running", a.running), zap.Duration("pausing", a.pausing),
	}
}

// exclude records an attempt and excludes its instance until the next pause.
func (a *attempts) exclude(server *catalog.Server, reason string) {
	if a.tried == nil {
		a.tried = map[string]bool{}
	}
	a.tried[server.ID] = true
	a.record(server, reason)
}

// record records an attempt.
func (a *attempts) record(server *catalog.Server, reason string) {
	a.last = reason + " at " + server.ID
	if len(a.history) < maxHistory {
		a.history = append(a.history, a.last)
	}
	a.count++
}

// retryInterval returns how long to wait before the next choice.
func (a *attempts) retryInterval() time.Duration {
	if !a.refused {
		return choiceRetryInterval
	}
	a.refused = false
	interval := min(maxBusyInterval, choiceRetryInterval<<min(a.busy, maxBusyShift))
	a.busy++
	// Random, so that the callers that an instance refused do not all return at once.
	return interval/2 + rand.N(interval)
}

// maxBusyShift keeps the doubled interval from overflowing; maxBusyInterval is reached
// before.
const maxBusyShift = 8
