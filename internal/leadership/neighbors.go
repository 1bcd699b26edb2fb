package leadership

import "github.com/bramleylever/bramleylever/internal/hosts"

const (
	// neighborsOwnDomain and neighborsOtherDomains are the number of hosts of the same
	// and of other failure domains with which a host exchanges heartbeats. News reach a
	// fleet of hundreds of hosts in a few steps, while each host keeps few connections.
	neighborsOwnDomain    = 3
	neighborsOtherDomains = 5
)

// neighbors returns the hosts that a host asks for heartbeats. Each host has others, so
// that the fleet stays connected when some of them fail.
func neighbors(self string, all []hosts.Host) []hosts.Host {
	domain := ""
	others := make([]hosts.Host, 0, len(all))
	for _, h := range all {
		if h.Name == self {
			domain = h.Domain
			continue
		}
		if h.Address != "" {
			others = append(others, h)
		}
	}
	hosts.Rank(others, self)
	own, foreign := neighborsOwnDomain, neighborsOtherDomains
	var chosen []hosts.Host
	for _, h := range others {
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
