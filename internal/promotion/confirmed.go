package promotion

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/recovery"
)

// planConfirmed chooses the next primary of a service whose replicas confirm commits. It ends
// the newest term before it compares the logs: no host reports a commit of that term as done
// after that, whoever confirms it. What was reported before is in the logs.
//
// A term that has ended is not opened again. Every host that may act on the service then sees a
// reason to promote an instance, so that another one goes on if this host is killed.
func (r *Runner) planConfirmed(ctx context.Context, service string, state *serviceState, snapshot *catalog.Snapshot, primary *catalog.Server) (promotionPlan, error) {
	plan, err := r.survey(ctx, service, state, snapshot, primary)
	if err != nil {
		return plan, err
	}
	if state.orderedInstance != "" && state.closedEpoch < plan.epoch {
		// Orders for another instance need a higher token. The primary works until then.
		r.releaseDuty(ctx, service, state)
		return plan, errDutyReleased
	}
	if err = r.endCommits(ctx, service, state, primary, plan); err != nil {
		return plan, err
	}
	c, plan, err := r.compareLogs(ctx, service, state, snapshot, primary)
	if err != nil {
		return plan, err
	}
	target := c.replacement(state.history.History)
	if target, err = r.pendingOr(state, c, target); err == nil && target == nil {
		err = noTargetError(c)
	}
	if err == nil {
		err = r.checkBeginning(service, state, c, target)
	}
	if err == nil {
		err = r.recordMembers(ctx, service, state, c.snapshot, target)
	}
	if err == nil {
		r.logGivenUp(service, c, target)
		plan.target = target
	}
	return plan, err
}

// errDutyReleased says that the duty has to be taken again, for a higher fencing token.
var errDutyReleased = fmt.Errorf("a higher fencing token is needed: %w", ErrNotReady)

// survey asks the members whether a promotion can succeed, and changes nothing. While the
// primary works, it goes on if this fails. The plan's target is only what the reports show now;
// there may be none if the term has ended already.
func (r *Runner) survey(ctx context.Context, service string, state *serviceState, snapshot *catalog.Snapshot, primary *catalog.Server) (promotionPlan, error) {
	c, err := r.newComparison(ctx, service, state, snapshot, primary)
	if err != nil {
		return promotionPlan{}, err
	}
	isOver := r.isTermOver(service)
	c.planned = state.reason.isPlanned() && !isOver
	c.reports = r.queryCandidates(ctx, c.members.servers(service, snapshot, primary), r.options.Inspector.Status)
	if leader := leaderReport(c.reports, r.options.Terms.Closed(service)+1); leader != nil && memberOf(leader.Server).isIn(snapshot) {
		return promotionPlan{}, errTermBegun
	}
	plan, err := r.newPlan(service, state, c.reports)
	plan.planned, plan.target = c.planned, c.target(state.history.History)
	if err != nil || isOver {
		return plan, err
	}
	if err = c.check(); err != nil {
		return plan, err
	}
	if plan.target == nil {
		return plan, noTargetError(c)
	}
	return plan, r.checkBeginning(service, state, c, plan.target)
}

func noTargetError(c *comparison) error {
	return fmt.Errorf("no replica to promote among %d reports: %w", len(c.reports), ErrNotReady)
}

// newComparison returns what is known of the members before they are asked.
func (r *Runner) newComparison(ctx context.Context, service string, state *serviceState, snapshot *catalog.Snapshot, primary *catalog.Server) (*comparison, error) {
	members, recorded, err := r.currentMembers(ctx, service, state, snapshot)
	return &comparison{
		snapshot: snapshot, members: members, recorded: recorded, primary: primary, sync: state.sync,
		expired: state.isLostFor(lostMemberWait, r.now()),
	}, err
}

// endCommits ends the use of the leaders of the plan's term and of earlier ones. A primary that may still work is left alone while the platform takes no orders:
// it could not be replaced.
func (r *Runner) endCommits(ctx context.Context, service string, state *serviceState, primary *catalog.Server, plan promotionPlan) error {
	if state.closedEpoch >= plan.epoch {
		return nil
	}
	if primary != nil && r.options.Terms.Closed(service) < plan.epoch {
		if err := r.checkPromoter(ctx, service, state); err != nil {
			return fmt.Errorf("check that orders are taken: %w", err)
		}
	}
	if err := r.recordHandOver(ctx, service, state, r.closingRecord(state, plan.epoch)); err != nil {
		return err
	}
	if err := r.endTerm(ctx, service, primary, plan.epoch); err != nil {
		return err
	}
	if primary != nil && plan.planned {
		// It sends the others what they lack as long as it leads.
		r.waitCaughtUp(ctx, primary, plan.target)
	}
	state.closedEpoch = plan.epoch
	return nil
}

// closeTimeout is how long the primary is not demoted while the hosts stop using it. It is longer
// than the lease of a host that does not answer.
const closeTimeout = 2500 * time.Millisecond

