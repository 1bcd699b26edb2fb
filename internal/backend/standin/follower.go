package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/position"
)

// reconnectDelay is the time between attempts to reach the primary.
const reconnectDelay = 20 * time.Millisecond

// follower replicates from a primary in one term.
type follower struct {
	inst    *Instance
	term    position.Term
	address string
	ctx     context.Context
	cancel  context.CancelFunc
	settled chan struct{} // closed after the first attempt agreed on the log
	once    sync.Once
	ask     chan struct{}
}

func (i *Instance) startFollowerLocked() {
	f := &follower{
		inst:    i,
		term:    i.state.term,
		address: i.state.primary,
		settled: make(chan struct{}),
		ask:     make(chan struct{}, 1),
	}
	f.ctx, f.cancel = context.WithCancel(i.ctx)
	i.follower = f
	i.wg.Add(1)
	go func() {
		defer i.wg.Done()
		f.run()
	}()
}

func (i *Instance) stopFollowerLocked() {
	if i.follower == nil {
		return
	}
	i.follower.cancel()
	i.follower = nil
	i.state.samples = nil
}

// askNow makes the follower ask for the primary's position without waiting
// for the interval.
func (f *follower) askNow() {
	select {
	case f.ask <- struct{}{}:
	default:
	}
}

func (f *follower) run() {
	for f.ctx.Err() == nil {
		if err := f.connect(); err != nil && f.ctx.Err() == nil {
			f.inst.logFailure("follow", f.address, err)
		}
		select {
		case <-time.After(reconnectDelay):
		case <-f.ctx.Done():
		}
	}
}

// replicaStream is one connection to the primary.
type replicaStream struct {
	f        *follower
	frontend *pgproto3.Frontend

	sendMu sync.Mutex

	askMu  sync.Mutex
	nextID uint64
	asked  map[uint64]time.Time
	ping   uint64
}

func (f *follower) connect() error {
	conn, err := f.dial()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(f.ctx, func() { _ = conn.Close() })
	defer stop()
	r := &replicaStream{f: f, frontend: pgproto3.NewFrontend(conn, conn), asked: map[uint64]time.Time{}}
	if err := r.login(); err != nil {
		return err
	}
	first, err := r.start()
	if err != nil {
		return err
	}
	if err := r.agree(first); err != nil {
		return err
	}
	f.once.Do(func() { close(f.settled) })
	return r.replicate()
}

// dial connects from the address on which the instance listens, so that a cut
// by source address also applies at the primary.
func (f *follower) dial() (net.Conn, error) {
	target, err := net.ResolveTCPAddr("tcp", f.address)
	if err != nil {
		return nil, fmt.Errorf("primary address %q: %w", f.address, err)
	}
	if err := f.inst.switches.pass(f.ctx, target.AddrPort().Addr().Unmap()); err != nil {
		return nil, err
	}
	dialer := net.Dialer{}
	if own, err := net.ResolveTCPAddr("tcp", f.inst.Address()); err == nil && own.IP.IsLoopback() {
		dialer.LocalAddr = &net.TCPAddr{IP: own.IP}
	}
	conn, err := dialer.DialContext(f.ctx, "tcp", f.address)
	if err != nil {
		return nil, err
	}
	return newFaultConn(f.ctx, conn, f.inst.switches, nil), nil
}

// login authenticates as the replication user.
func (r *replicaStream) login() error {
	r.frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersionNumber,
		Parameters:      map[string]string{"user": ReplicationUser, "replication": "true"},
	})
	if err := r.frontend.Flush(); err != nil {
		return err
	}
	for {
		msg, err := r.frontend.Receive()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case *pgproto3.AuthenticationCleartextPassword:
			r.frontend.Send(&pgproto3.PasswordMessage{Password: r.f.inst.cfg.Password})
			if err := r.frontend.Flush(); err != nil {
				return err
			}
		case *pgproto3.ErrorResponse:
			return fmt.Errorf("log in: %s (SQLSTATE %s)", m.Message, m.Code)
		case *pgproto3.ReadyForQuery:
			return nil
		}
	}
}

