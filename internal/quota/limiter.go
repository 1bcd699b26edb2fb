package quota

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

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

	mu       sync.Mutex
	accounts map[string]*account
	started  time.Time

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
// host if this one has none, and waits for it if it comes soon. It reports false if the limit is reached.
func (l *Limiter) Admit(c *catalog.Account, now time.Time) bool {
	if c.Rate <= 0 {
		return true
	}
	holds := l.holds(c.Name)
	l.mu.Lock()
	a := l.account(c.Name)
	a.limit, a.hosts = l.limit(c), l.holderCount()
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

// WaitAdopted waits until the holdings of an earlier incarnation of this host
// were read, or could not be.
func (l *Limiter) WaitAdopted(ctx context.Context) {
	select {
	case <-l.adopted:
	case <-ctx.Done():
	}
}

// adopt reads the holdings that an earlier incarnation of this host left.
func (l *Limiter) adopt(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := l.now()
	items, _, err := l.options.Store.List(ctx, Prefix)
	if err != nil {
		l.options.Log.Warn("holdings not read", zap.String(logging.FieldStep, "read holdings"), zap.Error(err))
		return
	}
	for _, item := range items {
		l.observe(item)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for shard := range l.ledgers {
		for name, holdings := range l.ledgers[shard] {
			if own, ok := holdings[l.options.Host]; ok {
				a := l.account(name)
				a.fraction, a.renewed = own.Fraction, asked
				a.updated = asked.Add(-restartTime)
				l.sequence = max(l.sequence, own.Sequence)
			}
		}
	}
}

// observe takes a document of the store over.
func (l *Limiter) observe(kv platform.KeyValue) {
	shard, err := strconv.Atoi(strings.TrimPrefix(kv.Key, Prefix))
	if err != nil || shard < 0 || shard >= shardCount || kv.ModRevision < l.revisions[shard] {
		return
	}
	decoded, err := decodeLedger(kv.Value)
	if err != nil {
		l.options.Log.Error("holdings not readable", zap.String("key", kv.Key), zap.Error(err))
		return
	}
	l.ledgers[shard], l.revisions[shard] = decoded, kv.ModRevision
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, a := range l.accounts {
		if shardOf(name) == shard {
			a.holdings = decoded[name]
		}
	}
}

// shardSet is a set of shards, one bit each.
type shardSet uint64

func (s shardSet) has(shard int) bool { return s&(1<<shard) != 0 }

// due returns the shards to write: now and then those with a holding that is
// old or does not suit, and sooner those with one that is too small.
func (l *Limiter) due() shardSet {
	now := l.now()
	renew := now.Sub(l.renewed) >= renewPause
	if !renew && now.Sub(l.written) < urgentPause {
		return 0
	}
	if renew {
		l.renewed = now
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addAccounts(now)
	var shards shardSet
	for name, a := range l.accounts {
		shard := shardOf(name)
		if a.urgent(now) || renew && a.stale(l.ledgers[shard].others(name, l.options.Host), now) {
			shards |= 1 << shard
		}
	}
	return shards
}

// write records the holdings of some shards that suit the demand.
func (l *Limiter) write(ctx context.Context, shards shardSet) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l.written = l.now()
	var err error
	for range writeTries {
		if err = l.tryWrite(ctx, shards); !errors.Is(err, platform.ErrConflict) {
			break
		}
	}
	lost := err != nil && !errors.Is(err, platform.ErrConflict)
	if lost != l.failed {
		l.options.Log.Warn("holdings", zap.String(logging.FieldStep, "record holdings"), zap.Bool("store_lost", lost), zap.Error(err))
	}
	l.failed = lost
}

// change is what one write does to one account.
type change struct {
	account  string
	fraction float64
}

// tryWrite writes the shards in which this host holds or needs something, if
// they are as last observed. A holding is lowered before the call and raised
// after it succeeded.
func (l *Limiter) tryWrite(ctx context.Context, shards shardSet) error {
	sent := l.now()
	l.sequence++
	var next [shardCount]ledger
	changes := l.plan(&next, shards, sent)
	if len(changes) == 0 {
		return nil
	}
	txn, err := l.transaction(&next)
	if err != nil {
		return err
	}
	l.writes.Inc(1)
	revision, err := l.options.Store.Txn(ctx, txn)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		for _, current := range conflict.Current {
			l.observe(current)
		}
	}
	if err != nil {
		return err
	}
	for shard := range next {
		if next[shard] != nil {
			l.ledgers[shard], l.revisions[shard] = next[shard], revision
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range changes {
		l.accounts[c.account].record(c.fraction, sent)
	}
	return nil
}

// plan computes the new documents of the shards to write.
func (l *Limiter) plan(next *[shardCount]ledger, shards shardSet, now time.Time) []change {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changes []change
	for name, a := range l.accounts {
		shard := shardOf(name)
		_, recorded := l.ledgers[shard][name][l.options.Host]
		if !shards.has(shard) {
			continue
		}
		if !recorded && a.wanted(tightRoom, now) == 0 && a.wish == 0 {
			continue
		}
		if next[shard] == nil {
			next[shard] = l.ledgers[shard].clone()
			l.sightings.prune(next[shard], l.options.Host, now)
		}
		target := 0.0
		if l.holds(name) {
			target = a.target(next[shard].others(name, l.options.Host), now)
		}
		next[shard].set(name, l.options.Host, holding{Fraction: target, Sequence: l.sequence})
		changes = append(changes, change{name, target})
		a.refill(now)
		a.fraction = min(a.fraction, target)
	}
	return changes
}

// addAccounts gives accounts that nobody has asked for yet their initial part.
func (l *Limiter) addAccounts(now time.Time) {
	if now.Sub(l.started) < settleTime {
		return
	}
	for name, c := range l.options.Accounts() {
		_, known := l.accounts[name]
		if known || c.Rate <= 0 || !l.holds(name) {
			continue
		}
		a := l.account(name)
		a.limit, a.hosts = l.limit(c), l.holderCount()
		a.wish = a.initial()
	}
}

func (l *Limiter) transaction(next *[shardCount]ledger) (platform.Txn, error) {
	var txn platform.Txn
	for shard := range next {
		if next[shard] == nil {
			continue
		}
		value, err := json.Marshal(next[shard])
		if err != nil {
			return txn, fmt.Errorf("encode holdings: %w", err)
		}
		key := Prefix + strconv.Itoa(shard)
		txn.Compares = append(txn.Compares, platform.Compare{Key: key, ModRevision: l.revisions[shard]})
		txn.Puts = append(txn.Puts, platform.Put{Key: key, Value: value})
	}
	return txn, nil
}
