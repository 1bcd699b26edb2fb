package quota

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/hosts"
	"github.com/bramleylever/bramleylever/internal/peer"
)

const (
	// borrowTries bounds the hosts that are asked for one operation.
	borrowTries = 3
	// borrowTimeout bounds one call.
	borrowTimeout = 40 * time.Millisecond
	// emptyTime is how long a host that did not answer is not asked again.
	emptyTime = 500 * time.Millisecond
)

// Lender asks other hosts for tokens.
type Lender interface {
	// Borrow takes one token of an account from a host. If there is none, wait
	// is when the host has one.
	Borrow(ctx context.Context, host hosts.Host, account string) (granted bool, wait time.Duration, err error)
}

// PeerLender is the Lender over gRPC.
type PeerLender struct{ Peers *peer.Pool }

// Borrow implements Lender.
func (p PeerLender) Borrow(ctx context.Context, host hosts.Host, account string) (bool, time.Duration, error) {
	conn, err := p.Peers.Conn(host.Address)
	if err != nil {
		return false, 0, err
	}
	reply, err := peerv1.NewQuotaClient(conn).Borrow(ctx, &peerv1.BorrowTokenRequest{Account: account})
	if err != nil {
		return false, 0, err
	}
	return reply.GetGranted(), time.Duration(reply.GetWaitMs()) * time.Millisecond, nil
}

// Register lends tokens to other hosts on a gRPC server.
func (l *Limiter) Register(s grpc.ServiceRegistrar) {
	peerv1.RegisterQuotaServer(s, lending{limiter: l})
}

type lending struct {
	peerv1.UnimplementedQuotaServer
	limiter *Limiter
}

// Borrow implements the gRPC service.
func (s lending) Borrow(_ context.Context, request *peerv1.BorrowTokenRequest) (*peerv1.BorrowTokenReply, error) {
	granted, wait := s.limiter.lend(request.GetAccount())
	return &peerv1.BorrowTokenReply{Granted: granted, WaitMs: wait.Milliseconds()}, nil
}

// lend gives one token of this host's part away. Only accounts that the
// configuration in force names have any.
func (l *Limiter) lend(name string) (bool, time.Duration) {
	c := l.options.Accounts()[name]
	if c == nil || !l.holds(name) {
		return false, emptyTime
	}
	large := l.large()
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(name)
	a.limit, a.hosts, a.equal = l.limit(c), l.holderCount(), large
	now := l.now()
	a.refill(now)
	if large {
		// The borrower holds nothing, so its demand is this host's.
		a.count(now)
	}
	if a.level < 1 {
		a.short = a.short || large
		return false, max(minWait, a.wait(now))
	}
	a.level--
	return true, 0
}

// minWait keeps hosts without tokens from being asked for every operation.
const minWait = 10 * time.Millisecond

// borrow takes a token from a host that may have one.
func (l *Limiter) borrow(name string) bool {
	for _, host := range l.lenders(name) {
		ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
		granted, wait, err := l.options.Lender.Borrow(ctx, host, name)
		cancel()
		if granted {
			l.borrowed.Inc(1)
			return true
		}
		if err != nil {
			wait = emptyTime
		}
		l.mu.Lock()
		l.account(name).empty[host.Name] = l.now().Add(wait)
		l.mu.Unlock()
	}
	return false
}

// lenders returns the hosts to ask: those that may have a token, the largest
// holders first.
func (l *Limiter) lenders(name string) []hosts.Host {
	holders := l.holders(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(name)
	now := l.now()
	var out []hosts.Host
	for _, h := range holders {
		if h.Name != l.options.Host && h.Address != "" && !now.Before(a.empty[h.Name]) {
			out = append(out, h)
		}
	}
	slices.SortStableFunc(out, func(x, y hosts.Host) int {
		return cmp.Compare(a.holdings[y.Name].Fraction, a.holdings[x.Name].Fraction)
	})
	return out[:min(borrowTries, len(out))]
}

// In a small fleet all hosts hold parts of each account's limit, sized by their
// demand. In a larger one fewHolders hold equal parts and the others borrow for
// each operation, because the part of a host that meets an account seldom would
// lie idle and its demand would change too often.
const fewHolders = 3

// fleetRefresh is how long a view of the fleet is used. Ranking 73 hosts for each
// of 79 accounts at each look at the holdings took 3% of a core.
const fleetRefresh = 500 * time.Millisecond

// fleetView keeps the registered hosts and who holds which account's limit. It
// may be used concurrently.
type fleetView struct {
	mu    sync.Mutex
	taken time.Time
	all   []hosts.Host
	// holders is the hosts that hold parts of an account's limit; it is filled on
	// demand.
	holders map[string][]hosts.Host
}

// refresh takes a new view if the present one is old. The caller holds the lock.
func (v *fleetView) refresh(peers func() []hosts.Host, now time.Time) {
	if v.all != nil && now.Sub(v.taken) < fleetRefresh {
		return
	}
	all := peers()
	slices.SortFunc(all, func(a, b hosts.Host) int { return cmp.Compare(a.Name, b.Name) })
	v.taken = now
	if v.all == nil || !slices.Equal(all, v.all) {
		v.all, v.holders = all, map[string][]hosts.Host{}
	}
}

// large reports whether few hosts hold each account's limit.
func (l *Limiter) large() bool {
	v := &l.fleet
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refresh(l.options.Peers, l.now())
	return len(v.all) > hosts.MaxSmallFleet
}

// holders returns the hosts that hold parts of an account's limit, by
// rendezvous hashing. The result must not be changed.
func (l *Limiter) holders(name string) []hosts.Host {
	v := &l.fleet
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refresh(l.options.Peers, l.now())
	if len(v.all) <= hosts.MaxSmallFleet {
		return v.all
	}
	held, ok := v.holders[name]
	if !ok {
		ranked := slices.Clone(v.all)
		hosts.Rank(ranked, name)
		held = slices.Clone(ranked[:fewHolders])
		v.holders[name] = held
	}
	return held
}

// holdsEqually reports whether this host is one of the few of a large fleet that
// hold equal parts of an account's limit.
func (l *Limiter) holdsEqually(name string) bool { return l.large() && l.holds(name) }

// holds reports whether this host holds a part of an account's limit.
func (l *Limiter) holds(name string) bool {
	for _, h := range l.holders(name) {
		if h.Name == l.options.Host {
			return true
		}
	}
	return false
}

// holderCount is the number of hosts that may hold a part of a limit. In a small
// fleet it includes hosts that disappeared a moment ago and may still run.
func (l *Limiter) holderCount() int {
	if l.large() {
		return fewHolders
	}
	return l.options.Hosts()
}
