package hosts

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of a host for a key in rendezvous hashing (D. Thaler and
// C. Ravishankar, 1998). A host that joins or leaves does not change the order of the
// other hosts for any key.
func Score(key string, h Host) uint64 { return xxhash.Sum64String(key + "\x00" + h.Name) }

// Rank sorts hosts in place by their weight for a key, the highest first.
func Rank(all []Host, key string) {
	scores := make(map[string]uint64, len(all))
	for _, h := range all {
		scores[h.Name] = Score(key, h)
	}
	slices.SortFunc(all, func(a, b Host) int { return cmp.Compare(scores[b.Name], scores[a.Name]) })
}
