package gatewayd

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/gateway"
	"github.com/bramleylever/bramleylever/internal/hosts"
	"github.com/bramleylever/bramleylever/internal/reachability"
	"github.com/bramleylever/bramleylever/internal/relay"
)

const (
	// reachInterval is how often the reach of the host is looked at.
	reachInterval = 200 * time.Millisecond
	// maxProbes bounds the hosts that an isolated host asks at a time.
	maxProbes = 3
)

// isolation tells whether a host serves little because of whom it does not
// reach.
type isolation struct {
	// domains follows the other failure domains, peers the other hosts.
	domains *reachability.Tracker
	peers   *reachability.Tracker
	// fleet is the number of registered hosts.
	fleet func() int
}

// isolated reports whether no other failure domain is reached, or no other host
// of a fleet in which most work passes through others.
func (i *isolation) isolated() bool {
	return i.domains.Isolated() || i.fleet() > hosts.MaxSmallFleet && i.peers.Isolated()
}

// watchReach turns the host not ready while it is isolated, and closes idle
// sessions once callers are led elsewhere.
func (d *Daemon) watchReach(ctx context.Context, i *isolation, g *gateway.Gateway, all func() []hosts.Host, router *relay.Router) {
	ticker := time.NewTicker(reachInterval)
	defer ticker.Stop()
	since := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		isolated := i.isolated()
		if isolated {
			// The failures may all be those of one peer.
			probe(ctx, i.domains, d.options.Domain, all(), router)
			isolated = i.isolated()
		}
		if isolated != d.isolated.Load() {
			d.isolated.Store(isolated)
			d.log.Warn("reach of other hosts and failure domains", zap.Bool("isolated", isolated), zap.Duration("after", time.Since(since)))
			since = time.Now()
		}
		if isolated && time.Since(since) >= removalTime {
			g.CloseIdle()
		}
	}
}

// probe asks hosts in other failure domains for an answer.
func probe(ctx context.Context, tracker *reachability.Tracker, own string, all []hosts.Host, router *relay.Router) {
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
