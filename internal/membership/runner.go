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
	"github.com/bramleylever/bramleylever/internal/recovery"
)

const (
	// tickInterval is the resolution of the core's timers.
	tickInterval = 100 * time.Millisecond
	// exchangeTimeout bounds an exchange. It is shorter than ExchangeInterval,
	// so that a host that does not answer delays one round at most.
	exchangeTimeout = 500 * time.Millisecond
	// maxMembers bounds the number of entries accepted in one message; it is
	// the number of members of a domain of twice the target size.
	maxMembers = 1000
)

// Options configure a Runner.
type Options struct {
	Self peer.Identity
	// Seeds are addresses of other hosts from the settings.
	Seeds []string
	Peers *peer.Pool
	Log   *zap.Logger
	// Digest returns the local host's digest for each exchange; it must not
	// block.
	Digest func() Digest
}

// Runner runs a Core on a timer, makes its calls over gRPC and publishes its
// table as a View.
type Runner struct {
	peerv1.UnimplementedMembershipServer

	o       Options
	members atomic.Pointer[[]Member]
	self    atomic.Pointer[Member]
	calls   sync.WaitGroup

	mu             sync.Mutex
	core           *Core
	publishedCount uint64
	changed        chan struct{}
	digestHooks    []func(from Member, d Digest)
}

// NewRunner returns a runner whose table holds only the local host; Run starts
// the exchanges.
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

// Register registers the Membership service on s.
func (r *Runner) Register(s grpc.ServiceRegistrar) { peerv1.RegisterMembershipServer(s, r) }

// OnDigest registers a hook that is called with each received digest. Hooks must
// not block and must be registered before Run.
func (r *Runner) OnDigest(hook func(from Member, d Digest)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.digestHooks = append(r.digestHooks, hook)
}

// Self implements View.
func (r *Runner) Self() Member { return *r.self.Load() }

// Members implements View.
func (r *Runner) Members() []Member { return slices.Clone(*r.members.Load()) }

// Changed returns a channel that is closed at the next change of the table. Call
// it before reading the table, so that no change is missed.
func (r *Runner) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// SetBuckets sets the control buckets that this host claims.
func (r *Runner) SetBuckets(claims []BucketClaim) { r.update(func(c *Core) { c.SetBuckets(claims) }) }

// SetRelay sets whether this host is a relay of its failure domain.
func (r *Runner) SetRelay(relay bool) { r.update(func(c *Core) { c.SetRelay(relay) }) }

// SetDraining sets whether this host is draining and takes no new work.
func (r *Runner) SetDraining(draining bool) { r.update(func(c *Core) { c.SetDraining(draining) }) }

// SetRevision sets the configuration revision in force on this host.
func (r *Runner) SetRevision(revision int64) { r.update(func(c *Core) { c.SetRevision(revision) }) }

func (r *Runner) update(change func(*Core)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r.core)
	r.publish(false)
}

// publish makes a changed table visible to readers, or any table if force is
// set. r.mu must be held, except in NewRunner.
func (r *Runner) publish(force bool) {
	if changes := r.core.ChangeCount(); changes != r.publishedCount || force {
		r.publishedCount = changes
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

// logChanges logs one line for each member whose state changed.
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
		r.runStep(ctx, func(now time.Time) []Action { return r.core.Tick(now) })
		select {
		case <-ctx.Done():
			r.calls.Wait()
			return nil
		case <-ticker.C:
		}
	}
}

// Leave announces to other hosts that this one leaves, and waits until the calls
// are answered or ctx ends.
func (r *Runner) Leave(ctx context.Context) {
	r.runStep(ctx, func(time.Time) []Action { return r.core.Leave() })
	r.calls.Wait()
}

// runStep runs a step of the core, publishes the table and starts the calls that
// the step returned.
func (r *Runner) runStep(ctx context.Context, step func(now time.Time) []Action) {
	r.mu.Lock()
	actions := step(time.Now())
	r.publish(false)
	r.mu.Unlock()
	for _, action := range actions {
		r.calls.Add(1)
		go func() {
			defer r.calls.Done()
			defer recovery.Contain("membership call", nil)
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

// client returns a client of the Membership service at an address.
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
	message := Message{Members: membersFromProto(reply.GetMembers())}
	r.runStep(ctx, func(now time.Time) []Action { return r.core.ExchangeDone(now, call, message, err) })
	if err == nil && len(message.Members) > 0 {
		r.notifyDigest(message.Members[0], reply.GetDigest())
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
		Members: membersToProto(call.Message.Members),
		Digest:  digestToProto(r.digest()),
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

func (r *Runner) notifyDigest(from Member, d *peerv1.Digest) {
	if d == nil {
		return
	}
	r.mu.Lock()
	hooks := r.digestHooks
	r.mu.Unlock()
	for _, hook := range hooks {
		hook(from, digestFromProto(d))
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
	r.runStep(ctx, func(now time.Time) []Action {
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
	message := Message{Members: membersFromProto(request.GetMembers()), Full: request.GetFull()}
	if message.Members[0].Host != request.GetSender().GetHost() {
		return nil, status.Error(codes.InvalidArgument, "exchange: members[0] is not the sender")
	}
	r.mu.Lock()
	reply := r.core.Receive(time.Now(), message)
	r.publish(false)
	r.mu.Unlock()
	r.notifyDigest(message.Members[0], request.GetDigest())
	return &peerv1.ExchangeReply{
		Sender:  r.o.Self.Sender(),
		Members: membersToProto(reply.Members),
		Digest:  digestToProto(r.digest()),
	}, nil
}

// Probe implements peerv1.MembershipServer. It contacts the target with an
// exchange that carries only the local host's entry.
func (r *Runner) Probe(ctx context.Context, request *peerv1.ProbeRequest) (*peerv1.ProbeReply, error) {
	_, err := r.send(ctx, ExchangeCall{
		Host:    request.GetTargetHost(),
		Address: request.GetTargetAddress(),
		Message: Message{Members: []Member{r.Self()}},
	})
	return &peerv1.ProbeReply{Sender: r.o.Self.Sender(), Reached: err == nil}, nil
}
