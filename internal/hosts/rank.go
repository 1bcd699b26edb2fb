package hosts

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score is the weight of a host for a key in rendezvous hashing (D. Thaler and
// C. Ravishankar, 1998). A host that joins or leaves does not change the order of the
// other hosts for any key.
type Score struct {
	hash   uint64
	weight float64
}

// ScoreOf returns the score of a host for a key.
func ScoreOf(key string, h Host) Score {
	return Score{hash: xxhash.Sum64String(key + "\x00" + h.Name), weight: h.capacity()}
}

// Above reports whether a host with this score goes before one with the other score. Of hosts
// with different capacities each goes first for a part of the keys that is proportional to its
// capacity (weighted rendezvous hashing: C. Schindelhauer and G. Schomaker, 2005).
func (s Score) Above(other Score) bool {
	if s.weight == other.weight {
		return s.hash > other.hash
	}
	return s.weighted() > other.weighted()
}

// weighted returns the score as a number. The hash counts as a number between 0 and 1.
func (s Score) weighted() float64 {
	const hashes = 1 << 64
	return -s.weight / math.Log((float64(s.hash)+0.5)/hashes)
}

// Rank sorts hosts in place by their score for a key, the highest first.
func Rank(all []Host, key string) {
	scores := make(map[string]Score, len(all))
	for _, h := range all {
		scores[h.Name] = ScoreOf(key, h)
	}
	slices.SortFunc(all, func(a, b Host) int {
		switch {
		case scores[a.Name].Above(scores[b.Name]):
			return -1
		case scores[b.Name].Above(scores[a.Name]):
			return 1
		}
		return 0
	})
}

// RankEqually is like Rank, but hosts of all capacities go first equally often.
func RankEqually(all []Host, key string) {
	slices.SortFunc(all, func(a, b Host) int {
		a.Capacity, b.Capacity = 0, 0
		if ScoreOf(key, a).Above(ScoreOf(key, b)) {
			return -1
		}
		return 1
	})
}
