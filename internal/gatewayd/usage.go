package gatewayd

import (
	"context"
	"time"

	"github.com/bramleylever/bramleylever/internal/gateway"
	"github.com/bramleylever/bramleylever/internal/recovery"
	"github.com/bramleylever/bramleylever/internal/usage"
)

// usageStopTime bounds the time in which the last counts are sent before the process exits.
const usageStopTime = 300 * time.Millisecond

// assembleUsage creates the part that counts and reports usage, if reports are asked for, and
// returns the counter for the gateway or nil.
func (d *Daemon) assembleUsage(c *components) gateway.OperationCounter {
	o := d.options
	if !o.Usage.Enabled() {
		return nil
	}
	c.usage = usage.New(usage.Options{
		Policy: o.Usage, Host: o.Host, Store: o.Store, Lease: c.registry.Lease,
		Registered: c.registry.Hosts, Alive: c.leaders.Alive, Peers: usage.GRPCPeers{Pool: c.peers},
		Reporter: o.UsageReporter, Fenced: func() bool { return d.Settings().Fenced },
		Log: d.log, Registry: o.Registry,
	})
	return c.usage
}

// startUsage counts and reports usage until background ends. The returned function ends it
// before that and sends the last counts to the other hosts.
func (c *components) startUsage(background context.Context) (stop func()) {
	if c.usage == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(background)
	done := make(chan struct{})
	go func() {
		defer close(done)
		recovery.Loop(ctx, "usage", c.usage.Run)
	}()
	return func() {
		cancel()
		<-done
		ctx, cancel := context.WithTimeout(context.Background(), usageStopTime)
		defer cancel()
		c.usage.Stop(ctx)
	}
}
