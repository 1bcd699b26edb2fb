// Package hosts registers this host in the platform's store and counts the
// hosts that are registered there. Everything that the host holds in the store
// hangs on the same lease.
//
// Invariant: Lease is reported as valid only while the store keeps it.
package hosts

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/lease"
)

// Prefix is where hosts register; the value is a Host.
const Prefix = "bramleylever/hosts/"

const (
	leaseTTL       = 3 * time.Second
	keepAlivePause = 1 * time.Second
	retryPause     = 250 * time.Millisecond
	refreshPause   = 3 * time.Second
	// refreshPerHost keeps the reads of a large fleet in proportion to its size
	// rather than to the square of it.
	refreshPerHost = 100 * time.Millisecond
	// startTime is how long the other hosts are read with every renewal.
	startTime   = 5 * time.Second
	callTimeout = 800 * time.Millisecond
	// countMemory is how long a host that disappeared is still counted. It may
	// run on without the store, and its part of a limit must stay free.
	countMemory = 15 * time.Second
)

// MaxSmallFleet is the largest number of hosts of a small fleet. There each host
// serves mostly by itself and holds a part of every limit; in a larger one most
// work passes through others. The bound is not near a size in use, because a
// host that is replaced must not change it.
const MaxSmallFleet = 14

// Host is a registered host.
type Host struct {
	Name   string `json:"-"`
	Domain string `json:"failure_domain"`
	// Address is where other hosts reach it.
	Address string `json:"address"`
}

// Registry registers one host and follows the others.
type Registry struct {
	self  Host
	store platform.Store
	log   *zap.Logger
	now   func() time.Time
	// regained is called when the store answers again after a failed call.
	regained func()

	mu    sync.Mutex
	id    platform.LeaseID
	clock *lease.Clock
	seen  map[string]sighting
}

// sighting is what is known of a host.
type sighting struct {
	Host
	// gone is when the host was found to be no longer registered; zero while
	// it is.
	gone time.Time
}

// New returns the registry of a host.
func New(self Host, store platform.Store, log *zap.Logger) *Registry {
	return &Registry{
		self: self, store: store, log: log, now: time.Now,
		regained: func() {}, clock: lease.New(lease.DefaultMargin), seen: map[string]sighting{self.Name: {Host: self}},
	}
}

// OnReconnected sets a function that is called when the store answers again after
// a failed call. It must be set before Run.
func (r *Registry) OnReconnected(f func()) { r.regained = f }

// Lease returns the host's lease and how long it remains valid.
func (r *Registry) Lease() (platform.LeaseID, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id, r.clock.Remaining(r.now())
}

// refresh reads which hosts are registered.
func (r *Registry) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	items, _, err := r.read(ctx)
	if err != nil {
		return err
	}
	present := map[string]Host{}
	for _, item := range items {
		h := Host{Name: strings.TrimPrefix(item.Key, Prefix)}
		if err := json.Unmarshal(item.Value, &h); err != nil {
			r.log.Warn("host entry not readable", zap.String("key", item.Key), zap.Error(err))
			continue
		}
		present[h.Name] = h
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, h := range present {
		r.seen[name] = sighting{Host: h}
	}
	for name, s := range r.seen {
		if _, ok := present[name]; !ok && s.gone.IsZero() && name != r.self.Name {
			r.seen[name] = sighting{Host: s.Host, gone: r.now()}
		}
	}
	return nil
}

// read returns the entries of all hosts. Parts of limits depend on the number of
// hosts in a small fleet, so that must not be seconds old there.
func (r *Registry) read(ctx context.Context) ([]platform.KeyValue, int64, error) {
	if known, _ := r.Live(); known > MaxSmallFleet {
		return r.store.ListStale(ctx, Prefix)
	}
	return r.store.List(ctx, Prefix)
}

// Hosts returns the registered hosts.
func (r *Registry) Hosts() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Host, 0, len(r.seen))
	for _, s := range r.seen {
		if s.gone.IsZero() {
			out = append(out, s.Host)
		}
	}
	return out
}

// Live returns the number of registered hosts, and of the failure domains that
// they are in.
func (r *Registry) Live() (hosts, domains int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	in := map[string]bool{}
	for _, s := range r.seen {
		if s.gone.IsZero() {
			hosts++
			in[s.Domain] = true
		}
	}
	return hosts, len(in)
}

// Count returns the number of hosts that may be running, at least 1.
func (r *Registry) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	count := 0
	for name, s := range r.seen {
		if !s.gone.IsZero() && now.Sub(s.gone) > countMemory {
			delete(r.seen, name)
			continue
		}
		count++
	}
	return max(1, count)
}

// Run registers the host and renews its lease until ctx ends; then the lease
// is given back.
func (r *Registry) Run(ctx context.Context) {
	started := r.now()
	lost := time.Time{}
	refreshed := time.Time{}
	for ctx.Err() == nil {
		pause := keepAlivePause
		err := r.step(ctx)
		if err == nil && r.now().Sub(refreshed) >= r.refreshPause(started) {
			err = r.refresh(ctx)
			refreshed = r.now()
		}
		if err != nil {
			pause = retryPause
		}
		lost = r.logChange(lost, err)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	r.giveBack()
}

// refreshPause is shorter while the fleet starts.
func (r *Registry) refreshPause(started time.Time) time.Duration {
	if r.now().Sub(started) < startTime {
		return 0
	}
	hosts, _ := r.Live()
	return max(refreshPause, time.Duration(hosts)*refreshPerHost)
}

// logChange writes a line when the registration is lost or regained, and
// returns since when it is lost.
func (r *Registry) logChange(lost time.Time, err error) time.Time {
	switch {
	case err != nil && lost.IsZero():
		r.log.Warn("host registration lost", zap.String(logging.FieldStep, "renew lease"), zap.Error(err))
		return r.now()
	case err == nil && !lost.IsZero():
		r.log.Info("host registration regained", zap.Duration("lost_for", r.now().Sub(lost)))
		r.regained()
		return time.Time{}
	}
	return lost
}

func (r *Registry) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	id, _ := r.Lease()
	if id == 0 {
		return r.register(ctx)
	}
	sent := r.now()
	ttl, err := r.store.KeepAlive(ctx, id)
	if errors.Is(err, platform.ErrLeaseNotFound) {
		r.forget()
		r.log.Info("host lease lost", zap.Int64("lease", int64(id)))
		return r.register(ctx)
	}
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock.Renew(sent, ttl)
	return nil
}

// register takes a new lease and puts the host's key under it, over one that
// an earlier incarnation may have left.
func (r *Registry) register(ctx context.Context) error {
	sent := r.now()
	id, err := r.store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(r.self)
	if err != nil {
		return err
	}
	_, err = r.store.Txn(ctx, platform.Txn{Puts: []platform.Put{{Key: Prefix + r.self.Name, Value: value, Lease: id}}})
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.id = id
	r.clock = lease.New(lease.DefaultMargin)
	r.clock.Renew(sent, leaseTTL)
	r.log.Info("host registered", zap.Int64("lease", int64(id)))
	return nil
}

func (r *Registry) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock.End()
	r.id = 0
}

func (r *Registry) giveBack() {
	id, _ := r.Lease()
	if id == 0 {
		return
	}
	r.forget()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := r.store.RevokeLease(ctx, id); err != nil {
		r.log.Warn("host lease not given back; it expires", zap.Error(err))
	}
}
