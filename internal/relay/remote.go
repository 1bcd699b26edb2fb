package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/connpool"
	"github.com/bramleylever/bramleylever/internal/hosts"
	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/internal/statement"
)

// replyMargin is added to the deadline of the work for the wait for the owner's reply.
const replyMargin = 15 * time.Millisecond

// remoteHandle is a lease of a connection of another host, its owner. It implements
// connpool.Handle.
type remoteHandle struct {
	router  *Router
	owner   hosts.Host
	server  *catalog.Server
	account string

	stream peerv1.Relay_LeaseClient
	cancel context.CancelFunc
}

// open opens the stream to the owner. If it fails, nothing has been sent.
func (m *remoteHandle) open(timeout time.Duration) error {
	conn, err := m.router.options.Peers.Conn(m.owner.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	timer := time.AfterFunc(timeout, cancel)
	stream, err := peerv1.NewRelayClient(conn).Lease(ctx)
	if !timer.Stop() && err == nil {
		err = context.DeadlineExceeded
	}
	if err != nil {
		cancel()
		return err
	}
	m.stream, m.cancel = stream, cancel
	return nil
}

// Do implements connpool.Handle.
func (m *remoteHandle) Do(deadline time.Time, w connpool.Work) (connpool.Answer, error) {
	request := toRequest(&w, time.Until(deadline))
	if m.stream == nil {
		if err := m.open(min(streamOpenTimeout, time.Until(deadline))); err != nil {
			m.router.ownerFailed(m.owner, err)
			return connpool.Answer{}, m.ownerUnreached(fmt.Errorf("%w: %w", outcome.ErrNotRun, err))
		}
		request.Open = &peerv1.LeaseOpen{
			ServerId: m.server.ID, Started: m.server.Started, Account: m.account,
			Revisions: toRevisions(m.router.options.Revisions()),
		}
	}
	timer := time.AfterFunc(time.Until(deadline)+replyMargin, m.cancel)
	defer timer.Stop()
	watch := m.watch()
	defer watch.stop()
	if err := m.stream.Send(request); err != nil {
		m.router.ownerFailed(m.owner, err)
		return connpool.Answer{}, m.ownerUnreached(err)
	}
	reply, err := m.stream.Recv()
	switch {
	case err == nil:
	case !time.Now().Before(deadline) && !watch.gaveUp():
		// The owner answers pings, so the work itself took too long.
		return connpool.Answer{}, m.wrap(err)
	default:
		m.router.ownerFailed(m.owner, err)
		return connpool.Answer{}, m.ownerUnreached(err)
	}
	return m.handleReply(reply)
}

// handleReply turns a reply into an answer or an error.
func (m *remoteHandle) handleReply(reply *peerv1.LeaseReply) (connpool.Answer, error) {
	answer := fromReply(reply)
	if reply.GetRevisions() != nil {
		m.router.options.Hint(fromRevisions(reply.GetRevisions()))
	}
	if reply.GetLeaving() {
		m.router.ownerDraining(m.owner)
		return answer, m.ownerUnreached(fmt.Errorf("%w: %s", outcome.ErrNotRun, reply.GetError()))
	}
	m.router.options.Reachability.Reached(m.owner.Name)
	m.router.recordLoad(m.server, answer.Load)
	switch {
	case reply.GetError() == "":
		return answer, nil
	case reply.GetRefusalCode() != "":
		return answer, m.wrap(&connpool.Refusal{Code: statement.Code(reply.GetRefusalCode()), Detail: reply.GetError()})
	case reply.GetNotRun():
		return answer, m.wrap(fmt.Errorf("%w: %s", outcome.ErrNotRun, reply.GetError()))
	}
	return answer, m.wrap(errors.New(reply.GetError()))
}

func (m *remoteHandle) ownerUnreached(err error) error {
	return m.wrap(&connpool.OwnerError{Owner: m.owner.Name, Err: err})
}

func (m *remoteHandle) wrap(err error) error { return outcome.Wrap("relay", m.owner.Name, err) }

// Release implements connpool.Handle. The owner releases the connection when the stream
// ends.
func (m *remoteHandle) Release() {
	m.router.addLeases(m.server, -1)
	if m.stream == nil {
		return
	}
	// The owner ends the stream, without another reply, when the requests end.
	_ = m.stream.CloseSend()
	stream, cancel := m.stream, m.cancel
	m.stream = nil
	go func() {
		timer := time.AfterFunc(time.Second, cancel)
		defer timer.Stop()
		for {
			if _, err := stream.Recv(); err != nil {
				cancel()
				return
			}
		}
	}()
}

const (
	// stallTime is how long an owner may be silent before it is pinged, and pingTimeout
	// bounds the wait for the reply to a ping.
	stallTime   = 150 * time.Millisecond
	pingTimeout = 80 * time.Millisecond
	// maxMissedPings is the number of consecutive pings without a reply after which the
	// work is abandoned. An owner that is only slow answers one of them.
	maxMissedPings = 2
)

// stallWatch abandons work at an owner that no longer answers, long before the deadline
// of the work.
type stallWatch struct {
	remote *remoteHandle
	missed int

	mu    sync.Mutex
	timer *time.Timer
	ended bool
	// stalled says that the owner missed too many pings.
	stalled bool
}

func (w *stallWatch) gaveUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stalled
}

func (m *remoteHandle) watch() *stallWatch {
	w := &stallWatch{remote: m}
	w.timer = time.AfterFunc(stallTime, w.check)
	return w
}

func (w *stallWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
}

// check pings the owner and abandons the work after too many pings without a reply.
func (w *stallWatch) check() {
	err := w.remote.router.Ping(context.Background(), w.remote.owner)
	if err == nil {
		w.missed = 0
	} else {
		w.missed++
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.ended:
	case w.missed >= maxMissedPings:
		w.stalled = true
		w.remote.cancel()
	case w.missed > 0:
		w.timer.Reset(0)
	default:
		w.timer.Reset(stallTime)
	}
}

// Ping checks that a host answers within pingTimeout.
func (r *Router) Ping(ctx context.Context, host hosts.Host) error {
	conn, err := r.options.Peers.Conn(host.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err = peerv1.NewRelayClient(conn).Ping(ctx, &peerv1.PingRequest{})
	if err == nil {
		r.options.Reachability.Reached(host.Name)
	}
	return outcome.Wrap("ping", host.Name, err)
}
