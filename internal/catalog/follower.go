package catalog

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/internal/recovery"
)

const (
	// expiryInterval is how often servers are checked for an expired LapseGrace.
	expiryInterval = 250 * time.Millisecond
	// listTimeout bounds one full read.
	listTimeout = 3 * time.Second
)

// Layout describes where the catalog is stored and how its values are decoded.
type Layout struct {
	// OperatorPrefix is the common prefix of ConfigKey and EvacuationPrefix.
	OperatorPrefix   string
	ConfigKey        string
	EvacuationPrefix string
	ServerPrefix     string
	// DecodeConfig and DecodeServer decode one value. Their errors name the invalid
	// field. The id is the part of the key after ServerPrefix.
	DecodeConfig func(value []byte) (*Config, error)
	DecodeServer func(id string, value []byte) (Server, error)
}

// Follower keeps the catalog in sync with the store.
type Follower struct {
	store  platform.Store
	layout Layout
	// drainTime is how long a draining server may still get work.
	drainTime func() time.Duration
	log       *zap.Logger
	now       func() time.Time

	relaying Relaying
	started  time.Time
	// initialGeneration is the generation of the store at the first read.
	initialGeneration atomic.Int64

	current  atomic.Pointer[Snapshot]
	operator *subscription
	servers  *subscription

	mu      sync.Mutex
	view    *view
	changed chan struct{}
}

// NewFollower returns a follower; Run starts it. drainTime is how long a server may get
// work after it announced that it is draining.
func NewFollower(store platform.Store, layout Layout, drainTime func() time.Duration, log *zap.Logger) *Follower {
	f := &Follower{
		store: store, layout: layout, drainTime: drainTime, log: log, now: time.Now,
		view: newView(), changed: make(chan struct{}), started: time.Now(),
	}
	f.operator = newSubscription(f, layout.OperatorPrefix)
	f.servers = newSubscription(f, layout.ServerPrefix)
	f.current.Store(f.view.snapshot())
	return f
}

// Snapshot returns the current view.
func (f *Follower) Snapshot() *Snapshot { return f.current.Load() }

// Changed returns a channel that is closed at the next change of the view.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// WaitReady waits until the configuration and the registrations have been read.
func (f *Follower) WaitReady(ctx context.Context) error {
	for {
		changed := f.Changed()
		if f.Snapshot().Complete {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Run follows the changes in the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { recovery.Loop(ctx, "catalog of the operators", f.operator.run) })
	group.Go(func() { recovery.Loop(ctx, "catalog of backend servers", f.servers.run) })
	recovery.Loop(ctx, "expiry of backend servers", f.expireLoop)
	group.Wait()
}

// Resync reads the catalog again. It is called when another call reached the store after
// an outage, because a watch that was open during the outage may never deliver anything.
func (f *Follower) Resync() {
	f.operator.requestResync()
	f.servers.requestResync()
}

// Revisions returns the revisions of the newest known changes.
func (f *Follower) Revisions() Revisions {
	return Revisions{Operator: f.operator.newestRevision(), Servers: f.servers.newestRevision()}
}

// Hint compares the revisions that another host knows with those that arrived here. If
// this host stays behind for hintGrace, it reads the catalog again.
func (f *Follower) Hint(r Revisions) {
	f.operator.hint(r.Operator)
	f.servers.hint(r.Servers)
}

func (f *Follower) expireLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, nil, expiryInterval)
		f.mu.Lock()
		now := f.now()
		expired := f.view.expire(now)
		if f.expireRestored(now) || expired {
			f.publish()
		}
		f.mu.Unlock()
	}
}

// ReadServers reads the servers of a service from the store. The result has every server that
// had registered when it was called, which the snapshot may not have yet. Entries that cannot be
// decoded are left out. The error is that of the store.
func (f *Follower) ReadServers(ctx context.Context, service string) ([]*Server, error) {
	items, _, err := f.store.List(ctx, f.layout.ServerPrefix)
	if err != nil {
		return nil, fmt.Errorf("read servers: %w", err)
	}
	var servers []*Server
	for _, item := range items {
		server, err := f.layout.DecodeServer(strings.TrimPrefix(item.Key, f.layout.ServerPrefix), item.Value)
		if err == nil && server.Service == service {
			servers = append(servers, &server)
		}
	}
	return servers, nil
}

// replace applies a full read of the keys below a prefix at a revision, as they were when
// asked.
func (f *Follower) replace(prefix string, items []platform.KeyValue, revision int64, asked time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	restored := f.view.observeGeneration(prefix, revision)
	present := map[string]bool{}
	for _, item := range items {
		present[item.Key] = true
		f.apply(platform.Event{KeyValue: item}, restored)
	}
	for _, key := range f.deletableKeys(prefix) {
		if !present[key] {
			f.apply(platform.Event{KeyValue: platform.KeyValue{Key: key}, Deleted: true}, restored)
		}
	}
	if !asked.IsZero() {
		f.view.confirm(prefix, asked)
	}
	f.publish()
}

