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
}

// recordAnswer records an answer to statements sent at the given time.
func (a *activity) recordAnswer(sent time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastAnswer = time.Now()
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
