package proxy

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// Drain ends the proxy gracefully: it turns not ready, lets the balancer see
// that, ends sessions at transaction boundaries and hands control duties back.
func (p *Proxy) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.settings.Drain.Timeout)
	defer cancel()
	p.log.Info("drain begins", zap.String("decision", "drain"), zap.String("host", p.identity.Host))
	p.draining.Store(true)
	p.members.SetDraining(true)
	select {
	case <-time.After(p.settings.Drain.ReadinessDelay):
	case <-ctx.Done():
	}
	err := p.frontend.Drain(ctx)
	p.leaveCluster()
	p.Close()
	p.log.Info("drain ended", zap.String("decision", "drain"), zap.Error(err))
	return err
}

// leaveStepTimeout bounds each part of handing back. What cannot be handed back,
// because the owner or the store is out of reach, expires by itself.
const leaveStepTimeout = 2 * time.Second

// leaveCluster returns shares and tells peers that this host leaves. Buckets and
// relays are given back when the elector ends.
func (p *Proxy) leaveCluster() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveStepTimeout)
	defer cancel()
	if err := p.shares.Drain(ctx); err != nil {
		p.log.Warn("shares not returned", zap.String("step", "drain"), zap.Error(err))
	}
	ctx, cancel = context.WithTimeout(context.Background(), leaveStepTimeout)
	defer cancel()
	p.members.Leave(ctx)
}

// Close ends the proxy at once; open transactions are rolled back by the
// instances.
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