// start requests the stream and returns the primary's description.
func (r *replicaStream) start() (hello, error) {
	var first hello
	request, err := json.Marshal(startReplication{Instance: r.f.inst.Name(), Term: r.f.term})
	if err != nil {
		return first, err
	}
	r.frontend.Send(&pgproto3.Query{String: startReplicationCommand + string(request)})
	if err := r.frontend.Flush(); err != nil {
		return first, err
	}
	kind, body, err := r.receive()
	if err != nil {
		return first, err
	}
	if kind != messageHello {
		return first, fmt.Errorf("replication: expected a description of the log, got message %q", kind)
	}
	if err := json.Unmarshal(body, &first); err != nil {
		return first, fmt.Errorf("replication: malformed description of the log: %w", err)
	}
	if first.Term != r.f.term {
		return first, fmt.Errorf("replication: primary is in term %s, wanted %s", first.Term, r.f.term)
	}
	return first, first.History.Validate()
}

// receive returns the kind and the body of the next stream message.
func (r *replicaStream) receive() (byte, []byte, error) {
	for {
		msg, err := r.frontend.Receive()
		if err != nil {
			return 0, nil, err
		}
		switch m := msg.(type) {
		case *pgproto3.CopyData:
			if len(m.Data) == 0 {
				return 0, nil, fmt.Errorf("replication: empty message")
			}
			return m.Data[0], m.Data[1:], nil
		case *pgproto3.ErrorResponse:
			return 0, nil, fmt.Errorf("replication: %s (SQLSTATE %s)", m.Message, m.Code)
		}
	}
}

func (r *replicaStream) send(data []byte) error {
	r.sendMu.Lock()
	defer r.sendMu.Unlock()
	r.frontend.Send(&pgproto3.CopyData{Data: data})
	return r.frontend.Flush()
}

// agree drops the log that the primary doesn't have and asks for the rest.
func (r *replicaStream) agree(first hello) error {
	from, err := r.f.inst.dropFork(r.f, first)
	if err != nil {
		return err
	}
	return r.send(appendNumbers(messageStart, uint64(from)))
}

// dropFork truncates the log to what it has in common with the primary's and
// returns the end. If entries were dropped, the data connections are closed,
// and if some of them were applied, the database is rebuilt from the log.
func (i *Instance) dropFork(f *follower, first hello) (position.LSN, error) {
	i.applyMu.Lock()
	defer i.applyMu.Unlock()
	common, entries, err := i.truncateFork(f, first)
	if err != nil || entries == nil {
		return common, err
	}
	db, err := replayAll(entries, i.replica.Load)
	i.mu.Lock()
	defer i.mu.Unlock()
	// Without a rebuilt database, reads fail rather than show the fork.
	i.db.close()
	if err != nil {
		return 0, err
	}
	i.db = db
	i.state.applied = common
	// Connections that were opened during the rebuild read the old database.
	i.closeDataConnections()
	i.broadcastLocked()
	return common, nil
}

// truncateFork drops the entries that the primary doesn't have. It returns
// the remaining ones if the database must be rebuilt from them, else nil.
func (i *Instance) truncateFork(f *follower, first hello) (position.LSN, []entry, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.follower != f {
		return 0, nil, errTermOver
	}
	st := &i.state
	common := position.CommonPrefix(st.history, first.History, st.end(), first.End)
	if common >= st.end() {
		return common, nil, nil
	}
	st.truncate(common)
	st.samples, st.freshAsOf = nil, time.Time{}
	i.closeDataConnections()
	rebuild := st.applied > common
	if rebuild {
		st.applied = 0
	}
	i.broadcastLocked()
	if !rebuild {
		return common, nil, nil
	}
	return common, append([]entry{}, st.entries...), nil
}

// replayAll builds a database from a whole log.
func replayAll(entries []entry, replica func() bool) (*database, error) {
	db, err := openDatabase(nil, replica)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		if err := db.apply(e.statements); err != nil {
			db.close()
			return nil, fmt.Errorf("rebuild: entry %d: %w", e.lsn, err)
		}
	}
	return db, nil
}

