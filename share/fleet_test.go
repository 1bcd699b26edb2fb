package share_test

import (
	"fmt"
	"math"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleylever/bramleylever/share"
)

// clock is the clock of one process; clocks differ in offset and rate.
type clock struct {
	offset time.Duration
	rate   float64
}

var epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (c clock) at(now time.Duration) time.Time {
	return epochStart.Add(c.offset + time.Duration(float64(now)*c.rate))
}

type message struct {
	host   int
	owner  int
	call   share.Call
	answer *share.Answer
}

// process is one process of a host. The old process of a restarted host keeps
// running.
type process struct {
	holder *share.Holder
	clock  clock
	open   int
}

type ownerProcess struct {
	owner *share.Owner
	clock clock
	// hasLease is false once a later owner holds the lease.
	hasLease bool
}

type limitChange struct {
	at    time.Duration
	limit share.Limit
}

// fleet is a model of hosts, owners and clocks, and of a network that may lose,
// delay, duplicate and reorder messages.
type fleet struct {
	t      *rapid.T
	cfg    share.Config
	now    time.Duration
	limits []limitChange

	processes []*process
	hosts     int
	owners    []*ownerProcess
	network   []message

	level    float64
	updated  time.Duration
	admitted int
}

func newFleet(t *rapid.T, cfg share.Config) *fleet {
	f := &fleet{t: t, cfg: cfg, hosts: rapid.IntRange(1, 4).Draw(t, "hosts")}
	f.limits = []limitChange{{0, f.drawLimit()}}
	f.level = f.limits[0].limit.Capacity
	for i := range f.hosts {
		f.processes = append(f.processes, f.newProcess(i, 1))
	}
	f.changeOwner()
	if rapid.Bool().Draw(t, "later epoch") {
		f.changeOwner()
	}
	return f
}

func (f *fleet) drawLimit() share.Limit {
	limit := share.Limit{Capacity: float64(rapid.IntRange(1, 40).Draw(f.t, "capacity"))}
	if f.cfg.Kind == share.Rate {
		limit.Rate = float64(rapid.IntRange(1, 400).Draw(f.t, "rate"))
	}
	return limit
}

// drawClock returns a clock whose rate is within 1% of all others.
func (f *fleet) drawClock() clock {
	return clock{
		offset: time.Duration(rapid.IntRange(0, 100).Draw(f.t, "offset")) * time.Second,
		rate:   rapid.SampledFrom([]float64{1, 1.01, 1.005}).Draw(f.t, "clock rate"),
	}
}

func (f *fleet) newProcess(host int, incarnation uint64) *process {
	id := share.HolderID{Host: fmt.Sprintf("h%d", host), Incarnation: incarnation}
	return &process{holder: share.NewHolder(f.cfg, id), clock: f.drawClock()}
}

func (f *fleet) limit() share.Limit { return f.limits[len(f.limits)-1].limit }

// ideal returns the highest limit under which a grant that is still in use may have
// been issued.
func (f *fleet) ideal() share.Limit {
	var most share.Limit
	oldest := f.now - f.cfg.BaseValidity - f.cfg.BaseValidity/20
	for i, c := range f.limits {
		if i+1 < len(f.limits) && f.limits[i+1].at < oldest {
			continue
		}
		most.Rate = max(most.Rate, c.limit.Rate)
		most.Capacity = max(most.Capacity, c.limit.Capacity)
	}
	return most
}

func (f *fleet) refill() {
	ideal := f.ideal()
	f.level = math.Min(ideal.Capacity, f.level+ideal.Rate*(f.now-f.updated).Seconds())
	f.updated = f.now
}

func (f *fleet) advance(d time.Duration) {
	f.now += d
	f.refill()
	if f.cfg.Kind != share.Units {
		return
	}
	for _, m := range f.processes {
		// A process closes the connections of units before the units expire.
		m.open = min(m.open, m.holder.MaxUnits(m.clock.at(f.now)))
		m.holder.SetUse(m.open, 0, m.clock.at(f.now))
	}
}

// admit sends requests to a process and checks each admission against the ideal
// bucket.
func (f *fleet) admit(m *process, count int) {
	for range count {
		if !m.holder.Admit(m.clock.at(f.now)) {
			continue
		}
		f.admitted++
		f.level--
		if f.level < -1e-6 {
			f.t.Fatalf("admission %d exceeds the ideal bucket by %g at %s", f.admitted, -f.level, f.now)
		}
	}
}

// use opens or closes connections of a process and checks the sum of the fleet
// against the limit.
func (f *fleet) use(m *process, wanted int) {
	now := m.clock.at(f.now)
	if wanted > m.open {
		m.open = max(m.open, min(wanted, m.holder.Units(now)))
	} else {
		m.open = wanted
	}
	m.holder.SetUse(m.open, max(0, wanted-m.open), now)
	sum := 0
	for _, other := range f.processes {
		sum += other.open
	}
	if float64(sum) > f.ideal().Capacity {
		f.t.Fatalf("%d units in use at %s, limit %g", sum, f.now, f.ideal().Capacity)
	}
}

func (f *fleet) changeOwner() {
	for _, o := range f.owners {
		o.hasLease = false
	}
	c := f.drawClock()
	owner := share.NewOwner(f.cfg, uint64(len(f.owners)+1), f.limit(), f.hosts, c.at(f.now))
	f.owners = append(f.owners, &ownerProcess{owner: owner, clock: c, hasLease: true})
}

func (f *fleet) call(host int, leave bool) {
	m := f.processes[host]
	now := m.clock.at(f.now)
	call := m.holder.Call
	if leave {
		call = m.holder.Leave
	}
	owner := len(f.owners) - 1
	f.network = append(f.network, message{host: host, owner: owner, call: call(now)})
}

