package gateway

import (
	"time"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/position"
)

const (
	// stalenessMargin is kept from a route's bound on the age of reads.
	stalenessMargin = 20 * time.Millisecond
	// crossDomainCost is what a path to another failure domain counts for in
	// the choice of an instance; bytes between domains are scarce.
	crossDomainCost = 5 * time.Millisecond
	// primaryCost keeps reads that replicas can serve away from the primary.
	primaryCost = 5 * time.Millisecond
)

// target is where an attempt of an operation goes.
type target struct {
	server *catalog.Server
	// lead asks for proof that the instance leads at the time of the read.
	lead bool
	// after is the position that the instance must hold; the age says how long
	// the position has been known.
	after position.Position
	age   time.Duration
	// reason is one of the reason constants.
	reason string
}

// The reasons of a choice, as they stand in logs.
const (
	reasonWrite        = "write"
	reasonStrongRead   = "strong_read"
	reasonNoSample     = "no_position_sample"
	reasonReplica      = "replica_in_bound"
	reasonPrimaryBound = "primary_in_bound"
)

var reasons = []string{reasonWrite, reasonStrongRead, reasonNoSample, reasonReplica, reasonPrimaryBound}

// chooseLeader returns the instance to ask for work that only a leader may
// run, or nil if none is worth asking now.
func (g *Gateway) chooseLeader(snapshot *catalog.Snapshot, service string, tried map[string]bool, now time.Time) *catalog.Server {
	group := snapshot.Groups[service]
	g.health.mu.Lock()
	defer g.health.mu.Unlock()
	usable := func(server *catalog.Server) bool {
		in := g.health.get(server)
		return !snapshot.Evacuated[server.Domain] && !server.Drained(now) && !tried[server.ID] &&
			!now.Before(in.avoidUntil) && in.mayLead(server, now)
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
	// The registered primary does not answer as one. The others are asked,
	// because a promotion may not have been reported to this host.
	for _, server := range group {
		if server != registered && server.Role == catalog.Primary && usable(server) {
			return server
		}
	}
	if registered != nil && !g.health.get(registered).unfit(now) {
		return nil
	}
	for _, server := range group {
		if server != registered && usable(server) {
			return server
		}
	}
	return nil
}

// bound returns the position that a read of the operation must see and since
// when it is known; ok is false if only a leader can serve it.
func (g *Gateway) bound(op *operation, now time.Time) (p position.Position, age time.Duration, ok bool) {
	if op.route.Consistency == catalog.Strong || op.needLeader {
		return position.Position{}, 0, false
	}
	sample, ok := op.sample(now)
	if !ok {
		return position.Position{}, 0, false
	}
	// The operation may have waited for the sample.
	now = g.now()
	p, age = sample.Position, now.Sub(sample.At)
	if op.route.Consistency == catalog.ReadYourWrites && op.session.position.Compare(p) > 0 {
		p, age = op.session.position, now.Sub(op.session.positionAt)
	}
	return p, age, true
}

// chooseRead returns the target of a read, with a nil server if none is worth
// asking now.
func (g *Gateway) chooseRead(snapshot *catalog.Snapshot, op *operation, tried map[string]bool, now time.Time) target {
	after, age, ok := g.bound(op, now)
	if !ok {
		reason := reasonStrongRead
		if op.route.Consistency != catalog.Strong {
			reason = reasonNoSample
		}
		return target{server: g.chooseLeader(snapshot, op.route.Service, tried, now), lead: true, reason: reason}
	}
	primary := snapshot.Primary(op.route.Service)
	var best *catalog.Server
	var bestCost time.Duration
	for _, server := range snapshot.Groups[op.route.Service] {
		if tried[server.ID] || !snapshot.Usable(server) {
			continue
		}
		cost, usable := g.readCost(server, server == primary, after, age, now)
		if !usable {
			continue
		}
		if best == nil || cost < bestCost {
			best, bestCost = server, cost
		}
	}
	reason := reasonReplica
	if best != nil && best == primary {
		reason = reasonPrimaryBound
	}
	return target{server: best, after: after, age: age, reason: reason}
}

// readCost estimates how long a read takes at an instance. It reports false if
// the instance is left alone now or is likely to lack the position.
func (g *Gateway) readCost(server *catalog.Server, primary bool, after position.Position, age time.Duration, now time.Time) (time.Duration, bool) {
	use := g.options.Conns.Load(server)
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
	cost := in.serviceTime + in.serviceTime*time.Duration(use)/time.Duration(slots)
	if server.Domain != g.options.Domain {
		cost += crossDomainCost
	}
	if primary {
		cost += primaryCost
	}
	return cost, true
}
