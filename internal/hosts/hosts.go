// Package hosts registers this host in the platform's store and tracks the other
// registered hosts. All keys that belong to this host are bound to one lease.
//
// Invariant: Lease is reported as valid only while the store keeps it.
package hosts

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/lease"
)

// Prefix is the key prefix of the registered hosts; each value is a Host in JSON.
const Prefix = "bramleylever/hosts/"

// LeaseTTL is the time to live of the lease to which all keys of a host are bound.
const LeaseTTL = 3 * time.Second

const (
	keepAliveInterval  = 1 * time.Second
	retryDelay         = 250 * time.Millisecond
	minRefreshInterval = 3 * time.Second
	// refreshIntervalPerHost lengthens the interval with the size of the fleet, so that
	// the reads of all hosts grow linearly with it and not with its square.
	refreshIntervalPerHost = 100 * time.Millisecond
	// startupPeriod is how long after its start a host reads the other hosts with
	// every lease renewal.
	startupPeriod = 5 * time.Second
	// secondReadDelay is the delay between the first two reads of the other hosts.
	secondReadDelay = 100 * time.Millisecond
	callTimeout     = 800 * time.Millisecond
	// goneRetention is how long a host that disappeared is still counted. It may be
	// running without the store, and other hosts must not use its part of a limit.
	goneRetention = 15 * time.Second
)

// MaxSmallFleet is the largest number of hosts of a small fleet. In a small fleet each
// host serves most work by itself and has an allocation of every limit; in a larger one
// most work goes through other hosts. The bound is far from any fleet size in use, so that
// replacing a host does not cross it.
const MaxSmallFleet = 14

// Host is a registered host.
type Host struct {
	Name   string `json:"-"`
	Domain string `json:"failure_domain"`
	// Address is where other hosts connect to it.
	Address string `json:"address"`
	// Capacity is what the host has, in processor cores, relative to the other hosts; 0 if it
	// does not say. Work for the fleet goes to hosts in proportion to it.
	Capacity float64 `json:"capacity,omitempty"`
}

// defaultCapacity is assumed of a host that does not say its capacity. A host of a build of
// before does not.
const defaultCapacity = 0.5

// capacity returns the capacity, which is positive and finite.
func (h Host) capacity() float64 {
	if h.Capacity > 0 && !math.IsInf(h.Capacity, 0) {
		return h.Capacity
	}
	return defaultCapacity
}

// Registry registers this host and tracks the other registered hosts.
type Registry struct {
	self  Host
	store platform.Store
	log   *zap.Logger
	now   func() time.Time
	// entry is this host's registration.
	entry platform.OwnedKey
	// reconnected is called when the store answers again after a failed call.
	reconnected func()
	// alive reports whether a host was running recently, whatever the store says.
	alive func(name string) bool

	mu    sync.Mutex
	id    platform.LeaseID
	clock *lease.Clock
	// generation is that of the store that granted the lease.
	generation platform.Generation
	known      map[string]hostState
	// renewedAt is when the last successful renewal of the registration was sent.
	renewedAt time.Time
	// reads is the number of times that the other hosts have been read.
	reads int
}

// hostState is what is known of a host.
type hostState struct {
	Host
	// goneSince is when the host was found to be unregistered; zero while it is
	// registered.
	goneSince time.Time
}

// New returns the registry for a host; Run registers it.
func New(self Host, store platform.Store, log *zap.Logger) *Registry {
	return &Registry{
		self: self, store: store, log: log, now: time.Now, entry: platform.OwnedKey{Key: Prefix + self.Name},
		reconnected: func() {}, alive: func(string) bool { return false }, clock: lease.New(lease.DefaultMargin), known: map[string]hostState{self.Name: {Host: self}},
	}
}

// OnReconnected sets a function that is called when the store answers again after a
// failed call. It must be called before Run.
func (r *Registry) OnReconnected(f func()) { r.reconnected = f }

// SetAlive sets a function that reports whether other hosts have heard from a host
// recently. A host whose entry in the store has expired, because the store is away for
// it, stays in use while it is alive. It must be called before Run.
func (r *Registry) SetAlive(f func(name string) bool) { r.alive = f }

// Lease returns the host's lease and its remaining validity. A store that was restored
// may have lost the lease, or keys that were bound to it, so the lease is not valid any
// more even if the store still knows it.
func (r *Registry) Lease() (platform.LeaseID, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.generation != r.store.Generation() {
		return r.id, 0
	}
	return r.id, r.clock.Remaining(r.now())
}

// restored reports whether the store was restored since it granted the lease.
func (r *Registry) restored() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id != 0 && r.generation != r.store.Generation()
}

// refresh reads the registered hosts.
func (r *Registry) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	items, _, err := r.listHosts(ctx)
	if err != nil {
		return err
	}
	present := map[string]Host{}
	for _, item := range items {
		h := Host{Name: strings.TrimPrefix(item.Key, Prefix)}
		if err := json.Unmarshal(item.Value, &h); err != nil {
			r.log.Warn("could not decode a host entry; ignoring it", zap.String("key", item.Key), zap.Error(err))
			continue
		}
		present[h.Name] = h
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	for name, h := range present {
		r.known[name] = hostState{Host: h}
	}
	for name, s := range r.known {
		if _, ok := present[name]; !ok && s.goneSince.IsZero() && name != r.self.Name {
			r.known[name] = hostState{Host: s.Host, goneSince: r.now()}
		}
	}
	return nil
}

