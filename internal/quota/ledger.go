package quota

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"time"
)

const (
	// shardCount is the number of documents over which the accounts are spread,
	// so that hosts that change different accounts seldom conflict.
	shardCount = 64
	// maxDocuments is the number of documents that one transaction changes; the
	// store takes a compare and a put for each, 32 in all.
	maxDocuments = 16
)

// shardOf returns the shard of an account.
func shardOf(account string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(account))
	return int(h.Sum32() % shardCount)
}

// holding is the fraction of an account's limit that a host holds. Fractions
// follow a change of the limit at once.
type holding struct {
	Fraction float64 `json:"fraction"`
	// Sequence changes with each write of the host, so that others can tell a
	// host that renews from one that is gone.
	Sequence uint64 `json:"sequence"`
	// Equal says that the holding is an equal part, which lasts longer.
	Equal bool `json:"equal,omitempty"`
}

// ledger is the document of one shard: the holdings by account and host.
type ledger map[string]map[string]holding

func decodeLedger(value []byte) (ledger, error) {
	l := ledger{}
	if len(value) == 0 {
		return l, nil
	}
	if err := json.Unmarshal(value, &l); err != nil {
		return nil, fmt.Errorf("decode holdings: %w", err)
	}
	for account, holdings := range l {
		for host, h := range holdings {
			if h.Fraction < 0 || h.Fraction > 1 {
				return nil, fmt.Errorf("decode holdings: account %q, host %q: fraction %v is not between 0 and 1", account, host, h.Fraction)
			}
		}
	}
	return l, nil
}

// clone returns a copy that can be changed.
func (l ledger) clone() ledger {
	out := make(ledger, len(l))
	for account, holdings := range l {
		copied := make(map[string]holding, len(holdings))
		for host, h := range holdings {
			copied[host] = h
		}
		out[account] = copied
	}
	return out
}

// set records a host's holding, or removes it if the fraction is 0.
func (l ledger) set(account, host string, h holding) {
	if h.Fraction <= 0 {
		delete(l[account], host)
		if len(l[account]) == 0 {
			delete(l, account)
		}
		return
	}
	if l[account] == nil {
		l[account] = map[string]holding{}
	}
	l[account][host] = h
}

// others returns the sum of the fractions that other hosts hold.
func (l ledger) others(account, host string) float64 {
	sum := 0.0
	for other, h := range l[account] {
		if other != host {
			sum += h.Fraction
		}
	}
	return sum
}

// sighting is when this host first saw a sequence of another host's holding.
type sighting struct {
	sequence uint64
	at       time.Time
}

// sightings tells holdings that are renewed from those of hosts that are gone.
type sightings map[string]sighting

// prune removes the holdings that were not renewed for their lifetime. A host
// stops using a holding before that, so no clock is compared.
func (s sightings) prune(l ledger, self string, now time.Time) {
	for account, holdings := range l {
		for host, h := range holdings {
			if host == self {
				continue
			}
			key := account + " " + host
			seen, ok := s[key]
			if !ok || seen.sequence != h.Sequence {
				s[key] = sighting{h.Sequence, now}
				continue
			}
			if now.Sub(seen.at) >= lifetime(reclaimTime, h.Equal) {
				l.set(account, host, holding{})
				delete(s, key)
			}
		}
	}
}
