package failover

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/position"
)

const (
	// ProbeInterval is the minimum time between the starts of two probes of an instance.
	ProbeInterval = 200 * time.Millisecond
	// ProbeTimeout is the timeout of one probe. It is half of SuspicionTimeout, so that a
	// suspicion rests on at least two probes.
	ProbeTimeout = 400 * time.Millisecond
	// SuspicionTimeout is the time without a successful probe after which an
	// instance is reported unreachable.
	SuspicionTimeout = 800 * time.Millisecond
	// ReportInterval is the longest time between two reports.
	ReportInterval = 500 * time.Millisecond
)

// AssignedProber returns the host of a failure domain that probes a database, by rendezvous
// hashing (Thaler and Ravishankar, 1998) over the live hosts. When a host leaves, only the
// databases that it probed are reassigned.
func AssignedProber(hosts []string, database string) string {
	var best uint64
	var prober string
	for _, host := range hosts {
		h := xxhash.New()
		_, _ = h.WriteString(host)
		_, _ = h.Write([]byte{0})
		_, _ = h.WriteString(database)
		if weight := h.Sum64(); prober == "" || weight > best {
			prober, best = host, weight
		}
	}
	return prober
}

// Prober schedules the probes of the instances of one database for one failure domain and
// builds the reports. It does no I/O and reads no clock. It is not safe for concurrent use.
type Prober struct {
	targets    map[string]*target
	changed    bool
	reportedAt time.Time
}

type target struct {
	address   string
	addedAt   time.Time
	nextAt    time.Time
	inFlight  bool
	successAt time.Time
	last      backend.Status
	reachable bool
	// reportable is set once SuspicionTimeout has passed since the instance was added.
	// Until then an instance without a successful probe is left out of reports.
	reportable bool
}

// ProbeCall asks the runner to query the status of an instance within ProbeTimeout.
type ProbeCall struct {
	Instance string
	Address  string
}

// NewProber returns a Prober without instances.
func NewProber() *Prober { return &Prober{targets: map[string]*target{}} }

// Configure sets the instances to probe. An instance with a new address starts with empty
// state.
func (p *Prober) Configure(now time.Time, instances []Instance) {
	kept := map[string]bool{}
	for _, in := range instances {
		kept[in.Name] = true
		if t, ok := p.targets[in.Name]; ok && t.address == in.Address {
			continue
		}
		p.targets[in.Name] = &target{address: in.Address, addedAt: now}
	}
	for name := range p.targets {
		if !kept[name] {
			delete(p.targets, name)
		}
	}
}

// Result records the result of a probe that began at started. The age of a success counts
// from started, because the status may have been read at any time since then.
func (p *Prober) Result(started time.Time, call ProbeCall, s backend.Status, err error) {
	t, ok := p.targets[call.Instance]
	if !ok || t.address != call.Address {
		return
	}
	t.inFlight = false
	if err != nil || started.Before(t.successAt) {
		return
	}
	if !t.reachable || t.last.Role != s.Role || t.last.Term != s.Term {
		p.changed = true
	}
	t.reachable = true
	t.successAt = started
	t.last = s
}

// Tick returns the probes that are due, and a report if one is due.
func (p *Prober) Tick(now time.Time) (calls []ProbeCall, report []Observation) {
	for name, t := range p.targets {
		if t.reachable && now.Sub(t.successAt) >= SuspicionTimeout {
			t.reachable = false
			p.changed = true
		}
		if !t.reportable && now.Sub(t.addedAt) >= SuspicionTimeout {
			t.reportable = true
			p.changed = true
		}
		if !t.inFlight && !now.Before(t.nextAt) {
			t.inFlight = true
			t.nextAt = now.Add(ProbeInterval)
			calls = append(calls, ProbeCall{Instance: name, Address: t.address})
		}
	}
	slices.SortFunc(calls, func(a, b ProbeCall) int {
		return cmp.Compare(a.Instance, b.Instance)
	})
	if p.changed || now.Sub(p.reportedAt) >= ReportInterval {
		report = p.observations(now)
		p.changed = false
		p.reportedAt = now
	}
	return calls, report
}

// observations returns the reportable instances in the order of their names.
func (p *Prober) observations(now time.Time) []Observation {
	var all []Observation
	for name, t := range p.targets {
		age := time.Duration(-1)
		if !t.successAt.IsZero() {
			age = now.Sub(t.successAt)
		}
		if !t.reachable && !t.reportable {
			continue
		}
		all = append(all, Observation{
			Instance:     name,
			Reachable:    t.reachable,
			Role:         t.last.Role,
			Term:         t.last.Term,
			Received:     t.last.Received,
			Applied:      t.last.Applied,
			SinceSuccess: age,
		})
	}
	slices.SortFunc(all, func(a, b Observation) int {
		return cmp.Compare(a.Instance, b.Instance)
	})
	return all
}

// highestPrimary returns the reachable primary with the highest term.
func highestPrimary(observations []Observation) (instance string, term position.Term, ok bool) {
	for _, o := range observations {
		if o.Reachable && o.Role == backend.RolePrimary && (!ok || term.Less(o.Term)) {
			instance, term, ok = o.Instance, o.Term, true
		}
	}
	return instance, term, ok
}
