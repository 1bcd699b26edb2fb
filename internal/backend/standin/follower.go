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

// reconnectDelay is the time between attempts to connect to the primary.
const reconnectDelay = 20 * time.Millisecond

// follower replicates from one primary in one term.
type follower struct {
	inst       *Instance
	term       position.Term
	address    string
	ctx        context.Context
	cancel     context.CancelFunc
	logAgreed  chan struct{} // closed once the logs agree for the first time
	agreeOnce  sync.Once
	requestNow chan struct{}
}

func (i *Instance) startFollowerLocked() {
	f := &follower{
		inst:       i,
		term:       i.state.term,
		address:    i.state.primary,
		logAgreed:  make(chan struct{}),
		requestNow: make(chan struct{}, 1),
	}
	f.ctx, f.cancel = context.WithCancel(i.ctx)
	i.follower = f
	i.wg.Add(1)
	go func() {
		defer i.wg.Done()
		f.reconnectLoop()
	}()
}

func (i *Instance) stopFollowerLocked() {
	if i.follower == nil {
		return
	}
	i.follower.cancel()
	i.follower = nil
	i.state.freshnessSamples = nil
}

// requestPositionNow makes the follower request the primary's position before the
// interval has elapsed.
func (f *follower) requestPositionNow() {
	select {
	case f.requestNow <- struct{}{}:
	default:
	}
}

func (f *follower) reconnectLoop() {
	for f.ctx.Err() == nil {
		if err := f.connect(); err != nil && f.ctx.Err() == nil {
			f.inst.logReplicationFailure("follow", f.address, err)
		}
		select {
		case <-time.After(reconnectDelay):
		case <-f.ctx.Done():
		}
	}
}

// replicaStream is the replica's end of a replication connection.
type replicaStream struct {
	f        *follower
	frontend *pgproto3.Frontend

	sendMu sync.Mutex

	requestMu   sync.Mutex
	nextID      uint64
	requestedAt map[uint64]time.Time
	lastPing    uint64
}

func (f *follower) connect() error {
	conn, err := f.dial()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(f.ctx, func() { _ = conn.Close() })
	defer stop()
	r := &replicaStream{f: f, frontend: pgproto3.NewFrontend(conn, conn), requestedAt: map[uint64]time.Time{}}
	if err := r.login(); err != nil {
		return err
	}
	primaryLog, err := r.requestStream()
	if err != nil {
		return err
	}
	if err := r.agreeOnLog(primaryLog); err != nil {
		return err
	}
	f.agreeOnce.Do(func() { close(f.logAgreed) })
	return r.replicate()
}

