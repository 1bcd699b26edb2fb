package control

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// rankDelay separates the attempts of relays at one vacant bucket, so that
	// usually a single one writes to the store.
	rankDelay = 50 * time.Millisecond
	// loadDelay lets relays with fewer buckets go first.
	loadDelay = 100 * time.Millisecond
	// rebalanceInterval is as long as the longest validity of a share, which the
	// next owner waits out. At 10 s, connections were missing for seconds and
	// accounts within their rate were refused.
	rebalanceInterval = 10 * time.Minute
)

// contest decides when this host tries for a bucket and when it gives one up.
// It does no I/O.
//
// Invariant: a bucket is given up only while another relay holds at least two
// buckets fewer, so that buckets do not move back and forth.
type contest struct {
	self    string
	vacant  map[uint32]time.Time
	settled time.Time
}

func newContest(self string) *contest {
	return &contest{self: self, vacant: map[uint32]time.Time{}}
}

// next returns a bucket to try for now. holders names the holder of each
// bucket that is held; relays are the live relays, this host included.
func (c *contest) next(now time.Time, holders map[uint32]string, relays []string) (uint32, bool) {
	held := countOf(holders, c.self)
	best, found := uint32(0), false
	var bestDue time.Time
	for bucket := range uint32(BucketCount) {
		if _, taken := holders[bucket]; taken {
			delete(c.vacant, bucket)
			continue
		}
		since, seen := c.vacant[bucket]
		if !seen {
			since = now
			c.vacant[bucket] = now
		}
		delay := time.Duration(rank(bucket, c.self, relays))*rankDelay + time.Duration(held)*loadDelay
		due := since.Add(delay)
		if !due.After(now) && (!found || due.Before(bestDue)) {
			best, bestDue, found = bucket, due, true
		}
	}
	return best, found
}

// surplus returns a bucket to give up, so that relays that came later get some.
func (c *contest) surplus(now time.Time, holders map[uint32]string, relays []string) (uint32, bool) {
	if c.settled.IsZero() {
		c.settled = now
	}
	if now.Sub(c.settled) < rebalanceInterval || len(holders) < BucketCount {
		return 0, false
	}
	least := BucketCount
	for _, relay := range relays {
		least = min(least, countOf(holders, relay))
	}
	if countOf(holders, c.self) < least+2 {
		return 0, false
	}
	c.settled = now
	worst, worstRank := uint32(0), -1
	for bucket, holder := range holders {
		if r := rank(bucket, c.self, relays); holder == c.self && (r > worstRank || r == worstRank && bucket < worst) {
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

// rank returns the place of a host in the rendezvous order of a bucket.
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
