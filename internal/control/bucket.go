// Package control divides the control duties into buckets, so that their load
// on the platform store is bounded whatever the size of the fleet.
package control

import "github.com/cespare/xxhash/v2"

// BucketCount is the number of control buckets of a fleet. Each holder renews
// its lease once a second, which costs the store at most 16 calls a second.
const BucketCount = 16

// Bucket returns the bucket of a resource such as a database or an account.
func Bucket(kind, name string) uint32 {
	h := xxhash.New()
	_, _ = h.WriteString(kind)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(name)
	return uint32(h.Sum64() % BucketCount)
}

// Buckets answers which control buckets this host holds.
type Buckets interface {
	// Held returns the epoch in which this host holds a bucket. The answer is
	// checked against the lease clock at the moment of the call.
	Held(bucket uint32) (epoch uint64, ok bool)
}
