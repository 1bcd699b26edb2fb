package routing

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Policy chooses one of several replicas. Implementations are safe for
// concurrent use.
type Policy interface {
	// Pick returns one element of eligible, which holds indexes into candidates and is
	// not empty.
	Pick(candidates []Candidate, eligible []int) int
}

// The names of the policies, as used in settings.
const (
	RoundRobin           = "round_robin"
	LeastOutstanding     = "least_outstanding"
	PowerOfTwo           = "power_of_two"
	WaitingTimeWithError = "waiting_time_with_error"
)

// Policies lists the names that NewPolicy accepts.
var Policies = []string{RoundRobin, LeastOutstanding, PowerOfTwo, WaitingTimeWithError}

// NewPolicy returns a policy by name; the empty name means PowerOfTwo.
func NewPolicy(name string, seed uint64) (Policy, error) {
	switch name {
	case RoundRobin:
		return &roundRobin{credit: map[string]float64{}}, nil
	case LeastOutstanding:
		return &lowestScore{score: outstandingPerWeight}, nil
	case PowerOfTwo, "":
		return &powerOfTwo{random: rand.New(rand.NewPCG(seed, 0))}, nil
	case WaitingTimeWithError:
		return &lowestScore{score: waitingTimeWithError}, nil
	default:
		return nil, fmt.Errorf("replica selection %q: expected %s, %s, %s or %s",
			name, RoundRobin, LeastOutstanding, PowerOfTwo, WaitingTimeWithError)
	}
}

// roundRobin is a smooth weighted round robin: each pick adds its weight to the credit of
// every eligible replica, takes the one with the most credit, and subtracts the sum of
// the weights from it. With a plain rotation, the turns of a replica that is not eligible
// would always go to the next one in order.
type roundRobin struct {
	mu     sync.Mutex
	credit map[string]float64
}

func (r *roundRobin) Pick(candidates []Candidate, eligible []int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	best, total := eligible[0], 0.0
	for _, i := range eligible {
		c := &candidates[i]
		r.credit[c.Instance] += c.Weight
		total += c.Weight
		if r.credit[c.Instance] > r.credit[candidates[best].Instance] {
			best = i
		}
	}
	r.credit[candidates[best].Instance] -= total
	return best
}

// lowestScore takes the replica with the lowest score. Among equal scores it prefers
// the proxy's own failure domain, and then alternates.
type lowestScore struct {
	score func(*Candidate) float64
	next  atomic.Uint64
}

func (l *lowestScore) Pick(candidates []Candidate, eligible []int) int {
	n := uint64(len(eligible))
	turn := l.next.Add(1)
	best := eligible[turn%n]
	for i := uint64(1); i < n; i++ {
		if at := eligible[(turn+i)%n]; preferred(candidates, at, best, l.score) {
			best = at
		}
	}
	return best
}

// preferred reports whether candidate a is strictly preferred to b.
func preferred(candidates []Candidate, a, b int, score func(*Candidate) float64) bool {
	sa, sb := score(&candidates[a]), score(&candidates[b])
	if sa != sb {
		return sa < sb
	}
	return candidates[a].SameDomain && !candidates[b].SameDomain
}

// outstandingPerWeight is the number of outstanding requests, including the one to
// route, divided by the weight.
func outstandingPerWeight(c *Candidate) float64 { return float64(c.Outstanding+1) / c.Weight }

// minLatency is the lower bound of the latency in the score. It gives an instance that
// has not answered yet a low score, so that it is tried.
const minLatency = 50 * time.Microsecond

// waitingTimeWithError is the "waiting time with error" of "Improving File Transfer
// Service - FTS3" (CERN openlab 2015): (pending + pending * failure rate) / throughput.
// The throughput of an instance is estimated as its weight divided by its latency, and
// the request itself counts as pending.
func waitingTimeWithError(c *Candidate) float64 {
	pending := float64(c.Outstanding + 1)
	throughput := c.Weight / max(c.Latency, minLatency).Seconds()
	return (pending + pending*c.ErrorRate) / throughput
}

// powerOfTwo takes the better of two random replicas (Mitzenmacher, "The Power
// of Two Choices in Randomized Load Balancing", 2001).
type powerOfTwo struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (p *powerOfTwo) Pick(candidates []Candidate, eligible []int) int {
	n := len(eligible)
	if n == 1 {
		return eligible[0]
	}
	p.mu.Lock()
	a := p.random.IntN(n)
	b := p.random.IntN(n - 1)
	p.mu.Unlock()
	if b >= a {
		b++
	}
	if preferred(candidates, eligible[b], eligible[a], outstandingPerWeight) {
		return eligible[b]
	}
	return eligible[a]
}
