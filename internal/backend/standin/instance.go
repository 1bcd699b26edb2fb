// Package standin implements a stand-in for a database instance: the PostgreSQL
// protocol on top of in-memory SQLite, with the cluster functions, replication and
// fault injection.
//
// Two SQLite databases separate uncommitted changes from reads: write transactions run
// one at a time on the writer's database, and committed statements are replayed on the
// database that serves reads. Replicas replay the same log. The isolation level is READ
// COMMITTED.
package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/position"
)

const (
	// DefaultUser is the default service user of data connections.
	DefaultUser = "bramleylever"
	// ReplicationUser is the user of replication connections.
	ReplicationUser = "replicator"
	// ControlSlots is the maximum number of control connections. They don't count
	// towards the connection limit.
	ControlSlots = 8

	// At 20 ms, nine idle instances took 12% of a core. A read guard that needs fresher
	// data requests the position at once.
	defaultPositionRequestInterval = 50 * time.Millisecond
	defaultRecordLimit             = 10_000
)

// Config describes an instance. The zero value is usable.
type Config struct {
	// Name identifies the instance in its group. The default is its address.
	Name string
	// GroupSize is the number of instances in the group; a majority of them confirms a
	// position. The default is 1.
	GroupSize int
	// User is the service user of data connections. The default is DefaultUser.
	User string
	// Password is the password of User, backend.ControlUser and ReplicationUser. If it
	// is empty, every password is accepted.
	Password string
	// Settings are the initial settings.
	Settings Settings
	// PositionRequestInterval is how often a replica requests the primary's position.
	// The default is 50 ms.
	PositionRequestInterval time.Duration
	// RecordLimit is the number of most recent statements that are kept for Executed.
	// The default is 10,000; a negative value keeps none.
	RecordLimit int
	// OnReceive, if set, is called with all bytes that arrive. Calls may be concurrent,
	// and data must not be retained.
	OnReceive func(remote net.Addr, data []byte)
	// FaultAddress, if set, is the address that serves GET and POST /faults from the
	// first start until Discard.
	FaultAddress string
	// Logger is the logger. The default discards all messages.
	Logger *zap.Logger
}

// Instance is a database instance. Like a server with a disk, it keeps its log, term
// and role when it is closed and started again.
type Instance struct {
	cfg      Config
	log      *zap.Logger
	settings *faultSettings
	slots    slots
	recorder recorder
	parsed   statementCache

	applyMu sync.Mutex // held while log entries are applied or removed

	mu       sync.Mutex
	waiters  []*waiter // evaluated when the state below changes
	state    state
	db       *database // serves reads; holds the entries up to state.applied
	writer   *writer   // primaries only
	follower *follower // replicas only

	connMu   sync.Mutex
	listener net.Listener
	faults   *FaultServer
	sessions map[uint32]*session
	counts   map[connectionClass]int
	nextPID  uint32
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	replica  atomic.Bool
	lastAddr atomic.Pointer[netip.Addr]
}

// New returns an instance that is not started. It is fenced in term 0.0 and
// has an empty log.
func New(cfg Config) *Instance {
	if cfg.GroupSize == 0 {
		cfg.GroupSize = 1
	}
	if cfg.User == "" {
		cfg.User = DefaultUser
	}
	if cfg.PositionRequestInterval == 0 {
		cfg.PositionRequestInterval = defaultPositionRequestInterval
	}
	if cfg.RecordLimit == 0 {
		cfg.RecordLimit = defaultRecordLimit
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	i := &Instance{
		cfg:      cfg,
		log:      cfg.Logger,
		settings: newFaultSettings(cfg.Settings),
		sessions: map[uint32]*session{},
		counts:   map[connectionClass]int{},
	}
	i.recorder.limit = cfg.RecordLimit
	i.state.role = backend.RoleFenced
	i.replica.Store(true)
	return i
}

// Start listens on addr, for example "127.0.0.1:0". After Close, the instance continues
// with its log and its role.
func (i *Instance) Start(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("start instance %s: %w", i.cfg.Name, err)
	}
	if err := i.open(listener); err != nil {
		_ = listener.Close()
		return fmt.Errorf("start instance %s: %w", i.cfg.Name, err)
	}
	i.wg.Add(2)
	go i.accept(listener)
	go i.applyLoop()
	i.resume()
	return i.startFaults()
}

