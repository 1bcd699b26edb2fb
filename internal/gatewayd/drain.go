package gatewayd

import (
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/drain"
	"github.com/bramleylever/bramleylever/internal/gateway"
	"github.com/bramleylever/bramleylever/internal/logging"
)

// leaseServer is the work of other hosts on this host's connections.
type leaseServer interface {
	// Drain refuses new leases.
	Drain()
	// EndLeases ends the leases, each at once or after the work that is under way.
	EndLeases()
	// Serving returns the number of leases.
	Serving() int
}

// drainRun is a drain in progress. It implements drain.Host.
type drainRun struct {
	daemon  *Daemon
	gateway *gateway.Gateway
	callers Callers
	leases  leaseServer
	// unregistered is closed once the host is no longer registered.
	unregistered <-chan struct{}
	started      time.Time
	// stoppedAccepting says that no connection is accepted any more.
	stoppedAccepting bool
	// openedBefore is the number of sessions that had been opened when the drain began.
	openedBefore int64
}

// drain stops the host within the grace time, in the steps of package drain: it reports
// not ready, closes sessions between transactions once the load balancer sends no more
// callers, then ends open transactions and the leases of other hosts, and interrupts what
// still runs. unregistered is closed once the host is no longer registered.
func (d *Daemon) drain(g *gateway.Gateway, callers Callers, leases leaseServer, unregistered <-chan struct{}) {
	r := &drainRun{
		daemon: d, gateway: g, callers: callers, leases: leases, unregistered: unregistered,
		started: time.Now(), openedBefore: g.Opened(),
	}
	drain.Run(drain.Within(d.Settings().Grace, removalTime, 0), r)
}

// Poll implements drain.Host.
func (r *drainRun) Poll() drain.Progress {
	r.gateway.Sweep()
	callers := r.gateway.Sessions()
	if r.stoppedAccepting {
		// A connection may still be told that its session is refused.
		callers = r.callers.Connections()
	}
	p := drain.Progress{Work: callers + r.leases.Serving()}
	select {
	case <-r.unregistered:
		p.HandedBack = true
	default:
	}
	return p
}

// Do implements drain.Host.
func (r *drainRun) Do(step drain.Step) {
	r.log(step)
	switch step {
	case drain.StepNotReady:
		r.daemon.ready.Store(false)
		r.leases.Drain()
	case drain.StepCloseIdle:
		r.gateway.Drain()
	case drain.StepEndTransactions:
		r.gateway.EndTransactions()
		r.leases.EndLeases()
	case drain.StepInterrupt:
		r.gateway.Interrupt()
		r.stopAccepting()
	}
}

// stopAccepting closes the listener. Until then callers are accepted even if only to be
// refused with an answer.
func (r *drainRun) stopAccepting() {
	r.stoppedAccepting = true
	if err := r.callers.Close(); err != nil {
		r.daemon.log.Warn("stop of accepting callers failed", zap.String(logging.FieldStep, "drain"), zap.Error(err))
	}
}

// maxCutLines is the maximum number of statements that the end of a stop logs one by one.
const maxCutLines = 20

// log logs what is open when a step begins. Work that is left at the last step is cut
// off, which is an error.
func (r *drainRun) log(step drain.Step) {
	open, counts, leases, connections := r.gateway.Usage(), r.gateway.DrainCounts(), r.leases.Serving(), r.callers.Connections()
	fields := []zap.Field{
		zap.Stringer(logging.FieldStep, step), zap.Int("sessions", open.Sessions), zap.Int("transactions", open.Transactions),
		zap.Int("statements", open.Running), zap.Int("connections", connections), zap.Int("leases", leases),
		zap.Int64("opened", r.gateway.Opened()-r.openedBefore), zap.Int64("aborted", counts.Aborted),
		zap.Int64("refused", counts.Refused), zap.Int64("interrupted", counts.Interrupted),
		zap.Duration("took", time.Since(r.started)),
	}
	switch {
	case step == drain.StepNotReady:
		r.daemon.log.Info("stop", fields...)
	case step != drain.StepDone:
		r.daemon.log.Info("stopping", fields...)
	case connections > 0 || leases > 0:
		r.daemon.log.Error("stop cuts work off", fields...)
		r.logCutStatements()
	default:
		r.daemon.log.Info("stopped", fields...)
	}
}

// logCutStatements logs the statements that the end of the process cuts off.
func (r *drainRun) logCutStatements() {
	open := r.gateway.OpenStatements()
	for _, o := range open[:min(len(open), maxCutLines)] {
		r.daemon.log.Error("statement cut off by the stop of the host", zap.String(logging.FieldDecision, "cut_off"),
			zap.String("request", o.Request), zap.Stringer(logging.FieldStatement, o.Kind),
			zap.Duration("session_age", o.SessionAge), zap.Duration("age", o.Age))
	}
}
