package catalog

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/hosts"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/peer"
	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/internal/recovery"
	"github.com/bramleylever/bramleylever/revision"
)

const (
	// fetchTimeout bounds a fetch of changes from another host.
	fetchTimeout = 2 * time.Second
	// announceTimeout bounds an announcement, and maxAnnouncements the concurrent ones.
	announceTimeout  = 300 * time.Millisecond
	maxAnnouncements = 8
)

// Exchange passes changes of the catalog on between hosts.
type Exchange struct {
	follower *Follower
	self     hosts.Host
	all      func() []hosts.Host
	peers    *peer.Pool
	log      *zap.Logger

	mu sync.Mutex
	// fetching says for each part whether a fetch is running.
	fetching [partCount]bool
}

// NewExchange returns the exchange of a host with the other registered hosts.
func NewExchange(f *Follower, self hosts.Host, all func() []hosts.Host, peers *peer.Pool, log *zap.Logger) *Exchange {
	return &Exchange{follower: f, self: self, all: all, peers: peers, log: log}
}

// Register adds the gRPC service for other hosts to a server.
func (e *Exchange) Register(s grpc.ServiceRegistrar) {
	peerv1.RegisterCatalogServer(s, exchangeService{exchange: e})
}

// Confirmations tells how far this host knows the catalog. It is empty if each host
// follows the store.
func (e *Exchange) Confirmations() []*peerv1.CatalogConfirmation {
	if !e.follower.relayed() {
		return nil
	}
	var out []*peerv1.CatalogConfirmation
	for p := range partCount {
		c := e.follower.Confirmation(p)
		if c.Revision == 0 || c.StoreAge < 0 || c.StoreAge > maxPeerSilence {
			continue
		}
		const roundUp = time.Millisecond - 1
		generation, number := platform.SplitRevision(c.Revision)
		out = append(out, &peerv1.CatalogConfirmation{
			Part: partToProto(p), Revision: number, Generation: int64(generation),
			StoreAgeMs: uint32((c.StoreAge + roundUp) / time.Millisecond),
		})
	}
	return out
}

// Confirm records how far another host knows the catalog, as it answered to a request
// that was sent at the given time, and fetches what this host lacks.
func (e *Exchange) Confirm(ctx context.Context, h hosts.Host, sent time.Time, confirmations []*peerv1.CatalogConfirmation) {
	if !e.follower.relayed() {
		return
	}
	for _, c := range confirmations {
		p, ok := partFromProto(c.GetPart())
		if !ok {
			continue
		}
		confirmation := revision.Confirmation{
			Revision: e.follower.peerRevision(c.GetGeneration(), c.GetRevision()),
			StoreAge: time.Duration(c.GetStoreAgeMs()) * time.Millisecond,
		}
		if e.follower.ConfirmByPeer(p, sent, confirmation) {
			e.fetch(ctx, h, p)
		}
	}
}

// fetch fetches the changes of a part that this host lacks, unless another fetch of
// that part is running.
func (e *Exchange) fetch(ctx context.Context, h hosts.Host, p Part) {
	e.mu.Lock()
	busy := e.fetching[p]
	e.fetching[p] = true
	e.mu.Unlock()
	if busy {
		return
	}
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.fetching[p] = false
	}()
	conn, err := e.peers.Conn(h.Address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	generation, number := platform.SplitRevision(e.follower.Confirmation(p).Revision)
	request := &peerv1.FetchCatalogRequest{Part: partToProto(p), After: number, Generation: int64(generation)}
	reply, err := peerv1.NewCatalogClient(conn).FetchCatalog(ctx, request)
	if err != nil {
		e.log.Info("could not fetch catalog changes", zap.String(logging.FieldStep, "fetch catalog"),
			zap.String(logging.FieldPeer, h.Name), zap.Error(err))
		return
	}
	e.follower.Apply(p, e.follower.updateFromProto(reply))
}

// Run announces new changes to the hosts of the same failure domain while this host
// follows the store for them.
func (e *Exchange) Run(ctx context.Context) {
	announced := e.follower.Revisions()
	for {
		changed := e.follower.Changed()
		if now := e.follower.Revisions(); now != announced {
			announced = now
			if e.follower.Watches() {
				e.announce(ctx, now)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// announce tells the other hosts of the failure domain the newest revisions.
func (e *Exchange) announce(ctx context.Context, revisions Revisions) {
	request := &peerv1.AnnounceCatalogRequest{
		Host: e.self.Name, Revisions: revisionsToProto(revisions),
	}
	slots := make(chan struct{}, maxAnnouncements)
	var group sync.WaitGroup
	for _, h := range e.all() {
		if h.Domain != e.self.Domain || h.Name == e.self.Name {
			continue
		}
		conn, err := e.peers.Conn(h.Address)
		if err != nil {
			continue
		}
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			defer recovery.Contain("announce catalog", nil)
			ctx, cancel := context.WithTimeout(ctx, announceTimeout)
			defer cancel()
			// A host that misses it learns of the change from a heartbeat.
			_, _ = peerv1.NewCatalogClient(conn).AnnounceCatalog(ctx, request)
		})
	}
	group.Wait()
}

// exchangeService implements the gRPC service on an Exchange.
type exchangeService struct {
	peerv1.UnimplementedCatalogServer
	exchange *Exchange
}

// FetchCatalog implements the gRPC service.
func (s exchangeService) FetchCatalog(_ context.Context, request *peerv1.FetchCatalogRequest) (*peerv1.FetchCatalogReply, error) {
	p, ok := partFromProto(request.GetPart())
	if !ok {
		return nil, status.Errorf(codes.InvalidArgument, "part: %d is not known", request.GetPart())
	}
	f := s.exchange.follower
	return updateToProto(f.Since(p, f.peerRevision(request.GetGeneration(), request.GetAfter()))), nil
}

// AnnounceCatalog implements the gRPC service.
func (s exchangeService) AnnounceCatalog(_ context.Context, request *peerv1.AnnounceCatalogRequest) (*peerv1.AnnounceCatalogReply, error) {
	e := s.exchange
	if !e.follower.relayed() {
		return &peerv1.AnnounceCatalogReply{}, nil
	}
	for _, h := range e.all() {
		if h.Name != request.GetHost() {
			continue
		}
		known, announced := e.follower.Revisions(), e.follower.revisionsFromProto(request.GetRevisions())
		if announced.Operator > known.Operator {
			recovery.Go("fetch catalog", func() { e.fetch(context.Background(), h, OperatorPart) })
		}
		if announced.Servers > known.Servers {
			recovery.Go("fetch catalog", func() { e.fetch(context.Background(), h, ServersPart) })
		}
	}
	return &peerv1.AnnounceCatalogReply{}, nil
}
