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
	// Pick returns one of the eligible indexes, which are never empty.
	Pick(candidates []Candidate, eligible []int) int
}

// The names of the policies.
const (
	RoundRobin           = "round_robin"
	LeastOutstanding     = "least_outstanding"
	PowerOfTwo           = "power_of_two"
	WaitingTimeWithError = "waiting_time_with_error"
)

// Policies are the names that NewPolicy accepts.
var Policies = []string{RoundRobin, LeastOutstanding, PowerOfTwo, WaitingTimeWithError}

// NewPolicy returns a policy by name; the empty name means PowerOfTwo.
func NewPolicy(name string, seed uint64) (Policy, error) {
	switch name {
	case RoundRobin:
		return &roundRobin{credit: map[string]float64{}}, nil
	case LeastOutstanding:
		return &lowest{score: outstandingScore}, nil
	case PowerOfTwo, "":
		return &powerOfTwo{random: rand.New(rand.NewPCG(seed, 0))}, nil
	case WaitingTimeWithError:
		return &lowest{score: waitingTime}, nil
	default:
		return nil, fmt.Errorf("replica selection %q: expected %s, %s, %s or %s",
			name, RoundRobin, LeastOutstanding, PowerOfTwo, WaitingTimeWithError)
	}
}

// roundRobin takes the replicas in turn, in proportion to their weights: each
// pick credits every replica with its weight, takes the one with the most
// credit and charges it the sum. A turn that is passed over would otherwise
// always go to the same neighbour.
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

// lowest takes the replica with the lowest score. Among equal scores it
// prefers the own failure domain and then takes turns.
type lowest struct {
	score func(*Candidate) float64
	turn  atomic.Uint64
}

func (l *lowest) Pick(candidates []Candidate, eligible []int) int {
	n := uint64(len(eligible))
	turn := l.turn.Add(1)
	best := eligible[turn%n]
	for i := uint64(1); i < n; i++ {
		if at := eligible[(turn+i)%n]; better(candidates, at, best, l.score) {
			best = at
		}
	}
	return best
}

// better reports whether a is strictly preferred to b.
func better(candidates []Candidate, a, b int, score func(*Candidate) float64) bool {
	sa, sb := score(&candidates[a]), score(&candidates[b])
	if sa != sb {
		return sa < sb
	}
	return candidates[a].SameDomain && !candidates[b].SameDomain
}

func outstandingScore(c *Candidate) float64 { return float64(c.Outstanding+1) / c.Weight }

// minLatency stands in for the latency of an instance without any answer yet,
// so that it is tried.
const minLatency = 50 * time.Microsecond

// waitingTime is the waiting time with error of "Improving File Transfer
// Service - FTS3" (CERN openlab 2015): (pending + pending * failure rate) /
// throughput. The throughput of an instance is taken as the inverse of its
// latency, and the request itself counts as pending.
func waitingTime(c *Candidate) float64 {
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
	if better(candidates, eligible[b], eligible[a], outstandingScore) {
		return eligible[b]
	}
	return eligible[a]
}
