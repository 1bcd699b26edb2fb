package failover

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/position"
)

// fakeEntry is one write in a log.
type fakeEntry struct {
	term position.Term
	id   int
}

// fakeInstance implements the term rules of an instance in memory.
type fakeInstance struct {
	name    string
	role    backend.Role
	term    position.Term
	log     []fakeEntry
	history position.History
	follows string
	down    bool
	frozen  bool
	// quiescedUntil is the time until which the instance refuses new writes.
	quiescedUntil time.Time
	// busy makes a quiesce fail, as open transactions do.
	busy bool
}

// fakeGroup is a database group in memory. It records every promotion and acknowledged
// write, and collects violations of the failover invariants.
type fakeGroup struct {
	mu        sync.Mutex
	instances []*fakeInstance
	// partitioned holds pairs that cannot reach each other, in both orders. Each side is
	// the name of an instance or of a failure domain of proxies.
	partitioned map[[2]string]bool
	clock       func() time.Time
	primaries   map[position.Term]string
	// logs holds, per term, the writes that the primary had when it was promoted.
	logs       map[position.Term]map[int]bool
	acked      map[int]position.Term
	nextID     int
	violations []string

	// The fields below disable a safeguard each, to check that the tests detect its
	// absence.
	ackWithoutMajority bool
	acceptLowerTerms   bool
}

func newFakeGroup(names ...string) *fakeGroup {
	g := &fakeGroup{
		partitioned: map[[2]string]bool{},
		clock:       time.Now,
		primaries:   map[position.Term]string{},
		logs:        map[position.Term]map[int]bool{},
		acked:       map[int]position.Term{},
	}
	for _, name := range names {
		g.instances = append(g.instances, &fakeInstance{name: name, role: backend.RoleReplica})
	}
	return g
}

func (g *fakeGroup) get(name string) *fakeInstance {
	for _, in := range g.instances {
		if in.name == name {
			return in
		}
	}
	return nil
}

func (g *fakeGroup) partition(a, b string) {
	g.partitioned[[2]string{a, b}] = true
	g.partitioned[[2]string{b, a}] = true
}

func (g *fakeGroup) reaches(from string, in *fakeInstance) bool {
	return !in.down && !in.frozen && !g.partitioned[[2]string{from, in.name}]
}

func (in *fakeInstance) lastLogTerm() position.Term {
	if len(in.log) == 0 {
		return position.Term{}
	}
	return in.log[len(in.log)-1].term
}

func (in *fakeInstance) status() backend.Status {
	return backend.Status{
		Instance:    in.name,
		Role:        in.role,
		Term:        in.term,
		LastLogTerm: in.lastLogTerm(),
		Received:    position.LSN(len(in.log)),
		Applied:     position.LSN(len(in.log)),
		History:     slices.Clone(in.history),
	}
}

// run executes a control statement at an instance.
func (g *fakeGroup) run(c Call) (backend.Status, error) {
	in := g.get(c.Instance)
	switch c.Kind {
	case CallRaise:
		return g.raise(in, c.Term)
	case CallPromote:
		return g.promote(in, c.Term)
	case CallFollow:
		return g.follow(in, c.Term, c.Primary)
	case CallQuiesce:
		if in.busy {
			return backend.Status{}, fmt.Errorf("open transactions: %w", outcome.ErrNotRun)
		}
		in.quiescedUntil = g.clock().Add(c.Limit)
	}
	return in.status(), nil
}

func (g *fakeGroup) raise(in *fakeInstance, t position.Term) (backend.Status, error) {
	if t.Less(in.term) && !g.acceptLowerTerms {
		return backend.Status{}, outcome.ErrStaleTerm
	}
	if in.term.Less(t) || g.acceptLowerTerms && t != in.term {
		in.term = t
		in.follows = ""
		in.quiescedUntil = time.Time{}
		if in.role == backend.RolePrimary {
			in.role = backend.RoleFenced
		}
	}
	return in.status(), nil
}

func (g *fakeGroup) promote(in *fakeInstance, t position.Term) (backend.Status, error) {
	if in.term != t && !g.acceptLowerTerms {
		return backend.Status{}, outcome.ErrStaleTerm
	}
	if in.role == backend.RolePrimary && in.term == t {
		return in.status(), nil
	}
	in.role = backend.RolePrimary
	in.follows = ""
	in.history = in.history.Append(t, position.LSN(len(in.log)))
	if other, ok := g.primaries[t]; ok && other != in.name {
		g.violations = append(g.violations, fmt.Sprintf("term %s has the primaries %s and %s", t, other, in.name))
	}
	g.primaries[t] = in.name
	g.logs[t] = map[int]bool{}
	for _, e := range in.log {
		g.logs[t][e.id] = true
	}
	for id, acked := range g.acked {
		g.checkAcked(id, acked, t)
	}
	return in.status(), nil
}

