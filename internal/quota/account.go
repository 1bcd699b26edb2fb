// Package quota admits the operations of client accounts so that all hosts
// together stay within each account's rate and burst.
//
// Each host has an allocation: a fraction of each account's limit, sized by the
// demand on that host and written to the platform's store by compare-and-swap.
// The host renews its allocations periodically and keeps using them for
// allocationTTL while the store does not answer. Another part of each limit, the
// floor, needs no allocation and is divided equally between the hosts.
//
// Invariant: the allocations and floors in use never exceed the whole limit, even
// if hosts are partitioned, paused or restarted.
package quota

import (
	"math"
	"time"

	"github.com/bramleylever/bramleylever/internal/catalog"
)

const (
	// floorFraction is the fraction of a limit that is divided equally between the
	// hosts, so that each of them can admit an account's first operations at once.
	floorFraction = 0.3
	// allocationTTL is how long a host uses an allocation that it cannot renew.
	// reclaimAfter is how long other hosts wait before they reclaim an allocation
	// that is not renewed; it is longer, so that both never use it at once.
	allocationTTL = 20 * time.Second
	reclaimAfter  = 25 * time.Second
	// demandWindow is the time constant of the moving average of the demand.
	demandWindow = 3 * time.Second
	// minHeadroom and maxHeadroom are the headroom of an allocation over the
	// demand, as a fraction of the demand: minHeadroom always, maxHeadroom while
	// most of the limit is unallocated.
	minHeadroom = 0.15
	maxHeadroom = 1.0
	// lowAllocation is the sum of fractions up to which hosts allocate themselves
	// more than they need and keep what they do not use.
	lowAllocation = 0.5
	// initialFraction is the fraction of a limit that the hosts divide equally
	// before they know the demand.
	initialFraction = 0.5
	// changeThreshold is the relative difference between the target and the
	// allocation above which the target is written before the next renewal.
	changeThreshold = 0.35
	// exhaustedRetryAfter is the age at which an allocation that is too small is
	// written again after the last write found the whole limit allocated. For an
	// equal allocation it doubles with each further such write up to
	// maxExhaustedRetry, because the missing part is reclaimed late.
	exhaustedRetryAfter = 5 * time.Second
	maxExhaustedRetry   = 20 * time.Second
	// renewAfter is the age at which an allocation is renewed even if unchanged.
	renewAfter = 8 * time.Second
	// The limits for equal allocations are longer: these do not follow the demand, so
	// less is lost while one remains with a host that has failed. While its host is
	// registered, an equal allocation counts as renewed, and renewals are rare.
	equalAllocationTTL = 40 * time.Second
	equalReclaimAfter  = 80 * time.Second
	equalRenewAfter    = 32 * time.Second
)

// timeLimits are the time limits of one kind of allocation.
type timeLimits struct{ ttl, reclaim, renew time.Duration }

// limitsOf returns the time limits of equal allocations, or of those that follow the
// demand.
func limitsOf(equal bool) timeLimits {
	if equal {
		return timeLimits{equalAllocationTTL, equalReclaimAfter, equalRenewAfter}
	}
	return timeLimits{allocationTTL, reclaimAfter, renewAfter}
}

// limit is an account's limit over the whole fleet: rate in operations per second,
// burst in operations. slack is the tolerated number of operations beyond them.
type limit struct {
	rate  float64
	burst float64
	slack float64
}

// account is the state of one client account on this host. It does no I/O.
type account struct {
	limit limit
	// hosts is the number of hosts that may have an allocation of the limit.
	hosts int
	// equal says that the limit is allocated in equal parts to a few hosts, of
	// which this is one, regardless of their demand: the other hosts borrow tokens
	// from all of them.
	equal bool

	fraction float64
	// recordedEqual says that the stored allocation is marked as an equal one.
	recordedEqual bool
	// unrecorded says that the store may have lost the record of the allocation.
	unrecorded bool
	// initialTarget is the fraction to allocate before there is any demand.
	initialTarget float64
	// renewedAt is when the last successful write of the fraction was sent.
	renewedAt time.Time
	// confirmedAt is when the store last confirmed that the allocation is still that of
	// this host, by a write or by the renewal of the host's registration.
	confirmedAt time.Time

	tokens     float64
	refilledAt time.Time

	demand          float64
	demandUpdatedAt time.Time
	// refusedSinceWrite says that an operation was refused since the last write,
	// and exhausted that the last write could not allocate what was needed.
	refusedSinceWrite bool
	exhausted         bool
	// retryAfter is the age at which an exhausted allocation is written again.
	retryAfter time.Duration

	// allocations holds the allocations by host in the document last seen.
	// emptyUntil is, by host and class, the time before which that host is not asked
	// for a token again.
	allocations map[string]allocation
	emptyUntil  map[lenderClass]time.Time
	// classes holds what is kept for each class of operations.
	classes classes
}

// lenderClass is a host that lends tokens and the class of the operations that need them.
type lenderClass struct {
	host  string
	class catalog.Class
}

func newAccount(now time.Time) *account {
	return &account{refilledAt: now, demandUpdatedAt: now, tokens: initialTokens, emptyUntil: map[lenderClass]time.Time{}}
}

// initialTokens is the number of operations that a host may admit at its start.
const initialTokens = 1

