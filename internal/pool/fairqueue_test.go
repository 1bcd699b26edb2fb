package pool

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against requests that are lost, served twice or served out of order within their
// account, and against a queue that grows beyond its limit.
func TestFairQueueServesEachRequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 12).Draw(t, "limit")
		q := newFairQueue(limit)
		waiting := map[uint64]string{}
		last := map[string]uint64{}
		var id uint64
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			account := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				id++
				waiting[id] = account
				if shed, full := q.add(account, rapid.IntRange(0, 4).Draw(t, "weight"), id); full {
					delete(waiting, shed)
				}
			case 2:
				served, ok := q.next()
				if ok != (len(waiting) > 0) {
					t.Fatalf("next returned %v with %d waiting", ok, len(waiting))
				}
				if ok && (waiting[served] == "" || served < last[waiting[served]]) {
					t.Fatalf("request %d of %q served out of order", served, waiting[served])
				}
				if ok {
					last[waiting[served]] = served
					delete(waiting, served)
				}
			case 3:
				for gone, owner := range waiting {
					if !q.remove(owner, gone) {
						t.Fatalf("request %d is not in the queue", gone)
					}
					delete(waiting, gone)
					break
				}
			}
			if q.length != len(waiting) || q.length > limit {
				t.Fatalf("length %d, expected %d of at most %d", q.length, len(waiting), limit)
			}
		}
	})
}

// Guards against an account that is served more than its weight allows while others wait. Deficit
// round robin deviates from the weights by at most one quantum per account.
func TestFairQueueServesByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := map[string]int{}
		total := 0
		for _, account := range []string{"a", "b", "c"} {
			weights[account] = rapid.IntRange(1, 5).Draw(t, account)
			total += weights[account]
		}
		const each = 60
		q := newFairQueue(3 * each)
		owner := map[uint64]string{}
		var id uint64
		for account, weight := range weights {
			for range each {
				id++
				owner[id] = account
				q.add(account, weight, id)
			}
		}
		served := map[string]int{}
		rounds := each / 5
		for range rapid.IntRange(1, rounds*total).Draw(t, "served") {
			next, _ := q.next()
			served[owner[next]]++
		}
		for a, wa := range weights {
			for b, wb := range weights {
				gap := float64(served[a])/float64(wa) - float64(served[b])/float64(wb)
				if gap > 1.0001 {
					t.Fatalf("served %v with weights %v", served, weights)
				}
			}
		}
	})
}

// Guards against shedding a request of an account while another account has more waiting requests
// per weight.
func TestFairQueueShedsTheAccountWithMostRequestsPerWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newFairQueue(10)
		owner := map[uint64]string{}
		count := map[string]int{}
		weights := map[string]int{"a": rapid.IntRange(1, 4).Draw(t, "a"), "b": rapid.IntRange(1, 4).Draw(t, "b")}
		for id := uint64(1); id < 30; id++ {
			account := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account")
			owner[id] = account
			count[account]++
			shed, full := q.add(account, weights[account], id)
			if !full {
				continue
			}
			victim := owner[shed]
			for other, n := range count {
				if n*weights[victim] > count[victim]*weights[other] {
					t.Fatalf("shed %q with %v waiting and weights %v", victim, count, weights)
				}
			}
			count[victim]--
		}
	})
}
