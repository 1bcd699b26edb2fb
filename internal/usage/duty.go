package usage

import (
	"bytes"
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/platform"
)

const (
	// KeyPrefix is the prefix of all keys of this package.
	KeyPrefix = "bramleylever/usage/"
	dutyKey   = KeyPrefix + "duty"
)

const (
	callTimeout   = 800 * time.Millisecond
	reportTimeout = 400 * time.Millisecond
	// minLeaseValidity is the minimum remaining validity of the host's lease for a report, so
	// that the lease does not end while the report is on its way.
	minLeaseValidity = reportTimeout + 100*time.Millisecond
	// acquireInterval is the minimum time between two attempts to take the duty.
	acquireInterval = time.Second
	// returnDelay is how long a host that has lost the duty leaves it to the others. Holders
	// that took turns within a lease would look like two holders at once.
	returnDelay = 6 * time.Second
	// lateReportTime is how long a report without an answer may still arrive.
	lateReportTime = 8 * time.Second
)

// duty is the right to report, an entry in the store that is bound to the host's lease. Its
// revision is the fencing token.
type duty struct {
	store    platform.Store
	lease    func() (platform.LeaseID, time.Duration)
	identity []byte
	log      *zap.Logger
	// token is the fencing token, or 0 without the duty; heldBy is the lease it is bound to.
	token  int64
	heldBy platform.LeaseID
	// takenAt is when the duty was taken, and notBefore when the next attempt may be made.
	takenAt   time.Time
	notBefore time.Time
}

// holds reports whether this host has the duty for long enough to make a report. The duty
// ends with the generation of the store that granted it.
func (d *duty) holds() bool {
	id, valid := d.lease()
	generation, _ := platform.SplitRevision(d.token)
	return d.token != 0 && generation == d.store.Generation() && d.heldBy == id && valid > minLeaseValidity
}

// acquire takes the duty, or confirms that this host has it.
func (d *duty) acquire(ctx context.Context, now time.Time) bool {
	if d.holds() {
		return true
	}
	id, valid := d.lease()
	if d.token != 0 {
		if generation, _ := platform.SplitRevision(d.token); d.heldBy != id || generation != d.store.Generation() {
			d.lose(now, "the lease or the generation of the store ended")
		}
		return false
	}
	if valid <= minLeaseValidity || now.Before(d.notBefore) {
		return false
	}
	d.notBefore = now.Add(acquireInterval)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := platform.CreateOwned(ctx, d.store, platform.Put{Key: dutyKey, Value: d.identity, Lease: id})
	if err != nil {
		if !errors.Is(err, platform.ErrConflict) {
			d.log.Warn("could not take the usage duty", zap.String(logging.FieldStep, "take duty"), zap.Error(err))
		}
		return false
	}
	d.token, d.heldBy, d.takenAt = revision, id, now
	d.log.Info("usage duty taken", zap.String(logging.FieldDecision, "take_duty"), zap.Int64("token", revision))
	return true
}

// lose forgets the duty without telling the store.
func (d *duty) lose(now time.Time, reason string) {
	d.log.Info("usage duty given up", zap.String(logging.FieldDecision, "give_up_duty"),
		zap.Int64("token", d.token), zap.String(logging.FieldReason, reason))
	d.token, d.notBefore = 0, now.Add(returnDelay)
}

// release gives the duty up, so that another host can take it before the lease ends. The
// entry may also be one whose creation was not answered.
func (d *duty) release(ctx context.Context, now time.Time, reason string) {
	d.lose(now, reason)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	current, _, err := d.store.Get(ctx, dutyKey)
	if err == nil && bytes.Equal(current.Value, d.identity) {
		_, err = d.store.Txn(ctx, platform.Txn{
			Compares: []platform.Compare{{Key: dutyKey, ModRevision: current.ModRevision}}, Deletes: []string{dutyKey},
		})
	}
	if err != nil {
		d.log.Warn("could not give the usage duty back; it ends with the lease", zap.String(logging.FieldStep, "give up duty"), zap.Error(err))
	}
}
