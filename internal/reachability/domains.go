package reachability

import (
	"sync"
	"time"
)

// minSilentHosts is the number of hosts of a failure domain that must not have answered before
// the domain counts as silent: one host may have failed by itself.
const minSilentHosts = 2

// Domains detects which failure domains do not answer this host at all. It is safe for
// concurrent use. A nil value knows no silent domain.
type Domains struct {
	now func() time.Time

	mu      sync.Mutex
	domains map[string]*domainState
}

// domainState is what is known of one failure domain.
type domainState struct {
	lastReached time.Time
	// failed are the hosts that have not answered since lastReached.
	failed map[string]bool
}

// NewDomains returns a detector that knows of no silence.
func NewDomains() *Domains { return &Domains{now: time.Now, domains: map[string]*domainState{}} }

func (d *Domains) state(domain string) *domainState {
	s := d.domains[domain]
	if s == nil {
		s = &domainState{lastReached: d.now(), failed: map[string]bool{}}
		d.domains[domain] = s
	}
	return s
}

// Reached records an answer from a host of a failure domain, or from an instance there.
func (d *Domains) Reached(domain string) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.state(domain)
	s.lastReached = d.now()
	clear(s.failed)
}

// Failed records that a host of a failure domain did not answer.
func (d *Domains) Failed(domain, host string) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state(domain).failed[host] = true
}

// Silent reports whether nothing in a failure domain has answered for minSilence, though
// several hosts there were asked.
func (d *Domains) Silent(domain string) bool {
	if d == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.domains[domain]
	return s != nil && len(s.failed) >= minSilentHosts && d.now().Sub(s.lastReached) >= minSilence
}
