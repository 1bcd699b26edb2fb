package standin

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/bramleylever/bramleylever/position"
)

// Group is a group of instances in one process.
type Group struct {
	Instances []*Instance
}

// initialTerm is the term in which NewGroup promotes the first instance.
var initialTerm = position.Term{Epoch: 1, Sequence: 1}

// formTimeout bounds the time until the replicas of a new group have received the
// primary's log.
const formTimeout = 10 * time.Second

// NewGroup starts n instances on loopback ports and promotes the first one in term 1.1;
// the others follow it. All instances get the same configuration. Their names are the
// configured name, by default "instance", followed by a number from 1.
func NewGroup(n int, cfg Config) (*Group, error) {
	hosts := make([]string, n)
	for k := range hosts {
		hosts[k] = "127.0.0.1"
	}
	return NewGroupAt(hosts, cfg)
}

// NewGroupAt is like NewGroup, but runs one instance on each of the given IP addresses,
// for example 127.0.0.2. Instances must have different addresses to be cut off from
// each other.
func NewGroupAt(hosts []string, cfg Config) (*Group, error) {
	g, err := StartInstances(hosts, cfg)
	if err != nil {
		return nil, err
	}
	if err := g.form(); err != nil {
		g.Close()
		return nil, err
	}
	return g, nil
}

// StartInstances starts the instances of a group without a primary. All of them are
// fenced in term 0.0.
func StartInstances(hosts []string, cfg Config) (*Group, error) {
	g := &Group{}
	prefix := cfg.Name
	if prefix == "" {
		prefix = "instance"
	}
	for k, host := range hosts {
		cfg.Name = fmt.Sprintf("%s%d", prefix, k+1)
		cfg.GroupSize = len(hosts)
		i := New(cfg)
		if err := i.Start(net.JoinHostPort(host, "0")); err != nil {
			g.Close()
			return nil, err
		}
		g.Instances = append(g.Instances, i)
	}
	return g, nil
}

// Isolate cuts the connections between instance k and the others of the group. The
// instances must have different IP addresses.
func (g *Group) Isolate(k int) error {
	for j, other := range g.Instances {
		if j == k {
			continue
		}
		if err := other.Cut(g.Instances[k].addressPrefix()); err != nil {
			return err
		}
		if err := g.Instances[k].Cut(other.addressPrefix()); err != nil {
			return err
		}
	}
	return nil
}

// Heal removes all cuts of the group's instances.
func (g *Group) Heal() error {
	for _, i := range g.Instances {
		if err := i.Heal(); err != nil {
			return err
		}
	}
	return nil
}

func (g *Group) form() error {
	primary := g.Instances[0]
	if _, err := primary.RaiseTerm(initialTerm); err != nil {
		return err
	}
	if _, err := primary.Promote(initialTerm); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), formTimeout)
	defer cancel()
	for _, i := range g.Instances[1:] {
		if _, err := i.Follow(ctx, initialTerm, primary.Address()); err != nil {
			return err
		}
	}
	end := primary.Status().Received
	for _, i := range g.Instances[1:] {
		err := i.await(ctx, func() (bool, error) { return i.state.lastLSN() >= end, nil })
		if err != nil {
			return fmt.Errorf("instance %s does not follow %s: %w", i.Name(), primary.Name(), err)
		}
	}
	return nil
}

// Primary returns the first instance, which NewGroup promotes. Later failovers don't
// change the result.
func (g *Group) Primary() *Instance { return g.Instances[0] }

// Addresses returns the addresses of the instances, in their order.
func (g *Group) Addresses() []string {
	out := make([]string, len(g.Instances))
	for k, i := range g.Instances {
		out[k] = i.Address()
	}
	return out
}

// Close stops all instances and releases their data.
func (g *Group) Close() {
	for _, i := range g.Instances {
		i.Discard()
	}
}

// addressPrefix returns the prefix that contains only the address of the instance.
func (i *Instance) addressPrefix() netip.Prefix {
	addr := i.lastAddr.Load()
	if addr == nil {
		return netip.Prefix{}
	}
	return netip.PrefixFrom(*addr, addr.BitLen())
}

// Freeze stops the instance from responding until Thaw.
func (i *Instance) Freeze() { _ = i.Update(func(s *Settings) { s.Frozen = true }) }

// Thaw lets a frozen instance continue.
func (i *Instance) Thaw() { _ = i.Update(func(s *Settings) { s.Frozen = false }) }

// Cut blocks the connections to and from the given prefixes, in addition to those that
// are already blocked.
func (i *Instance) Cut(prefixes ...netip.Prefix) error {
	return i.Update(func(s *Settings) { s.Cut = append(s.Cut, prefixes...) })
}

// Heal removes all cuts. Blocked connections continue where they stopped.
func (i *Instance) Heal() error { return i.Update(func(s *Settings) { s.Cut = nil }) }

// SetLag sets the time between receiving and applying a log entry.
func (i *Instance) SetLag(d time.Duration) error {
	return i.Update(func(s *Settings) { s.Lag = Duration(d) })
}