// listHosts reads the entries of all hosts. A small fleet divides limits by the number
// of hosts, so the read must not be stale there.
func (r *Registry) listHosts(ctx context.Context) ([]platform.KeyValue, int64, error) {
	if known, _ := r.Live(); known > MaxSmallFleet {
		return r.store.ListStale(ctx, Prefix)
	}
	return r.store.List(ctx, Prefix)
}

// Known reports whether the other hosts are known. The first read does not suffice,
// because the hosts of a fleet may start together.
func (r *Registry) Known() bool {
	const minReads = 2
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reads >= minReads
}

// Hosts returns the hosts that are registered or alive.
func (r *Registry) Hosts() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Host, 0, len(r.known))
	for _, s := range r.known {
		if r.inUse(s) {
			out = append(out, s.Host)
		}
	}
	return out
}

// inUse reports whether a host is registered or alive.
func (r *Registry) inUse(s hostState) bool { return s.goneSince.IsZero() || r.alive(s.Name) }

// InUse reports whether a host is registered or alive.
func (r *Registry) InUse(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.known[name]
	return ok && r.inUse(s)
}

// RenewedAt returns when the last successful renewal of this host's registration was
// sent; zero if there was none.
func (r *Registry) RenewedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.renewedAt
}

// Live returns the number of registered hosts and of their failure domains.
func (r *Registry) Live() (hosts, domains int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	in := map[string]bool{}
	for _, s := range r.known {
		if r.inUse(s) {
			hosts++
			in[s.Domain] = true
		}
	}
	return hosts, len(in)
}

// Counted returns the hosts that may be running, including those that are neither
// registered nor were alive for less than goneRetention.
func (r *Registry) Counted() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	counted := make([]Host, 0, len(r.known))
	for name, s := range r.known {
		switch {
		case s.goneSince.IsZero():
		case r.alive(name):
			s.goneSince = now
			r.known[name] = s
		case now.Sub(s.goneSince) > goneRetention:
			delete(r.known, name)
			continue
		}
		counted = append(counted, s.Host)
	}
	return counted
}

// Count returns the number of hosts that may be running. It is at least 1.
func (r *Registry) Count() int { return max(1, len(r.Counted())) }

// Run registers the host and renews its lease until ctx ends, and then revokes it.
func (r *Registry) Run(ctx context.Context) {
	started := r.now()
	lost := time.Time{}
	refreshed := time.Time{}
	for ctx.Err() == nil {
		pause := keepAliveInterval
		err := r.renewOrRegister(ctx)
		// A host that does not know the others reads them also if its registration failed.
		if (err == nil || !r.Known()) && r.now().Sub(refreshed) >= r.refreshInterval(started) {
			err = errors.Join(err, r.refresh(ctx))
			refreshed = r.now()
		}
		switch {
		case err != nil:
			pause = retryDelay
		case !r.Known():
			pause = secondReadDelay
		}
		lost = r.logTransition(lost, err)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	r.revokeLease()
}

// refreshInterval returns the minimum time between two reads of the other hosts.
// It is zero during startupPeriod, while many hosts may be starting.
func (r *Registry) refreshInterval(started time.Time) time.Duration {
	if r.now().Sub(started) < startupPeriod {
		return 0
	}
	hosts, _ := r.Live()
	return max(minRefreshInterval, time.Duration(hosts)*refreshIntervalPerHost)
}

// logTransition logs when the registration is lost or restored. It takes and returns the
// time since which it is lost, zero if it is not.
func (r *Registry) logTransition(lost time.Time, err error) time.Time {
	switch {
	case err != nil && lost.IsZero():
		r.log.Warn("host registration lost", zap.String(logging.FieldStep, "renew lease"), zap.Error(err))
		return r.now()
	case err == nil && !lost.IsZero():
		r.log.Info("host registration restored", zap.Duration("lost_for", r.now().Sub(lost)))
		r.reconnected()
		return time.Time{}
	}
	return lost
}

func (r *Registry) renewOrRegister(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	id, _ := r.Lease()
	if id == 0 {
		return r.register(ctx)
	}
	sent := r.now()
	ttl, err := r.store.KeepAlive(ctx, id)
	restored := r.restored()
	if errors.Is(err, platform.ErrLeaseNotFound) || err == nil && restored {
		r.clearLease()
		r.log.Info("host lease lost", zap.Int64("lease", int64(id)), zap.Bool("store_restored", restored))
		err = r.register(ctx)
		if restored {
			r.reconnected()
		}
		return err
	}
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock.Renew(sent, ttl)
	r.renewedAt = sent
	return nil
}

// register grants a lease and writes the host's entry under it. It overwrites an entry
// that an earlier process of this host may have left.
func (r *Registry) register(ctx context.Context) error {
	sent := r.now()
	generation := r.store.Generation()
	id, err := r.store.GrantLease(ctx, LeaseTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(r.self)
	if err != nil {
		return err
	}
	// A registration that is carried out late must not bind the entry to its older lease.
	if err := r.entry.Put(ctx, r.store, value, id); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.id, r.generation = id, generation
	r.clock = lease.New(lease.DefaultMargin)
	r.clock.Renew(sent, LeaseTTL)
	r.renewedAt = sent
	r.log.Info("host registered", zap.Int64("lease", int64(id)))
	return nil
}

func (r *Registry) clearLease() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock.End()
	r.id = 0
}

func (r *Registry) revokeLease() {
	id, _ := r.Lease()
	if id == 0 {
		return
	}
	r.clearLease()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := r.store.RevokeLease(ctx, id); err != nil {
		r.log.Warn("could not revoke the host lease; it will expire", zap.Error(err))
	}
}