// deliver handles one message. The answer of an owner may take any time to arrive,
// also after the owner has lost its lease.
func (f *fleet) deliver(index int, keep bool) {
	m := f.network[index]
	if !keep {
		f.network = append(f.network[:index], f.network[index+1:]...)
	}
	if m.answer != nil {
		target := f.processes[m.host]
		if _, err := target.holder.Apply(*m.answer, target.clock.at(f.now)); err != nil {
			f.t.Fatal(err)
		}
		return
	}
	o := f.owners[m.owner]
	if !o.hasLease {
		return
	}
	answer, err := o.owner.Handle(m.call, o.clock.at(f.now))
	if err == nil {
		f.network = append(f.network, message{host: m.host, owner: m.owner, answer: &answer})
	}
}

// exchange makes a call and delivers its answer without delay.
func (f *fleet) exchange(host int) {
	f.call(host, false)
	f.deliver(len(f.network)-1, false)
	if n := len(f.network); n > 0 && f.network[n-1].answer != nil {
		f.deliver(n-1, false)
	}
}

func (f *fleet) changeLimit() {
	f.refill()
	f.limits = append(f.limits, limitChange{f.now, f.drawLimit()})
	for _, o := range f.owners {
		if o.hasLease {
			o.owner.SetLimit(f.limit(), o.clock.at(f.now))
		}
	}
}

func (f *fleet) step() {
	t := f.t
	host := rapid.IntRange(0, len(f.processes)-1).Draw(t, "host")
	m := f.processes[host]
	switch action := rapid.IntRange(0, 20).Draw(t, "action"); action {
	case 0, 1, 2, 3:
		f.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
	case 4:
		f.advance(time.Duration(rapid.IntRange(1, 25).Draw(t, "s")) * time.Second)
	case 5, 6, 7, 8:
		f.demand(m, rapid.IntRange(1, 60).Draw(t, "demand"))
	case 9, 10, 11, 12, 13:
		f.exchange(host)
	case 14:
		f.call(host, rapid.IntRange(0, 4).Draw(t, "leave") == 0)
	case 15, 16:
		if len(f.network) > 0 {
			index := rapid.IntRange(0, len(f.network)-1).Draw(t, "message")
			f.deliver(index, rapid.Bool().Draw(t, "again"))
		}
	case 17:
		f.changeOwner()
	case 18:
		if rapid.Bool().Draw(t, "limit") {
			f.changeLimit()
		} else {
			f.hosts = rapid.IntRange(1, 4).Draw(t, "hosts")
			f.owners[len(f.owners)-1].owner.SetHosts(f.hosts)
		}
	case 19:
		// A restart: the old process keeps running beside the new one.
		f.processes = append(f.processes, f.newProcess(host%4, uint64(len(f.processes)+1)))
	case 20:
		switch rapid.IntRange(0, 2).Draw(t, "scenario") {
		case 0:
			f.approachExpiry(host)
		case 1:
			f.saturate(host)
		case 2:
			f.lateAnswer(host)
		}
	}
}

// approachExpiry advances the time to just before or just after the grants of a
// process expire, and puts load on that process and on another one.
func (f *fleet) approachExpiry(host int) {
	other := rapid.IntRange(0, len(f.processes)-1).Draw(f.t, "other")
	f.exchange(host)
	f.demand(f.processes[host], 60)
	validity := rapid.SampledFrom([]time.Duration{f.cfg.BaseValidity, f.cfg.DynamicValidity}).Draw(f.t, "validity")
	late := rapid.Bool().Draw(f.t, "late")
	if late {
		f.advance(validity + validity/20)
	} else {
		f.advance(validity - 300*time.Millisecond)
	}
	for range rapid.IntRange(5, 18).Draw(f.t, "rounds") {
		f.exchange(other)
		f.demand(f.processes[other], 60)
		f.advance(20 * time.Millisecond)
	}
	f.demand(f.processes[host], 60)
	if late {
		f.exchange(host)
		f.exchange(other)
		f.demand(f.processes[other], 60)
	}
}

// lateAnswer delays an answer with tokens until the grants have refilled. It guards
// against tokens that an ideal bucket would have lost by overflow.
func (f *fleet) lateAnswer(host int) {
	f.saturate(host)
	f.call(host, false)
	sent := len(f.network)
	f.deliver(sent-1, false)
	f.advance(time.Duration(rapid.IntRange(1, 1900).Draw(f.t, "delay")) * time.Millisecond)
	if len(f.network) == sent {
		f.deliver(sent-1, false)
	}
	f.demand(f.processes[host], 60)
	for i, m := range f.processes {
		f.exchange(i)
		f.demand(m, 60)
	}
}

// saturate keeps one process at the highest rate that it is granted.
func (f *fleet) saturate(host int) {
	step := time.Duration(rapid.IntRange(10, 100).Draw(f.t, "step")) * time.Millisecond
	for range rapid.IntRange(1, 150).Draw(f.t, "rounds") {
		f.advance(step)
		f.demand(f.processes[host], 60)
		f.exchange(host)
		f.demand(f.processes[host], 60)
	}
}

func (f *fleet) demand(m *process, count int) {
	if f.cfg.Kind == share.Units {
		f.use(m, count/2)
	} else {
		f.admit(m, count)
	}
}

// runHistory runs a fleet through random steps.
func runHistory(t *rapid.T, cfg share.Config) {
	f := newFleet(t, cfg)
	for range rapid.IntRange(20, 120).Draw(t, "steps") {
		f.step()
	}
}
