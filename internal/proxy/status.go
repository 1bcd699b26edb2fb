package proxy

import (
	"github.com/bramleylever/bramleylever/internal/membership"
	"github.com/bramleylever/bramleylever/internal/records"
	"github.com/bramleylever/bramleylever/internal/topology"
)

// Status is the state of a proxy, with the members and primaries that it knows, as served by the
// admin server.
type Status struct {
	Host      string         `json:"host"`
	Domain    string         `json:"failure_domain"`
	Ready     bool           `json:"ready"`
	Reason    string         `json:"reason,omitempty"`
	Revision  int64          `json:"revision"`
	Confirmed bool           `json:"confirmed"`
	Sessions  int            `json:"sessions"`
	Members   []MemberStatus `json:"members"`
	Groups    []GroupStatus  `json:"groups"`
}

// MemberStatus is the entry of one host in the membership list.
type MemberStatus struct {
	Host     string         `json:"host"`
	Domain   string         `json:"failure_domain"`
	Address  string         `json:"address"`
	State    string         `json:"state"`
	Relay    bool           `json:"relay"`
	Draining bool           `json:"draining"`
	Buckets  []BucketStatus `json:"buckets"`
	Revision int64          `json:"revision"`
}

// BucketStatus is a control bucket that a host owns, with the epoch of its ownership.
type BucketStatus struct {
	Bucket uint32 `json:"bucket"`
	Epoch  uint64 `json:"epoch"`
}

// GroupStatus is the known primary of a database and its term.
type GroupStatus struct {
	Database string `json:"database"`
	Term     string `json:"term"`
	Primary  string `json:"primary"`
}

// Status returns the current state.
func (p *Proxy) Status() Status {
	ready := p.readiness()
	s := Status{
		Host:      p.identity.Host,
		Domain:    p.identity.Domain,
		Ready:     ready.Ready,
		Reason:    ready.Reason,
		Revision:  p.feed.Current().Revision,
		Confirmed: p.confirmed(p.now()),
		Sessions:  p.frontend.Sessions(),
		Members:   []MemberStatus{},
		Groups:    []GroupStatus{},
	}
	for _, m := range p.members.Members() {
		s.Members = append(s.Members, memberStatus(m))
	}
	for _, g := range p.topology.All() {
		s.Groups = append(s.Groups, GroupStatus{Database: g.Database, Term: g.Term.String(), Primary: g.Primary})
	}
	return s
}

func memberStatus(m membership.Member) MemberStatus {
	out := MemberStatus{
		Host:     m.Host,
		Domain:   m.Domain,
		Address:  m.Address,
		State:    m.State.String(),
		Relay:    m.Relay,
		Draining: m.Draining,
		Buckets:  []BucketStatus{},
		Revision: m.Revision,
	}
	for _, claim := range m.Buckets {
		out.Buckets = append(out.Buckets, BucketStatus{Bucket: claim.Bucket, Epoch: claim.Epoch})
	}
	return out
}

// Group returns the topology of a database that this proxy knows.
func (p *Proxy) Group(database string) (topology.Group, bool) { return p.topology.Group(database) }

// Snapshot returns the configuration in force.
func (p *Proxy) Snapshot() *records.Snapshot { return p.feed.Current() }