func (i *Instance) startFaults() error {
	i.connMu.Lock()
	wanted := i.cfg.FaultAddress != "" && i.faults == nil
	i.connMu.Unlock()
	if !wanted {
		return nil
	}
	server, err := i.ServeFaults(i.cfg.FaultAddress)
	if err != nil {
		_ = i.Close()
		return err
	}
	i.connMu.Lock()
	defer i.connMu.Unlock()
	i.faults = server
	return nil
}

// FaultAddress returns the host and port of the fault server, or an empty string if
// there is none.
func (i *Instance) FaultAddress() string {
	i.connMu.Lock()
	defer i.connMu.Unlock()
	if i.faults == nil {
		return ""
	}
	return i.faults.Address()
}

func (i *Instance) open(listener net.Listener) error {
	i.connMu.Lock()
	defer i.connMu.Unlock()
	if i.listener != nil {
		return errors.New("already started")
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.db == nil {
		db, err := openDatabase(nil, i.replica.Load)
		if err != nil {
			return err
		}
		i.db = db
	}
	i.listener = listener
	addr := addressOf(listener.Addr())
	i.lastAddr.Store(&addr)
	i.ctx, i.cancel = context.WithCancel(context.Background())
	if i.cfg.Name == "" {
		i.cfg.Name = listener.Addr().String()
	}
	i.log = i.cfg.Logger.With(zap.String(logging.FieldInstance, i.cfg.Name))
	return nil
}

// resume restores the role that the instance had when it was closed.
func (i *Instance) resume() {
	if i.Status().Role == backend.RolePrimary {
		i.applyTo(i.Status().Received)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	switch i.state.role {
	case backend.RolePrimary:
		if err := i.openWriterLocked(); err != nil {
			i.log.Error("failed to open the write database after a restart; fencing the instance", zap.Error(err))
			i.setRoleLocked(backend.RoleFenced)
		}
	case backend.RoleReplica:
		i.startFollowerLocked()
	}
}

// Name returns the configured name, or the address if there is none.
func (i *Instance) Name() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.cfg.Name
}

// Address returns the host and port of the listener, or an empty string if the instance
// is not started.
func (i *Instance) Address() string {
	i.connMu.Lock()
	defer i.connMu.Unlock()
	if i.listener == nil {
		return ""
	}
	return i.listener.Addr().String()
}

// Close stops the instance immediately, like a kill: connections are reset and open
// transactions are lost.
func (i *Instance) Close() error {
	i.connMu.Lock()
	listener := i.listener
	i.listener = nil
	if listener == nil {
		i.connMu.Unlock()
		return nil
	}
	i.cancel()
	for _, s := range i.sessions {
		s.conn.kill()
	}
	i.connMu.Unlock()
	err := listener.Close()
	i.mu.Lock()
	i.stopFollowerLocked()
	i.closeWriterLocked()
	i.mu.Unlock()
	i.wg.Wait()
	return err
}

// Discard closes the instance and releases its data. It can't be started again.
func (i *Instance) Discard() {
	_ = i.Close()
	i.connMu.Lock()
	if i.faults != nil {
		_ = i.faults.Close()
	}
	i.connMu.Unlock()
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.db != nil {
		i.db.close()
	}
}

// Settings returns the current settings.
func (i *Instance) Settings() Settings {
	s := *i.settings.get()
	s.Cut = slices.Clone(s.Cut)
	return s
}

// Update changes the settings. If the result is invalid, it returns an error and
// changes nothing.
func (i *Instance) Update(change func(*Settings)) error {
	if err := i.settings.update(change); err != nil {
		return err
	}
	i.slots.resize(i.settings.get().Slots)
	return nil
}

func (i *Instance) accept(listener net.Listener) {
	defer i.wg.Done()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s, ok := i.newSession(conn)
		if !ok {
			_ = conn.Close()
			return
		}
		go func() {
			defer i.wg.Done()
			s.serve()
		}()
	}
}

// Status returns the result of cluster_status.
func (i *Instance) Status() backend.Status {
	i.connMu.Lock()
	connections := i.counts[classData]
	i.connMu.Unlock()
	i.mu.Lock()
	defer i.mu.Unlock()
	st := &i.state
	return backend.Status{
		Instance:        i.cfg.Name,
		Role:            st.role,
		Term:            st.term,
		LastLogTerm:     st.lastTerm(),
		Received:        st.lastLSN(),
		Applied:         st.applied,
		Confirmed:       st.confirmed,
		History:         append(position.History{}, st.history...),
		Connections:     connections,
		ConnectionLimit: i.settings.get().ConnectionLimit,
	}
}
