package failover

import (
	"github.com/bramleylever/bramleylever/internal/control"
	"github.com/bramleylever/bramleylever/internal/membership"
)

// Epochs decides in which epoch this host coordinates each control bucket. It
// keeps an epoch after its lease lapsed, because an outage of the platform
// must not stop failover and instances refuse the lower of two epochs. It
// gives an epoch up once a higher one is known.
type Epochs struct {
	kept   [control.BucketCount]uint64
	lapsed [control.BucketCount]bool
	// ended is the highest epoch that must not be used again.
	ended [control.BucketCount]uint64
}

// Held takes the answer of control.Buckets for one bucket.
func (e *Epochs) Held(bucket uint32, epoch uint64, ok bool) {
	e.lapsed[bucket] = !ok
	if ok && epoch > e.ended[bucket] && epoch > e.kept[bucket] {
		e.kept[bucket] = epoch
	}
}

// Seen takes an epoch that another host claims or that an instance knows.
func (e *Epochs) Seen(bucket uint32, epoch uint64) {
	if epoch > e.kept[bucket] {
		e.End(bucket)
		e.ended[bucket] = max(e.ended[bucket], epoch)
	}
}

// End gives a bucket up until it is held in a higher epoch.
func (e *Epochs) End(bucket uint32) {
	e.ended[bucket] = max(e.ended[bucket], e.kept[bucket])
	e.kept[bucket] = 0
}

// Epoch returns the epoch in which this host coordinates a bucket; 0 if it
// does not. lapsed says that the lease is not held at present.
func (e *Epochs) Epoch(bucket uint32) (epoch uint64, lapsed bool) {
	return e.kept[bucket], e.lapsed[bucket]
}

// Claims lists the buckets that this host coordinates.
func (e *Epochs) Claims() []membership.BucketClaim {
	var claims []membership.BucketClaim
	for bucket, epoch := range e.kept {
		if epoch != 0 {
			claims = append(claims, membership.BucketClaim{Bucket: uint32(bucket), Epoch: epoch})
		}
	}
	return claims
}