// delayed is a message that waits for the network delay.
type delayed struct {
	kind byte
	body []byte
	due  time.Time
}

// inFlight bounds the messages that are on the way with a network delay.
const inFlight = 4096

// replicate handles the stream until it fails or the term is over.
func (r *replicaStream) replicate() error {
	ctx, cancel := context.WithCancel(r.f.ctx)
	defer cancel()
	go r.askRegularly(ctx)
	queue := make(chan delayed, inFlight)
	failed := make(chan error, 1)
	go func() {
		failed <- r.read(ctx, queue)
		close(queue)
	}()
	for m := range queue {
		if wait := time.Until(m.due); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if err := r.handle(m, len(queue) == 0); err != nil {
			return err
		}
	}
	return <-failed
}

func (r *replicaStream) read(ctx context.Context, queue chan<- delayed) error {
	for {
		kind, body, err := r.receive()
		if err != nil {
			return err
		}
		due := time.Now().Add(time.Duration(r.f.inst.switches.get().ReceiveDelay))
		select {
		case queue <- delayed{kind, append([]byte(nil), body...), due}:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// handle takes one message; last is false if more are waiting, so that one
// acknowledgement covers a batch.
func (r *replicaStream) handle(m delayed, last bool) error {
	i := r.f.inst
	body := &reader{data: m.body}
	switch m.kind {
	case messageEntry:
		e, err := decodeEntry(m.body)
		if err != nil {
			return err
		}
		if err := i.receiveEntry(r.f, e); err != nil || !last {
			return err
		}
	case messagePing:
		r.ping = body.number()
		if err := body.end(); err != nil {
			return err
		}
	case messageAnswer:
		id, lsn := body.number(), body.number()
		if err := body.end(); err != nil {
			return err
		}
		r.answered(id, position.LSN(lsn))
		return nil
	default:
		return fmt.Errorf("replication: unknown message %q", m.kind)
	}
	received, err := i.acknowledged(r.f)
	if err != nil {
		return err
	}
	return r.send(appendNumbers(messageAck, uint64(received), r.ping))
}

// receiveEntry appends an entry if the term is still that of the stream.
func (i *Instance) receiveEntry(f *follower, e entry) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.follower != f || i.state.role != backend.RoleReplica {
		return errTermOver
	}
	if e.lsn != i.state.end()+1 || e.term.Less(i.state.lastTerm()) || f.term.Less(e.term) {
		return fmt.Errorf("replication: entry %s/%d does not continue the log at %s",
			e.term, e.lsn, i.state.at(i.state.end()))
	}
	e.received = time.Now()
	i.state.appendEntry(e)
	i.broadcastLocked()
	return nil
}

// acknowledged returns the received position for an acknowledgement. After
// the term was raised nothing is acknowledged to the old primary.
func (i *Instance) acknowledged(f *follower) (position.LSN, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.follower != f {
		return 0, errTermOver
	}
	return i.state.end(), nil
}

// askRegularly asks for the primary's position at the interval and on demand.
func (r *replicaStream) askRegularly(ctx context.Context) {
	ticker := time.NewTicker(r.f.inst.cfg.AskInterval)
	defer ticker.Stop()
	for {
		if r.f.inst.switches.pass(ctx, noPeer) != nil {
			return
		}
		// The age starts before the question is sent.
		r.askMu.Lock()
		r.nextID++
		id := r.nextID
		r.asked[id] = time.Now()
		delete(r.asked, id-maxQuestions)
		r.askMu.Unlock()
		if err := r.send(appendNumbers(messageAsk, id)); err != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-r.f.ask:
		case <-ctx.Done():
			return
		}
	}
}

func (r *replicaStream) answered(id uint64, lsn position.LSN) {
	r.askMu.Lock()
	asked, ok := r.asked[id]
	delete(r.asked, id)
	r.askMu.Unlock()
	if !ok {
		return
	}
	i := r.f.inst
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.follower == r.f {
		i.addFreshnessLocked(asked, lsn)
	}
}
