// Package shares runs package share on a host: it admits requests against the
// host's share of each account, tells the pool how many connections it may
// open to each instance, borrows from the owners of other hosts, and is the
// owner for the control buckets that this host holds.
//
// A host asks for its base grants as soon as it runs and the owners are known.
// The first grant takes one round trip; if the owner has just taken over, the
// dynamic part comes after the dynamic validity and its margin (2.04 s for
// rates) and the rest of the base part after 10.2 min. Until then Admit refuses
// what has no tokens.
package shares

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/control"
	"github.com/bramleylever/bramleylever/internal/membership"
	"github.com/bramleylever/bramleylever/internal/peer"
	"github.com/bramleylever/bramleylever/internal/records"
	"github.com/bramleylever/bramleylever/share"
)

const (
	// scanInterval is how often all holders are checked for renewals. Requests
	// that find a low level wake the runner in between.
	scanInterval = 50 * time.Millisecond
	// borrowTimeout bounds a call to an owner.
	borrowTimeout = 400 * time.Millisecond
	// maxPrefetched is the number of accounts up to which a host asks for base
	// grants before the first request.
	maxPrefetched = 256
	// wakeQueue holds the holders that are due between two scans; more wait
	// for the next scan.
	wakeQueue = 1024
)

// The kinds of resources, as they are hashed onto control buckets.
const (
	kindAccount  = "account"
	kindInstance = "instance"
)

// Options is what a runner needs.
type Options struct {
	Identity peer.Identity
	Feed     *records.Feed
	Members  membership.View
	Buckets  control.Buckets
	Peers    *peer.Pool
	Metrics  metrics.Registry
	Log      *zap.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// borrower sends a request to the owner at an address.
type borrower func(ctx context.Context, address string, in *peerv1.BorrowRequest) (*peerv1.BorrowReply, error)

// resource identifies what is shared.
type resource struct {
	kind share.Kind
	name string
}

func (r resource) bucket() uint32 {
	if r.kind == share.Rate {
		return control.Bucket(kindAccount, r.name)
	}
	return control.Bucket(kindInstance, r.name)
}

// local is this host's share of one resource.
type local struct {
	resource resource
	bucket   uint32
	// used is set by the first request; unused accounts are prefetched only in
	// small fleets.
	used   atomic.Bool
	queued atomic.Bool

	mu     sync.Mutex
	holder *share.Holder
	// answered is closed when an answer arrives; nil while nobody waits.
	answered chan struct{}
}

// Runner is the share duty of one host.
type Runner struct {
	options Options
	borrow  borrower
	owners  *owners
	stats   stats

	// locals maps resources to this host's shares; it is replaced when the
	// records change, so that requests take no lock to read it.
	accounts  atomic.Pointer[map[string]*local]
	instances atomic.Pointer[map[string]*local]
	wake      chan *local
	leaving   atomic.Bool

	mu    sync.Mutex
	links map[string]*link
	// holders is the owner of each bucket as of the last scan.
	holders [control.BucketCount]membership.Member
	calls   sync.WaitGroup
}

// New returns a runner that follows the records of the feed.
func New(options Options) *Runner {
	if options.Now == nil {
		options.Now = time.Now
	}
	r := &Runner{
		options: options,
		stats:   newStats(options.Metrics),
		wake:    make(chan *local, wakeQueue),
		links:   map[string]*link{},
	}
	r.borrow = r.borrowFromPeer
	r.owners = newOwners(options, r.stats)
	r.accounts.Store(&map[string]*local{})
	r.instances.Store(&map[string]*local{})
	options.Feed.Subscribe(r.follow)
	return r
}

// Run borrows until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	defer r.calls.Wait()
	r.scan(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.scan(ctx)
		case l := <-r.wake:
			r.dispatch(ctx, r.due([]*local{l}))
		}
	}
}

// follow adds and removes holders when the records change. Holders of records
// that stay are kept.
func (r *Runner) follow(s *records.Snapshot) {
	accounts := map[string]*local{}
	for name := range s.Accounts {
		accounts[name] = r.keep(*r.accounts.Load(), resource{share.Rate, name})
	}
	instances := map[string]*local{}
	for _, db := range s.Databases {
		for _, in := range db.Instances {
			instances[in.Name] = r.keep(*r.instances.Load(), resource{share.Units, in.Name})
		}
	}
	r.accounts.Store(&accounts)
	r.instances.Store(&instances)
}

func (r *Runner) keep(old map[string]*local, of resource) *local {
	if l, ok := old[of.name]; ok {
		return l
	}
	id := share.HolderID{Host: r.options.Identity.Host, Incarnation: r.options.Identity.Incarnation}
	return &local{
		resource: of,
		bucket:   of.bucket(),
		holder:   share.NewHolder(config(of.kind), id),
	}
}

func config(kind share.Kind) share.Config {
	if kind == share.Units {
		return share.UnitsConfig()
	}
	return share.RateConfig()
}

// Admit takes one request of an account's rate and reports whether the host
// has a token for it. An account without a record is refused.
func (r *Runner) Admit(account string, now time.Time) bool {
	l, ok := (*r.accounts.Load())[account]
	if !ok {
		r.stats.refused.Inc(1)
		return false
	}
	l.mu.Lock()
	admitted := l.holder.Admit(now)
	due := l.holder.Due(now)
	l.mu.Unlock()
	if !l.used.Load() {
		l.used.Store(true)
	}
	if due {
		r.wakeUp(l)
	}
	r.stats.count(admitted)
	return admitted
}

// AdmitWithin is Admit for a caller that can wait: a request without a token
// waits for answers from the owner until the context ends.
func (r *Runner) AdmitWithin(ctx context.Context, account string) bool {
	if r.Admit(account, r.options.Now()) {
		return true
	}
	l, ok := (*r.accounts.Load())[account]
	if !ok {
		return false
	}
	for {
		l.mu.Lock()
		if l.answered == nil {
			l.answered = make(chan struct{})
		}
		answered := l.answered
		admitted := l.holder.AdmitRetry(r.options.Now())
		l.mu.Unlock()
		if admitted {
			r.stats.late.Inc(1)
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-answered:
		}
	}
}

// Limit returns the number of connections that this host should have open to
// an instance; 0 for an instance without a record. To open one, first Report
// the count that includes it, then check that Limit allows it.
func (r *Runner) Limit(instance string, now time.Time) int {
	l, ok := (*r.instances.Load())[instance]
	if !ok {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Units(now)
}

// HardLimit returns the number of connections that may be open at all.
// Connections above Limit close when they are idle, those above HardLimit at
// once.
func (r *Runner) HardLimit(instance string, now time.Time) int {
	l, ok := (*r.instances.Load())[instance]
	if !ok {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.MaxUnits(now)
}

// Report tells how many connections to an instance are open or being opened,
// and how many requests wait for one.
func (r *Runner) Report(instance string, open, waiting int) {
	l, ok := (*r.instances.Load())[instance]
	if !ok {
		return
	}
	now := r.options.Now()
	l.mu.Lock()
	l.holder.SetUse(open, waiting, now)
	due := l.holder.Due(now)
	l.mu.Unlock()
	l.used.Store(true)
	if due {
		r.wakeUp(l)
	}
}

// wakeUp asks the runner to call the owner before the next scan.
func (r *Runner) wakeUp(l *local) {
	if l.queued.Swap(true) {
		return
	}
	select {
	case r.wake <- l:
	default:
		l.queued.Store(false)
	}
}
