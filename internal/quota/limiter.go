package quota

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/hosts"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/platform"
)

// Prefix is the key prefix of the ledger documents in the store.
const Prefix = "bramleylever/quota/"

const (
	// tickInterval is how often a host checks whether its allocations must be written.
	tickInterval = 100 * time.Millisecond
	// urgentWriteInterval is the minimum time between two writes of allocations
	// that are too small, and renewCheckInterval that between two other writes.
	urgentWriteInterval = 1500 * time.Millisecond
	renewCheckInterval  = 4 * time.Second
	// minRestartTime is the minimum time between the end of a process and the start
	// of the next one. The tokens of a restored allocation refill for that time.
	minRestartTime = 500 * time.Millisecond
	// startupDelay is how long a host that starts waits for the other hosts to
	// register before it writes its initial allocations.
	startupDelay = 4 * time.Second
	callTimeout  = 600 * time.Millisecond
	// restoredHostsTime is how long after its start a host counts the hosts whose
	// allocations it found: they may be running and not be registered yet.
	restoredHostsTime = 15 * time.Second
	// maxWriteAttempts bounds the attempts of one write that conflicts with writes
	// of other hosts.
	maxWriteAttempts = 6
	// maxTokenWait is how long an operation waits for a token before it is refused.
	maxTokenWait = 40 * time.Millisecond
	// slackFraction is the fraction of the tolerated slack that is used; the rest
	// covers operations that move between hosts while the allocations change.
	slackFraction = 0.8
)

// Slack is the tolerated excess over a limit within a window.
type Slack struct {
	Window time.Duration
	// Overshoot is a fraction of the limit, Operations an absolute number.
	Overshoot  float64
	Operations float64
}

// Options configures a Limiter.
type Options struct {
	Host  string
	Store platform.Store
	// HostCount returns the number of hosts that may be running.
	HostCount func() int
	// HostsKnown reports whether the other hosts have been read since the start. Until
	// then a host uses only the allocations that it has restored. If nil, they are known.
	HostsKnown func() bool
	// Registered reports whether a host is registered or alive, and ConfirmedAt is when
	// the store last confirmed the registration of this host. If nil, no host counts as
	// registered.
	Registered  func(host string) bool
	ConfirmedAt func() time.Time
	// Accounts returns the accounts of the current configuration.
	Accounts func() map[string]*catalog.Account
	Slack    func() Slack
	// Hosts returns the registered hosts, including this one. Lender borrows tokens
	// from them.
	Hosts    func() []hosts.Host
	Lender   Lender
	Log      *zap.Logger
	Registry metrics.Registry
}

// Limiter enforces the accounts' limits on one host.
type Limiter struct {
	options  Options
	now      func() time.Time
	writes   metrics.Counter
	refusals metrics.Counter
	borrowed metrics.Counter
	restored chan struct{}
	// restoreOnce makes the first run of Run read the allocations.
	restoreOnce sync.Once
	fleet       fleetView

	mu       sync.Mutex
	accounts map[string]*account
	started  time.Time
	// restoredHosts is the number of hosts with an allocation that this host found at its
	// start, and counts until restoredHostsUntil.
	restoredHosts      int
	restoredHostsUntil time.Time
	// startupPhase offsets the writes of hosts that start together, because a write
	// that finds one of its documents changed has to be repeated.
	startupPhase time.Duration

	// The fields below are used by Run only.
	ledgers     [shardCount]ledger
	revisions   [shardCount]int64
	renewals    renewalTracker
	sequence    uint64
	lastWrite   time.Time
	lastRenewal time.Time
	storeLost   bool
	store       restoredState
}

// NewLimiter returns a limiter without allocations; Run restores and renews them.
func NewLimiter(o Options) *Limiter {
	if o.Registered == nil {
		o.Registered = func(string) bool { return false }
	}
	if o.HostsKnown == nil {
		o.HostsKnown = func() bool { return true }
	}
	if o.ConfirmedAt == nil {
		o.ConfirmedAt = func() time.Time { return time.Time{} }
	}
	l := &Limiter{options: o, now: time.Now, accounts: map[string]*account{}, renewals: renewalTracker{}, restored: make(chan struct{})}
	l.started = l.now()
	l.store.generation = platform.FirstGeneration
	l.startupPhase = time.Duration(xxhash.Sum64String(o.Host) % uint64(renewCheckInterval))
	l.lastRenewal = l.started.Add(-l.startupPhase)
	l.writes = metrics.GetOrRegisterCounter("quota.writes_count", o.Registry)
	l.refusals = metrics.GetOrRegisterCounter("quota.refusals_count", o.Registry)
	l.borrowed = metrics.GetOrRegisterCounter("quota.borrowed_count", o.Registry)
	for i := range l.ledgers {
		l.ledgers[i] = ledger{}
	}
	return l
}

func (l *Limiter) account(name string) *account {
	a := l.accounts[name]
	if a == nil {
		a = newAccount(l.now())
		l.accounts[name] = a
	}
	return a
}

// limit returns an account's limit over the whole fleet.
func (l *Limiter) limit(c *catalog.Account) limit {
	s := l.options.Slack()
	beyond := s.Overshoot*(c.Rate*s.Window.Seconds()+c.Burst) + s.Operations
	return limit{rate: c.Rate, burst: c.Burst, slack: slackFraction * beyond}
}

// Admit takes one token for an operation of the account. Without one it borrows a
// token from another host, and otherwise waits if a token is due within maxTokenWait.
// It reports false if the limit is reached.
func (l *Limiter) Admit(c *catalog.Account, class catalog.Class, now time.Time) bool {
	if c.Rate <= 0 {
		return true
	}
	mayAllocate := l.mayAllocate(c.Name)
	l.mu.Lock()
	a := l.account(c.Name)
	a.limit, a.hosts, a.equal = l.limit(c), l.allocationHostCount(), l.allocatesEqually(c.Name)
	admitted := mayAllocate && a.admit(class, now)
	wait := time.Duration(math.MaxInt64)
	if mayAllocate {
		wait = a.tokenWait(class, now)
	}
	l.mu.Unlock()
	if admitted || l.borrow(c.Name, class) {
		return true
	}
	if wait <= maxTokenWait {
		time.Sleep(wait)
		l.mu.Lock()
		now = l.now()
		a.refill(now)
		admitted = a.take(class, now)
		l.mu.Unlock()
	}
	if !admitted {
		l.refuse(c, class, a)
	}
	return admitted
}

func (l *Limiter) refuse(c *catalog.Account, class catalog.Class, a *account) {
	l.mu.Lock()
	fraction, demand, age := a.fraction, a.demand, l.now().Sub(a.renewedAt)
	l.mu.Unlock()
	l.refusals.Inc(1)
	l.options.Log.Info("operation refused", zap.String(logging.FieldDecision, "refuse_rate"),
		zap.String(logging.FieldAccount, c.Name), zap.Float64("rate", c.Rate), zap.Int("class", int(class)),
		zap.Float64("fraction", fraction), zap.Float64("demand_per_s", demand), zap.Duration("fraction_age", age))
}

// Run restores the allocations of an earlier process and then keeps the allocations
// in line with the demand until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	l.restoreOnce.Do(func() {
		defer close(l.restored)
		l.restore(ctx)
	})
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l.tick(ctx)
	}
}

// tick writes what is due.
func (l *Limiter) tick(ctx context.Context) {
	if !l.followGeneration(ctx) {
		return
	}
	if shards := l.dueShards(); shards != 0 {
		l.write(ctx, shards)
	}
}
