package relay

import (
	"sync"

	"go.uber.org/zap"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/connpool"
	"github.com/bramleylever/bramleylever/internal/logging"
)

// lease is the use of one of this host's connections by another host.
//
// Invariant: after the reply that says that the lease has ended, no work of it is run. The
// other host therefore knows that work which meets this reply did not run, also work that
// it sent before the reply arrived.
type lease struct {
	router *Router
	stream peerv1.Relay_LeaseServer
	handle connpool.Handle

	mu      sync.Mutex
	running bool
	ended   bool
}

// addLease registers a lease until removeLease is called.
func (r *Router) addLease(stream peerv1.Relay_LeaseServer, handle connpool.Handle) *lease {
	l := &lease{router: r, stream: stream, handle: handle}
	r.leaseMu.Lock()
	defer r.leaseMu.Unlock()
	r.leases[l] = struct{}{}
	return l
}

func (r *Router) removeLease(l *lease) {
	r.leaseMu.Lock()
	defer r.leaseMu.Unlock()
	delete(r.leases, l)
}

// Serving returns the number of leases that other hosts have, or wait for, of this host's
// connections.
func (r *Router) Serving() int {
	r.leaseMu.Lock()
	defer r.leaseMu.Unlock()
	return len(r.leases) + int(r.opening.Load())
}

// EndLeases ends the leases of other hosts: each other host is told that the lease has
// ended, and its open transaction is rolled back. Work under way continues; its lease ends
// after the reply.
func (r *Router) EndLeases() {
	r.leasesEnded.Store(true)
	r.leaseMu.Lock()
	leases := make([]*lease, 0, len(r.leases))
	for l := range r.leases {
		leases = append(leases, l)
	}
	r.leaseMu.Unlock()
	for _, l := range leases {
		l.endIfIdle()
	}
}

// endIfIdle ends the lease unless work is under way or a reply is being sent.
func (l *lease) endIfIdle() {
	if !l.mu.TryLock() {
		return
	}
	defer l.mu.Unlock()
	if !l.running {
		l.end()
	}
}

// end ends the lease. The caller holds the lock.
func (l *lease) end() {
	if l.ended {
		return
	}
	l.ended = true
	l.router.endedLeases.Inc(1)
	// If this fails, the other host is gone.
	_ = l.stream.Send(leavingReply())
	// The connection is closed if a transaction is open, which rolls it back.
	l.handle.Release()
	l.router.removeLease(l)
	l.router.options.Log.Info("lease ended by the stop of the host", zap.String(logging.FieldDecision, "end_lease"))
}

// leavingReply says that this host is stopping and that the work was not run.
func leavingReply() *peerv1.LeaseReply {
	return &peerv1.LeaseReply{Leaving: true, NotRun: true, Error: []byte("host is stopping")}
}

// start begins work. It reports false if the lease has ended.
func (l *lease) start() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return false
	}
	l.running = true
	return true
}

// reply sends the reply to work and ends the lease if all leases have to end.
func (l *lease) reply(reply *peerv1.LeaseReply) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running = false
	if err := l.stream.Send(reply); err != nil {
		return err
	}
	if l.router.leasesEnded.Load() {
		l.end()
	}
	return nil
}

// close releases the connection unless the lease has ended before.
func (l *lease) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	l.handle.Release()
	l.router.removeLease(l)
}