// checkAcked records a violation if the primary of a later term lacks a write that was
// acknowledged in an earlier one.
func (g *fakeGroup) checkAcked(id int, acked, t position.Term) {
	if acked.Less(t) && !g.logs[t][id] {
		g.violations = append(g.violations, fmt.Sprintf("write %d, acknowledged in term %s, is missing from %s in term %s",
			id, acked, g.primaries[t], t))
	}
}

func (g *fakeGroup) follow(in *fakeInstance, t position.Term, primary string) (backend.Status, error) {
	if t.Less(in.term) {
		return backend.Status{}, outcome.ErrStaleTerm
	}
	in.term = t
	in.role = backend.RoleReplica
	in.follows = primary
	return in.status(), nil
}

// replicate copies the log of the primary that a replica follows. Entries of the replica
// after the first difference are discarded.
func (g *fakeGroup) replicate(in *fakeInstance) {
	p := g.get(in.follows)
	if p == nil || in.down || in.frozen || !g.reaches(in.name, p) || p.role != backend.RolePrimary || p.term != in.term {
		return
	}
	common := 0
	for common < len(in.log) && common < len(p.log) && in.log[common] == p.log[common] {
		common++
	}
	in.log = append(slices.Clone(in.log[:common]), p.log[common:]...)
	in.history = slices.Clone(p.history)
}

// write appends a write at an instance that has the primary role, whether or not it is
// superseded.
func (g *fakeGroup) write(in *fakeInstance) {
	if in.down || in.frozen || in.role != backend.RolePrimary || g.clock().Before(in.quiescedUntil) {
		return
	}
	g.nextID++
	in.log = append(in.log, fakeEntry{term: in.term, id: g.nextID})
}

// acknowledge acknowledges the writes of a primary that a majority received in its term.
func (g *fakeGroup) acknowledge(p *fakeInstance) {
	if p.down || p.frozen || p.role != backend.RolePrimary {
		return
	}
	for i, e := range p.log {
		if _, done := g.acked[e.id]; done || e.term != p.term {
			continue
		}
		received := 0
		for _, in := range g.instances {
			linked := in == p || in.follows == p.name && in.term == p.term && g.reaches(p.name, in)
			if linked && len(in.log) > i && in.log[i] == e {
				received++
			}
		}
		if received > len(g.instances)/2 || g.ackWithoutMajority {
			g.acked[e.id] = p.term
			for t := range g.logs {
				g.checkAcked(e.id, p.term, t)
			}
		}
	}
}

// fakeDialer connects to the group from one side of a partition. Addresses are instance
// names.
type fakeDialer struct {
	group *fakeGroup
	side  string
}

type fakeControl struct {
	fakeDialer
	name string
}

// DialControl implements backend.Dialer.
func (d fakeDialer) DialControl(_ context.Context, address string) (backend.Control, error) {
	return &fakeControl{fakeDialer: d, name: address}, nil
}

func (c *fakeControl) do(ctx context.Context, call Call) (backend.Status, error) {
	call.Instance = c.name
	if ctx.Err() != nil {
		return backend.Status{}, fmt.Errorf("%w: %w", outcome.ErrNotRun, ctx.Err())
	}
	c.group.mu.Lock()
	in := c.group.get(c.name)
	if in.down {
		c.group.mu.Unlock()
		return backend.Status{}, outcome.ErrNotRun
	}
	if !c.group.reaches(c.side, in) {
		c.group.mu.Unlock()
		<-ctx.Done()
		return backend.Status{}, fmt.Errorf("%w: %w", outcome.ErrUnknown, ctx.Err())
	}
	defer c.group.mu.Unlock()
	return c.group.run(call)
}

func (c *fakeControl) Status(ctx context.Context) (backend.Status, error) {
	return c.do(ctx, Call{Kind: CallStatus})
}

func (c *fakeControl) RaiseTerm(ctx context.Context, t position.Term) (backend.Status, error) {
	return c.do(ctx, Call{Kind: CallRaise, Term: t})
}

func (c *fakeControl) Promote(ctx context.Context, t position.Term) (backend.Status, error) {
	return c.do(ctx, Call{Kind: CallPromote, Term: t})
}

func (c *fakeControl) Follow(ctx context.Context, t position.Term, primary string) (backend.Status, error) {
	return c.do(ctx, Call{Kind: CallFollow, Term: t, Primary: primary})
}

func (c *fakeControl) Quiesce(ctx context.Context, limit time.Duration) (backend.Status, error) {
	return c.do(ctx, Call{Kind: CallQuiesce, Limit: limit})
}

func (c *fakeControl) Close() error { return nil }
