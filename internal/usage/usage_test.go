package usage

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramleylever/bramleylever/internal/platform/platformtest"
)

// events are what may happen to a host, to the store and to reports.
var events = []func(t *rapid.T, f *fleet, h *host){
	func(_ *rapid.T, _ *fleet, h *host) { h.dead = true },
	func(_ *rapid.T, _ *fleet, h *host) {
		if h.dead {
			h.start()
		}
	},
	func(t *rapid.T, _ *fleet, h *host) {
		if !h.dead {
			h.runner.Stop(t.Context())
			h.dead = true
		}
	},
	func(_ *rapid.T, _ *fleet, h *host) { h.cutFromPeers = !h.cutFromPeers },
	func(_ *rapid.T, _ *fleet, h *host) { h.cutFromStore = !h.cutFromStore },
	func(t *rapid.T, _ *fleet, h *host) {
		h.jump = time.Duration(rapid.IntRange(-8, 8).Draw(t, "jump")) * time.Second
	},
	func(_ *rapid.T, f *fleet, _ *host) { f.loseReports = !f.loseReports },
	func(_ *rapid.T, f *fleet, _ *host) { f.dropReports = !f.dropReports },
	func(_ *rapid.T, f *fleet, _ *host) { f.killAtReport = true },
	func(t *rapid.T, f *fleet, _ *host) {
		f.memory.SetFault(platformtest.Fault{
			LoseAnswers: rapid.Bool().Draw(t, "lose answers"), Postpone: rapid.Bool().Draw(t, "postpone"),
		})
	},
	func(_ *rapid.T, f *fleet, _ *host) { f.memory.SetFault(platformtest.Fault{}) },
	func(_ *rapid.T, f *fleet, _ *host) { f.memory.RunPostponed() },
	func(_ *rapid.T, f *fleet, _ *host) { f.kept = f.memory.Copy() },
	func(_ *rapid.T, f *fleet, _ *host) { f.memory.Restore(f.kept) },
}

// stepsPerEvent is how many steps pass on average for each kind of event.
const stepsPerEvent = 4

// TestReportsNeverDiffer guards against two different reports of a window, against operations
// that are counted twice and against two holders with one token, whatever hosts die, stop, are
// cut off or have clocks that jump, whatever answers are lost, and if the store comes back
// from an older copy.
func TestReportsNeverDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(4)
		for range rapid.IntRange(100, 400).Draw(t, "steps") {
			h := f.hosts[rapid.IntRange(0, 3).Draw(t, "host")]
			if event := rapid.IntRange(0, stepsPerEvent*len(events)).Draw(t, "event"); event < len(events) {
				events[event](t, f, h)
			}
			if !h.dead {
				f.count(h, accounts[rapid.IntRange(0, 1).Draw(t, "account")], rapid.IntRange(0, 3).Draw(t, "count"))
			}
			f.step()
		}
		if len(f.api.problems) > 0 {
			t.Fatalf("%q", f.api.problems)
		}
		for account, n := range f.api.total() {
			if n > f.counted[account] {
				t.Fatalf("%s: %d operations reported, %d counted", account, n, f.counted[account])
			}
		}
	})
}

// load lets every living host count an operation of each account in each tick.
func (f *fleet) load(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		for _, h := range f.hosts {
			if h.dead {
				continue
			}
			for _, account := range accounts {
				f.count(h, account, 1)
			}
		}
		f.step()
	}
}

// finish lets all windows be reported.
func (f *fleet) finish() { f.run(4 * testWindow) }

// late returns the reports that were not made in time.
func (f *fleet) late() []Window {
	var late []Window
	policy := f.hosts[0].runner.options.Policy
	for w, at := range f.api.at {
		if at.Sub(policy.End(w)) > policy.ReportTime {
			late = append(late, w)
		}
	}
	return late
}

