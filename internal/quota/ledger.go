package quota

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"time"

	"github.com/bramleylever/bramleylever/internal/platform"
)

const (
	// shardCount is the number of documents over which the accounts are spread,
	// so that writes for different accounts seldom conflict.
	shardCount = 64
	// maxTxnDocuments is the number of documents that one transaction changes. The
	// store allows 32 operations, and each document takes a compare and a put.
	maxTxnDocuments = 16
)

// shardOf returns the shard of an account.
func shardOf(account string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(account))
	return int(h.Sum32() % shardCount)
}

// allocation is the fraction of an account's limit that a host may use. Because it
// is relative, a change of the limit takes effect without a write.
type allocation struct {
	Fraction float64 `json:"fraction"`
	// Sequence changes with each write of the host, so that other hosts can tell
	// a host that renews its allocation from one that is gone.
	Sequence uint64 `json:"sequence"`
	// Equal says that the allocation is one of the equal ones of a large fleet,
	// whose time limits are longer.
	Equal bool `json:"equal,omitempty"`
	// Generation is the generation of the store in which the allocation was written,
	// omitted in the first one.
	Generation platform.Generation `json:"generation,omitempty"`
}

// ledger is the document of one shard: the allocations by account and host.
type ledger map[string]map[string]allocation

func decodeLedger(value []byte) (ledger, error) {
	l := ledger{}
	if len(value) == 0 {
		return l, nil
	}
	if err := json.Unmarshal(value, &l); err != nil {
		return nil, fmt.Errorf("decode quota ledger: %w", err)
	}
	for account, allocations := range l {
		for host, a := range allocations {
			if a.Fraction < 0 || a.Fraction > 1 {
				return nil, fmt.Errorf("decode quota ledger: account %q, host %q: fraction %v is not between 0 and 1", account, host, a.Fraction)
			}
		}
	}
	return l, nil
}

// clone returns a deep copy.
func (l ledger) clone() ledger {
	out := make(ledger, len(l))
	for account, allocations := range l {
		copied := make(map[string]allocation, len(allocations))
		for host, a := range allocations {
			copied[host] = a
		}
		out[account] = copied
	}
	return out
}

// set stores a host's allocation, or removes it if the fraction is 0.
func (l ledger) set(account, host string, a allocation) {
	if a.Fraction <= 0 {
		delete(l[account], host)
		if len(l[account]) == 0 {
			delete(l, account)
		}
		return
	}
	if l[account] == nil {
		l[account] = map[string]allocation{}
	}
	l[account][host] = a
}

// allocatedToOthers returns the sum of the fractions of the other hosts.
func (l ledger) allocatedToOthers(account, host string) float64 {
	sum := 0.0
	for other, a := range l[account] {
		if other != host {
			sum += a.Fraction
		}
	}
	return sum
}

// observedSequence is when this host first saw the current sequence number of
// another host's allocation.
type observedSequence struct {
	sequence uint64
	at       time.Time
}

// renewalTracker holds, by account and host, when an allocation was last seen to be
// renewed.
type renewalTracker map[string]observedSequence

// prune removes the allocations of other hosts that were not renewed for the time after
// which they are reclaimed, except equal ones of registered hosts. Their hosts stopped
// using them before that, by their own clocks, so clocks of different hosts are never
// compared.
func (t renewalTracker) prune(l ledger, self string, now time.Time, registered func(string) bool) {
	for account, allocations := range l {
		for host, a := range allocations {
			if host == self {
				continue
			}
			key := account + " " + host
			seen, ok := t[key]
			if !ok || seen.sequence != a.Sequence || a.Equal && registered(host) {
				t[key] = observedSequence{a.Sequence, now}
				continue
			}
			if now.Sub(seen.at) >= limitsOf(a.Equal).reclaim {
				l.set(account, host, allocation{})
				delete(t, key)
			}
		}
	}
}
