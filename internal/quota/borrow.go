package quota

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/hosts"
	"github.com/bramleylever/bramleylever/internal/peer"
)

const (
	// maxLenders bounds the hosts that are asked for a token for one operation.
	maxLenders = 3
	// borrowTimeout bounds one call to another host.
	borrowTimeout = 40 * time.Millisecond
	// lenderBackoff is how long a host that did not answer, or that has no allocation
	// of the limit, is not asked again.
	lenderBackoff = 500 * time.Millisecond
)

// Lender borrows tokens from other hosts.
type Lender interface {
	// Borrow takes one token of an account from a host for an operation of a class. If the host has none, wait
	// is how long it takes until it has one.
	Borrow(ctx context.Context, host hosts.Host, account string, class catalog.Class) (granted bool, wait time.Duration, err error)
}

// PeerLender implements Lender by gRPC calls to the other hosts.
type PeerLender struct{ Peers *peer.Pool }

// Borrow implements Lender.
func (p PeerLender) Borrow(ctx context.Context, host hosts.Host, account string, class catalog.Class) (bool, time.Duration, error) {
	conn, err := p.Peers.Conn(host.Address)
	if err != nil {
		return false, 0, err
	}
	reply, err := peerv1.NewQuotaClient(conn).Borrow(ctx, &peerv1.BorrowTokenRequest{Account: account, Class: uint32(class)})
	if err != nil {
		return false, 0, err
	}
	return reply.GetGranted(), time.Duration(reply.GetWaitMs()) * time.Millisecond, nil
}

// Register adds the gRPC service from which other hosts borrow tokens to a server.
func (l *Limiter) Register(s grpc.ServiceRegistrar) {
	peerv1.RegisterQuotaServer(s, quotaService{limiter: l})
}

type quotaService struct {
	peerv1.UnimplementedQuotaServer
	limiter *Limiter
}

// Borrow implements the gRPC service.
func (s quotaService) Borrow(_ context.Context, request *peerv1.BorrowTokenRequest) (*peerv1.BorrowTokenReply, error) {
	granted, wait := s.limiter.lend(request.GetAccount(), catalog.Class(min(request.GetClass(), uint32(catalog.MaxClass))))
	return &peerv1.BorrowTokenReply{Granted: granted, WaitMs: wait.Milliseconds()}, nil
}

// lend takes one of this host's tokens for another host. It lends only for accounts in
// the current configuration.
func (l *Limiter) lend(name string, class catalog.Class) (bool, time.Duration) {
	c := l.options.Accounts()[name]
	if c == nil || !l.mayAllocate(name) {
		return false, lenderBackoff
	}
	large := l.largeFleet()
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(name)
	a.limit, a.hosts, a.equal = l.limit(c), l.allocationHostCount(), large
	now := l.now()
	a.refill(now)
	if large {
		// The borrower has no allocation, so its demand counts on this host.
		a.recordArrival(now)
	}
	if !a.take(class, now) {
		a.refusedSinceWrite = a.refusedSinceWrite || large
		return false, a.returnTime(class, now)
	}
	return true, 0
}

// minLenderWait is the shortest wait reported to a borrower, so that a host
// without tokens is not asked again for every operation.
const minLenderWait = 10 * time.Millisecond

// borrow takes a token from another host that may have one.
func (l *Limiter) borrow(name string, class catalog.Class) bool {
	for _, host := range l.lenders(name, class) {
		ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
		granted, wait, err := l.options.Lender.Borrow(ctx, host, name, class)
		cancel()
		if granted {
			l.borrowed.Inc(1)
			return true
		}
		if err != nil {
			wait = lenderBackoff
		}
		l.mu.Lock()
		l.account(name).emptyUntil[lenderClass{host.Name, class}] = l.now().Add(wait)
		l.mu.Unlock()
	}
	return false
}