// endTerm makes all hosts stop using the leaders of a term and of earlier ones. Without a quorum
// of the hosts that takes long; then it is enough that the primary has given up its role.
func (r *Runner) endTerm(ctx context.Context, service string, primary *catalog.Server, epoch uint64) error {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	closed := make(chan error, 1)
	go func() {
		closed <- recovery.Call("close term", func() error { return r.options.Terms.CloseTerm(ctx, service, epoch) })
	}()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case err := <-closed:
		if err == nil {
			return nil
		}
		closed <- err
	case <-timer.C:
	}
	if primary != nil && r.demote(ctx, service, primary, epoch) == nil {
		return nil
	}
	return <-closed
}

func (r *Runner) checkPromoter(ctx context.Context, service string, state *serviceState) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return r.options.Promoter.Check(ctx, service, r.options.Host, state.token)
}

// errNewerTerm means that a term has begun after the one that was ended.
var errNewerTerm = fmt.Errorf("a newer term has begun meanwhile: %w", ErrNotReady)

// compareLogs asks every member that may hold an acknowledged commit for its log, after the
// newest term has ended. It reads the registered servers from the store: one that registered
// shortly before may have confirmed commits. The members are paused, so that none gets entries
// after its report, which is the beginning of the next term.
func (r *Runner) compareLogs(ctx context.Context, service string, state *serviceState, snapshot *catalog.Snapshot, primary *catalog.Server) (*comparison, promotionPlan, error) {
	registered, err := r.readServers(ctx, service)
	if err != nil {
		return nil, promotionPlan{}, err
	}
	c, err := r.newComparison(ctx, service, state, withServers(snapshot, service, registered), primary)
	if err != nil {
		return nil, promotionPlan{}, err
	}
	except := primary
	if state.reason != Unreachable {
		except = nil
	}
	asked := c.members.servers(service, c.snapshot, except)
	c.reports = r.queryCandidates(ctx, asked, func(ctx context.Context, server *catalog.Server) (Candidate, error) {
		return r.stopReceiving(ctx, server, state.closedEpoch)
	})
	state.paused = maybePaused(asked, c.reports)
	if leader := leaderReport(c.reports, state.closedEpoch+1); leader != nil {
		return nil, promotionPlan{}, errTermBegun
	}
	if max(newestEpoch(c.reports), r.options.LeaderEpoch(service)) > state.closedEpoch {
		return nil, promotionPlan{}, errNewerTerm
	}
	r.leaveOutReceiving(service, c, state.closedEpoch)
	plan, err := r.checkReports(service, state, c)
	return c, plan, err
}

// stopReceiving pauses a replica, or makes the leader of an ended term a replica, and returns what
// the instance reports afterwards.
func (r *Runner) stopReceiving(ctx context.Context, server *catalog.Server, epoch uint64) (Candidate, error) {
	report, err := r.options.Inspector.Pause(ctx, server, epoch)
	if err == nil && report.Primary && report.Epoch <= epoch {
		_, err = r.options.Inspector.Demote(ctx, server, epoch+1)
		if err == nil {
			report, err = r.options.Inspector.Pause(ctx, server, epoch)
		}
	}
	return report, err
}

func (r *Runner) readServers(ctx context.Context, service string) ([]*catalog.Server, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.options.ReadServers(ctx, service)
}

// withServers returns the snapshot with the servers of a service that the store has and the
// snapshot lacks.
func withServers(snapshot *catalog.Snapshot, service string, registered []*catalog.Server) *catalog.Snapshot {
	out := *snapshot
	out.Servers, out.Groups = maps.Clone(snapshot.Servers), maps.Clone(snapshot.Groups)
	group := slices.Clone(snapshot.Groups[service])
	for _, server := range registered {
		if known := out.Servers[server.ID]; known != nil && known.Started == server.Started {
			continue
		}
		out.Servers[server.ID] = server
		group = slices.DeleteFunc(group, func(s *catalog.Server) bool { return s.ID == server.ID })
		group = append(group, server)
	}
	out.Groups[service] = group
	return &out
}

// leaveOutReceiving leaves out the reports of the replicas whose pause is not in force: they may
// still receive entries of the term. A service that has no primary for long does not wait for them.
func (r *Runner) leaveOutReceiving(service string, c *comparison, epoch uint64) {
	receiving := func(report Candidate) bool { return report.receivesFrom(epoch) }
	if !c.expired {
		c.reports = slices.DeleteFunc(c.reports, receiving)
		return
	}
	for _, report := range c.reports {
		if !receiving(report) {
			continue
		}
		r.incomplete.Inc(1)
		r.options.Log.Error("promotion goes on although a replica has not taken the pause", zap.String(logging.FieldDecision, "give_up_pause"),
			zap.String("service", service), zap.String(logging.FieldInstance, report.Server.ID), zap.Uint64(logging.FieldTerm, epoch),
			zap.Uint64("paused", report.Paused))
	}
}
