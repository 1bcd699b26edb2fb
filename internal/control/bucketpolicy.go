package control

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// rankDelay is the time between the attempts of successive relays in the order of a
	// bucket, so that usually only one of them writes to the store.
	rankDelay = 50 * time.Millisecond
	// loadDelay is the added delay for each bucket already held, so that relays with fewer
	// go first.
	loadDelay = 100 * time.Millisecond
	// rebalanceInterval is as long as the longest validity of a grant, which the next owner
	// of a limit must wait out. At 10 s, connections were missing for seconds and accounts
	// within their rate limit were refused.
	rebalanceInterval = 10 * time.Minute
)

// bucketPolicy decides when this host claims a bucket and when it releases one. It does no
// I/O.
//
// Invariant: a bucket is released only while another relay holds at least two fewer, so
// that buckets do not move back and forth.
type bucketPolicy struct {
	self          string
	vacantSince   map[uint32]time.Time
	lastRebalance time.Time
}

func newBucketPolicy(self string) *bucketPolicy {
	return &bucketPolicy{self: self, vacantSince: map[uint32]time.Time{}}
}

// nextClaim returns the vacant bucket to claim now, if any. holders maps each held bucket
// to its holder; relays are the live relays, including this host.
func (p *bucketPolicy) nextClaim(now time.Time, holders map[uint32]string, relays []string) (uint32, bool) {
	held := countOf(holders, p.self)
	best, found := uint32(0), false
	var bestDue time.Time
	for bucket := range uint32(BucketCount) {
		if _, taken := holders[bucket]; taken {
			delete(p.vacantSince, bucket)
			continue
		}
		since, seen := p.vacantSince[bucket]
		if !seen {
			since = now
			p.vacantSince[bucket] = now
		}
		delay := time.Duration(rank(bucket, p.self, relays))*rankDelay + time.Duration(held)*loadDelay
		due := since.Add(delay)
		if !due.After(now) && (!found || due.Before(bestDue)) {
			best, bestDue, found = bucket, due, true
		}
	}
	return best, found
}

// nextRelease returns a bucket to release to relays with fewer buckets, if rebalancing is
// due.
func (p *bucketPolicy) nextRelease(now time.Time, holders map[uint32]string, relays []string) (uint32, bool) {
	if p.lastRebalance.IsZero() {
		p.lastRebalance = now
	}
	if now.Sub(p.lastRebalance) < rebalanceInterval || len(holders) < BucketCount {
		return 0, false
	}
	least := BucketCount
	for _, relay := range relays {
		least = min(least, countOf(holders, relay))
	}
	if countOf(holders, p.self) < least+2 {
		return 0, false
	}
	p.lastRebalance = now
	worst, worstRank := uint32(0), -1
	for bucket, holder := range holders {
		if r := rank(bucket, p.self, relays); holder == p.self && (r > worstRank || r == worstRank && bucket < worst) {
			worst, worstRank = bucket, r
		}
	}
	return worst, worstRank >= 0
}

func countOf(holders map[uint32]string, host string) int {
	count := 0
	for _, holder := range holders {
		if holder == host {
			count++
		}
	}
	return count
}

// rank returns the position of a host in the rendezvous-hash order of a bucket, starting at
// 0.
func rank(bucket uint32, self string, relays []string) int {
	own := weight(bucket, self)
	return len(slices.DeleteFunc(slices.Clone(relays), func(relay string) bool {
		return relay == self || cmp.Compare(weight(bucket, relay), own) <= 0
	}))
}

func weight(bucket uint32, host string) uint64 {
	h := xxhash.New()
	var number [4]byte
	binary.BigEndian.PutUint32(number[:], bucket)
	_, _ = h.Write(number[:])
	_, _ = h.WriteString(host)
	return h.Sum64()
}
