package relay

import (
	"context"
	"errors"
	"fmt"
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
func (m *remote) open(deadline time.Time) error {
	conn, err := m.router.options.Peers.Conn(m.holder.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	timer := time.AfterFunc(time.Until(deadline), cancel)
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
		if err := m.open(deadline); err != nil {
			m.router.failed(m.holder, err)
			return connpool.Answer{}, m.error(fmt.Errorf("%w: %w", outcome.ErrNotRun, err))
		}
		request.Open = &peerv1.LeaseOpen{ServerId: m.server.ID, Started: m.server.Started, Account: m.account}
	}
	timer := time.AfterFunc(time.Until(deadline)+replySlack, m.cancel)
	defer timer.Stop()
	if err := m.stream.Send(request); err != nil {
		m.router.failed(m.holder, err)
		return connpool.Answer{}, m.error(err)
	}
	reply, err := m.stream.Recv()
	if err != nil {
		m.router.failed(m.holder, err)
		return connpool.Answer{}, m.error(err)
	}
	return m.settle(reply)
}

// settle turns a reply into an answer or an error.
func (m *remote) settle(reply *peerv1.LeaseReply) (connpool.Answer, error) {
	answer := fromReply(reply)
	if reply.GetLeaving() {
		m.router.left(m.holder)
	} else {
		m.router.answered(m.holder)
		m.router.report(m.server, answer.Use)
	}
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

func (m *remote) error(err error) error { return outcome.At("relay", m.holder.Name, err) }

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
