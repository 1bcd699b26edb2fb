package gatewayd

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/hosts"
	"github.com/bramleylever/bramleylever/internal/reachability"
	"github.com/bramleylever/bramleylever/internal/relay"
)

const (
	// isolationCheckInterval is how often the host checks whether it is isolated.
	isolationCheckInterval = 200 * time.Millisecond
	// maxProbes is the maximum number of hosts that are probed in one check.
	maxProbes = 3
)

// isolationDetector detects whether a host can serve few requests because it cannot reach
// other failure domains or other hosts.
type isolationDetector struct {
	// domains tracks the other failure domains, and peers the other hosts by name.
	domains *reachability.Tracker
	peers   *reachability.Tracker
	// silent knows which other failure domains do not answer.
	silent *reachability.Domains
	// fleet returns the number of registered hosts.
	fleet func() int
}

// observe records whether another host answered a heartbeat. Heartbeats go to several failure
// domains all the time, so a cut shows in them before callers' work meets it.
func (i *isolationDetector) observe(h hosts.Host, answered bool) {
	if answered {
		i.domains.Reached(h.Domain)
		i.peers.Reached(h.Name)
		i.silent.Reached(h.Domain)
		return
	}
	i.domains.Failed(h.Domain)
	i.peers.Failed(h.Name)
	i.silent.Failed(h.Domain, h.Name)
}

// isolated reports whether the host can reach no other failure domain, or no other host
// of a large fleet, in which most work passes through other hosts.
func (i *isolationDetector) isolated() bool {
	return i.domains.Isolated() || i.fleet() > hosts.MaxSmallFleet && i.peers.Isolated()
}

// watchIsolation makes the host report not ready while it is isolated, and closes idle
// sessions once the load balancer sends callers to other hosts.
func (d *Daemon) watchIsolation(ctx context.Context, c *components) {
	ticker := time.NewTicker(isolationCheckInterval)
	defer ticker.Stop()
	changedAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		isolated := c.detector.isolated()
		if isolated {
			// All failures may be due to a single peer, so other hosts are probed.
			probeOtherDomains(ctx, c.detector.domains, d.options.Domain, c.registry.Hosts(), c.router)
			isolated = c.detector.isolated()
		}
		if isolated != d.isolated.Load() {
			d.isolated.Store(isolated)
			d.log.Warn("isolation from other hosts or failure domains changed", zap.Bool("isolated", isolated), zap.Duration("after", time.Since(changedAt)))
			changedAt = time.Now()
		}
		if isolated && time.Since(changedAt) >= removalTime {
			c.gateway.CloseIdle()
		}
	}
}

// probeOtherDomains pings up to maxProbes hosts in other failure domains until one
// answers, and records that answer.
func probeOtherDomains(ctx context.Context, tracker *reachability.Tracker, own string, all []hosts.Host, router *relay.Router) {
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
