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

// world drives coordinators and a fake group in virtual time. Every message
// can be delayed, lost or delivered after its effect became outdated.
type world struct {
	now          time.Time
	group        *fakeGroup
	domains      []string
	coordinators []*worldCoordinator
	epoch        uint64
	reports      map[string]DomainReport
	seen         map[[2]string]seenStatus
	leaving      map[string]bool
	domainCount  int
	roundCount   int
	done         []SwitchoverDone
	decisions    []Decision
}

// maxCallsPerTick finds a core that repeats a call without delay.
const maxCallsPerTick = 100

type seenStatus struct {
	at     time.Time
	status backend.Status
}

// worldCoordinator is a coordinator with its messages under way.
type worldCoordinator struct {
	side    string
	core    *Coordinator
	calls   []Call
	answers []Answer
	highest position.Term
}

func newWorld(domains ...string) *world {
	w := &world{
		now:         time.Unix(0, 0),
		group:       newFakeGroup("i1", "i2", "i3"),
		domains:     domains,
		reports:     map[string]DomainReport{},
		seen:        map[[2]string]seenStatus{},
		leaving:     map[string]bool{},
		domainCount: len(domains),
	}
	w.group.clock = func() time.Time { return w.now }
	for _, side := range domains[:min(2, len(domains))] {
		w.coordinators = append(w.coordinators, &worldCoordinator{side: side, core: NewCoordinator("ledger")})
	}
	w.configure()
	return w
}

func (w *world) configure() {
	var instances []Instance
	for _, in := range w.group.instances {
		instances = append(instances, Instance{Name: in.name, Address: in.name, Leaving: w.leaving[in.name]})
	}
	for _, c := range w.coordinators {
		w.step(c, Configure{Instances: instances, Domains: w.domainCount})
	}
}

func (w *world) step(c *worldCoordinator, e Event) {
	for _, action := range c.core.Step(w.now, e) {
		switch a := action.(type) {
		case Call:
			c.calls = append(c.calls, a)
		case Announce:
			if a.Group.Term.Less(c.highest) {
				w.group.broken = append(w.group.broken, fmt.Sprintf("topology went back from %s to %s", c.highest, a.Group.Term))
			}
			c.highest = a.Group.Term
		case SwitchoverDone:
			w.done = append(w.done, a)
		case Decision:
			w.decisions = append(w.decisions, a)
		}
	}
}

// lead elects a coordinator in the next epoch.
func (w *world) lead(i int) {
	w.epoch++
	w.step(w.coordinators[i], Lead{Epoch: w.epoch})
}

var errNoAnswer = errors.Join(outcome.ErrUnknown, errors.New("no answer"))

// deliverCall runs call n of a coordinator at its instance.
func (w *world) deliverCall(c *worldCoordinator, n int) {
	if n >= len(c.calls) {
		return
	}
	call := c.calls[n]
	c.calls = slices.Delete(c.calls, n, n+1)
	answer := Answer{Call: call.ID, Err: errNoAnswer}
	if in := w.group.get(call.Instance); w.group.reaches(c.side, in) {
		answer.Status, answer.Err = w.group.run(call)
	}
	c.answers = append(c.answers, answer)
}

// deliverAnswer passes answer n to its coordinator, or the loss of it.
func (w *world) deliverAnswer(c *worldCoordinator, n int, lost bool) {
	if n >= len(c.answers) {
		return
	}
	answer := c.answers[n]
	c.answers = slices.Delete(c.answers, n, n+1)
	if lost {
		answer = Answer{Call: answer.Call, Err: errNoAnswer}
	}
	w.step(c, answer)
}

// report sends what a failure domain sees to the coordinators that it reaches.
func (w *world) report(domain string) {
	r := DomainReport{Domain: domain}
	for _, in := range w.group.instances {
		key := [2]string{domain, in.name}
		if w.group.reaches(domain, in) {
			w.seen[key] = seenStatus{at: w.now, status: in.status()}
		}
		s := w.seen[key]
		r.Observations = append(r.Observations, Observation{
			Instance:  in.name,
			Reachable: !s.at.IsZero() && w.now.Sub(s.at) < SuspicionTimeout,
			Role:      s.status.Role,
			Term:      s.status.Term,
			Received:  s.status.Received,
		})
	}
	w.reports[domain] = r
	w.redeliver(domain)
}

// redeliver sends the last report of a domain again, which may be outdated.
func (w *world) redeliver(domain string) {
	for _, c := range w.coordinators {
		if !w.group.cut[[2]string{domain, c.side}] {
			w.step(c, w.reports[domain])
		}
	}
}

// round lets 100 ms pass in which every message that can arrive does.
func (w *world) round() {
	for i := range 5 {
		w.now = w.now.Add(20 * time.Millisecond)
		for _, c := range w.coordinators {
			w.step(c, Tick{})
			for n := 0; len(c.calls)+len(c.answers) > 0; n++ {
				if n > maxCallsPerTick {
					w.group.broken = append(w.group.broken, fmt.Sprintf("calls without end: %+v", c.calls))
					return
				}
				w.deliverCall(c, 0)
				w.deliverAnswer(c, 0, false)
			}
		}
		if i%2 == 0 {
			for _, in := range w.group.instances {
				w.group.replicate(in)
			}
		}
	}
	w.roundCount++
	for _, domain := range w.domains {
		if w.roundCount%2 == 0 {
			w.report(domain)
		}
	}
	for _, in := range w.group.instances {
		w.group.acknowledge(in)
	}
}

func (w *world) rounds(n int) {
	for range n {
		w.round()
	}
}

// primary returns the primary of the highest term; nil if that term has none.
func (w *world) primary() *fakeInstance {
	var highest *fakeInstance
	for _, in := range w.group.instances {
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
func (w *world) majorityWrite(lagging *fakeInstance) {
	p := w.primary()
	if p == nil || p == lagging {
		return
	}
	w.group.setCut(p.name, lagging.name)
	w.group.write(p)
	for _, in := range w.group.instances {
		w.group.replicate(in)
	}
	w.group.acknowledge(p)
}

// heal ends all faults.
func (w *world) heal() {
	clear(w.group.cut)
	for _, in := range w.group.instances {
		in.down, in.frozen, in.busy = false, false, false
	}
}

// restart ends an instance and starts it again with its log and term. It
// forgets whom it followed.
func (in *fakeInstance) restart() {
	in.follows = ""
	in.quiescedUntil = time.Time{}
}
