package leadership

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/hosts"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/internal/recovery"
)

// ErrNotClosed means that another host may still use the leader of the term.
var ErrNotClosed = errors.New("another host may still use the leader")

const (
	// closeTimeout bounds one call that asks a host to stop using a leader.
	closeTimeout = 300 * time.Millisecond
	// closeRetryInterval is the time between two such calls to the same host.
	closeRetryInterval = 200 * time.Millisecond
	// maxCloseCalls bounds the concurrent calls of one closing.
	maxCloseCalls = 32
)

// closeLocally makes this host stop using the leader of a term.
func (r *Runner) closeLocally(service string, epoch uint64) {
	if r.core.Close(service, epoch) {
		r.options.Log.Info("term closed", zap.String(logging.FieldDecision, "close_term"),
			zap.String("service", service), zap.Uint64(logging.FieldTerm, epoch))
	}
}

// MarkClosed makes this host stop using the leader of a term; the other hosts learn of
// it from heartbeats. It is for a leader that has certainly lost its role.
func (r *Runner) MarkClosed(service string, epoch uint64) { r.closeLocally(service, epoch) }

// CloseTerm makes all hosts stop using the leaders of a service up to a term. It
// returns nil once no host can use them any more. The store must hold the record of
// the hand-over before the call. After an error the term stays closed.
func (r *Runner) CloseTerm(ctx context.Context, service string, epoch uint64) error {
	started := r.now()
	r.closeLocally(service, epoch)
	counted := r.options.Counted()
	closing := NewClosing(r.options.Self, names(counted), started)
	for {
		r.requestClose(ctx, service, epoch, counted, closing)
		now := r.now()
		safeAt := closing.SafeAt()
		if !now.Before(safeAt) {
			r.options.Log.Info("term not in use any more", zap.String(logging.FieldDecision, "close_term"),
				zap.String("service", service), zap.Uint64(logging.FieldTerm, epoch),
				zap.Strings("not_acknowledged", closing.Pending()), zap.Duration("took", now.Sub(started)))
			return nil
		}
		timer := time.NewTimer(min(closeRetryInterval, safeAt.Sub(now)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("close term %d of %s: %d hosts have not answered: %w", epoch, service, len(closing.Pending()), ErrNotClosed)
		case <-timer.C:
		}
	}
}

// requestClose asks the hosts that have not acknowledged the closing yet.
func (r *Runner) requestClose(ctx context.Context, service string, epoch uint64, counted []hosts.Host, closing *Closing) {
	pending := map[string]bool{}
	for _, name := range closing.Pending() {
		pending[name] = true
	}
	request := &peerv1.CloseTermRequest{Closed: &peerv1.ClosedTerm{Service: service, Epoch: epoch}}
	slots := make(chan struct{}, maxCloseCalls)
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, h := range counted {
		if !pending[h.Name] || h.Address == "" {
			continue
		}
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			defer recovery.Contain("close term", nil)
			if r.callClose(ctx, h, request) == nil {
				mu.Lock()
				defer mu.Unlock()
				closing.Acknowledge(h.Name, r.now())
			}
		})
	}
	group.Wait()
}

func (r *Runner) callClose(ctx context.Context, h hosts.Host, request *peerv1.CloseTermRequest) error {
	conn, err := r.options.Peers.Conn(h.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	_, err = peerv1.NewLeadershipClient(conn).CloseTerm(ctx, request)
	return err
}

// Demote asks an instance to become a replica if it leads a term below the given one,
// first over this host's connections and then over those of other hosts, which may
// still reach it.
func (r *Runner) Demote(ctx context.Context, serverID string, epoch uint64) error {
	ctx, cancel := context.WithTimeout(ctx, demoteTimeout)
	defer cancel()
	results := make(chan error, maxDemoteHosts+1)
	demote := func(call func() error) { results <- recovery.Call("demote", call) }
	go demote(func() error { return r.options.DemoteHere(ctx, serverID, epoch) })
	helpers := neighbors(r.options.Self, r.options.Hosts(), r.Alive())
	helpers = helpers[:min(len(helpers), maxDemoteHosts)]
	for _, h := range helpers {
		go demote(func() error { return r.callDemote(ctx, h, serverID, epoch) })
	}
	var errs []error
	for range len(helpers) + 1 {
		err := <-results
		if err == nil {
			return nil
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

const (
	// demoteTimeout bounds the wait for the instance.
	demoteTimeout = 350 * time.Millisecond
	// maxDemoteHosts is the number of other hosts that are asked for help.
	maxDemoteHosts = 6
)

func (r *Runner) callDemote(ctx context.Context, h hosts.Host, serverID string, epoch uint64) error {
	conn, err := r.options.Peers.Conn(h.Address)
	if err != nil {
		return err
	}
	_, err = peerv1.NewLeadershipClient(conn).Demote(ctx, &peerv1.DemoteRequest{ServerId: serverID, Epoch: epoch})
	return outcome.Wrap("demote", h.Name, err)
}
