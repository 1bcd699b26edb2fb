package frontend

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/pool"
	"github.com/bramleylever/bramleylever/internal/records"
	"github.com/bramleylever/bramleylever/internal/recovery"
	"github.com/bramleylever/bramleylever/internal/routing"
	"github.com/bramleylever/bramleylever/internal/wire"
)

// Server accepts callers on any number of listeners and serves their sessions.
type Server struct {
	cfg       Config
	pools     *pool.Set
	policy    routing.Policy
	estimates *routing.Estimates
	decisions *routing.DecisionLog
	retries   *retryBudget
	waitQueue *requestQueue
	fallbacks *fallbackLimit
	metrics   *serverMetrics
	// mockSalt is the secret from which the SCRAM salts of unknown keys are
	// derived.
	mockSalt []byte
	// probing is the set of instances with a probe in progress.
	probing sync.Map

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	sessions  map[uint32]*session
	nextPID   uint32
	draining  atomic.Bool
	// endingTransactions is set by EndTransactions.
	endingTransactions atomic.Bool
	closed             bool
	stop               chan struct{}
	workers            sync.WaitGroup
	unsubscribe        func()
	// leaving reports for each instance whether it was leaving in the last
	// snapshot.
	leaving map[string]bool
}

// ErrServerClosed is returned by Serve after Drain or Close.
var ErrServerClosed = errors.New("server is closed")

// New returns a server that is ready to serve. If the name of the replica
// selection policy is unknown, New logs an error and uses the default policy;
// validate names with routing.NewPolicy.
func New(cfg Config) *Server {
	cfg.setDefaults()
	policy, err := routing.NewPolicy(cfg.Selection, cfg.Seed)
	if err != nil {
		cfg.Logger.Error("unknown replica selection policy; using the default", zap.Error(err))
		policy, _ = routing.NewPolicy("", cfg.Seed)
	}
	s := &Server{
		cfg:       cfg,
		pools:     pool.NewSet(cfg.Pool),
		policy:    policy,
		estimates: routing.NewEstimates(),
		decisions: routing.NewDecisionLog(cfg.Logger, cfg.LogEvery),
		retries:   newRetryBudget(),
		waitQueue: newRequestQueue(cfg.QueueRequests, cfg.QueueBytes),
		fallbacks: newFallbackLimit(),
		metrics:   newServerMetrics(cfg.Registry),
		mockSalt:  make([]byte, 16),
		listeners: map[net.Listener]struct{}{},
		sessions:  map[uint32]*session{},
		stop:      make(chan struct{}),
		leaving:   map[string]bool{},
	}
	_, _ = rand.Read(s.mockSalt)
	s.unsubscribe = cfg.Feed.Subscribe(s.applySnapshot)
	s.workers.Add(2)
	go s.maintain()
	go s.watchTopology()
	return s
}

// Pools returns the pools of backend connections, for status pages and for
// opening connections in advance.
func (s *Server) Pools() *pool.Set { return s.pools }

// Serve accepts callers until the listener fails or the server is drained or
// closed, and then returns ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		_ = l.Close()
		return ErrServerClosed
	}
	defer s.removeListener(l)
	for {
		conn, err := l.Accept()
		if err != nil {
			if s.draining.Load() {
				return ErrServerClosed
			}
			var temporary net.Error
			if errors.As(err, &temporary) && temporary.Timeout() {
				continue
			}
			return err
		}
		s.startSession(conn)
	}
}

func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining.Load() {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

func (s *Server) removeListener(l net.Listener) {
	s.mu.Lock()
	delete(s.listeners, l)
	s.mu.Unlock()
	_ = l.Close()
}

// startSession starts a session for a connection, or refuses the connection if
// the connection limit is reached or the server drains.
func (s *Server) startSession(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining.Load() || len(s.sessions) >= s.cfg.MaxConnections {
		s.metrics.refusedConnections.Inc(1)
		recovery.Go("refuse connection", func() { refuseConnection(conn) })
		return
	}
	s.nextPID++
	ses := &session{
		srv:    s,
		net:    conn,
		in:     wire.NewReader(conn, s.cfg.MaxMessageBytes),
		pid:    s.nextPID,
		ending: make(chan struct{}),
	}
	ses.memory = s.cfg.Memory.Lease()
	ses.in.Reserve = ses.reserve
	ses.out = wire.NewWriter(&deadlineWriter{conn, ses.ending})
	var secret [4]byte
	_, _ = rand.Read(secret[:])
	ses.secret = binary.BigEndian.Uint32(secret[:])
	s.sessions[ses.pid] = ses
	s.workers.Add(1)
	go ses.run()
}

// refuseConnection sends an error to a caller that is not accepted and closes the
// connection.
func refuseConnection(conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = conn.Write(wire.AppendErrorResponse(nil, "FATAL", "53300", "not run: too many connections to this proxy"))
	_ = conn.Close()
}

func (s *Server) removeSession(ses *session) {
	s.mu.Lock()
	delete(s.sessions, ses.pid)
	s.mu.Unlock()
	s.workers.Done()
}

func (s *Server) allSessions() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*session, 0, len(s.sessions))
	for _, ses := range s.sessions {
		all = append(all, ses)
	}
	return all
}

