package shares

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/control"
	"github.com/bramleylever/bramleylever/internal/membership"
	"github.com/bramleylever/bramleylever/share"
)

// ownerQueue collects the shares whose holders must call one owner. At most one call
// to an owner is in flight; shares that become due meanwhile go with the next call.
type ownerQueue struct {
	busy    bool
	waiting map[*localShare]struct{}
}

// pendingDemand is one demand of a call that is in flight.
type pendingDemand struct {
	local    *localShare
	sequence uint64
	// replied says that the reply contains an answer, valid or not.
	replied bool
}

// scan looks up the lease holders of the buckets and calls the owners of all shares
// that are due.
func (r *Runner) scan(ctx context.Context) {
	r.refreshBucketHolders()
	r.owners.refresh(r.options.Now())
	if r.leaving.Load() {
		return
	}
	accounts, instances := *r.accounts.Load(), *r.instances.Load()
	prefetch := len(accounts) <= maxPrefetched
	var all []*localShare
	for _, l := range accounts {
		if prefetch || l.used.Load() {
			all = append(all, l)
		}
	}
	for _, l := range instances {
		if prefetch || l.used.Load() {
			all = append(all, l)
		}
	}
	r.dispatch(ctx, r.due(all))
}

func (r *Runner) refreshBucketHolders() {
	var holders [control.BucketCount]membership.Member
	for bucket := range holders {
		if m, _, ok := membership.BucketHolder(r.options.Members, uint32(bucket)); ok {
			holders[bucket] = m
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bucketHolders = holders
}

// due returns the shares whose holders should call now.
func (r *Runner) due(candidates []*localShare) []*localShare {
	now := r.options.Now()
	var due []*localShare
	for _, l := range candidates {
		l.queued.Store(false)
		l.mu.Lock()
		if l.holder.Due(now) {
			due = append(due, l)
		}
		l.mu.Unlock()
	}
	return due
}

// dispatch calls the owners of the given shares. Shares whose bucket this host holds
// are handled in process.
func (r *Runner) dispatch(ctx context.Context, due []*localShare) {
	if len(due) == 0 || r.leaving.Load() {
		return
	}
	var own []*localShare
	r.mu.Lock()
	for _, l := range due {
		if _, held := r.options.Buckets.Held(l.bucket); held {
			own = append(own, l)
			continue
		}
		address := r.bucketHolders[l.bucket].Address
		if address == "" || address == r.options.Identity.Address {
			continue
		}
		r.enqueue(ctx, address, l)
	}
	r.mu.Unlock()
	if len(own) > 0 {
		r.call(ctx, own, (*share.Holder).Call, r.borrowLocally)
	}
}

// enqueue adds a share to the next call to an owner; the caller holds r.mu.
func (r *Runner) enqueue(ctx context.Context, address string, l *localShare) {
	queue, ok := r.queues[address]
	if !ok {
		queue = &ownerQueue{waiting: map[*localShare]struct{}{}}
		r.queues[address] = queue
	}
	queue.waiting[l] = struct{}{}
	if queue.busy {
		return
	}
	queue.busy = true
	r.calls.Add(1)
	go r.processQueue(ctx, address, queue)
}

// processQueue calls one owner until its queue is empty or the context ends.
func (r *Runner) processQueue(ctx context.Context, address string, queue *ownerQueue) {
	defer r.calls.Done()
	for {
		r.mu.Lock()
		batch := make([]*localShare, 0, len(queue.waiting))
		for l := range queue.waiting {
			batch = append(batch, l)
		}
		clear(queue.waiting)
		if len(batch) == 0 || ctx.Err() != nil {
			queue.busy = false
			delete(r.queues, address)
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		r.call(ctx, batch, (*share.Holder).Call, r.borrowFrom(address))
	}
}

// borrowFunc sends a request to one owner.
type borrowFunc func(ctx context.Context, in *peerv1.BorrowRequest) (*peerv1.BorrowReply, error)

func (r *Runner) borrowLocally(_ context.Context, in *peerv1.BorrowRequest) (*peerv1.BorrowReply, error) {
	return r.owners.handle(in, r.options.Now())
}

func (r *Runner) borrowFrom(address string) borrowFunc {
	return func(ctx context.Context, in *peerv1.BorrowRequest) (*peerv1.BorrowReply, error) {
		ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
		defer cancel()
		return r.borrow(ctx, address, in)
	}
}

func (r *Runner) borrowFromPeer(ctx context.Context, address string, in *peerv1.BorrowRequest) (*peerv1.BorrowReply, error) {
	conn, err := r.options.Peers.Conn(address)
	if err != nil {
		return nil, err
	}
	reply, err := peerv1.NewSharesClient(conn).Borrow(ctx, in)
	if err != nil {
		return nil, fmt.Errorf("borrow: peer %s: %w", address, err)
	}
	return reply, nil
}

// call sends one request for a batch of shares and applies the reply.
func (r *Runner) call(ctx context.Context, batch []*localShare, prepare func(*share.Holder, time.Time) share.Call, borrow borrowFunc) {
	in := &peerv1.BorrowRequest{Sender: r.options.Identity.Sender()}
	pending := make(map[resource]*pendingDemand, len(batch))
	for _, l := range batch {
		l.mu.Lock()
		call := prepare(l.holder, r.options.Now())
		l.mu.Unlock()
		pending[l.resource] = &pendingDemand{local: l, sequence: call.Sequence}
		in.Demands = append(in.Demands, demandToProto(l.resource, call))
	}
	r.stats.sent.Inc(1)
	start := time.Now()
	reply, err := borrow(ctx, in)
	r.stats.duration.UpdateSince(start)
	if err != nil {
		r.stats.failed.Inc(1)
	} else {
		r.apply(reply, pending)
	}
	// An owner leaves out what it did not take, and is not found if it took nothing.
	answered := err == nil || status.Code(err) == codes.NotFound
	for _, s := range pending {
		s.local.mu.Lock()
		if answered && !s.replied {
			s.local.holder.CallNotRun(s.sequence, r.options.Now())
		}
		s.local.holder.CallFailed(s.sequence)
		s.local.mu.Unlock()
	}
}

// apply passes the grants of a reply to their holders. An answer that a holder does
// not accept is dropped.
func (r *Runner) apply(reply *peerv1.BorrowReply, pending map[resource]*pendingDemand) {
	now := r.options.Now()
	for _, g := range reply.GetGrants() {
		res := resource{kindFromProto(g.GetKind()), g.GetResource()}
		s, ok := pending[res]
		if !ok {
			continue
		}
		s.replied = true
		answer, err := answerFromProto(g)
		if err != nil {
			r.stats.failed.Inc(1)
			continue
		}
		s.local.mu.Lock()
		if _, err := s.local.holder.Apply(answer, now); err != nil {
			r.stats.failed.Inc(1)
		}
		if s.local.answered != nil {
			close(s.local.answered)
			s.local.answered = nil
		}
		s.local.mu.Unlock()
	}
}

// leaveInterval is the interval at which a leaving host reports closed connections.
const leaveInterval = 100 * time.Millisecond

// Drain returns all grants: rates at once, connections as the pool closes and
// reports them. From then on nothing is borrowed and Admit refuses. Drain
// returns when nothing is held or the context ends.
func (r *Runner) Drain(ctx context.Context) error {
	r.leaving.Store(true)
	for {
		held := r.leave(ctx)
		if held == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("drain of shares: %d resources still held: %w", held, ctx.Err())
		case <-time.After(leaveInterval):
		}
	}
}

// leave returns to the owners what can be returned now, and reports how many
// resources are still held.
func (r *Runner) leave(ctx context.Context) int {
	r.refreshBucketHolders()
	batches := map[string][]*localShare{}
	for _, locals := range []map[string]*localShare{*r.accounts.Load(), *r.instances.Load()} {
		for _, l := range locals {
			l.mu.Lock()
			holds := l.holder.Holds(r.options.Now())
			l.mu.Unlock()
			if !holds {
				continue
			}
			r.mu.Lock()
			address := r.bucketHolders[l.bucket].Address
			r.mu.Unlock()
			if _, own := r.options.Buckets.Held(l.bucket); own {
				address = ""
			}
			batches[address] = append(batches[address], l)
		}
	}
	held := 0
	for address, batch := range batches {
		borrow := r.borrowFrom(address)
		if address == "" {
			borrow = r.borrowLocally
		}
		r.call(ctx, batch, (*share.Holder).Leave, borrow)
		for _, l := range batch {
			l.mu.Lock()
			if l.holder.Holds(r.options.Now()) {
				held++
			}
			l.mu.Unlock()
		}
	}
	return held
}
