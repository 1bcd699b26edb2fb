package failover

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/position"
)

// simulation drives coordinators and a fake group in virtual time. Every message can be
// delayed, lost or delivered after its content is outdated.
type simulation struct {
	now          time.Time
	group        *fakeGroup
	domains      []string
	coordinators []*simCoordinator
	epoch        uint64
	reports      map[string]DomainReport
	lastSeen     map[[2]string]seenStatus
	leaving      map[string]bool
	domainCount  int
	roundCount   int
	done         []SwitchoverDone
	decisions    []Decision
}

// maxCallsPerTick is the limit above which a coordinator counts as repeating a call without
// delay.
const maxCallsPerTick = 100

type seenStatus struct {
	at     time.Time
	status backend.Status
}

// simCoordinator is a coordinator with its undelivered messages.
type simCoordinator struct {
	side    string
	core    *Coordinator
	calls   []Call
	answers []Answer
	highest position.Term
}

func newSimulation(domains ...string) *simulation {
	sim := &simulation{
		now:         time.Unix(0, 0),
		group:       newFakeGroup("i1", "i2", "i3"),
		domains:     domains,
		reports:     map[string]DomainReport{},
		lastSeen:    map[[2]string]seenStatus{},
		leaving:     map[string]bool{},
		domainCount: len(domains),
	}
	sim.group.clock = func() time.Time { return sim.now }
	for _, side := range domains[:min(2, len(domains))] {
		sim.coordinators = append(sim.coordinators, &simCoordinator{side: side, core: NewCoordinator("ledger")})
	}
	sim.configure()
	return sim
}

func (sim *simulation) configure() {
	var instances []Instance
	for _, in := range sim.group.instances {
		instances = append(instances, Instance{Name: in.name, Address: in.name, Leaving: sim.leaving[in.name]})
	}
	for _, c := range sim.coordinators {
		sim.step(c, Configure{Instances: instances, Domains: sim.domainCount})
	}
}

func (sim *simulation) step(c *simCoordinator, e Event) {
	for _, action := range c.core.Step(sim.now, e) {
		switch a := action.(type) {
		case Call:
			c.calls = append(c.calls, a)
		case Announce:
			if a.Group.Term.Less(c.highest) {
				sim.group.violations = append(sim.group.violations, fmt.Sprintf("topology term decreased from %s to %s", c.highest, a.Group.Term))
			}
			c.highest = a.Group.Term
		case SwitchoverDone:
			sim.done = append(sim.done, a)
		case Decision:
			sim.decisions = append(sim.decisions, a)
		}
	}
}

// elect makes a host coordinator in the next epoch.
func (sim *simulation) elect(i int) {
	sim.epoch++
	sim.step(sim.coordinators[i], Lead{Epoch: sim.epoch})
}

var errNoAnswer = errors.Join(outcome.ErrUnknown, errors.New("no answer"))

// deliverCall executes call n of a coordinator at its instance.
func (sim *simulation) deliverCall(c *simCoordinator, n int) {
	if n >= len(c.calls) {
		return
	}
	call := c.calls[n]
	c.calls = slices.Delete(c.calls, n, n+1)
	answer := Answer{Call: call.ID, Err: errNoAnswer}
	if in := sim.group.get(call.Instance); sim.group.reaches(c.side, in) {
		answer.Status, answer.Err = sim.group.run(call)
	}
	c.answers = append(c.answers, answer)
}

// deliverAnswer passes answer n to its coordinator, or an error in its place if lost is
// set.
func (sim *simulation) deliverAnswer(c *simCoordinator, n int, lost bool) {
	if n >= len(c.answers) {
		return
	}
	answer := c.answers[n]
	c.answers = slices.Delete(c.answers, n, n+1)
	if lost {
		answer = Answer{Call: answer.Call, Err: errNoAnswer}
	}
	sim.step(c, answer)
}

// report sends the observations of a failure domain to the coordinators that it reaches.
func (sim *simulation) report(domain string) {
	r := DomainReport{Domain: domain}
	for _, in := range sim.group.instances {
		key := [2]string{domain, in.name}
		if sim.group.reaches(domain, in) {
			sim.lastSeen[key] = seenStatus{at: sim.now, status: in.status()}
		}
		s := sim.lastSeen[key]
		r.Observations = append(r.Observations, Observation{
			Instance:  in.name,
			Reachable: !s.at.IsZero() && sim.now.Sub(s.at) < SuspicionTimeout,
			Role:      s.status.Role,
			Term:      s.status.Term,
			Received:  s.status.Received,
		})
	}
	sim.reports[domain] = r
	sim.redeliver(domain)
}

// redeliver sends the last report of a domain again, which may be outdated.
func (sim *simulation) redeliver(domain string) {
	for _, c := range sim.coordinators {
		if !sim.group.partitioned[[2]string{domain, c.side}] {
			sim.step(c, sim.reports[domain])
		}
	}
}

// round advances time by 100 ms and delivers every message that can arrive.
func (sim *simulation) round() {
	for i := range 5 {
		sim.now = sim.now.Add(20 * time.Millisecond)
		for _, c := range sim.coordinators {
			sim.step(c, Tick{})
			for n := 0; len(c.calls)+len(c.answers) > 0; n++ {
				if n > maxCallsPerTick {
					sim.group.violations = append(sim.group.violations, fmt.Sprintf("calls repeated without delay: %+v", c.calls))
					return
				}
				sim.deliverCall(c, 0)
				sim.deliverAnswer(c, 0, false)
			}
		}
		if i%2 == 0 {
			for _, in := range sim.group.instances {
				sim.group.replicate(in)
			}
		}
	}
	sim.roundCount++
	for _, domain := range sim.domains {
		if sim.roundCount%2 == 0 {
			sim.report(domain)
		}
	}
	for _, in := range sim.group.instances {
		sim.group.acknowledge(in)
	}
}

func (sim *simulation) rounds(n int) {
	for range n {
		sim.round()
	}
}

// primary returns the primary of the highest term; nil if that term has none.
func (sim *simulation) primary() *fakeInstance {
	var highest *fakeInstance
	for _, in := range sim.group.instances {
		if highest == nil || highest.term.Less(in.term) || highest.term == in.term && in.role == backend.RolePrimary {
			highest = in
		}
	}
	if highest.role != backend.RolePrimary {
		return nil
	}
	return highest
}

// majorityWrite acknowledges a write that one replica does not receive.
func (sim *simulation) majorityWrite(lagging *fakeInstance) {
	p := sim.primary()
	if p == nil || p == lagging {
		return
	}
	sim.group.partition(p.name, lagging.name)
	sim.group.write(p)
	for _, in := range sim.group.instances {
		sim.group.replicate(in)
	}
	sim.group.acknowledge(p)
}

// heal ends all faults.
func (sim *simulation) heal() {
	clear(sim.group.partitioned)
	for _, in := range sim.group.instances {
		in.down, in.frozen, in.busy = false, false, false
	}
}

// restart restarts an instance, which keeps its log and term but not the primary that it
// followed.
func (in *fakeInstance) restart() {
	in.follows = ""
	in.quiescedUntil = time.Time{}
}
