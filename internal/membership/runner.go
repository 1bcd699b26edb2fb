package membership

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/peer"
)

const (
	// tickInterval is the resolution of the core's timers.
	tickInterval = 100 * time.Millisecond
	// exchangeTimeout ends an exchange that got no answer. It is shorter than
	// ExchangeInterval, so that a silent host holds up one round at most.
	exchangeTimeout = 500 * time.Millisecond
	// maxMembers bounds the entries taken from one message: the members of a
	// domain at twice the target size.
	maxMembers = 1000
)

// Options are what a Runner works with.
type Options struct {
	Self peer.Identity
	// Seeds are addresses of other hosts from the settings.
	Seeds []string
	Peers *peer.Pool
	Log   *zap.Logger
	// Digest supplies the own digest for each exchange; it must not block.
	Digest func() Digest
}

// Runner drives a Core over gRPC and publishes its table as a View.
type Runner struct {
	peerv1.UnimplementedMembershipServer

	o       Options
	members atomic.Pointer[[]Member]
	self    atomic.Pointer[Member]
	calls   sync.WaitGroup

	mu        sync.Mutex
	core      *Core
	published uint64
	changed   chan struct{}
	hooks     []func(from Member, d Digest)
}

// NewRunner returns a runner that knows only itself; Run starts it.
func NewRunner(o Options) *Runner {
	r := &Runner{
		o: o,
		core: NewCore(Config{
			Self: Member{
				Host:        o.Self.Host,
				Domain:      o.Self.Domain,
				Address:     o.Self.Address,
				Incarnation: o.Self.Incarnation,
			},
			Seeds: slices.DeleteFunc(slices.Clone(o.Seeds), func(s string) bool { return s == o.Self.Address }),
			Seed:  o.Self.Incarnation,
		}),
		changed: make(chan struct{}),
	}
	r.publish(true)
	return r
}

// Register serves the Membership service on s.
func (r *Runner) Register(s grpc.ServiceRegistrar) { peerv1.RegisterMembershipServer(s, r) }

// OnDigest calls hook with each digest that arrives. Hooks must not block and
// are added before Run.
func (r *Runner) OnDigest(hook func(from Member, d Digest)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hooks = append(r.hooks, hook)
}

// Self implements View.
func (r *Runner) Self() Member { return *r.self.Load() }

// Members implements View.
func (r *Runner) Members() []Member { return slices.Clone(*r.members.Load()) }

// Changed returns a channel that is closed at the next change. Take the
// channel before reading the table, so that no change is missed.
func (r *Runner) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// SetBuckets changes the control buckets that this host claims.
func (r *Runner) SetBuckets(claims []BucketClaim) { r.update(func(c *Core) { c.SetBuckets(claims) }) }

// SetRelay says whether this host is a relay of its failure domain.
func (r *Runner) SetRelay(relay bool) { r.update(func(c *Core) { c.SetRelay(relay) }) }

// SetDraining says whether this host takes no new work.
func (r *Runner) SetDraining(draining bool) { r.update(func(c *Core) { c.SetDraining(draining) }) }

// SetRevision changes the configuration revision in force on this host.
func (r *Runner) SetRevision(revision int64) { r.update(func(c *Core) { c.SetRevision(revision) }) }

func (r *Runner) update(change func(*Core)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r.core)
	r.publish(false)
}

// publish makes the table visible; r.mu is held except in NewRunner.
func (r *Runner) publish(always bool) {
	if changes := r.core.ChangeCount(); changes != r.published || always {
		r.published = changes
		members, self := r.core.Members(), r.core.Self()
		if old := r.members.Load(); old != nil {
			r.logChanges(*old, members)
		}
		r.members.Store(&members)
		r.self.Store(&self)
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// logChanges writes one line for each member whose state changed.
func (r *Runner) logChanges(old, now []Member) {
	states := make(map[string]State, len(old))
	for _, m := range old {
		states[m.Host] = m.State
	}
	for _, m := range now {
		if states[m.Host] != m.State {
			r.o.Log.Info("member changed state",
				zap.String(logging.FieldDecision, "member_"+m.State.String()),
				zap.String(logging.FieldPeer, m.Host),
				zap.String(logging.FieldDomain, m.Domain))
		}
	}
}

// Run exchanges messages until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		r.act(ctx, func(now time.Time) []Action { return r.core.Tick(now) })
		select {
		case <-ctx.Done():
			r.calls.Wait()
			return nil
		case <-ticker.C:
		}
	}
}

// Leave tells other hosts that this one leaves and waits until they answered
// or ctx ends.
func (r *Runner) Leave(ctx context.Context) {
	r.act(ctx, func(time.Time) []Action { return r.core.Leave() })
	r.calls.Wait()
}

