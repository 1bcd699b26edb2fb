package promotion

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/platform"
)

const (
	// membersPrefix is the key prefix of the lists of members of the services whose replicas
	// confirm commits; the name of the service follows. The value is a memberList in JSON.
	membersPrefix = "bramleylever/promotion/members/"
	// memberCheckInterval is how often a host compares the list with the registered servers,
	// and maxMembersAge how old the list may be on which a promotion is based.
	memberCheckInterval = 500 * time.Millisecond
	maxMembersAge       = time.Second
	// minMemberRetry and maxMemberRetry bound the exponential backoff between two attempts to
	// make a change that the list needs.
	minMemberRetry = time.Second
	maxMemberRetry = 8 * time.Second
	// lostMemberWait is how long a service without a working primary waits for the logs of
	// members that are not registered and do not answer.
	lostMemberWait = 15 * time.Second
)

// memberRecord is what this host knows of the stored list of a service's members.
type memberRecord struct {
	// stored is the list at the given revision of the store, which was read at readAt; the
	// revision is 0 if no list is stored.
	stored   memberList
	revision int64
	readAt   time.Time
	// generation is that of the store at the last read.
	generation platform.Generation
	// remembered is the list of an earlier generation of the store, until it is written again.
	remembered memberList
	checkAfter time.Time
	// adding and retiring schedule the attempts to change the list.
	adding, retiring backoff
}

// backoff schedules the attempts at a task.
type backoff struct {
	next  time.Time
	delay time.Duration
}

// isDue reports whether an attempt is due, and schedules the one after it. The first one
// follows after the given time.
func (b *backoff) isDue(now time.Time, first time.Duration) bool {
	if b.next.IsZero() {
		b.next = now.Add(first)
	}
	if now.Before(b.next) {
		return false
	}
	b.delay = min(maxMemberRetry, max(minMemberRetry, 2*b.delay))
	b.next = now.Add(b.delay)
	return true
}

func (m *memberRecord) exists() bool { return len(m.stored)+len(m.remembered) > 0 }

// with returns the list that should be stored, given the registered servers.
func (m *memberRecord) with(servers []*catalog.Server) memberList {
	return m.stored.merge(m.remembered).with(servers)
}

// syncReplicas returns the number of replicas that confirm each commit of a service.
func syncReplicas(snapshot *catalog.Snapshot, service string) int {
	if s := snapshot.Service(service); s != nil {
		return s.SyncReplicas
	}
	return 0
}

// loadMembers reads the stored list. A store that was restored from an older copy may lack
// members that this host remembers.
func (r *Runner) loadMembers(ctx context.Context, service string, m *memberRecord) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, _, err := r.options.Store.Get(ctx, membersPrefix+service)
	if err != nil {
		return fmt.Errorf("read members: %w", err)
	}
	var list memberList
	if item.ModRevision != 0 {
		if err := json.Unmarshal(item.Value, &list); err != nil {
			// It stays unreadable until it is written again.
			r.options.Log.Error("could not decode a list of members; ignoring it", zap.String("key", item.Key), zap.Error(err))
			list = nil
		}
	}
	slices.SortFunc(list, compareMembers)
	generation := r.options.Store.Generation()
	if m.generation != 0 && m.generation != generation {
		m.remembered = m.stored.merge(m.remembered)
	}
	m.stored, m.revision, m.generation, m.readAt = list, item.ModRevision, generation, r.now()
	return nil
}