// Sessions returns the number of connected callers.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Waiting returns the number of requests that are queued until a primary is
// available.
func (s *Server) Waiting() int {
	s.waitQueue.mu.Lock()
	defer s.waitQueue.mu.Unlock()
	return s.waitQueue.requests
}

// Drain stops accepting callers and closes each session once it is idle at a
// transaction boundary. It does not wait for that.
func (s *Server) Drain() {
	s.stopListening()
	s.wakeAll()
}

// EndTransactions rolls back the open transactions of a draining server as soon as
// no request of theirs is running, and closes their sessions with an error that says
// so. Requests that arrive later are refused as not run.
func (s *Server) EndTransactions() {
	s.endingTransactions.Store(true)
	s.wakeAll()
}

func (s *Server) wakeAll() {
	for _, ses := range s.allSessions() {
		ses.wake()
	}
}

func (s *Server) stopListening() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining.Store(true)
	for l := range s.listeners {
		_ = l.Close()
	}
}

// Close ends all sessions immediately; open transactions are rolled back.
func (s *Server) Close() {
	s.stopListening()
	s.mu.Lock()
	first := !s.closed
	s.closed = true
	s.mu.Unlock()
	if first {
		close(s.stop)
		s.unsubscribe()
	}
	for _, ses := range s.allSessions() {
		ses.end(endServerClosed)
	}
	s.workers.Wait()
	s.pools.Close()
}

// maintenanceInterval is the period of pool maintenance and of the search for
// instances to probe. With three instances in each of 1,900 databases, this
// makes 23,000 checks per second.
const maintenanceInterval = 250 * time.Millisecond

func (s *Server) maintain() {
	defer s.workers.Done()
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
			s.pools.Tick()
			s.probeSuspects()
		}
	}
}

// applySnapshot ends the sessions whose login is no longer valid and retires the
// connections to instances that started leaving. Calls are made in the order of
// the revisions.
func (s *Server) applySnapshot(snapshot *records.Snapshot) {
	for _, ses := range s.allSessions() {
		if login := ses.login.Load(); login != nil && !login.valid(snapshot) {
			ses.end(endKeyWithdrawn)
		}
	}
	for _, database := range snapshot.Databases {
		for _, instance := range database.Instances {
			leaving := snapshot.InstanceLeaving(instance)
			if leaving && !s.leaving[instance.Name] {
				s.pools.Retire(instance.Name)
			}
			s.leaving[instance.Name] = leaving
		}
	}
}

// watchTopology retires the connections to demoted instances and, after
// DemotedGrace, interrupts the writes that still run on them.
func (s *Server) watchTopology() {
	defer s.workers.Done()
	primaries := map[string]string{}
	for {
		changed := s.cfg.Topology.Changed()
		for _, g := range s.cfg.Topology.All() {
			old := primaries[g.Database]
			primaries[g.Database] = g.Primary
			if old == "" || old == g.Primary {
				continue
			}
			s.pools.Retire(old)
			time.AfterFunc(s.cfg.DemotedGrace, func() { s.interruptWrites(old) })
		}
		select {
		case <-changed:
		case <-s.stop:
			return
		}
	}
}

func (s *Server) interruptWrites(instance string) {
	for _, ses := range s.allSessions() {
		ses.interruptWrite(instance)
	}
}

// probeSuspects probes the instances whose answers are overdue. If an instance
// answers the probe, it is only running a slow statement, which is not
// interrupted. If it does not, the reads on it are interrupted and repeated on
// another instance.
func (s *Server) probeSuspects() {
	now := s.cfg.Now()
	for _, database := range s.cfg.Feed.Current().Databases {
		for _, instance := range database.Instances {
			if !s.estimates.Of(instance.Name).Suspect(now) {
				continue
			}
			if _, busy := s.probing.LoadOrStore(instance.Name, true); !busy {
				s.workers.Add(1)
				target := pool.Target{Instance: instance.Name, Address: instance.Address, Database: database.Name}
				recovery.Go("probe instance", func() { s.probe(target) })
			}
		}
	}
}

func (s *Server) probe(t pool.Target) {
	defer s.workers.Done()
	defer s.probing.Delete(t.Instance)
	if s.pools.Ping(t) == nil {
		s.estimates.Of(t.Instance).Answered(s.cfg.Now())
		return
	}
	for _, ses := range s.allSessions() {
		ses.interruptRead(t.Instance)
	}
}
