package connpool

import (
	"sync"
	"time"
)

const (
	// minSilence is the minimum time without any answer from an instance after which
	// its running statements are abandoned.
	minSilence = 400 * time.Millisecond
	// silenceFactor is the multiple of the average answer time that the silence must
	// also reach, so that statements at a slow instance are not abandoned.
	silenceFactor = 8
	// smoothing is the weight of a new value in the exponential moving average of the
	// answer time.
	smoothing = 0.1
)

// activity records the answers of an instance on all its connections. A slow instance
// still answers on some connection; one that answers on none counts as silent.
type activity struct {
	mu         sync.Mutex
	lastAnswer time.Time
	answerTime time.Duration
	breaker    breaker
}

// recordAnswer records an answer to statements sent at the given time.
func (a *activity) recordAnswer(sent time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastAnswer = time.Now()
	a.breaker.succeeded()
	a.answerTime += time.Duration(smoothing * float64(a.lastAnswer.Sub(sent)-a.answerTime))
}

// silent reports whether the instance has not answered on any connection for too long
// since a statement was sent.
func (a *activity) silent(sent time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	since := sent
	if a.lastAnswer.After(since) {
		since = a.lastAnswer
	}
	return time.Since(since) >= max(minSilence, silenceFactor*a.answerTime)
}

// recordSilence records that statements sent at the given time were not answered, if
// nothing else has been answered since either.
func (a *activity) recordSilence(sent time.Time) {
	if a.silent(sent) {
		a.recordUnreached()
	}
}

// recordUnreached records that the instance was not reached.
func (a *activity) recordUnreached() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.breaker.failed(time.Now())
}

// unreachable reports whether the instance must not be used now because it was not
// reached.
func (a *activity) unreachable() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.breaker.open(time.Now())
}