// act runs a step of the core and its actions.
func (r *Runner) act(ctx context.Context, step func(now time.Time) []Action) {
	r.mu.Lock()
	actions := step(time.Now())
	r.publish(false)
	r.mu.Unlock()
	for _, action := range actions {
		r.calls.Add(1)
		go func() {
			defer r.calls.Done()
			switch a := action.(type) {
			case ExchangeCall:
				r.exchange(ctx, a)
			case ProbeCall:
				r.probe(ctx, a)
			}
		}()
	}
}

func (r *Runner) digest() Digest {
	if r.o.Digest == nil {
		return Digest{ConfirmedAge: -1}
	}
	return r.o.Digest()
}

// client returns the service at an address.
func (r *Runner) client(address string) (peerv1.MembershipClient, error) {
	conn, err := r.o.Peers.Conn(address)
	if err != nil {
		return nil, err
	}
	return peerv1.NewMembershipClient(conn), nil
}

func (r *Runner) exchange(ctx context.Context, call ExchangeCall) {
	reply, err := r.send(ctx, call)
	if ctx.Err() != nil {
		return
	}
	message := Message{Members: membersOf(reply.GetMembers())}
	r.act(ctx, func(now time.Time) []Action { return r.core.ExchangeDone(now, call, message, err) })
	if err == nil && len(message.Members) > 0 {
		r.notify(message.Members[0], reply.GetDigest())
	}
}

func (r *Runner) send(ctx context.Context, call ExchangeCall) (*peerv1.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	client, err := r.client(call.Address)
	if err != nil {
		return nil, err
	}
	reply, err := client.Exchange(ctx, &peerv1.ExchangeRequest{
		Sender:  r.o.Self.Sender(),
		Members: memberMessages(call.Message.Members),
		Digest:  digestMessage(r.digest()),
		Full:    call.Message.Full,
	})
	if err != nil {
		return nil, err
	}
	if host := reply.GetSender().GetHost(); call.Host != "" && host != call.Host {
		return nil, fmt.Errorf("exchange: peer %s: address %s now belongs to host %q", call.Host, call.Address, host)
	}
	return reply, nil
}

func (r *Runner) notify(from Member, d *peerv1.Digest) {
	if d == nil {
		return
	}
	r.mu.Lock()
	hooks := r.hooks
	r.mu.Unlock()
	for _, hook := range hooks {
		hook(from, digestOf(d))
	}
}

func (r *Runner) probe(ctx context.Context, call ProbeCall) {
	reached := false
	if client, err := r.client(call.Via); err == nil {
		probeCtx, cancel := context.WithTimeout(ctx, 2*exchangeTimeout)
		defer cancel()
		reply, err := client.Probe(probeCtx, &peerv1.ProbeRequest{
			Sender:        r.o.Self.Sender(),
			TargetHost:    call.TargetHost,
			TargetAddress: call.TargetAddress,
		})
		reached = err == nil && reply.GetReached()
	}
	if ctx.Err() != nil {
		return
	}
	r.act(ctx, func(now time.Time) []Action {
		r.core.ProbeDone(now, call, reached)
		return nil
	})
}

// Exchange implements peerv1.MembershipServer.
func (r *Runner) Exchange(_ context.Context, request *peerv1.ExchangeRequest) (*peerv1.ExchangeReply, error) {
	n := len(request.GetMembers())
	if n == 0 || n > maxMembers {
		return nil, status.Errorf(codes.InvalidArgument, "exchange: %d members, expected 1 to %d", n, maxMembers)
	}
	message := Message{Members: membersOf(request.GetMembers()), Full: request.GetFull()}
	if message.Members[0].Host != request.GetSender().GetHost() {
		return nil, status.Error(codes.InvalidArgument, "exchange: members[0] is not the sender")
	}
	r.mu.Lock()
	reply := r.core.Receive(time.Now(), message)
	r.publish(false)
	r.mu.Unlock()
	r.notify(message.Members[0], request.GetDigest())
	return &peerv1.ExchangeReply{
		Sender:  r.o.Self.Sender(),
		Members: memberMessages(reply.Members),
		Digest:  digestMessage(r.digest()),
	}, nil
}

// Probe implements peerv1.MembershipServer: it contacts the target with an
// exchange that carries only the own entry.
func (r *Runner) Probe(ctx context.Context, request *peerv1.ProbeRequest) (*peerv1.ProbeReply, error) {
	_, err := r.send(ctx, ExchangeCall{
		Host:    request.GetTargetHost(),
		Address: request.GetTargetAddress(),
		Message: Message{Members: []Member{r.Self()}},
	})
	return &peerv1.ProbeReply{Sender: r.o.Self.Sender(), Reached: err == nil}, nil
}
