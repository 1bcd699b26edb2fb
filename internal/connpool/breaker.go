package connpool

import (
	"fmt"
	"time"

	"github.com/bramleylever/bramleylever/internal/outcome"
)

// ErrUnreachable means that this host cannot reach the instance at present. Another
// host may.
var ErrUnreachable = fmt.Errorf("instance is not reached from here: %w", outcome.ErrNotRun)

const (
	// minBreakTime and maxBreakTime bound the exponential backoff during which an
	// instance that was not reached gets no work from this host.
	minBreakTime = 200 * time.Millisecond
	maxBreakTime = 1600 * time.Millisecond
)

// breaker stops the use of an instance that this host cannot reach, so that callers
// turn to other hosts at once and do not wait one after the other. After the backoff
// one request is let through. The zero value lets everything through.
type breaker struct {
	backoff time.Duration
	until   time.Time
}

// open reports whether the instance must not be used now. If it reports false after a
// failure, the next request is kept back until the current one has ended.
func (b *breaker) open(now time.Time) bool {
	if b.backoff == 0 {
		return false
	}
	if now.Before(b.until) {
		return true
	}
	b.until = now.Add(b.backoff)
	return false
}

// failed records that the instance was not reached.
func (b *breaker) failed(now time.Time) {
	b.backoff = min(maxBreakTime, max(minBreakTime, 2*b.backoff))
	b.until = now.Add(b.backoff)
}

// succeeded records that the instance answered.
func (b *breaker) succeeded() { *b = breaker{} }
