package gateway

import (
	"sync"
	"time"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/reachability"
	"github.com/bramleylever/bramleylever/position"
)

const (
	// initialServiceTime is assumed for an instance without answers.
	initialServiceTime = 20 * time.Millisecond
	// smoothing is the weight of a new value in a moving average.
	smoothing = 0.1
	// minBackoff and maxBackoff bound how long an instance is left alone after
	// its connections failed.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 1600 * time.Millisecond
	// notLeaderPause is how long an instance that refused a write is not asked
	// to lead again, unless its registration changes.
	notLeaderPause = 400 * time.Millisecond
	// lagDecay shrinks the estimated lag with every read that a replica serves.
	lagDecay = 0.97
	maxLag   = 10 * time.Second
)

// instanceHealth is what this host learned about one incarnation of an
// instance from its answers.
type instanceHealth struct {
	serviceTime time.Duration
	backoff     time.Duration
	avoidUntil  time.Time
	// failingSince is the time of the first failure after the last answer.
	failingSince time.Time
	lastAnswer   time.Time
	// unreachedHolder is a host that holds connections to the instance and did
	// not answer since the instance's last answer.
	unreachedHolder string
	// refusedLead is when the instance last answered that it does not lead,
	// and refusedRole the revision of its role at that time.
	refusedLead time.Time
	refusedRole int64
	applied     position.Position
	lag         time.Duration
}

// leader is the instance that last proved to lead a service.
type leader struct {
	id   string
	term position.Term
	at   time.Time
}

// health keeps what answers tell about instances.
type health struct {
	reach     *reachability.Tracker
	mu        sync.Mutex
	instances map[string]*instanceHealth
	leaders   map[string]leader
}

func newHealth(tracker *reachability.Tracker) *health {
	return &health{reach: tracker, instances: map[string]*instanceHealth{}, leaders: map[string]leader{}}
}

func (h *health) get(server *catalog.Server) *instanceHealth {
	in := h.instances[server.ID]
	if in == nil {
		in = &instanceHealth{serviceTime: initialServiceTime}
		h.instances[server.ID] = in
	}
	return in
}

// answered records an answer that took the given time.
func (h *health) answered(server *catalog.Server, took time.Duration, p position.Position, now time.Time) {
	h.reach.Reached(server.Domain)
	h.mu.Lock()
	defer h.mu.Unlock()
	in := h.get(server)
	in.serviceTime += time.Duration(smoothing * float64(took-in.serviceTime))
	in.backoff = 0
	in.avoidUntil = time.Time{}
	in.failingSince = time.Time{}
	in.lastAnswer = now
	in.unreachedHolder = ""
	if in.applied.Compare(p) < 0 {
		in.applied = p
	}
}

// failed records a connection that broke, was refused or stayed silent.
func (h *health) failed(server *catalog.Server, now time.Time) {
	h.reach.Failed(server.Domain)
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

// holderFailed records that a host that holds connections to an instance was
// not reached. It counts as a failure of the instance only if another holder
// was not reached either.
func (h *health) holderFailed(server *catalog.Server, holder string, now time.Time) {
	h.reach.Failed(server.Domain)
	h.mu.Lock()
	in := h.get(server)
	other := in.unreachedHolder != "" && in.unreachedHolder != holder
	in.unreachedHolder = holder
	h.mu.Unlock()
	if other {
		h.failed(server, now)
	}
}

// lagged records that a replica lacked a bound that is known since the given
// time.
func (h *health) lagged(server *catalog.Server, age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	in := h.get(server)
	in.lag = min(maxLag, max(in.lag, age*5/4))
}

// caughtUp records that a replica had a bound of the given age.
func (h *health) caughtUp(server *catalog.Server, age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	in := h.get(server)
	in.lag = min(time.Duration(float64(in.lag)*lagDecay), max(age, in.lag/2))
}

// leads records an answer that only a leader gives.
func (h *health) leads(server *catalog.Server, term position.Term, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.get(server).refusedLead = time.Time{}
	if old := h.leaders[server.Service]; term.Less(old.term) {
		return
	}
	h.leaders[server.Service] = leader{id: server.ID, term: term, at: now}
}

// refusesLead records that an instance answered that it does not lead.
func (h *health) refusesLead(server *catalog.Server, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	in := h.get(server)
	in.refusedLead, in.refusedRole = now, server.RoleRevision
	if h.leaders[server.Service].id == server.ID {
		delete(h.leaders, server.Service)
	}
}

// mayLead reports whether it is worth asking an instance to lead.
func (in *instanceHealth) mayLead(server *catalog.Server, now time.Time) bool {
	if in.refusedLead.IsZero() || in.refusedRole != server.RoleRevision {
		return true
	}
	return now.Sub(in.refusedLead) >= notLeaderPause
}

// unfitTime is how long a primary must have failed before others are asked to
// lead.
const unfitTime = time.Second

// unfit reports whether an instance that is registered as primary refuses to
// lead or has failed for a while.
func (in *instanceHealth) unfit(now time.Time) bool {
	failing := !in.failingSince.IsZero() && now.Sub(in.failingSince) >= unfitTime
	return failing || !in.refusedLead.IsZero()
}
