package proxy

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/drain"
	"github.com/bramleylever/bramleylever/internal/recovery"
)

// Drain stops the proxy gracefully within the settings' drain timeout, in the steps of package
// drain: it reports not ready, waits until the load balancer has seen that, closes sessions at
// transaction boundaries, ends open transactions, interrupts what still runs, returns shares,
// leaves the membership and releases control buckets. It returns an error if requests were
// interrupted.
func (p *Proxy) Drain() error {
	started := time.Now()
	p.log.Info("drain started", zap.String("decision", "drain"), zap.String("host", p.identity.Host))
	h := &drainRun{proxy: p}
	drain.Run(drain.Within(p.settings.Drain.Timeout, p.settings.Drain.ReadinessDelay, leaveSteps*leaveStepTimeout), h)
	p.Close()
	if h.interrupted > 0 {
		p.log.Error("drain interrupted sessions", zap.Int("sessions", h.interrupted), zap.Duration("took", time.Since(started)))
		return fmt.Errorf("drain: peer %s: %d sessions were interrupted", p.identity.Host, h.interrupted)
	}
	p.log.Info("drain finished", zap.String("decision", "drain"), zap.Duration("took", time.Since(started)))
	return nil
}

// drainRun is a drain in progress. It implements drain.Host.
type drainRun struct {
	proxy *Proxy
	// interrupted is the number of sessions that had to be interrupted.
	interrupted int
	handedBack  atomic.Bool
}

// Poll implements drain.Host.
func (r *drainRun) Poll() drain.Progress {
	return drain.Progress{Work: r.proxy.frontend.Sessions(), HandedBack: r.handedBack.Load()}
}

// Do implements drain.Host.
func (r *drainRun) Do(step drain.Step) {
	p := r.proxy
	sessions := p.frontend.Sessions()
	p.log.Info("draining", zap.Stringer("step", step), zap.Int("sessions", sessions))
	switch step {
	case drain.StepNotReady:
		p.draining.Store(true)
		p.members.SetDraining(true)
	case drain.StepCloseIdle:
		p.frontend.Drain()
	case drain.StepEndTransactions:
		p.frontend.EndTransactions()
	case drain.StepInterrupt:
		r.interrupted = sessions
		p.frontend.Close()
	case drain.StepHandBack:
		recovery.Go("hand back duties", func() {
			p.leaveCluster()
			r.handedBack.Store(true)
		})
	}
}

// leaveSteps is the number of steps of leaveCluster.
const leaveSteps = 2

// leaveStepTimeout limits each step of leaveCluster. What cannot be released, because the owner of
// a share or the store is unreachable, expires by itself.
const leaveStepTimeout = 2 * time.Second

// leaveCluster returns the shares to their owners and announces to peers that this host leaves.
// The elector releases control buckets and the relay slot when it stops.
func (p *Proxy) leaveCluster() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveStepTimeout)
	defer cancel()
	if err := p.shares.Drain(ctx); err != nil {
		p.log.Warn("could not return all shares", zap.String("step", "drain"), zap.Error(err))
	}
	ctx, cancel = context.WithTimeout(context.Background(), leaveStepTimeout)
	defer cancel()
	p.members.Leave(ctx)
}

// Close stops the proxy immediately. The instances roll back open transactions.
func (p *Proxy) Close() {
	p.closeOnce.Do(func() {
		if p.admin != nil {
			p.admin.Stop()
		}
		if p.frontend != nil {
			p.frontend.Close()
		}
		if p.stopControl != nil {
			p.stopControl()
		}
		if p.server != nil {
			p.server.Stop()
		}
		p.running.Wait()
		if p.peers != nil {
			_ = p.peers.Close()
		}
		if p.store != nil {
			_ = p.store.Close()
		}
	})
}
