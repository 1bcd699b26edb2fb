package promotion

import (
	"context"
	"time"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/hosts"
)

// observePrimary takes note of whether a primary works. isUsable says that the service has one
// that hosts may use.
func (s *serviceState) observePrimary(isUsable bool, reason Reason, now time.Time) {
	switch {
	case isUsable && (reason == NoReason || reason.isPlanned()):
		s.lostSince = time.Time{}
	case s.lostSince.IsZero():
		s.lostSince = now
	}
}

// isLostFor reports whether the service has had no primary that works for at least wait.
func (s *serviceState) isLostFor(wait time.Duration, now time.Time) bool {
	return !s.lostSince.IsZero() && now.Sub(s.lostSince) >= wait
}

// isTurn reports whether this host may act on the reason to replace a primary. Each
// attempt to take the duty is a call to the store, and in a large fleet most hosts notice
// the reason at the same time. So for a reason that all hosts see, one host acts first
// and the others only if it does not. A primary that is not reached is noticed by the
// hosts that use it; of these, the first in a random order acts.
func (r *Runner) isTurn(service string, state *serviceState, now time.Time) bool {
	elapsed := now.Sub(state.reasonSince)
	if state.token != 0 {
		return true
	}
	rank := r.options.Rank(service)
	if state.reason == Unreachable {
		switch {
		case len(r.options.Coordinators.Of(service)) == 0:
			return elapsed >= state.turnDelay
		case rank >= maxCoordinators:
			return elapsed >= recordDelay+state.turnDelay
		}
	}
	if rank >= maxCoordinators {
		return elapsed >= othersDelay+time.Duration(rank)*turnStep
	}
	return elapsed >= time.Duration(rank)*turnInterval
}

// turnDelay returns how long this host waits before it acts on a primary that it does
// not reach.
func (r *Runner) turnDelay() time.Duration {
	hosts, _ := r.options.Hosts()
	return r.jitter(time.Duration(max(1, hosts)) * turnDelayPerHost)
}

// isTermOver reports whether no host may use the leader of the newest term that this host knows.
func (r *Runner) isTermOver(service string) bool {
	closed := r.options.Terms.Closed(service)
	return closed > 0 && r.options.LeaderEpoch(service) <= closed
}

// leaderless reports whether the newest known term has been closed for a while and no
// instance leads a newer one.
func (r *Runner) leaderless(service string, state *serviceState) bool {
	if !r.isTermOver(service) || r.options.Rank(service) >= maxCoordinators {
		state.leaderlessSince = time.Time{}
		return false
	}
	now := r.now()
	if state.leaderlessSince.IsZero() {
		state.leaderlessSince = now
	}
	if now.Sub(state.leaderlessSince) < promotionTimeout {
		return false
	}
	if r.options.FindLeader(service) {
		state.leaderlessSince = time.Time{}
		return false
	}
	return true
}

// updateSuspicion keeps what the coordinators and the store know of this host's suspicion in
// line with its own traffic, and returns the reason to replace the primary, if there is one.
func (r *Runner) updateSuspicion(ctx context.Context, service string, state *serviceState, primary *catalog.Server) Reason {
	if state.sync > 0 && r.isTermOver(service) && state.closedEpoch >= r.options.Terms.Closed(service) {
		// This host goes on with what it has begun.
		return TermEnded
	}
	if primary == nil {
		if state.missingSince.IsZero() {
			state.missingSince = r.now()
		}
		if r.now().Sub(state.missingSince) < missingPrimaryDelay {
			return NoReason
		}
		return NoPrimary
	}
	state.missingSince = time.Time{}
	if r.leaderless(service, state) {
		return TermEnded
	}
	suspected := ""
	if r.options.Failing(primary) {
		suspected = primary.ID
	}
	var coordinators []hosts.Host
	if suspected != "" || state.toldSuspect != "" {
		coordinators = r.options.Coordinators.Of(service)
		r.tell(ctx, service, state, suspected, coordinators)
	}
	id, _ := r.options.Lease()
	stale := suspected != state.reportedSuspect || state.suspicion.Unsure() || suspected != "" && id != state.reportedLease
	if !r.recordsLater(state, suspected, coordinators) && stale {
		r.recordSuspicion(ctx, service, state, suspected)
	}
	if suspected == "" && !r.heardQuorum(service, primary) {
		return NoReason
	}
	return Unreachable
}
