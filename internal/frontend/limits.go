package frontend

import (
	"sync"
	"time"
)

// Parameters of the retry budget. Retries may add at most a tenth to the load,
// while a host with few requests may still retry a few per second.
const (
	// retryRatio is the number of retry tokens that a request earns.
	retryRatio        = 0.1
	retriesPerSecond  = 3
	retryBurstSeconds = 10
	// maxRequestTokens limits requestTokens.
	maxRequestTokens = 1000
	// maxTimeTokens limits timeTokens, which also start at this value.
	maxTimeTokens = retriesPerSecond * retryBurstSeconds
)

// retryBudget limits retries to 10% of the requests, but allows at least 3 per
// second. It is deterministic: the time is an argument of its methods.
type retryBudget struct {
	mu sync.Mutex
	// requestTokens are the tokens earned by requests, timeTokens those that
	// accrue with time.
	requestTokens float64
	timeTokens    float64
	last          time.Time
}

func newRetryBudget() *retryBudget { return &retryBudget{timeTokens: maxTimeTokens} }

// deposit adds the tokens that a request earns, before its first attempt.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	b.requestTokens = min(b.requestTokens+retryRatio, maxRequestTokens)
	b.mu.Unlock()
}

// tryWithdraw takes one token and reports whether there was one, so that a
// request may be retried.
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

// requestQueue limits the number and the size of the requests on this host that
// wait for a primary.
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

// enter adds a request of the given size and reports whether it fits into the
// queue.
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

// leave removes a request of the given size from the queue.
func (q *requestQueue) leave(size int) {
	q.mu.Lock()
	q.requests--
	q.bytes -= size
	q.mu.Unlock()
}

// fallbackLimit limits the concurrent reads that run on primaries because the
// replicas are behind, so that replication lag does not overload the primaries.
// Such reads use at most half of a host's connections to a primary.
type fallbackLimit struct {
	mu      sync.Mutex
	running map[string]int
}

func newFallbackLimit() *fallbackLimit { return &fallbackLimit{running: map[string]int{}} }

// acquire reports whether one more read may run on a primary to which the host
// may open the given number of connections. If so, release must be called after
// the read.
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
