package failover

import (
	"github.com/bramleylever/bramleylever/internal/control"
	"github.com/bramleylever/bramleylever/internal/membership"
)

// Epochs tracks the epoch in which this host coordinates each control bucket. It keeps an
// epoch after the lease lapsed, so that failover continues during an outage of the
// platform; this is safe because instances reject the lower of two epochs. It relinquishes
// an epoch when it sees a higher one.
type Epochs struct {
	current [control.BucketCount]uint64
	lapsed  [control.BucketCount]bool
	// superseded is the highest epoch in which this host must not become coordinator again.
	superseded [control.BucketCount]uint64
}

// ObserveLease records the result of control.Buckets.Held for a bucket.
func (e *Epochs) ObserveLease(bucket uint32, epoch uint64, ok bool) {
	e.lapsed[bucket] = !ok
	if ok && epoch > e.superseded[bucket] && epoch > e.current[bucket] {
		e.current[bucket] = epoch
	}
}

// ObserveEpoch records an epoch that another host claims for a bucket.
func (e *Epochs) ObserveEpoch(bucket uint32, epoch uint64) {
	if epoch > e.current[bucket] {
		e.Relinquish(bucket)
		e.superseded[bucket] = max(e.superseded[bucket], epoch)
	}
}

// Relinquish ends coordination of a bucket until this host holds it in a higher epoch.
func (e *Epochs) Relinquish(bucket uint32) {
	e.superseded[bucket] = max(e.superseded[bucket], e.current[bucket])
	e.current[bucket] = 0
}

// Epoch returns the epoch in which this host coordinates a bucket, or 0 if it does not.
// lapsed is true while this host does not hold the lease of the bucket.
func (e *Epochs) Epoch(bucket uint32) (epoch uint64, lapsed bool) {
	return e.current[bucket], e.lapsed[bucket]
}

// Claims lists the buckets that this host coordinates.
func (e *Epochs) Claims() []membership.BucketClaim {
	var claims []membership.BucketClaim
	for bucket, epoch := range e.current {
		if epoch != 0 {
			claims = append(claims, membership.BucketClaim{Bucket: uint32(bucket), Epoch: epoch})
		}
	}
	return claims
}
