package shares

import (
	"context"
	"fmt"
	"time"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/control"
	"github.com/bramleylever/bramleylever/internal/membership"
	"github.com/bramleylever/bramleylever/share"
)

// link is the path to one owner. One call is under way at a time; what becomes
// due meanwhile goes with the next one.
type link struct {
	busy  bool
	queue map[*local]struct{}
}

// sent is one demand of a call that is under way.
type sent struct {
	local    *local
	sequence uint64
}

// scan refreshes the owners of the buckets and calls for all that are due.
func (r *Runner) scan(ctx context.Context) {
	r.refreshOwners()
	r.owners.refresh(r.options.Now())
	if r.leaving.Load() {
		return
	}
	accounts, instances := *r.accounts.Load(), *r.instances.Load()
	prefetch := len(accounts) <= maxPrefetched
	var all []*local
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

func (r *Runner) refreshOwners() {
	var holders [control.BucketCount]membership.Member
	for bucket := range holders {
		if m, _, ok := membership.BucketHolder(r.options.Members, uint32(bucket)); ok {
			holders[bucket] = m
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holders = holders
}

// due returns the holders that should call now.
func (r *Runner) due(candidates []*local) []*local {
	now := r.options.Now()
	var due []*local
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

// dispatch calls the owners of the given holders. A bucket that this host
// holds is served in process.
func (r *Runner) dispatch(ctx context.Context, due []*local) {
	if len(due) == 0 || r.leaving.Load() {
		return
	}
	var own []*local
	r.mu.Lock()
	for _, l := range due {
		if _, held := r.options.Buckets.Held(l.bucket); held {
			own = append(own, l)
			continue
		}
		address := r.holders[l.bucket].Address
		if address == "" || address == r.options.Identity.Address {
			continue
		}
		r.enqueue(ctx, address, l)
	}
	r.mu.Unlock()
	if len(own) > 0 {
		r.call(ctx, own, (*share.Holder).Call, r.handleOwn)
	}
}

// enqueue adds a holder to the next call to an owner; r.mu is held.
func (r *Runner) enqueue(ctx context.Context, address string, l *local) {
	k, ok := r.links[address]
	if !ok {
		k = &link{queue: map[*local]struct{}{}}
		r.links[address] = k
	}
	k.queue[l] = struct{}{}
	if k.busy {
		return
	}
	k.busy = true
	r.calls.Add(1)
	go r.drive(ctx, address, k)
}

// drive calls one owner until its queue is empty.
func (r *Runner) drive(ctx context.Context, address string, k *link) {
	defer r.calls.Done()
	for {
		r.mu.Lock()
		batch := make([]*local, 0, len(k.queue))
		for l := range k.queue {
			batch = append(batch, l)
		}
		clear(k.queue)
		if len(batch) == 0 || ctx.Err() != nil {
			k.busy = false
			delete(r.links, address)
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		r.call(ctx, batch, (*share.Holder).Call, r.sendTo(address))
	}
}

// send carries a request to an owner.
type send func(ctx context.Context, in *peerv1.BorrowRequest) (*peerv1.BorrowReply, error)

func (r *Runner) handleOwn(_ context.Context, in *peerv1.BorrowRequest) (*peerv1.BorrowReply, error) {
	return r.owners.handle(in, r.options.Now())
}

func (r *Runner) sendTo(address string) send {
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

// call sends one request for a batch of holders and applies the reply.
func (r *Runner) call(ctx context.Context, batch []*local, prepare func(*share.Holder, time.Time) share.Call, carry send) {
	in := &peerv1.BorrowRequest{Sender: r.options.Identity.Sender()}
	under := make(map[resource]sent, len(batch))
	for _, l := range batch {
		l.mu.Lock()
		call := prepare(l.holder, r.options.Now())
		l.mu.Unlock()
		under[l.resource] = sent{l, call.Sequence}
		in.Demands = append(in.Demands, demandOf(l.resource, call))
	}
	r.stats.sent.Inc(1)
	start := time.Now()
	reply, err := carry(ctx, in)
	r.stats.duration.UpdateSince(start)
	if err != nil {
		r.stats.failed.Inc(1)
	} else {
		r.apply(reply, under)
	}
	for _, s := range under {
		s.local.mu.Lock()
		s.local.holder.CallFailed(s.sequence)
		s.local.mu.Unlock()
	}
}

// apply hands the grants to their holders. An answer that a holder does not
// take is dropped.
func (r *Runner) apply(reply *peerv1.BorrowReply, under map[resource]sent) {
	now := r.options.Now()
	for _, g := range reply.GetGrants() {
		of := resource{kindOf(g.GetKind()), g.GetResource()}
		s, ok := under[of]
		if !ok {
			continue
		}
		answer, err := answerOf(g)
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

// leaveInterval is how often a leaving host reports closed connections.
const leaveInterval = 100 * time.Millisecond

// Drain returns all shares: rates at once, connections as the pool closes and
// reports them. Admit refuses from then on. It returns when nothing is held or
// the context ends.
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

// leave sends what can be returned now and returns how many resources are
// still held.
func (r *Runner) leave(ctx context.Context) int {
	r.refreshOwners()
	batches := map[string][]*local{}
	for _, locals := range []map[string]*local{*r.accounts.Load(), *r.instances.Load()} {
		for _, l := range locals {
			l.mu.Lock()
			holds := l.holder.Holds(r.options.Now())
			l.mu.Unlock()
			if !holds {
				continue
			}
			r.mu.Lock()
			address := r.holders[l.bucket].Address
			r.mu.Unlock()
			if _, own := r.options.Buckets.Held(l.bucket); own {
				address = ""
			}
			batches[address] = append(batches[address], l)
		}
	}
	held := 0
	for address, batch := range batches {
		carry := r.sendTo(address)
		if address == "" {
			carry = r.handleOwn
		}
		r.call(ctx, batch, (*share.Holder).Leave, carry)
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
