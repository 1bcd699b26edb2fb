// Package shares runs package share on a host. It admits requests against the
// host's share of the rate of each account, tells the pool how many connections it
// may open to each instance, borrows grants from the owners on other hosts, and runs
// the owners of the limits whose control buckets this host holds.
//
// A host requests its base grants as soon as it runs and the owners are known. The
// first grant takes one round trip. If the owner has just taken over, the dynamic
// part of the limit is granted after the dynamic validity and its margin (2.04 s
// for rates), and the rest of the base part after the base validity and its margin
// (10.2 min). Until then Admit refuses requests for which there are no tokens.
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
	// scanInterval is how often all holders are checked for calls that are due.
	// Requests that find few tokens wake the runner in between.
	scanInterval = 50 * time.Millisecond
	// borrowTimeout is the deadline of a call to an owner.
	borrowTimeout = 400 * time.Millisecond
	// maxPrefetched is the highest number of accounts for which a host requests
	// base grants before the first request arrives.
	maxPrefetched = 256
	// wakeQueueSize is the capacity of the queue of shares that become due between
	// two scans; those beyond it wait for the next scan.
	wakeQueueSize = 1024
)

// The kinds of resources, as hashed to assign resources to control buckets.
const (
	kindAccount  = "account"
	kindInstance = "instance"
)

// Options configures a runner.
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

// peerBorrowFunc sends a request to the owner at an address.
type peerBorrowFunc func(ctx context.Context, address string, in *peerv1.BorrowRequest) (*peerv1.BorrowReply, error)

// resource identifies a limit that is shared: the rate of an account or the
// connections to an instance.
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

// localShare is this host's share of one resource.
type localShare struct {
	resource resource
	bucket   uint32
	// used is set by the first request. Grants for unused shares are requested
	// only if there are at most maxPrefetched accounts.
	used atomic.Bool
	// queued is true while the share waits in the wake queue.
	queued atomic.Bool

	mu     sync.Mutex
	holder *share.Holder
	// answered is closed when an answer arrives; nil while no request waits.
	answered chan struct{}
}

// Runner borrows, uses and grants shares of limits on one host.
type Runner struct {
	options Options
	borrow  peerBorrowFunc
	owners  *owners
	stats   stats

	// accounts and instances map names to this host's shares. The maps are
	// replaced when the records change, so that requests read them without a lock.
	accounts  atomic.Pointer[map[string]*localShare]
	instances atomic.Pointer[map[string]*localShare]
	wake      chan *localShare
	leaving   atomic.Bool

	mu     sync.Mutex
	queues map[string]*ownerQueue
	// bucketHolders is the lease holder of each bucket as of the last scan.
	bucketHolders [control.BucketCount]membership.Member
	calls         sync.WaitGroup
}

// New returns a runner that follows the records of the feed.
func New(options Options) *Runner {
	if options.Now == nil {
		options.Now = time.Now
	}
	r := &Runner{
		options: options,
		stats:   newStats(options.Metrics),
		wake:    make(chan *localShare, wakeQueueSize),
		queues:  map[string]*ownerQueue{},
	}
	r.borrow = r.borrowFromPeer
	r.owners = newOwners(options, r.stats)
	r.accounts.Store(&map[string]*localShare{})
	r.instances.Store(&map[string]*localShare{})
	options.Feed.Subscribe(r.updateShares)
	return r
}

// Run calls the owners as shares become due, until the context ends.
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
			r.dispatch(ctx, r.due([]*localShare{l}))
		}
	}
}

// updateShares adds and removes shares when the records change. Shares of records that
// remain are kept.
func (r *Runner) updateShares(s *records.Snapshot) {
	accounts := map[string]*localShare{}
	for name := range s.Accounts {
		accounts[name] = r.keepOrCreate(*r.accounts.Load(), resource{share.Rate, name})
	}
	instances := map[string]*localShare{}
	for _, db := range s.Databases {
		for _, in := range db.Instances {
			instances[in.Name] = r.keepOrCreate(*r.instances.Load(), resource{share.Units, in.Name})
		}
	}
	r.accounts.Store(&accounts)
	r.instances.Store(&instances)
}

func (r *Runner) keepOrCreate(old map[string]*localShare, res resource) *localShare {
	if l, ok := old[res.name]; ok {
		return l
	}
	id := share.HolderID{Host: r.options.Identity.Host, Incarnation: r.options.Identity.Incarnation}
	return &localShare{
		resource: res,
		bucket:   res.bucket(),
		holder:   share.NewHolder(config(res.kind), id),
	}
}

func config(kind share.Kind) share.Config {
	if kind == share.Units {
		return share.UnitsConfig()
	}
	return share.RateConfig()
}

// Admit takes one token from the host's share of an account's rate and reports
// whether there was one. Requests of an account without a record are refused.
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

// AdmitWithin is Admit for a caller that can wait: if there is no token, it waits
// for answers from the owner until there is one or the context ends.
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

// Limit returns the number of connections that this host may keep open to an
// instance; 0 for an instance without a record. Before opening a connection, call
// Report with a count that includes it, then check that Limit allows it.
func (r *Runner) Limit(instance string, now time.Time) int {
	l, ok := (*r.instances.Load())[instance]
	if !ok {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Units(now)
}

// HardLimit returns the number of connections that may be open at all. Close
// connections above Limit when they are idle, and those above HardLimit at once.
func (r *Runner) HardLimit(instance string, now time.Time) int {
	l, ok := (*r.instances.Load())[instance]
	if !ok {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.MaxUnits(now)
}

// Report records how many connections to an instance are open or being opened, and
// how many requests wait for one.
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

// wakeUp makes the runner call the owner of a share before the next scan.
func (r *Runner) wakeUp(l *localShare) {
	if l.queued.Swap(true) {
		return
	}
	select {
	case r.wake <- l:
	default:
		l.queued.Store(false)
	}
}