// TestEveryOperationIsReported guards against operations that are lost or reported late while
// nothing fails, and when the holder dies between the record and the report.
func TestEveryOperationIsReported(t *testing.T) {
	for name, disturb := range map[string]func(*fleet){
		"nothing":                 func(*fleet) {},
		"reports without answers": func(f *fleet) { f.loseReports = true; f.load(6 * time.Second); f.loseReports = false },
		"a planned stop":          func(f *fleet) { f.load(2 * time.Second); f.hosts[0].runner.Stop(t.Context()); f.hosts[0].dead = true },
		"a host without the store": func(f *fleet) {
			f.hosts[1].cutFromStore = true
			f.load(8 * time.Second)
			f.hosts[1].cutFromStore = false
		},
		"a clock that is 3 s ahead": func(f *fleet) { f.hosts[2].jump = 3 * time.Second },
		"hosts that send their counts to others": func(f *fleet) {
			first, _ := f.hosts[0].runner.collectorsOf()
			hidden := map[string]bool{first[0].Name: true, first[1].Name: true}
			for _, h := range f.hosts {
				if !hidden[h.name] {
					h.hidden = hidden
				}
			}
		},
		"answers of the store that are lost": func(f *fleet) {
			f.memory.SetFault(platformtest.Fault{LoseAnswers: true})
			f.load(2 * time.Second)
			f.memory.SetFault(platformtest.Fault{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(5)
			f.load(12 * time.Second)
			disturb(f)
			f.load(12 * time.Second)
			f.finish()
			g.Expect(f.api.problems).To(BeEmpty())
			g.Expect(f.api.total()).To(Equal(f.counted))
			g.Expect(f.late()).To(BeEmpty())
		})
	}
}

// TestKilledHostLosesLittle guards against the loss of all that a host counted in a window in
// which it is killed: at most the operations since its last push are lost, also if a collector
// is killed.
func TestKilledHostLosesLittle(t *testing.T) {
	for victim := range 5 {
		g := NewWithT(t)
		f := newFleet(5)
		f.load(12 * time.Second)
		h := f.hosts[victim]
		h.dead = true
		f.load(6 * time.Second)
		h.start()
		f.load(12 * time.Second)
		f.finish()
		most := int64((pushInterval + 5*pushPerHost) / tickInterval)
		for _, account := range accounts {
			g.Expect(f.counted[account]-f.api.total()[account]).To(BeNumerically("<=", most+1), "victim %d", victim)
		}
		g.Expect(f.late()).To(BeEmpty())
	}
}

// TestHolderKilledBetweenRecordAndReport guards against a window that nobody reports, or that
// the next holder reports with other counts.
func TestHolderKilledBetweenRecordAndReport(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(5)
	f.load(12 * time.Second)
	f.killAtReport = true
	f.load(20 * time.Second)
	f.finish()
	g.Expect(f.killAtReport).To(BeFalse())
	g.Expect(f.api.problems).To(BeEmpty())
	g.Expect(f.late()).To(BeEmpty())
	first := f.hosts[0].runner.options.Policy.At(epoch)
	for w := first; w < first+6; w++ {
		g.Expect(f.api.counts).To(HaveKey(w))
	}
}

// TestClockThatStartsWrong guards against counts in the wrong window by a host whose time of
// day is wrong already when its process starts.
func TestClockThatStartsWrong(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(5)
	h := f.hosts[3]
	h.jump = -20 * time.Second
	h.start()
	f.load(3 * time.Second)
	g.Expect(h.runner.Now()).To(BeTemporally("~", f.now, 50*time.Millisecond))
}

// TestIsolatedHolderYields guards against a report without most hosts' counts by a holder that
// reaches the store but not the other hosts.
func TestIsolatedHolderYields(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(5)
	f.load(7 * time.Second)
	for _, h := range f.hosts {
		if h.runner.duty.token != 0 {
			h.cutFromPeers = true
		}
	}
	f.load(20 * time.Second)
	f.finish()
	g.Expect(f.api.problems).To(BeEmpty())
	policy := f.hosts[0].runner.options.Policy
	whole := f.api.counts[policy.At(epoch)+2]
	g.Expect(whole[accounts[0]]).To(BeNumerically(">=", 4*int64(testWindow/tickInterval)-4))
}

// TestLateSealDoesNotReplaceRecord guards against a record that changes after it was reported,
// because the store carries out an earlier attempt to seal it late.
func TestLateSealDoesNotReplaceRecord(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1)
	f.load(7 * time.Second)
	runner := f.hosts[0].runner
	g.Expect(runner.duty.holds()).To(BeTrue())
	w := runner.options.Policy.At(f.now) + 1
	first := &Record{Window: w, Counts: Counts{accounts[0]: 1}, Token: runner.duty.token}
	second := &Record{Window: w, Counts: Counts{accounts[0]: 2}, Token: runner.duty.token}
	f.memory.SetFault(platformtest.Fault{Postpone: true})
	_, err := runner.seal(t.Context(), first)
	g.Expect(err).To(HaveOccurred())
	f.memory.SetFault(platformtest.Fault{})
	sealed, err := runner.seal(t.Context(), second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(sealed.Counts).To(Equal(second.Counts))
	f.memory.RunPostponed()
	again, err := runner.seal(t.Context(), first)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Counts).To(Equal(second.Counts))
}
