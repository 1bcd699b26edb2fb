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

// Prefix is where the holdings lie.
const Prefix = "bramleylever/quota/"

const (
	// tickInterval is how often a host looks whether its holdings suit.
	tickInterval = 100 * time.Millisecond
	// urgentPause is the least time between two writes of a host whose
	// holdings are too small, and renewPause the time between two others.
	urgentPause = 1500 * time.Millisecond
	renewPause  = 4 * time.Second
	// restartTime is the least time between the end of a process and the start
	// of the next one. A holding that an earlier incarnation left has refilled
	// meanwhile.
	restartTime = 500 * time.Millisecond
	// settleTime is how long a host that starts waits for the registrations of
	// the others before it takes its initial part.
	settleTime  = 4 * time.Second
	callTimeout = 600 * time.Millisecond
	// writeTries bounds the attempts of one write against other hosts.
	writeTries = 6
	// maxWait is how long an operation waits for a token before it is refused.
	maxWait = 40 * time.Millisecond
	// slackPart is the part of the accepted slack that is used; the rest covers
	// operations that change hosts while fractions move.
	slackPart = 0.8
)

// Slack is what the users accept beyond a limit within a window.
type Slack struct {
	Window time.Duration
	// Overshoot is a part of the limit, Operations a number beyond it.
	Overshoot  float64
	Operations float64
}

// Options configures a Limiter.
type Options struct {
	Host  string
	Store platform.Store
	Hosts func() int
	// Accounts returns the accounts of the configuration in force.
	Accounts func() map[string]*catalog.Account
	Slack    func() Slack
	// Peers returns the other hosts, and Lender asks them for tokens.
	Peers    func() []hosts.Host
	Lender   Lender
	Log      *zap.Logger
	Registry metrics.Registry
}

// Limiter admits operations on one host.
type Limiter struct {
	options  Options
	now      func() time.Time
	writes   metrics.Counter
	refusals metrics.Counter
	borrowed metrics.Counter
	adopted  chan struct{}
	fleet    fleetView

	mu       sync.Mutex
	accounts map[string]*account
	started  time.Time
	// phase keeps the writes of hosts that start together from meeting: a write
	// that finds one of its documents changed has to be repeated.
	phase time.Duration

	// The fields below belong to Run.
	ledgers   [shardCount]ledger
	revisions [shardCount]int64
	sightings sightings
	sequence  uint64
	written   time.Time
	renewed   time.Time
	failed    bool
}

// NewLimiter returns a limiter without holdings.
func NewLimiter(o Options) *Limiter {
	l := &Limiter{options: o, now: time.Now, accounts: map[string]*account{}, sightings: sightings{}, adopted: make(chan struct{})}
	l.started = l.now()
	l.phase = time.Duration(xxhash.Sum64String(o.Host) % uint64(renewPause))
	l.renewed = l.started.Add(-l.phase)
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

// limit returns the fleet's limit of an account.
func (l *Limiter) limit(c *catalog.Account) limit {
	s := l.options.Slack()
	beyond := s.Overshoot*(c.Rate*s.Window.Seconds()+c.Burst) + s.Operations
	return limit{rate: c.Rate, burst: c.Burst, slack: slackPart * beyond}
}

// Admit takes one token for an operation of the account, borrows it from another
// host if this one has none, and waits for it if it comes soon. It reports false
// if the limit is reached.
func (l *Limiter) Admit(c *catalog.Account, now time.Time) bool {
	if c.Rate <= 0 {
		return true
	}
	holds := l.holds(c.Name)
	l.mu.Lock()
	a := l.account(c.Name)
	a.limit, a.hosts, a.equal = l.limit(c), l.holderCount(), l.holdsEqually(c.Name)
	admitted := holds && a.admit(now)
	wait := time.Duration(math.MaxInt64)
	if holds {
		wait = a.wait(now)
	}
	l.mu.Unlock()
	if admitted || l.borrow(c.Name) {
		return true
	}
	if wait <= maxWait {
		time.Sleep(wait)
		l.mu.Lock()
		now = l.now()
		a.refill(now)
		if admitted = a.level >= 1; admitted {
			a.level--
		}
		l.mu.Unlock()
	}
	if !admitted {
		l.refuse(c, a)
	}
	return admitted
}

func (l *Limiter) refuse(c *catalog.Account, a *account) {
	l.mu.Lock()
	fraction, demand, age := a.fraction, a.demand, l.now().Sub(a.renewed)
	l.mu.Unlock()
	l.refusals.Inc(1)
	l.options.Log.Info("operation refused", zap.String(logging.FieldDecision, "refuse_rate"),
		zap.String(logging.FieldAccount, c.Name), zap.Float64("rate", c.Rate),
		zap.Float64("fraction", fraction), zap.Float64("demand_per_s", demand), zap.Duration("fraction_age", age))
}

// Run keeps the holdings in step with the demand until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	l.adopt(ctx)
	close(l.adopted)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if shards := l.due(); shards != 0 {
			l.write(ctx, shards)
		}
	}
}
