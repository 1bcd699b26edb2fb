package connpool

import (
	"sync"
	"time"
)

const (
	// minSilence is the least time without any answer of an instance after
	// which statements at it are given up.
	minSilence = 400 * time.Millisecond
	// silenceFactor is how many times the usual answer time the silence must
	// last, so that an instance that is only slow is not given up.
	silenceFactor = 8
	// smoothing is the weight of a new value in the moving average of the
	// answer time.
	smoothing = 0.1
)

// activity tells an instance that is slow from one that has gone silent: a slow
// one still answers on some connection.
type activity struct {
	mu         sync.Mutex
	last       time.Time
	answerTime time.Duration
}

// heard records an answer to what was sent at a time.
func (a *activity) heard(sent time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last = time.Now()
	a.answerTime += time.Duration(smoothing * float64(a.last.Sub(sent)-a.answerTime))
}

// silent reports whether the instance has answered nothing for too long since
// a statement was sent.
func (a *activity) silent(sent time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	since := sent
	if a.last.After(since) {
		since = a.last
	}
	return time.Since(since) >= max(minSilence, silenceFactor*a.answerTime)
}
