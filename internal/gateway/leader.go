package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/position"
)

const (
	// proofTimeout bounds the wait for the proof that an instance leads a term.
	proofTimeout = 150 * time.Millisecond
	// maxLeaseGap is how long a statement waits for the host's right to use leaders
	// before it is refused.
	maxLeaseGap = 200 * time.Millisecond
)

// errLeaderUnusable means that this host may not use the leader of a service now.
var errLeaderUnusable = fmt.Errorf("the leader may not be used now: %w", outcome.ErrNotRun)

// mayUse reports whether this host may use an instance as the leader of its service.
func (g *Gateway) mayUse(server *catalog.Server) bool {
	return g.options.Terms.Lost() == 0 && !g.ended(server)
}

// ended reports whether the instance is not known to lead a term that is still open.
// Until a term of the service is closed, every instance counts as one that may lead.
func (g *Gateway) ended(server *catalog.Server) bool {
	closed := g.options.Terms.Closed(server.Service)
	if closed == 0 {
		return false
	}
	g.health.mu.Lock()
	defer g.health.mu.Unlock()
	known := g.health.leaders[server.Service]
	return known.id != server.ID || known.term.Epoch <= closed
}

// chooseLeader returns the instance to which leader-only work may be sent now, or nil
// if there is none. If the term of the leader that was used last is closed, it asks
// the instances for the leader of a newer term.
func (g *Gateway) chooseLeader(snapshot *catalog.Snapshot, service string, tried map[string]bool, now time.Time) *catalog.Server {
	if g.options.Terms.Lost() > 0 {
		return nil
	}
	g.adoptLeader(snapshot, service)
	for range snapshot.Groups[service] {
		server := g.likelyLeader(snapshot, service, tried, now)
		if server == nil || !g.ended(server) {
			return server
		}
		if g.proveLeader(server) == nil {
			return server
		}
	}
	return nil
}

// LeaderEpoch returns the newest term of a service's leader that this host knows; 0 if
// it knows none.
func (g *Gateway) LeaderEpoch(service string) uint64 {
	_, shared := g.options.Terms.Leader(service)
	return max(shared, g.health.newestEpoch(service))
}

// FindLeader looks for the leader of an open term of a service. It reports whether
// there is one, or whether this host may not ask.
func (g *Gateway) FindLeader(service string) bool {
	if g.options.Terms.Lost() > 0 {
		return true
	}
	return g.chooseLeader(g.options.Catalog(), service, nil, g.now()) != nil
}

// Demote asks an instance to become a replica if it leads a term below the given one.
func (g *Gateway) Demote(ctx context.Context, id string, epoch uint64) error {
	server := g.options.Catalog().Servers[id]
	if server == nil {
		return fmt.Errorf("demote: instance %s is not known: %w", id, outcome.ErrNotRun)
	}
	_, err := g.Inspector().Demote(ctx, server, epoch)
	return err
}

// adoptLeader takes over what another host has found out about the leader of a service
// whose term was closed.
func (g *Gateway) adoptLeader(snapshot *catalog.Snapshot, service string) {
	closed := g.options.Terms.Closed(service)
	if closed == 0 {
		return
	}
	id, epoch := g.options.Terms.Leader(service)
	server := snapshot.Servers[id]
	if epoch <= closed || server == nil || epoch <= g.health.newestEpoch(service) {
		return
	}
	g.health.recordLeader(server, position.Term{Epoch: epoch}, g.now())
}

// proveLeader asks an instance whether it leads a term that is not closed. Concurrent
// calls share one request.
func (g *Gateway) proveLeader(server *catalog.Server) error {
	_, err := g.leaderProofs.Do(server.ID, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), proofTimeout)
		defer cancel()
		report, err := g.Inspector().Status(ctx, server)
		closed := g.options.Terms.Closed(server.Service)
		if err == nil && (!report.Primary || report.Epoch <= closed) {
			err = errors.New("it leads no open term")
		}
		if err != nil {
			g.health.recordNotLeader(server, g.now())
			return nil, outcome.Wrap("prove leader", server.ID, err)
		}
		g.health.recordLeader(server, position.Term{Epoch: report.Epoch}, g.now())
		g.options.Terms.AddLeader(server.Service, server.ID, report.Epoch)
		g.log.Info("leader of a new term found", zap.String(logging.FieldDecision, "use_leader"),
			zap.String("service", server.Service), zap.String(logging.FieldInstance, server.ID),
			zap.Uint64(logging.FieldTerm, report.Epoch))
		return nil, nil
	})
	return err
}
