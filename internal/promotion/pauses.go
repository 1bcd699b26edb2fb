package promotion

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/logging"
)

const (
	// resumeRetryDelay is how long a candidate that could not be resumed is left alone.
	resumeRetryDelay = time.Second
	// pauseCheckInterval is the mean time between two checks of a host for replicas that a host
	// which is gone has paused. In a small fleet every host checks.
	pauseCheckInterval = 20 * time.Second
)

// maybePaused returns the instances whose pause may be in force: one without an answer may have
// taken it too.
func maybePaused(asked []*catalog.Server, reports []Candidate) []*catalog.Server {
	return slices.DeleteFunc(slices.Clone(asked), func(server *catalog.Server) bool {
		i := slices.IndexFunc(reports, func(c Candidate) bool { return c.Server == server })
		return i >= 0 && reports[i].Paused == 0
	})
}

// mayBePaused reports whether the pause of an instance may be in force still. A restart ends
// it.
func (s *serviceState) mayBePaused(server *catalog.Server, snapshot *catalog.Snapshot) bool {
	if current := snapshot.Servers[server.ID]; current != nil {
		return current.Started == server.Started
	}
	return slices.ContainsFunc(s.members.stored, func(m Member) bool { return m.isProcess(server) })
}

// resumePaused resumes the candidates whose replication was paused for a promotion that was
// not ordered, or whose order is not carried out any more. It takes the duty first, because
// another holder may have paused them for its own comparison.
func (r *Runner) resumePaused(ctx context.Context, service string, state *serviceState, snapshot *catalog.Snapshot) {
	if len(state.paused) == 0 || r.now().Before(state.resumeAfter) {
		return
	}
	if !r.holdsDuty(state) && !r.acquireDuty(ctx, service, state) {
		return
	}
	paused := slices.DeleteFunc(state.paused, func(server *catalog.Server) bool { return !state.mayBePaused(server, snapshot) })
	resumed := r.queryCandidates(ctx, paused, func(ctx context.Context, server *catalog.Server) (Candidate, error) {
		return Candidate{Server: server}, r.options.Inspector.Resume(ctx, server)
	})
	state.paused = slices.DeleteFunc(paused, func(server *catalog.Server) bool {
		return slices.ContainsFunc(resumed, func(c Candidate) bool { return c.Server == server })
	})
	if len(state.paused) > 0 {
		state.resumeAfter = r.now().Add(resumeRetryDelay)
	}
}

// findPaused looks for replicas of a service with a primary that works which are paused: the
// host that paused them is gone, or learned too late that another one had completed the
// promotion. They are resumed once no earlier order can be carried out late.
func (r *Runner) findPaused(ctx context.Context, service string, state *serviceState, snapshot *catalog.Snapshot) {
	now := r.now()
	if state.sync == 0 || len(state.paused) > 0 || now.Before(state.findPausedAt) || r.options.Rank(service) > 0 {
		return
	}
	first := state.findPausedAt.IsZero()
	state.findPausedAt = now.Add(pauseCheckInterval/2 + r.jitter(pauseCheckInterval))
	if first {
		return
	}
	reports := r.queryCandidates(ctx, snapshot.Groups[service], r.options.Inspector.Status)
	reports = slices.DeleteFunc(reports, func(c Candidate) bool { return c.Primary || c.Paused == 0 })
	if len(reports) == 0 || !r.acquireDuty(ctx, service, state) {
		return
	}
	state.paused, state.resumeAfter = servers(reports), state.pendingUntil
	r.options.Log.Warn("replicas are paused although no promotion is under way", zap.String(logging.FieldDecision, "resume_replicas"),
		zap.String("service", service), zap.Int("replicas", len(reports)), zap.Time("after", state.resumeAfter))
}
