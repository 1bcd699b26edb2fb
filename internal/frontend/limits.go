package frontend

import (
	"sync"
	"time"
)

// Limits of repeated requests: they may add at most a tenth to the load, and a
// host with few requests may still repeat a few per second.
const (
	retryRatio        = 0.1
	retriesPerSecond  = 3
	retryBurstSeconds = 10
	maxRequestTokens  = 1000
	maxTimeTokens     = retriesPerSecond * retryBurstSeconds
)

// retryBudget is a deterministic core that limits repeated requests to 10% of
// the requests, but at least 3 per second.
type retryBudget struct {
	mu sync.Mutex
	// requestTokens holds the tokens of requests, floor those of time.
	requestTokens float64
	timeTokens    float64
	last          time.Time
}

func newRetryBudget() *retryBudget { return &retryBudget{timeTokens: maxTimeTokens} }

// deposit counts a first attempt.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	b.requestTokens = min(b.requestTokens+retryRatio, maxRequestTokens)
	b.mu.Unlock()
}

// tryWithdraw reports whether a request may be sent once more.
func (b *retryBudget) tryWithdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.last.IsZero() && now.After(b.last) {
		b.timeTokens = min(b.timeTokens+now.Sub(b.last).Seconds()*retriesPerSecond, maxTimeTokens)
	}
	b.last = now
	switch {
	case b.requestTokens >= 1:
		b.requestTokens--
	case b.timeTokens >= 1:
		b.timeTokens--
	default:
		return false
	}
	return true
}

// requestQueue bounds the requests of a host that wait for a primary.
type requestQueue struct {
	mu          sync.Mutex
	maxRequests int
	maxBytes    int
	requests    int
	bytes       int
}

func newRequestQueue(maxRequests, maxBytes int) *requestQueue {
	return &requestQueue{maxRequests: maxRequests, maxBytes: maxBytes}
}

// enter reports whether a request of a size fits into the queue.
func (q *requestQueue) enter(size int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.requests >= q.maxRequests || q.bytes+size > q.maxBytes {
		return false
	}
	q.requests++
	q.bytes += size
	return true
}

// leave takes a request of a size out of the queue.
func (q *requestQueue) leave(size int) {
	q.mu.Lock()
	q.requests--
	q.bytes -= size
	q.mu.Unlock()
}

// fallbackLimit bounds the reads that run on primaries because replicas are
// behind, so that lag does not turn into overload.
type fallbackLimit struct {
	mu      sync.Mutex
	running map[string]int
}

func newFallbackLimit() *fallbackLimit { return &fallbackLimit{running: map[string]int{}} }

// acquire reports whether one more read may run on a primary to which the host
// may hold the given number of connections. If so, give must follow.
func (f *fallbackLimit) acquire(instance string, connections int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running[instance] >= max(connections/2, 1) {
		return false
	}
	f.running[instance]++
	return true
}

func (f *fallbackLimit) release(instance string) {
	f.mu.Lock()
	f.running[instance]--
	f.mu.Unlock()
}