// writeMembers stores a list in place of the one that was read.
func (r *Runner) writeMembers(ctx context.Context, service string, m *memberRecord, list memberList) error {
	value, err := json.Marshal(list)
	if err != nil {
		return fmt.Errorf("encode members: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := membersPrefix + service
	revision, err := r.options.Store.Txn(ctx, platform.Txn{
		Compares: []platform.Compare{{Key: key, ModRevision: m.revision}}, Puts: []platform.Put{{Key: key, Value: value}},
	})
	if err != nil {
		// The list may have changed, also if there was no answer.
		m.readAt = time.Time{}
		if errors.Is(err, platform.ErrConflict) {
			err = fmt.Errorf("another host has changed them: %w", ErrNotReady)
		}
		return fmt.Errorf("record members: %w", err)
	}
	r.options.Log.Info("members of a service recorded", zap.String(logging.FieldDecision, "record_members"),
		zap.String("service", service), zap.Any("before", m.stored), zap.Any("members", list))
	m.stored, m.revision, m.remembered, m.readAt = list, revision, nil, r.now()
	return nil
}

// maintainMembers keeps the stored list of a service's members: it adds servers that are
// registered, and retires members that are gone once others hold their commits.
func (r *Runner) maintainMembers(ctx context.Context, service string, state *serviceState, snapshot *catalog.Snapshot) {
	m, now := &state.members, r.now()
	sync := syncReplicas(snapshot, service)
	if sync == 0 || now.Before(m.checkAfter) || r.options.Rank(service) >= maxCoordinators {
		return
	}
	m.checkAfter = now.Add(memberCheckInterval)
	if m.readAt.IsZero() || m.generation != r.options.Store.Generation() {
		if err := r.loadMembers(ctx, service, m); err != nil {
			r.logMembersFailure(service, err)
			return
		}
	}
	group := snapshot.Groups[service]
	isPrimaryKnown := slices.ContainsFunc(group, func(s *catalog.Server) bool { return s.Role == catalog.Primary && s.Lapsed.IsZero() })
	if !m.exists() && !isPrimaryKnown {
		// The list would lack the leader of the newest term.
		return
	}
	// Another host may make the same change first.
	turn := time.Duration(r.options.Rank(service))*turnInterval + r.turnDelay()
	var err error
	switch {
	case !slices.Equal(m.with(group), m.stored):
		if m.adding.isDue(now, turn) {
			err = r.addMembers(ctx, service, m, group)
		}
	case len(m.stored.missingFrom(snapshot)) > 0:
		m.adding = backoff{}
		if m.retiring.isDue(now, turn) {
			err = r.retireMembers(ctx, service, state, snapshot, sync)
		}
	default:
		m.adding, m.retiring = backoff{}, backoff{}
	}
	if err != nil {
		r.logMembersFailure(service, err)
	}
}

func (r *Runner) logMembersFailure(service string, err error) {
	r.options.Log.Warn("could not maintain the members of a service", zap.String(logging.FieldStep, "members"),
		zap.String("service", service), zap.Error(err))
}

// addMembers adds the registered servers to the stored list.
func (r *Runner) addMembers(ctx context.Context, service string, m *memberRecord, group []*catalog.Server) error {
	if err := r.loadMembers(ctx, service, m); err != nil {
		return err
	}
	list := m.with(group)
	if slices.Equal(list, m.stored) {
		return nil
	}
	return r.writeMembers(ctx, service, m, list)
}

// retireMembers retires the members that are gone.
func (r *Runner) retireMembers(ctx context.Context, service string, state *serviceState, snapshot *catalog.Snapshot, sync int) error {
	m := &state.members
	if err := r.loadMembers(ctx, service, m); err != nil {
		return err
	}
	gone, err := r.goneMembers(ctx, service, state, snapshot, sync)
	if err != nil || len(gone) == 0 {
		return err
	}
	return r.writeMembers(ctx, service, m, m.stored.retire(gone))
}

// goneMembers returns the members that are not registered, do not answer, and whose commits
// the leader and enough other members hold. The leader is asked before the replicas are
// asked again, so that these have what it had.
func (r *Runner) goneMembers(ctx context.Context, service string, state *serviceState, snapshot *catalog.Snapshot, sync int) (memberList, error) {
	m := &state.members
	missing := m.stored.missingFrom(snapshot)
	if len(missing) == 0 {
		return nil, nil
	}
	terms, _, err := r.readHistory(ctx, service)
	if err != nil {
		return nil, fmt.Errorf("read term history: %w", err)
	}
	active := slices.DeleteFunc(slices.Clone(m.stored), func(m Member) bool { return m.Retired })
	first := r.queryCandidates(ctx, active.servers(service, snapshot, nil), r.options.Inspector.Status)
	newest := max(terms.begun().Epoch, r.options.LeaderEpoch(service), r.options.Terms.Closed(service)+1)
	leader := leaderReport(first, newest)
	if leader == nil {
		return nil, nil
	}
	second := r.queryCandidates(ctx, active.servers(service, snapshot, nil), r.options.Inspector.Status)
	if haveLog(second, leader, terms.History) < sync {
		return nil, nil
	}
	return missing.silent(first).silent(second), nil
}

// currentMembers returns the members of a service for a promotion, the registered servers
// included, and whether they come from the stored list.
func (r *Runner) currentMembers(ctx context.Context, service string, state *serviceState, snapshot *catalog.Snapshot) (list memberList, recorded bool, err error) {
	m := &state.members
	if r.now().Sub(m.readAt) >= maxMembersAge || m.generation != r.options.Store.Generation() {
		if err := r.loadMembers(ctx, service, m); err != nil {
			return nil, false, err
		}
	}
	return m.with(snapshot.Groups[service]), m.exists(), nil
}

// recordMembers makes sure before the order of a promotion that the stored list has every
// member, and the next leader as one that is not retired.
func (r *Runner) recordMembers(ctx context.Context, service string, state *serviceState, snapshot *catalog.Snapshot, target *Candidate) error {
	list, _, err := r.currentMembers(ctx, service, state, snapshot)
	if err != nil {
		return err
	}
	list = list.activate(memberOf(target.Server))
	if slices.Equal(list, state.members.stored) {
		return nil
	}
	return r.writeMembers(ctx, service, &state.members, list)
}