// dial connects from the address on which the instance listens, so that a cut
// at the primary, which selects connections by source address, also blocks this one.
func (f *follower) dial() (net.Conn, error) {
	target, err := net.ResolveTCPAddr("tcp", f.address)
	if err != nil {
		return nil, fmt.Errorf("primary address %q: %w", f.address, err)
	}
	if err := f.inst.settings.waitUnblocked(f.ctx, target.AddrPort().Addr().Unmap()); err != nil {
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
	return newFaultConn(f.ctx, conn, f.inst.settings, nil), nil
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

// requestStream starts replication and returns the primary's description of its log.
func (r *replicaStream) requestStream() (logDescription, error) {
	var primaryLog logDescription
	request, err := json.Marshal(startReplication{Instance: r.f.inst.Name(), Term: r.f.term})
	if err != nil {
		return primaryLog, err
	}
	r.frontend.Send(&pgproto3.Query{String: startReplicationCommand + string(request)})
	if err := r.frontend.Flush(); err != nil {
		return primaryLog, err
	}
	kind, body, err := r.receive()
	if err != nil {
		return primaryLog, err
	}
	if kind != messageLogDescription {
		return primaryLog, fmt.Errorf("replication: expected a description of the log, got message %q", kind)
	}
	if err := json.Unmarshal(body, &primaryLog); err != nil {
		return primaryLog, fmt.Errorf("replication: malformed description of the log: %w", err)
	}
	if primaryLog.Term != r.f.term {
		return primaryLog, fmt.Errorf("replication: primary is in term %s, wanted %s", primaryLog.Term, r.f.term)
	}
	return primaryLog, primaryLog.History.Validate()
}

// receive returns the kind and the body of the next replication message.
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

// agreeOnLog removes the entries that the primary doesn't have and requests the rest of
// the primary's log.
func (r *replicaStream) agreeOnLog(primaryLog logDescription) error {
	from, err := r.f.inst.rewind(r.f, primaryLog)
	if err != nil {
		return err
	}
	return r.send(appendNumbers(messageStart, uint64(from)))
}

// delayedMessage is a received message that is handled once the simulated network delay
// has passed.
type delayedMessage struct {
	kind byte
	body []byte
	due  time.Time
}

// maxDelayedMessages bounds the messages that wait for the simulated network delay.
const maxDelayedMessages = 4096

// replicate handles messages until the stream fails or the term ends.
func (r *replicaStream) replicate() error {
	ctx, cancel := context.WithCancel(r.f.ctx)
	defer cancel()
	go r.requestPositions(ctx)
	queue := make(chan delayedMessage, maxDelayedMessages)
	failed := make(chan error, 1)
	go func() {
		failed <- r.readMessages(ctx, queue)
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

func (r *replicaStream) readMessages(ctx context.Context, queue chan<- delayedMessage) error {
	for {
		kind, body, err := r.receive()
		if err != nil {
			return err
		}
		due := time.Now().Add(time.Duration(r.f.inst.settings.get().ReceiveDelay))
		select {
		case queue <- delayedMessage{kind, append([]byte(nil), body...), due}:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// handle processes one message. last is false if more messages are waiting, so that one
// acknowledgement covers a batch of entries.
func (r *replicaStream) handle(m delayedMessage, last bool) error {
	i := r.f.inst
	body := &messageReader{data: m.body}
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
		r.lastPing = body.number()
		if err := body.end(); err != nil {
			return err
		}
	case messagePositionReply:
		id, lsn := body.number(), body.number()
		if err := body.end(); err != nil {
			return err
		}
		r.handlePositionReply(id, position.LSN(lsn))
		return nil
	default:
		return fmt.Errorf("replication: unknown message %q", m.kind)
	}
	received, err := i.positionToAcknowledge(r.f)
	if err != nil {
		return err
	}
	return r.send(appendNumbers(messageAck, uint64(received), r.lastPing))
}

// receiveEntry appends an entry unless f was replaced because the term or the role
// changed.
func (i *Instance) receiveEntry(f *follower, e entry) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.follower != f || i.state.role != backend.RoleReplica {
		return errTermOver
	}
	if e.lsn != i.state.lastLSN()+1 || e.term.Less(i.state.lastTerm()) || f.term.Less(e.term) {
		return fmt.Errorf("replication: entry %s/%d does not continue the log at %s",
			e.term, e.lsn, i.state.positionAt(i.state.lastLSN()))
	}
	e.received = time.Now()
	i.state.appendEntry(e)
	i.broadcastLocked()
	return nil
}

// positionToAcknowledge returns the received position. It fails once the term was
// raised: nothing may be acknowledged to the old primary after that.
func (i *Instance) positionToAcknowledge(f *follower) (position.LSN, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.follower != f {
		return 0, errTermOver
	}
	return i.state.lastLSN(), nil
}

// requestPositions requests the primary's position at each interval and on demand.
func (r *replicaStream) requestPositions(ctx context.Context) {
	ticker := time.NewTicker(r.f.inst.cfg.PositionRequestInterval)
	defer ticker.Stop()
	for {
		if r.f.inst.settings.waitUnblocked(ctx, noPeer) != nil {
			return
		}
		// The time is taken before the request is sent, so that the age of the data is
		// never underestimated.
		r.requestMu.Lock()
		r.nextID++
		id := r.nextID
		r.requestedAt[id] = time.Now()
		delete(r.requestedAt, id-maxPositionRequests)
		r.requestMu.Unlock()
		if err := r.send(appendNumbers(messagePositionRequest, id)); err != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-r.f.requestNow:
		case <-ctx.Done():
			return
		}
	}
}

func (r *replicaStream) handlePositionReply(id uint64, lsn position.LSN) {
	r.requestMu.Lock()
	requestedAt, ok := r.requestedAt[id]
	delete(r.requestedAt, id)
	r.requestMu.Unlock()
	if !ok {
		return
	}
	i := r.f.inst
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.follower == r.f {
		i.addFreshnessSampleLocked(requestedAt, lsn)
	}
}
