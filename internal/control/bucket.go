// Package control divides the control duties of a fleet into buckets and assigns each
// bucket to a relay. The number of buckets is fixed, so the load on the platform store
// does not grow with the fleet.
package control

import "github.com/cespare/xxhash/v2"

// BucketCount is the number of control buckets of a fleet. Each holder renews its lease
// once a second, so all of them cost the store at most 16 calls a second.
const BucketCount = 16

// Bucket returns the bucket of a resource such as a database or an account.
func Bucket(kind, name string) uint32 {
	h := xxhash.New()
	_, _ = h.WriteString(kind)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(name)
	return uint32(h.Sum64() % BucketCount)
}

// Buckets reports which control buckets this host holds.
type Buckets interface {
	// Held returns the epoch in which this host holds a bucket. Each call checks that the
	// lease is still valid on the local clock.
	Held(bucket uint32) (epoch uint64, ok bool)
}