// lenders returns the hosts to ask for a token: those that may have one, the ones
// with the largest allocations first.
func (l *Limiter) lenders(name string, class catalog.Class) []hosts.Host {
	candidates := l.allocationHosts(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(name)
	now := l.now()
	var out []hosts.Host
	for _, h := range candidates {
		if h.Name != l.options.Host && h.Address != "" && !now.Before(a.emptyUntil[lenderClass{h.Name, class}]) {
			out = append(out, h)
		}
	}
	slices.SortStableFunc(out, func(x, y hosts.Host) int {
		return cmp.Compare(a.allocations[y.Name].Fraction, a.allocations[x.Name].Fraction)
	})
	return out[:min(maxLenders, len(out))]
}

// allocationsPerAccount is the number of hosts with an allocation of an account's limit
// in a large fleet. In a small fleet every host has one, sized by its demand. In a
// large fleet these few have equal allocations and the other hosts borrow a token for
// each operation: an allocation of a host that rarely serves the account would mostly
// be idle, and its demand would change too often.
const allocationsPerAccount = 3

// fleetViewTTL is how long the list of hosts and the ranking are cached. Ranking 73
// hosts for each of 79 accounts on every tick took 3% of a core.
const fleetViewTTL = 500 * time.Millisecond

// fleetView caches the registered hosts and which of them have an allocation of each
// account's limit. It is safe for concurrent use.
type fleetView struct {
	mu      sync.Mutex
	takenAt time.Time
	all     []hosts.Host
	// allocationHosts holds, by account, the hosts with an allocation of its limit. It is
	// filled lazily.
	allocationHosts map[string][]hosts.Host
}

// refresh reads the registered hosts again if the cached list is older than
// fleetViewTTL. The caller holds the lock.
func (v *fleetView) refresh(registered func() []hosts.Host, now time.Time) {
	if v.all != nil && now.Sub(v.takenAt) < fleetViewTTL {
		return
	}
	all := registered()
	slices.SortFunc(all, func(a, b hosts.Host) int { return cmp.Compare(a.Name, b.Name) })
	v.takenAt = now
	if v.all == nil || !slices.Equal(all, v.all) {
		v.all, v.allocationHosts = all, map[string][]hosts.Host{}
	}
}

// largeFleet reports whether only allocationsPerAccount hosts have an allocation of each
// account's limit.
func (l *Limiter) largeFleet() bool {
	v := &l.fleet
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refresh(l.options.Hosts, l.now())
	return len(v.all) > hosts.MaxSmallFleet
}

// allocationHosts returns the hosts with an allocation of an account's limit, ranked by
// rendezvous hashing in a large fleet. The caller must not modify the result.
func (l *Limiter) allocationHosts(name string) []hosts.Host {
	v := &l.fleet
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refresh(l.options.Hosts, l.now())
	if len(v.all) <= hosts.MaxSmallFleet {
		return v.all
	}
	chosen, ok := v.allocationHosts[name]
	if !ok {
		ranked := slices.Clone(v.all)
		hosts.Rank(ranked, name)
		chosen = slices.Clone(ranked[:allocationsPerAccount])
		v.allocationHosts[name] = chosen
	}
	return chosen
}

// allocatesEqually reports whether this host is one of the allocationsPerAccount hosts of a
// large fleet with equal allocations of an account's limit.
func (l *Limiter) allocatesEqually(name string) bool { return l.largeFleet() && l.mayAllocate(name) }

// mayAllocate reports whether this host may have an allocation of an account's limit.
func (l *Limiter) mayAllocate(name string) bool {
	for _, h := range l.allocationHosts(name) {
		if h.Name == l.options.Host {
			return true
		}
	}
	return false
}

// unknownHostCount stands for the number of hosts as long as it is not known. Divided by it,
// nothing is left of what every host may use without an allocation.
const unknownHostCount = 1 << 20

// allocationHostCount returns the number of hosts that may have an allocation of a limit. In
// a small fleet it includes hosts that disappeared recently and may still be running, and
// for a while those whose allocations this host has found at its start: they may have
// started with it and not be registered yet.
func (l *Limiter) allocationHostCount() int {
	switch {
	case !l.options.HostsKnown():
		return unknownHostCount
	case l.largeFleet():
		return allocationsPerAccount
	case l.now().Before(l.restoredHostsUntil):
		return max(l.options.HostCount(), l.restoredHosts)
	}
	return l.options.HostCount()
}
