package standin

import (
	"context"
	"fmt"
	"time"

	"github.com/bramleylever/bramleylever/position"
)

// Group is a group of instances in one process.
type Group struct {
	Instances []*Instance
}

// groupTerm is the term in which NewGroup promotes the first instance.
var groupTerm = position.Term{Epoch: 1, Sequence: 1}

// groupWait bounds the time until the replicas of a new group follow.
const groupWait = 10 * time.Second

// NewGroup starts n instances on loopback ports and makes the first one the
// primary of term 1.1, which the others follow. The configuration applies to
// each; the names are the configured name, by default "instance", with a
// number from 1.
func NewGroup(n int, cfg Config) (*Group, error) {
	g := &Group{}
	prefix := cfg.Name
	if prefix == "" {
		prefix = "instance"
	}
	for k := range n {
		cfg.Name = fmt.Sprintf("%s%d", prefix, k+1)
		cfg.GroupSize = n
		i := New(cfg)
		if err := i.Start("127.0.0.1:0"); err != nil {
			g.Close()
			return nil, err
		}
		g.Instances = append(g.Instances, i)
	}
	if err := g.form(); err != nil {
		g.Close()
		return nil, err
	}
	return g, nil
}

func (g *Group) form() error {
	primary := g.Instances[0]
	if _, err := primary.RaiseTerm(groupTerm); err != nil {
		return err
	}
	if _, err := primary.Promote(groupTerm); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), groupWait)
	defer cancel()
	for _, i := range g.Instances[1:] {
		if _, err := i.Follow(ctx, groupTerm, primary.Address()); err != nil {
			return err
		}
	}
	end := primary.Status().Received
	for _, i := range g.Instances[1:] {
		err := i.await(ctx, func() (bool, error) { return i.state.end() >= end, nil })
		if err != nil {
			return fmt.Errorf("instance %s does not follow %s: %w", i.Name(), primary.Name(), err)
		}
	}
	return nil
}

// Primary returns the instance that was the first primary.
func (g *Group) Primary() *Instance { return g.Instances[0] }

// Addresses returns the addresses in the order of the instances.
func (g *Group) Addresses() []string {
	out := make([]string, len(g.Instances))
	for k, i := range g.Instances {
		out[k] = i.Address()
	}
	return out
}

// Close ends all instances and frees their data.
func (g *Group) Close() {
	for _, i := range g.Instances {
		i.Discard()
	}
}