// deletableKeys returns the keys below a prefix that are in the view, or left out of it,
// and would be removed by a deletion.
func (f *Follower) deletableKeys(prefix string) []string {
	var keys []string
	if prefix == f.layout.ServerPrefix {
		for id, server := range f.view.servers {
			if server.Lapsed.IsZero() {
				keys = append(keys, f.layout.ServerPrefix+id)
			}
		}
		for id := range f.view.outdated {
			keys = append(keys, f.layout.ServerPrefix+id)
		}
		return keys
	}
	for domain := range f.view.evacuated {
		if _, kept := f.view.evacuationMissing[domain]; !kept {
			keys = append(keys, f.layout.EvacuationPrefix+domain)
		}
	}
	return keys
}

// applyUpdate applies the changes of one revision.
func (f *Follower) applyUpdate(prefix string, update *platform.WatchUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, event := range update.Events {
		f.apply(event, false)
	}
	if !update.RequestedAt.IsZero() {
		f.view.confirm(prefix, update.RequestedAt)
	}
	f.publish()
}

// publish makes the current view visible to readers. The caller holds the lock.
func (f *Follower) publish() {
	f.current.Store(f.view.snapshot())
	close(f.changed)
	f.changed = make(chan struct{})
}

// apply applies one change. A value that cannot be decoded is logged and left out, and
// does not affect other entries. restored says that it is what a full read shows first
// after the store was restored.
func (f *Follower) apply(event platform.Event, restored bool) {
	switch {
	case event.Key == f.layout.ConfigKey:
		f.applyConfig(event)
	case strings.HasPrefix(event.Key, f.layout.EvacuationPrefix):
		domain := strings.TrimPrefix(event.Key, f.layout.EvacuationPrefix)
		if restored && event.Deleted {
			f.log.Info("evacuation kept: the restored store does not show it", zap.String(logging.FieldDomain, domain))
			f.view.missEvacuation(domain, f.now())
			return
		}
		f.applyEvacuation(domain, event.Deleted)
	case strings.HasPrefix(event.Key, f.layout.ServerPrefix):
		f.applyServer(strings.TrimPrefix(event.Key, f.layout.ServerPrefix), event, restored)
	}
}

func (f *Follower) applyConfig(event platform.Event) {
	if event.Deleted {
		return
	}
	config, err := f.layout.DecodeConfig(event.Value)
	if err != nil {
		f.log.Error("could not decode the configuration; keeping the current one", zap.String(logging.FieldStep, "decode configuration"),
			zap.Int64(logging.FieldRevision, event.ModRevision), zap.Error(err))
		return
	}
	if !f.view.setConfig(config) {
		f.log.Info("configuration left out: the current one is not older", zap.Int64("config_version", config.Version),
			zap.Int64("current_version", f.view.config.Version), zap.Int64(logging.FieldRevision, event.ModRevision))
		return
	}
	f.log.Info("configuration in force", zap.Int64("config_version", config.Version),
		zap.Int64(logging.FieldRevision, event.ModRevision), zap.Int("routes", len(config.Routes)))
}

func (f *Follower) applyEvacuation(domain string, ended bool) {
	delete(f.view.evacuationMissing, domain)
	if f.view.evacuated[domain] == !ended {
		return
	}
	f.log.Info("failure domain evacuation", zap.String(logging.FieldDomain, domain), zap.Bool("evacuated", !ended))
	if ended {
		delete(f.view.evacuated, domain)
		return
	}
	f.view.evacuated[domain] = true
}

func (f *Follower) applyServer(id string, event platform.Event, restored bool) {
	if event.Deleted {
		delete(f.view.outdated, id)
		f.log.Info("backend server entry removed", zap.String(logging.FieldInstance, id))
		f.view.lapseServer(id, f.now())
		return
	}
	server, err := f.layout.DecodeServer(id, event.Value)
	if err != nil {
		f.log.Warn("could not decode a backend server entry; treating it as removed", zap.String(logging.FieldInstance, id), zap.Error(err))
		f.view.lapseServer(id, f.now())
		return
	}
	server.Revision = event.ModRevision
	if f.view.leaveOut(&server, restored, f.now()) {
		f.logLeftOut(&server)
		return
	}
	f.logServer(&server)
	f.view.putServer(server, f.drainTime(), f.now())
}

// logServer logs a registration that changes where work is sent.
func (f *Follower) logServer(server *Server) {
	old := f.view.servers[server.ID]
	if old != nil && old.Role == server.Role && old.Draining == server.Draining && old.Started == server.Started {
		return
	}
	f.log.Info("backend server entry", zap.String(logging.FieldInstance, server.ID),
		zap.String("service", server.Service), zap.String(logging.FieldDomain, server.Domain),
		zap.Stringer("role", server.Role), zap.Bool("draining", server.Draining),
		zap.Int64(logging.FieldRevision, server.Revision))
}
