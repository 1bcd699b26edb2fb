package proxy

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// Drain stops the proxy gracefully: it reports not ready, waits until the load balancer has seen
// that, closes sessions at transaction boundaries, returns shares, leaves the membership and
// releases control buckets. It returns the error of closing the sessions.
func (p *Proxy) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.settings.Drain.Timeout)
	defer cancel()
	p.log.Info("drain started", zap.String("decision", "drain"), zap.String("host", p.identity.Host))
	p.draining.Store(true)
	p.members.SetDraining(true)
	select {
	case <-time.After(p.settings.Drain.ReadinessDelay):
	case <-ctx.Done():
	}
	err := p.frontend.Drain(ctx)
	p.leaveCluster()
	p.Close()
	p.log.Info("drain finished", zap.String("decision", "drain"), zap.Error(err))
	return err
}

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
