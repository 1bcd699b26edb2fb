package catalog

import "github.com/bramleylever/bramleylever/internal/hosts"

const (
	// WatchersPerDomain is the number of hosts of each failure domain that follow the
	// store for the others in a large fleet.
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
