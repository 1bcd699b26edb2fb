package promotion

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/hosts"
	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/internal/peer"
)

// In a large fleet most hosts suspect a failed primary at the same time. They tell the few hosts
// that act on the service first, and write to the store only if that leads to nothing.

const (
	// tellInterval is how often a suspicion is repeated, and heardTTL how long it counts
	// without that.
	tellInterval = time.Second
	heardTTL     = 2500 * time.Millisecond
	tellTimeout  = 300 * time.Millisecond
	// recordDelay is how long a suspicion has lasted when it is also written to the store. The
	// hosts that act first may be cut off, or of a build that is not told.
	recordDelay = 1500 * time.Millisecond
)

// Coordinators are the hosts that act on the services of a large fleet first.
type Coordinators interface {
	// Of returns them for a service, this host included if it is one of them. In a small fleet
	// there are none: each host writes its suspicions to the store at once.
	Of(service string) []hosts.Host
	// Suspect tells a host the suspicion of this one.
	Suspect(ctx context.Context, to hosts.Host, service string, s Suspicion) error
}

// noCoordinators is used if there are none.
type noCoordinators struct{}

func (noCoordinators) Of(string) []hosts.Host { return nil }

func (noCoordinators) Suspect(context.Context, hosts.Host, string, Suspicion) error { return nil }

// heardSuspicions are the suspicions that other hosts have told this one. It is safe for
// concurrent use.
type heardSuspicions struct {
	mu sync.Mutex
	// byService holds them by service and host.
	byService map[string]map[string]heardSuspicion
}

type heardSuspicion struct {
	Suspicion
	at time.Time
}

// add takes a suspicion, or the withdrawal of one if it names no instance.
func (h *heardSuspicions) add(service string, s Suspicion, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byService == nil {
		h.byService = map[string]map[string]heardSuspicion{}
	}
	if h.byService[service] == nil {
		h.byService[service] = map[string]heardSuspicion{}
	}
	if s.Server == "" {
		delete(h.byService[service], s.Host)
		return
	}
	h.byService[service][s.Host] = heardSuspicion{s, now}
}

// of returns the suspicions of a service that still count.
func (h *heardSuspicions) of(service string, now time.Time) []Suspicion {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []Suspicion
	for host, s := range h.byService[service] {
		if now.Sub(s.at) > heardTTL {
			delete(h.byService[service], host)
			continue
		}
		list = append(list, s.Suspicion)
	}
	return list
}

// tell passes this host's suspicion, or its end, on to the coordinators.
func (r *Runner) tell(ctx context.Context, service string, state *serviceState, suspected string, coordinators []hosts.Host) {
	now := r.now()
	if suspected == state.toldSuspect && (suspected == "" || now.Sub(state.toldAt) < tellInterval) {
		return
	}
	state.toldSuspect, state.toldAt = suspected, now
	s := Suspicion{Host: r.options.Host, Domain: r.options.Domain, Server: suspected}
	for _, to := range coordinators {
		if to.Name == r.options.Host {
			r.heard.add(service, s, now)
			continue
		}
		r.spawn("tell suspicion", func() {
			ctx, cancel := context.WithTimeout(ctx, tellTimeout)
			defer cancel()
			// A coordinator that is not reached hears the repetition, or reads the store.
			_ = r.options.Coordinators.Suspect(ctx, to, service, s)
		})
	}
}

// recordsLater reports whether a suspicion is not written to the store yet, because the
// coordinators have been told.
func (r *Runner) recordsLater(state *serviceState, suspected string, coordinators []hosts.Host) bool {
	if suspected == "" {
		state.suspectedSince = time.Time{}
		return false
	}
	if state.suspectedSince.IsZero() {
		state.suspectedSince = r.now()
	}
	return len(coordinators) > 0 && state.reportedSuspect == "" && r.now().Sub(state.suspectedSince) < recordDelay
}

// heardQuorum reports whether enough hosts have told this one that they do not reach the
// primary.
func (r *Runner) heardQuorum(service string, primary *catalog.Server) bool {
	if primary == nil {
		return false
	}
	hosts, domains := r.options.Hosts()
	return hasQuorum(r.heard.of(service, r.now()), primary.ID, hosts, domains)
}

// waitsForCoordinators reports whether this host leaves an unreachable primary to what the
// coordinators hear for the time being.
func (r *Runner) waitsForCoordinators(service string, state *serviceState, primary *catalog.Server) bool {
	return len(r.options.Coordinators.Of(service)) > 0 && !r.heardQuorum(service, primary) &&
		r.now().Sub(state.reasonSince) < recordDelay
}

// GRPCCoordinators implements Coordinators by gRPC calls.
type GRPCCoordinators struct {
	Peers *peer.Pool
	// Ranked returns the hosts that are alive in the order in which they act on a service, or
	// nil in a small fleet.
	Ranked func(service string) []hosts.Host
}

// Of implements Coordinators.
func (g GRPCCoordinators) Of(service string) []hosts.Host {
	ranked := g.Ranked(service)
	return ranked[:min(maxCoordinators, len(ranked))]
}

// Suspect implements Coordinators.
func (g GRPCCoordinators) Suspect(ctx context.Context, to hosts.Host, service string, s Suspicion) error {
	conn, err := g.Peers.Conn(to.Address)
	if err != nil {
		return outcome.Wrap("tell suspicion", to.Name, err)
	}
	_, err = peerv1.NewPromotionClient(conn).Suspect(ctx, &peerv1.SuspectRequest{
		Host: s.Host, FailureDomain: s.Domain, Service: service, Instance: s.Server,
	})
	return outcome.Wrap("tell suspicion", to.Name, err)
}

// Register adds the service for other hosts to a server.
func (r *Runner) Register(s grpc.ServiceRegistrar) {
	peerv1.RegisterPromotionServer(s, suspicionService{runner: r})
}

type suspicionService struct {
	peerv1.UnimplementedPromotionServer
	runner *Runner
}

// Suspect implements the gRPC service.
func (s suspicionService) Suspect(_ context.Context, request *peerv1.SuspectRequest) (*peerv1.SuspectReply, error) {
	r := s.runner
	r.heard.add(request.GetService(), Suspicion{
		Host: request.GetHost(), Domain: request.GetFailureDomain(), Server: request.GetInstance(),
	}, r.now())
	return &peerv1.SuspectReply{}, nil
}
