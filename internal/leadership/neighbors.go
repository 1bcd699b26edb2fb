package leadership

import (
	"slices"

	"github.com/bramleylever/bramleylever/internal/hosts"
)

const (
	// neighborsOwnDomain and neighborsOtherDomains are the number of hosts of the same
	// and of other failure domains with which a host exchanges heartbeats. News reach a
	// fleet of hundreds of hosts in a few steps, while each host keeps few connections.
	neighborsOwnDomain    = 3
	neighborsOtherDomains = 5
	// WatchersPerDomain is the number of hosts of each failure domain that follow the
	// store for the others.
	WatchersPerDomain = 2
	// watcherKey is the key of the ranking from which they are taken.
	watcherKey = "catalog"
)

// Watchers returns the hosts of a failure domain that follow the store for the others:
// the first of those that are alive, in an order that all hosts agree on.
func Watchers(domain string, alive []hosts.Host) []hosts.Host {
	members := make([]hosts.Host, 0, len(alive))
	for _, h := range alive {
		if h.Domain == domain {
			members = append(members, h)
		}
	}
	hosts.Rank(members, watcherKey)
	return members[:min(len(members), WatchersPerDomain)]
}

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
	for _, h := range Watchers(domain, alive) {
		if h.Name != self && h.Address != "" {
			chosen = append(chosen, h)
		}
	}
	own, foreign := neighborsOwnDomain, neighborsOtherDomains
	ranked := slices.Clone(all)
	hosts.Rank(ranked, self)
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
