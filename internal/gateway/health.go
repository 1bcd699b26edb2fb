package gateway

import (
	"sync"
	"time"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/reachability"
	"github.com/bramleylever/bramleylever/position"
)

const (
	// initialServiceTime is the assumed service time of an instance that has not
	// answered yet.
	initialServiceTime = 20 * time.Millisecond
	// smoothing is the weight of a new value in an exponential moving average.
	smoothing = 0.1
	// minBackoff and maxBackoff bound the backoff of an instance after connection
	// failures.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 1600 * time.Millisecond
	// notLeaderPause is how long an instance that answered that it is not the leader
	// gets no leader-only work, unless its registered role changes.
	notLeaderPause = 400 * time.Millisecond
	// lagDecay is the factor applied to a replica's estimated lag for every read
	// that it serves.
	lagDecay = 0.97
	maxLag   = 10 * time.Second
)

// instanceHealth is what this host has learned about an instance from its answers
// and failures.
type instanceHealth struct {
	serviceTime time.Duration
	backoff     time.Duration
	avoidUntil  time.Time
	// failingSince is the time of the first failure since the last answer, or zero.
	failingSince time.Time
	lastAnswer   time.Time
	// failedOwners are the connection owners of the instance that could not be reached,
	// or could not reach it, since it last answered.
	failedOwners map[string]bool
	// notLeaderAt is when the instance last answered that it is not the leader, and
	// notLeaderRevision is the revision of its registered role at that time.
	notLeaderAt       time.Time
	notLeaderRevision int64
	applied           position.Position
	lag               time.Duration
}

// leader is the instance that last proved to be the leader of a service.
type leader struct {
	id   string
	term position.Term
	at   time.Time
}

// health tracks the health of instances and the current leader of each service.
type health struct {
	reachability *reachability.Tracker
	domains      *reachability.Domains
	mu           sync.Mutex
	instances    map[string]*instanceHealth
	leaders      map[string]leader
	// epochs holds the newest term of each service that an instance proved to lead.
	epochs map[string]uint64
}

func newHealth(tracker *reachability.Tracker, domains *reachability.Domains) *health {
	return &health{reachability: tracker, domains: domains, instances: map[string]*instanceHealth{}, leaders: map[string]leader{}, epochs: map[string]uint64{}}
}

func (h *health) get(server *catalog.Server) *instanceHealth {
	in := h.instances[server.ID]
	if in == nil {
		in = &instanceHealth{serviceTime: initialServiceTime}
		h.instances[server.ID] = in
	}
	return in
}

// recordAnswer records an answer, its response time and the instance's position.
func (h *health) recordAnswer(server *catalog.Server, took time.Duration, p position.Position, now time.Time) {
	h.reachability.Reached(server.Domain)
	h.domains.Reached(server.Domain)
	h.mu.Lock()
	defer h.mu.Unlock()
	in := h.get(server)
	in.serviceTime += time.Duration(smoothing * float64(took-in.serviceTime))
	in.backoff = 0
	in.avoidUntil = time.Time{}
	in.failingSince = time.Time{}
	in.lastAnswer = now
	in.failedOwners = nil
	if in.applied.Compare(p) < 0 {
		in.applied = p
	}
}

// recordFailure records a connection that broke, was refused or timed out.
func (h *health) recordFailure(server *catalog.Server, now time.Time) {
	h.reachability.Failed(server.Domain)
	h.mu.Lock()
	defer h.mu.Unlock()
	in := h.get(server)
	if in.failingSince.IsZero() {
		in.failingSince = now
	}
	if now.Before(in.avoidUntil) {
		return
	}
	in.backoff = min(maxBackoff, max(minBackoff, 2*in.backoff))
	in.avoidUntil = now.Add(in.backoff)
}

// maxFailedOwners is the number of connection owners that must have failed for an
// instance to count as failed.
const maxFailedOwners = 3

// recordOwnerFailure records that a connection owner of an instance could not be
// reached or could not reach it. It counts as a failure of the instance only once
// maxFailedOwners owners have failed, or if nothing in the instance's failure domain answers.
func (h *health) recordOwnerFailure(server *catalog.Server, owner string, now time.Time) {
	h.reachability.Failed(server.Domain)
	h.mu.Lock()
	in := h.get(server)
	if in.failedOwners == nil {
		in.failedOwners = map[string]bool{}
	}
	in.failedOwners[owner] = true
	failed := len(in.failedOwners) >= maxFailedOwners || h.domains.Silent(server.Domain)
	h.mu.Unlock()
	if failed {
		h.recordFailure(server, now)
	}
}

// recordLag records that a replica had not applied a required position that was
// learned the given time ago.
func (h *health) recordLag(server *catalog.Server, age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	in := h.get(server)
	in.lag = min(maxLag, max(in.lag, age*5/4))
}

// recordCaughtUp records that a replica had applied a required position of the
// given age.
func (h *health) recordCaughtUp(server *catalog.Server, age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	in := h.get(server)
	in.lag = min(time.Duration(float64(in.lag)*lagDecay), max(age, in.lag/2))
}

// recordLeader records an answer that only the leader can give.
func (h *health) recordLeader(server *catalog.Server, term position.Term, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.get(server).notLeaderAt = time.Time{}
	h.epochs[server.Service] = max(h.epochs[server.Service], term.Epoch)
	if old := h.leaders[server.Service]; term.Less(old.term) {
		return
	}
	h.leaders[server.Service] = leader{id: server.ID, term: term, at: now}
}

// newestEpoch returns the newest term of a service that an instance proved to lead.
func (h *health) newestEpoch(service string) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.epochs[service]
}

// recordNotLeader records that an instance answered that it is not the leader.
func (h *health) recordNotLeader(server *catalog.Server, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	in := h.get(server)
	in.notLeaderAt, in.notLeaderRevision = now, server.RoleRevision
	if h.leaders[server.Service].id == server.ID {
		delete(h.leaders, server.Service)
	}
}

// mayBeLeader reports whether leader-only work may be sent to the instance.
func (in *instanceHealth) mayBeLeader(server *catalog.Server, now time.Time) bool {
	if in.notLeaderAt.IsZero() || in.notLeaderRevision != server.RoleRevision {
		return true
	}
	return now.Sub(in.notLeaderAt) >= notLeaderPause
}

// primaryFailureTime is how long a primary must have failed before leader-only work
// is tried at other instances.
const primaryFailureTime = time.Second

// primaryFailed reports whether an instance that is registered as primary answered
// that it is not the leader, or has failed for at least primaryFailureTime.
func (in *instanceHealth) primaryFailed(now time.Time) bool {
	failing := !in.failingSince.IsZero() && now.Sub(in.failingSince) >= primaryFailureTime
	return failing || !in.notLeaderAt.IsZero()
}