// usableFraction returns the fraction of the limit that the host may use now: only
// the floor once the allocation has expired.
func (a *account) usableFraction(now time.Time) float64 {
	floor := floorFraction / float64(max(1, a.hosts))
	if a.expired(now) {
		return floor
	}
	return floor + a.fraction
}

// expired reports whether the allocation must not be used any more, because other
// hosts may reclaim it. Only a write ends that.
func (a *account) expired(now time.Time) bool {
	confirmed := a.renewedAt
	if a.recordedEqual && a.confirmedAt.After(confirmed) {
		confirmed = a.confirmedAt
	}
	return now.Sub(confirmed) >= limitsOf(a.recordedEqual).ttl
}

// confirm records that the host was registered at the given time. An allocation that
// has expired meanwhile stays expired, and one that the store may have lost has to be
// recorded first.
func (a *account) confirm(at, now time.Time) {
	if !a.unrecorded && !a.expired(now) && at.After(a.confirmedAt) {
		a.confirmedAt = at
	}
}

// refill adds the tokens earned since the last call, up to the bucket's capacity.
func (a *account) refill(now time.Time) {
	usable := a.usableFraction(now)
	if elapsed := now.Sub(a.refilledAt); elapsed > 0 {
		a.tokens += a.limit.rate * usable * elapsed.Seconds()
		a.refilledAt = now
	}
	capacity := a.limit.burst*usable + a.limit.slack/float64(max(1, a.hosts))
	a.tokens = min(a.tokens, max(1, capacity))
}

// admit takes a token if there is one for the class.
func (a *account) admit(class catalog.Class, now time.Time) bool {
	a.recordArrival(now)
	a.refill(now)
	if !a.take(class, now) {
		a.refusedSinceWrite = true
		return false
	}
	return true
}

// recordArrival counts an operation in the demand.
func (a *account) recordArrival(now time.Time) {
	a.decayDemand(now)
	a.demand += 1 / demandWindow.Seconds()
}

// decayDemand decays the moving average of the demand, in operations per second.
func (a *account) decayDemand(now time.Time) {
	elapsed := now.Sub(a.demandUpdatedAt)
	if elapsed <= 0 {
		return
	}
	a.demand *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
	a.demandUpdatedAt = now
}

// idleDemand is the demand below which a host needs no allocation, in operations
// per second.
const idleDemand = 0.2

// neededFraction returns the fraction that, together with the floor, covers the
// demand plus headroom. The headroom is relative to the demand.
func (a *account) neededFraction(headroom float64, now time.Time) float64 {
	if a.equal {
		return (1 - floorFraction) / float64(max(1, a.hosts))
	}
	a.decayDemand(now)
	if a.limit.rate <= 0 || a.demand < idleDemand {
		return 0
	}
	floor := floorFraction / float64(max(1, a.hosts))
	return max(0, a.demand*(1+headroom)/a.limit.rate-floor)
}

// targetFraction returns the fraction to allocate to this host, given the sum of
// the fractions of the other hosts.
func (a *account) targetFraction(others float64, now time.Time) float64 {
	target := a.neededFraction(minHeadroom, now)
	if !a.equal {
		target = max(target, min(a.neededFraction(maxHeadroom, now), lowAllocation-others))
	}
	if !a.equal && others+a.fraction <= lowAllocation {
		target = max(target, a.fraction, a.initialTarget)
	}
	return max(0, min(target, 1-floorFraction-others))
}

// applyWrite applies a successful write of the fraction that was sent at a time.
func (a *account) applyWrite(fraction float64, equal bool, sent time.Time) {
	a.exhausted = fraction < a.neededFraction(minHeadroom, sent)-fractionEpsilon
	switch {
	case !a.exhausted:
		a.retryAfter = 0
	case equal:
		a.retryAfter = min(maxExhaustedRetry, max(exhaustedRetryAfter, 2*a.retryAfter))
	default:
		a.retryAfter = exhaustedRetryAfter
	}
	a.fraction, a.renewedAt, a.confirmedAt, a.recordedEqual = fraction, sent, sent, equal
	a.refusedSinceWrite, a.initialTarget, a.unrecorded = false, 0, false
}

// initialAllocation returns the fraction to allocate before the demand is known.
func (a *account) initialAllocation() float64 { return initialFraction / float64(max(1, a.hosts)) }

// fractionEpsilon is the difference up to which two fractions count as equal.
const fractionEpsilon = 1e-9

// needsUrgentWrite reports whether the allocation is too small and a write may
// raise it.
func (a *account) needsUrgentWrite(now time.Time) bool {
	if a.equal {
		return !a.exhausted && a.neededFraction(0, now) > a.fraction+fractionEpsilon
	}
	return !a.exhausted && (a.refusedSinceWrite || a.neededFraction(0, now) > a.fraction)
}

// needsWrite reports whether the allocation should be written, because it is due
// for renewal or the target has changed.
func (a *account) needsWrite(others float64, now time.Time) bool {
	if now.Sub(a.renewedAt) >= limitsOf(a.recordedEqual).renew && (a.fraction > 0 || a.initialTarget > 0) {
		return true
	}
	if a.exhausted && a.neededFraction(0, now) > a.fraction+fractionEpsilon {
		// Other hosts may have released a part of the limit since. Until then
		// their tokens can be borrowed.
		return now.Sub(a.renewedAt) >= a.retryAfter
	}
	target := a.targetFraction(others, now)
	return math.Abs(target-a.fraction) > changeThreshold*max(a.fraction, floorFraction/float64(max(1, a.hosts)))
}
