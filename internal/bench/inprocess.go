package bench

import (
	"fmt"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bramleylever/bramleylever/internal/backend/standin"
	"github.com/bramleylever/bramleylever/internal/deployment"
	"github.com/bramleylever/bramleylever/internal/records"
)

// InProcess is a Target for a deployment in this process.
type InProcess struct {
	deployment *deployment.Deployment
	// stoppedCounters sums the counters of proxies that were stopped.
	stoppedCounters map[string]int64
}

// NewInProcess returns a Target for a running deployment.
func NewInProcess(d *deployment.Deployment) *InProcess {
	return &InProcess{deployment: d, stoppedCounters: map[string]int64{}}
}

// Hosts implements Target. It includes hosts that are down, like a load balancer
// that has not noticed yet.
func (t *InProcess) Hosts() []string {
	var names []string
	for _, host := range t.deployment.Hosts {
		names = append(names, host.Name)
	}
	return names
}

// URL implements Target.
func (t *InProcess) URL(host, account, route string) string {
	for _, h := range t.deployment.Hosts {
		if h.Name == host {
			return t.deployment.CallerURL(h, account, route)
		}
	}
	return ""
}

// Counters implements Target. Counters of stopped proxies are included.
func (t *InProcess) Counters() map[string]int64 {
	sum := map[string]int64{}
	for name, value := range t.stoppedCounters {
		sum[name] += value
	}
	for _, host := range t.deployment.Hosts {
		if host.Proxy != nil {
			addCounters(sum, host.Proxy.Registry())
		}
	}
	for kind, calls := range t.deployment.Platform.Calls() {
		sum["store."+string(kind)+"_calls"] += calls
	}
	return sum
}

func addCounters(sum map[string]int64, registry metrics.Registry) {
	registry.Each(func(name string, metric any) {
		if counter, ok := metric.(metrics.Counter); ok {
			sum[name] += counter.Count()
		}
	})
}

// Inject implements Target.
func (t *InProcess) Inject(f Fault) (string, error) {
	d := t.deployment
	target := f.Target
	if database, ok := strings.CutPrefix(target, "primary:"); ok {
		target = d.Primary(database)
	}
	switch f.Action {
	case ActionKillInstance:
		return "killed " + target, d.KillInstance(target)
	case ActionStartInstance:
		return "started " + target, d.StartInstance(target)
	case ActionFreezeInstance:
		return "froze " + target, d.UpdateInstance(target, func(s *standin.Settings) { s.Frozen = true })
	case ActionThawInstance:
		return "thawed " + target, d.UpdateInstance(target, func(s *standin.Settings) { s.Frozen = false })
	case ActionLagInstance:
		return fmt.Sprintf("lag of %s is %s", target, f.Lag),
			d.UpdateInstance(target, func(s *standin.Settings) { s.Lag = standin.Duration(f.Lag) })
	case ActionCutDomain:
		return "cut off " + target, d.CutDomain(target, true)
	case ActionHeal:
		return "healed", d.Heal()
	case ActionPlatformDown, ActionPlatformUp:
		d.Platform.SetDown(f.Action == ActionPlatformDown)
		return string(f.Action), nil
	case ActionLoseAnswers:
		d.Platform.LoseAnswers(f.Count)
		return fmt.Sprintf("%d answers will be lost", f.Count), nil
	case ActionKillHost, ActionDrainHost, ActionStartHost:
		return t.injectHost(f.Action, target)
	default:
		return t.injectRecord(f.Action, target)
	}
}

func (t *InProcess) injectHost(action Action, name string) (string, error) {
	for _, host := range t.deployment.Hosts {
		if host.Name != name {
			continue
		}
		if action == ActionStartHost {
			return "started " + name, t.deployment.StartHost(host)
		}
		if host.Proxy == nil {
			return "", fmt.Errorf("host %q is down", name)
		}
		addCounters(t.stoppedCounters, host.Proxy.Registry())
		if action == ActionKillHost {
			t.deployment.KillHost(host)
			return "killed " + name, nil
		}
		return "drained " + name, t.deployment.DrainHost(host)
	}
	return "", fmt.Errorf("host %q does not exist", name)
}

func (t *InProcess) injectRecord(action Action, target string) (string, error) {
	var revision int64
	var err error
	start := time.Now()
	switch action {
	case ActionLeaveDomain:
		revision, err = t.deployment.SetState(records.KindDomain, target, records.StateLeaving)
	case ActionReturnDomain:
		revision, err = t.deployment.SetState(records.KindDomain, target, records.StateActive)
	case ActionDrainBackend:
		revision, err = t.deployment.SetState(records.KindBackend, target, records.StateLeaving)
	case ActionReturnBackend:
		revision, err = t.deployment.SetState(records.KindBackend, target, records.StateActive)
	case ActionWithdrawKey:
		revision, err = t.deployment.WithdrawKey(target)
	default:
		return "", fmt.Errorf("action %q is not known", action)
	}
	if err != nil {
		return "", err
	}
	last := t.deployment.WaitRevision(revision, 12*time.Second)
	return fmt.Sprintf("%s %s: revision %d in force on all hosts after %s",
		action, target, revision, last.Sub(start).Round(time.Millisecond)), nil
}
