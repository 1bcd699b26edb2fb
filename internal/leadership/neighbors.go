package leadership

import (
	"slices"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/hosts"
)

const (
	// neighborsOwnDomain and neighborsOtherDomains are the number of hosts of the same
	// and of other failure domains with which a host exchanges heartbeats. News reach a
	// fleet of hundreds of hosts in a few steps, while each host keeps few connections.
	neighborsOwnDomain    = 3
	neighborsOtherDomains = 5
)

// neighbors returns the hosts that a host asks for heartbeats: the watchers of its
// failure domain and some others. Each host has others, so that the fleet stays
// connected when some of them fail.
func neighbors(self string, all, alive []hosts.Host) []hosts.Host {
	i := slices.IndexFunc(all, func(h hosts.Host) bool { return h.Name == self })
	if i < 0 {
		return nil
	}
	domain := all[i].Domain
	var chosen []hosts.Host
	for _, h := range catalog.Watchers(domain, alive) {
		if h.Name != self && h.Address != "" {
			chosen = append(chosen, h)
		}
	}
	own, foreign := neighborsOwnDomain, neighborsOtherDomains
	ranked := slices.Clone(all)
	hosts.RankEqually(ranked, self)
	for _, h := range ranked {
		if h.Name == self || h.Address == "" || slices.ContainsFunc(chosen, func(c hosts.Host) bool { return c.Name == h.Name }) {
			continue
		}
		if h.Domain == domain && own > 0 {
			own--
			chosen = append(chosen, h)
		}
		if h.Domain != domain && foreign > 0 {
			foreign--
			chosen = append(chosen, h)
		}
	}
	return chosen
}
