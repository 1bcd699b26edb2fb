package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/connpool"
	"github.com/bramleylever/bramleylever/internal/hosts"
	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/internal/recovery"
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
	request connpool.Request

	stream peerv1.Relay_LeaseClient
	cancel context.CancelFunc
}

// open opens the stream to the owner. If it fails, nothing has been sent.
func (h *remoteHandle) open(request *peerv1.LeaseRequest, timeout time.Duration) error {
	conn, err := h.router.options.Peers.Conn(h.owner.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(h.router.work)
	timer := time.AfterFunc(timeout, cancel)
	stream, err := peerv1.NewRelayClient(conn).Lease(announce(ctx, request))
	if !timer.Stop() && err == nil {
		err = context.DeadlineExceeded
	}
	if err != nil {
		cancel()
		return err
	}
	h.stream, h.cancel = stream, cancel
	return nil
}

// Do implements connpool.Handle.
func (h *remoteHandle) Do(deadline time.Time, w connpool.Work) (connpool.Answer, error) {
	request := toRequest(&w, time.Until(deadline))
	if h.stream == nil {
		if err := h.open(request, min(streamOpenTimeout, time.Until(deadline))); err != nil {
			h.router.ownerFailed(h.owner, err)
			return connpool.Answer{}, h.ownerUnreached(fmt.Errorf("%w: %w", outcome.ErrNotRun, err))
		}
		request.Open = &peerv1.LeaseOpen{
			ServerId: h.server.ID, Started: h.server.Started, Account: h.request.Account,
			Revisions: h.router.options.Revisions(), Class: uint32(h.request.Class), DueMs: dueToProto(h.request.Due),
		}
	}
	timer := time.AfterFunc(time.Until(deadline)+replyMargin, h.cancel)
	defer timer.Stop()
	watch := h.watch()
	defer watch.stop()
	reply, err := h.exchange(request)
	switch {
	case err == nil:
	case h.router.work.Err() != nil:
		return connpool.Answer{}, h.wrap(err)
	case !time.Now().Before(deadline) && !watch.gaveUp():
		// The owner answers pings, so the work itself took too long.
		return connpool.Answer{}, h.wrap(err)
	default:
		h.router.ownerFailed(h.owner, err)
		return connpool.Answer{}, h.ownerUnreached(err)
	}
	return h.handleReply(reply)
}

// exchange sends a request and receives the reply. An owner that is stopping may have
// ended the lease and its stream before; its last reply is then the one to this request.
func (h *remoteHandle) exchange(request *peerv1.LeaseRequest) (*peerv1.LeaseReply, error) {
	sendErr := h.stream.Send(request)
	if sendErr != nil && !errors.Is(sendErr, io.EOF) {
		return nil, sendErr
	}
	reply, err := h.stream.Recv()
	if err == nil && sendErr != nil && !reply.GetLeaving() {
		return nil, sendErr
	}
	return reply, err
}

// handleReply turns a reply into an answer or an error.
func (h *remoteHandle) handleReply(reply *peerv1.LeaseReply) (connpool.Answer, error) {
	answer := fromReply(reply)
	if reply.GetRevisions() != nil {
		h.router.options.Hint(reply.GetRevisions())
	}
	if reply.GetLeaving() {
		h.router.ownerDraining(h.owner)
		return answer, h.ownerUnreached(fmt.Errorf("%w: %s", outcome.ErrNotRun, reply.GetError()))
	}
	if reply.GetUnreachable() {
		h.router.avoidPair(h.owner, h.server)
		return answer, h.ownerUnreached(fmt.Errorf("%w: %s", outcome.ErrNotRun, reply.GetError()))
	}
	h.router.options.Reachability.Reached(h.owner.Name)
	h.router.recordLoad(h.server, answer.Load)
	switch {
	case len(reply.GetError()) == 0:
		return answer, nil
	case len(reply.GetRefusalCode()) > 0:
		return answer, h.wrap(&connpool.Refusal{Code: statement.Code(reply.GetRefusalCode()), Detail: string(reply.GetError())})
	case reply.GetNotRun():
		return answer, h.wrap(fmt.Errorf("%w: %s", outcome.ErrNotRun, reply.GetError()))
	}
	return answer, h.wrap(errors.New(string(reply.GetError())))
}

func (h *remoteHandle) ownerUnreached(err error) error {
	return h.wrap(&connpool.OwnerError{Owner: h.owner.Name, Err: err})
}

func (h *remoteHandle) wrap(err error) error { return outcome.Wrap("relay", h.owner.Name, err) }

// Release implements connpool.Handle. The owner releases the connection when the stream
// ends.
func (h *remoteHandle) Release() {
	h.router.addLeases(h.server, -1)
	if h.stream == nil {
		return
	}
	// The owner ends the stream, without another reply, when the requests end.
	_ = h.stream.CloseSend()
	stream, cancel := h.stream, h.cancel
	h.stream = nil
	recovery.Go("end lease", func() {
		timer := time.AfterFunc(time.Second, cancel)
		defer timer.Stop()
		for {
			if _, err := stream.Recv(); err != nil {
				cancel()
				return
			}
		}
	})
}

const (
	// stallTime is how long an owner may be silent before it is pinged, and pingTimeout
	// bounds the wait for the reply to a ping.
	stallTime   = 150 * time.Millisecond
	pingTimeout = 120 * time.Millisecond
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

func (h *remoteHandle) watch() *stallWatch {
	w := &stallWatch{remote: h}
	w.timer = time.AfterFunc(stallTime, func() { recovery.Run("check connection owner", w.check) })
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
