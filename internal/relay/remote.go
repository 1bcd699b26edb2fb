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

// replySlack is how much longer than the work's deadline a host waits for the
// holder's reply.
const replySlack = 15 * time.Millisecond

// remote is a connection that another host holds. It implements
// connpool.Handle.
type remote struct {
	router  *Router
	holder  hosts.Host
	server  *catalog.Server
	account string

	stream peerv1.Relay_LeaseClient
	cancel context.CancelFunc
}

// open starts the stream. A failure means that nothing was sent.
func (m *remote) open(timeout time.Duration) error {
	conn, err := m.router.options.Peers.Conn(m.holder.Address)
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
func (m *remote) Do(deadline time.Time, w connpool.Work) (connpool.Answer, error) {
	request := toRequest(&w, time.Until(deadline))
	if m.stream == nil {
		if err := m.open(min(openTimeout, time.Until(deadline))); err != nil {
			m.router.failed(m.holder, err)
			return connpool.Answer{}, m.unreached(fmt.Errorf("%w: %w", outcome.ErrNotRun, err))
		}
		request.Open = &peerv1.LeaseOpen{
			ServerId: m.server.ID, Started: m.server.Started, Account: m.account,
			Revisions: toRevisions(m.router.options.Revisions()),
		}
	}
	timer := time.AfterFunc(time.Until(deadline)+replySlack, m.cancel)
	defer timer.Stop()
	watch := m.watch()
	defer watch.stop()
	if err := m.stream.Send(request); err != nil {
		m.router.failed(m.holder, err)
		return connpool.Answer{}, m.unreached(err)
	}
	reply, err := m.stream.Recv()
	switch {
	case err == nil:
	case !time.Now().Before(deadline) && !watch.gaveUp():
		// The holder answers pings, so the work itself took too long.
		return connpool.Answer{}, m.error(err)
	default:
		m.router.failed(m.holder, err)
		return connpool.Answer{}, m.unreached(err)
	}
	return m.settle(reply)
}

// settle turns a reply into an answer or an error.
func (m *remote) settle(reply *peerv1.LeaseReply) (connpool.Answer, error) {
	answer := fromReply(reply)
	if reply.GetRevisions() != nil {
		m.router.options.Hint(fromRevisions(reply.GetRevisions()))
	}
	if reply.GetLeaving() {
		m.router.left(m.holder)
		return answer, m.unreached(fmt.Errorf("%w: %s", outcome.ErrNotRun, reply.GetError()))
	}
	m.router.options.Reach.Reached(m.holder.Name)
	m.router.report(m.server, answer.Load)
	switch {
	case reply.GetError() == "":
		return answer, nil
	case reply.GetRefusalCode() != "":
		return answer, m.error(&connpool.Refusal{Code: statement.Code(reply.GetRefusalCode()), Detail: reply.GetError()})
	case reply.GetNotRun():
		return answer, m.error(fmt.Errorf("%w: %s", outcome.ErrNotRun, reply.GetError()))
	}
	return answer, m.error(errors.New(reply.GetError()))
}

func (m *remote) unreached(err error) error {
	return m.error(&connpool.OwnerError{Owner: m.holder.Name, Err: err})
}

func (m *remote) error(err error) error { return outcome.Wrap("relay", m.holder.Name, err) }

// Release implements connpool.Handle. The end of the stream gives the
// connection back.
func (m *remote) Release() {
	m.router.count(m.server, -1)
	if m.stream == nil {
		return
	}
	// The holder notices the end of the requests; the stream ends without a
	// further reply.
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
	// stallTime is how long a holder may be silent before it is pinged, and
	// pingTimeout bounds the wait for its answer.
	stallTime   = 150 * time.Millisecond
	pingTimeout = 80 * time.Millisecond
	// maxMissedPings is the number of pings without an answer after which the
	// work is given up. A host that is only slow answers one of them.
	maxMissedPings = 2
)

// stallWatch gives up work at a holder that stopped answering, long before the
// work's deadline.
type stallWatch struct {
	remote *remote
	missed int

	mu    sync.Mutex
	timer *time.Timer
	ended bool
	// lost says that the holder missed too many pings.
	lost bool
}

func (w *stallWatch) gaveUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost
}

func (m *remote) watch() *stallWatch {
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

// check pings the holder and gives up after too many pings without an answer.
func (w *stallWatch) check() {
	err := w.remote.router.Ping(context.Background(), w.remote.holder)
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
		w.lost = true
		w.remote.cancel()
	case w.missed > 0:
		w.timer.Reset(0)
	default:
		w.timer.Reset(stallTime)
	}
}

// Ping asks a host for an answer, at most for pingTimeout.
func (r *Router) Ping(ctx context.Context, host hosts.Host) error {
	conn, err := r.options.Peers.Conn(host.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err = peerv1.NewRelayClient(conn).Ping(ctx, &peerv1.PingRequest{})
	if err == nil {
		r.options.Reach.Reached(host.Name)
	}
	return outcome.Wrap("ping", host.Name, err)
}
