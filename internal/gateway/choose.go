package gateway

import (
	"time"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/position"
)

const (
	// stalenessMargin is subtracted from a route's staleness limit.
	stalenessMargin = 20 * time.Millisecond
	// A read stays in its failure domain, because bandwidth between domains is scarce, unless
	// it would probably take longer there by more than minSpillGain and by more than the
	// fraction 1/spillDivisor of its objective.
	minSpillGain = 5 * time.Millisecond
	spillDivisor = 10
	// primaryCost is added to the estimated time of a read at the primary, so that
	// reads prefer replicas.
	primaryCost = 5 * time.Millisecond
)

// target is the instance for one attempt of an operation, and what it must prove.
type target struct {
	server *catalog.Server
	// requireLeader makes the instance prove that it is the leader when the
	// statement runs.
	requireLeader bool
	// after is the log position that the instance must have applied; age is how
	// long ago that position was learned.
	after position.Position
	age   time.Duration
	// reason is one of the reason constants.
	reason string
}

// The reasons for choosing an instance, as they appear in logs and metrics.
const (
	reasonWrite        = "write"
	reasonStrongRead   = "strong_read"
	reasonNoSample     = "no_position_sample"
	reasonReplica      = "replica_in_bound"
	reasonPrimaryBound = "primary_in_bound"
)

var reasons = []string{reasonWrite, reasonStrongRead, reasonNoSample, reasonReplica, reasonPrimaryBound}

// likelyLeader returns the instance that probably leads a service, or nil if no
// instance is a candidate at present.
func (g *Gateway) likelyLeader(snapshot *catalog.Snapshot, service string, tried map[string]bool, now time.Time) *catalog.Server {
	group := snapshot.Groups[service]
	g.health.mu.Lock()
	defer g.health.mu.Unlock()
	usable := func(server *catalog.Server) bool {
		in := g.health.get(server)
		return !snapshot.Evacuated[server.Domain] && !server.Drained(now) && !tried[server.ID] &&
			!now.Before(in.avoidUntil) && in.mayBeLeader(server, now)
	}
	if hint, ok := g.health.leaders[service]; ok {
		if server := snapshot.Servers[hint.id]; server != nil && usable(server) {
			return server
		}
	}
	registered := snapshot.Primary(service)
	if registered != nil && usable(registered) {
		return registered
	}
	// The registered primary is not usable as leader. Other instances are tried,
	// because this host's catalog may not show a recent promotion yet.
	for _, server := range group {
		if server != registered && server.Role == catalog.Primary && usable(server) {
			return server
		}
	}
	if registered != nil && !g.health.get(registered).primaryFailed(now) {
		return nil
	}
	for _, server := range group {
		if server != registered && usable(server) {
			return server
		}
	}
	return nil
}

// requiredPosition returns the position that an instance must have applied to serve
// a read of the operation, and how long ago that position was learned. ok is false
// if only a leader can serve the read.
func (g *Gateway) requiredPosition(op *operation, now time.Time) (p position.Position, age time.Duration, ok bool) {
	if op.route.Consistency == catalog.Strong || op.leaderOnly {
		return position.Position{}, 0, false
	}
	sample, ok := op.sample(now)
	if !ok {
		return position.Position{}, 0, false
	}
	// The call to sample may have blocked, so the time is read again.
	now = g.now()
	p, age = sample.Position, now.Sub(sample.At)
	if op.route.Consistency == catalog.ReadYourWrites && op.session.position.Compare(p) > 0 {
		p, age = op.session.position, now.Sub(op.session.positionAt)
	}
	return p, age, true
}

// chooseRead returns the target of a read. Its server is nil if no instance is a
// candidate at present.
func (g *Gateway) chooseRead(snapshot *catalog.Snapshot, op *operation, tried map[string]bool, now time.Time) target {
	after, age, ok := g.requiredPosition(op, now)
	if !ok {
		reason := reasonStrongRead
		if op.route.Consistency != catalog.Strong {
			reason = reasonNoSample
		}
		return target{server: g.chooseLeader(snapshot, op.route.Service, tried, now), requireLeader: true, reason: reason}
	}
	primary := snapshot.Primary(op.route.Service)
	var best, local readCandidate
	for _, server := range snapshot.Groups[op.route.Service] {
		if tried[server.ID] || !snapshot.Usable(server) {
			continue
		}
		cost, usable := g.readCost(server, server == primary, after, age, now)
		if !usable {
			continue
		}
		best.improve(server, cost)
		if server.Domain == g.options.Domain {
			local.improve(server, cost)
		}
	}
	if local.server != nil && local.cost <= best.cost+spillGain(op.route.Objective) {
		best = local
	}
	reason := reasonReplica
	if best.server != nil && best.server == primary {
		reason = reasonPrimaryBound
	}
	return target{server: best.server, after: after, age: age, reason: reason}
}

// readCandidate is an instance that may serve a read, and how long that probably takes.
type readCandidate struct {
	server *catalog.Server
	cost   time.Duration
}

// improve takes an instance that is better than the present one.
func (c *readCandidate) improve(server *catalog.Server, cost time.Duration) {
	if c.server == nil || cost < c.cost {
		c.server, c.cost = server, cost
	}
}

// spillGain returns how much faster a read with an objective must probably be in another
// failure domain to leave its own.
func spillGain(objective time.Duration) time.Duration {
	return max(minSpillGain, objective/spillDivisor)
}

// readCost estimates how long a read takes at an instance. It reports false if the
// instance is in backoff after failures or has probably not applied the position.
func (g *Gateway) readCost(server *catalog.Server, primary bool, after position.Position, age time.Duration, now time.Time) (time.Duration, bool) {
	load := g.options.Conns.Load(server)
	g.health.mu.Lock()
	defer g.health.mu.Unlock()
	in := g.health.get(server)
	if now.Before(in.avoidUntil) {
		return 0, false
	}
	if !primary && in.applied.Compare(after) < 0 && age < in.lag {
		return 0, false
	}
	slots := max(1, server.Slots)
	cost := in.serviceTime + in.serviceTime*time.Duration(load)/time.Duration(slots)
	if primary {
		cost += primaryCost
	}
	return cost, true
}
