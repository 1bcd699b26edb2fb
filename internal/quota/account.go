// Package quota admits the operations of client accounts so that all hosts
// together stay within each account's rate and burst.
//
// Each host holds a fraction of each account's limit, sized by its demand and
// recorded in the platform's store under a compare-and-swap. It renews the
// record now and then, and goes on with it for holdTime when the store does not
// answer. A part of each limit, the floor, is divided equally between the hosts.
//
// Invariant: the fractions and floors in use never exceed the whole limit,
// whatever is cut off, paused or restarted.
package quota

import (
	"math"
	"time"
)

const (
	// floorPart is the part of a limit that is divided equally, so that every
	// host admits the first operations of an account at once.
	floorPart = 0.3
	// holdTime is how long a host uses a holding that it cannot renew, and
	// reclaimTime how long others wait before they take it.
	holdTime    = 20 * time.Second
	reclaimTime = 25 * time.Second
	// demandWindow is the time over which the demand is averaged.
	demandWindow = 3 * time.Second
	// tightRoom and wideRoom are the parts of the demand that a host holds
	// beyond it: at least, and while the limit is far from used up.
	tightRoom = 0.15
	wideRoom  = 1.0
	// comfortable is the sum of fractions up to which hosts hold more than they
	// need and keep what they do not use.
	comfortable = 0.5
	// initialPart is the part of a limit that the hosts divide equally before
	// they know the demand.
	initialPart = 0.5
	// changePart is the part by which a need must differ from a holding to be
	// written before the holding has to be renewed.
	changePart = 0.35
	// exhaustedTime is the age at which a holding that is too small is looked at
	// again after the limit was found used up.
	exhaustedTime = 5 * time.Second
	// renewTime is the age at which a holding is renewed in any case.
	renewTime = 8 * time.Second
	// equalFactor is how many times longer equal parts are held, reclaimed and
	// renewed after. They do not follow the demand, so there is less to lose when
	// one stays with a host that is gone, and renewals are most of the writes.
	equalFactor = 2
)

// lifetime returns how long a holding lasts, given the time for one that follows
// the demand.
func lifetime(d time.Duration, equal bool) time.Duration {
	if equal {
		return equalFactor * d
	}
	return d
}

// limit is the rate and burst of an account over the whole fleet. Slack is the
// number of operations beyond the burst that the users accept.
type limit struct {
	rate  float64
	burst float64
	slack float64
}

// account is the state of one client account on this host. It does no I/O.
type account struct {
	limit limit
	// hosts is the number of hosts that may hold a part of the limit.
	hosts int
	// equal says that this host is one of the few that hold an equal part each,
	// whatever their demand is, because others borrow from all of them.
	equal bool

	fraction float64
	// recordedEqual says that the fraction was recorded as an equal part.
	recordedEqual bool
	// wish is what a host would hold although it has no demand yet.
	wish float64
	// renewed is when the call left that last recorded the fraction.
	renewed time.Time

	level   float64
	updated time.Time

	demand     float64
	demandedAt time.Time
	// short says that an operation was refused since the last write, and
	// exhausted that the last write found the limit used up.
	short     bool
	exhausted bool

	// holdings is what the hosts held when the record was last seen, and empty
	// holds until when a host has no token to lend.
	holdings map[string]holding
	empty    map[string]time.Time
}

func newAccount(now time.Time) *account {
	return &account{updated: now, demandedAt: now, level: initialTokens, empty: map[string]time.Time{}}
}

// initialTokens is what a host that has just started may admit at once.
const initialTokens = 1

// held returns the fraction of the limit that the host may use now.
func (a *account) held(now time.Time) float64 {
	floor := floorPart / float64(max(1, a.hosts))
	if now.Sub(a.renewed) >= lifetime(holdTime, a.recordedEqual) {
		return floor
	}
	return floor + a.fraction
}

// refill brings the level up to date.
func (a *account) refill(now time.Time) {
	held := a.held(now)
	if elapsed := now.Sub(a.updated); elapsed > 0 {
		a.level += a.limit.rate * held * elapsed.Seconds()
		a.updated = now
	}
	capacity := a.limit.burst*held + a.limit.slack/float64(max(1, a.hosts))
	a.level = min(a.level, max(1, capacity))
}

// admit takes a token if there is one.
func (a *account) admit(now time.Time) bool {
	a.count(now)
	a.refill(now)
	if a.level < 1 {
		a.short = true
		return false
	}
	a.level--
	return true
}

// wait returns how long it takes until a token is there.
func (a *account) wait(now time.Time) time.Duration {
	rate := a.limit.rate * a.held(now)
	if rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration(max(0, 1-a.level) / rate * float64(time.Second))
}

// count records an arrival.
func (a *account) count(now time.Time) {
	a.decay(now)
	a.demand += 1 / demandWindow.Seconds()
}

// decay lets the moving average of the demand, in operations per second, age.
func (a *account) decay(now time.Time) {
	elapsed := now.Sub(a.demandedAt)
	if elapsed <= 0 {
		return
	}
	a.demand *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
	a.demandedAt = now
}

// idleDemand is the demand below which a host needs nothing, in operations per
// second.
const idleDemand = 0.2

// wanted returns the fraction that covers, together with the floor, the demand
// and a part of it as room.
func (a *account) wanted(room float64, now time.Time) float64 {
	if a.equal {
		return (1 - floorPart) / float64(max(1, a.hosts))
	}
	a.decay(now)
	if a.limit.rate <= 0 || a.demand < idleDemand {
		return 0
	}
	floor := floorPart / float64(max(1, a.hosts))
	return max(0, a.demand*(1+room)/a.limit.rate-floor)
}

// target returns the fraction to hold, given what other hosts hold.
func (a *account) target(others float64, now time.Time) float64 {
	target := a.wanted(tightRoom, now)
	if !a.equal {
		target = max(target, min(a.wanted(wideRoom, now), comfortable-others))
	}
	if !a.equal && others+a.fraction <= comfortable {
		target = max(target, a.fraction, a.wish)
	}
	return max(0, min(target, 1-floorPart-others))
}

// record takes the fraction over that a write that left at a time recorded.
func (a *account) record(fraction float64, equal bool, sent time.Time) {
	a.exhausted = fraction < a.wanted(tightRoom, sent)-rounding
	a.fraction, a.renewed, a.recordedEqual = fraction, sent, equal
	a.short, a.wish = false, 0
}

// initial returns the fraction to hold of an account without holdings.
func (a *account) initial() float64 { return initialPart / float64(max(1, a.hosts)) }

// rounding is the difference between fractions that does not count.
const rounding = 1e-9

// urgent reports whether the holding is too small and may be raised.
func (a *account) urgent(now time.Time) bool {
	if a.equal {
		return !a.exhausted && a.wanted(0, now) > a.fraction+rounding
	}
	return !a.exhausted && (a.short || a.wanted(0, now) > a.fraction)
}

// stale reports whether the holding should be written: it is old, or the need
// has changed.
func (a *account) stale(others float64, now time.Time) bool {
	if now.Sub(a.renewed) >= lifetime(renewTime, a.recordedEqual) && (a.fraction > 0 || a.wish > 0) {
		return true
	}
	if a.exhausted && a.wanted(0, now) > a.fraction+rounding {
		// The others may have given something back. Until then their tokens can
		// be borrowed.
		return now.Sub(a.renewed) >= exhaustedTime
	}
	target := a.target(others, now)
	return math.Abs(target-a.fraction) > changePart*max(a.fraction, floorPart/float64(max(1, a.hosts)))
}
