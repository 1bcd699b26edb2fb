package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/gateway"
	"github.com/bramleylever/bramleylever/internal/hosts"
	"github.com/bramleylever/bramleylever/internal/reach"
	"github.com/bramleylever/bramleylever/internal/relay"
)

const (
	// reachInterval is how often the reach of the host is looked at.
	reachInterval = 200 * time.Millisecond
	// maxProbes bounds the hosts that an isolated host asks at a time.
	maxProbes = 3
)

// watchReach turns the host not ready while it is cut off from all other
// failure domains, and closes idle sessions once callers are led elsewhere.
func (d *Daemon) watchReach(ctx context.Context, tracker *reach.Tracker, g *gateway.Gateway, all func() []hosts.Host, router *relay.Router) {
	ticker := time.NewTicker(reachInterval)
	defer ticker.Stop()
	since := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		isolated := tracker.Isolated()
		if isolated != d.isolated.Load() {
			d.isolated.Store(isolated)
			d.log.Warn("reach of other failure domains", zap.Bool("isolated", isolated), zap.Duration("after", time.Since(since)))
			since = time.Now()
		}
		if !isolated {
			continue
		}
		if time.Since(since) >= removalTime {
			g.CloseIdle()
		}
		probe(ctx, tracker, d.options.Domain, all(), router)
	}
}

// probe asks hosts in other failure domains for an answer.
func probe(ctx context.Context, tracker *reach.Tracker, own string, all []hosts.Host, router *relay.Router) {
	asked := 0
	for _, h := range all {
		if h.Domain == own || h.Address == "" {
			continue
		}
		if asked++; asked > maxProbes {
			return
		}
		if router.Ping(ctx, h) == nil {
			tracker.Reached(h.Domain)
			return
		}
	}
}
