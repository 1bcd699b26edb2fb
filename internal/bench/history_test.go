package bench_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/bench"
)

func TestBench(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bench")
}

// Guards against a run that passes although a write was lost, doubled or run
// after a refusal.
var _ = DescribeTable("the history check",
	func(outcome bench.Outcome, found []string, violations ...string) {
		var h bench.History
		h.Add(bench.Write{ID: "w1", Database: "ledger", Outcome: outcome})
		Expect(h.Check(map[string][]string{"ledger": found})).To(ConsistOf(violations))
	},
	Entry("acknowledged, found", bench.Acknowledged, []string{"w1"}),
	Entry("acknowledged, lost", bench.Acknowledged, nil,
		"write w1 on ledger: acknowledged, found 0 times"),
	Entry("acknowledged, twice", bench.Acknowledged, []string{"w1", "w1"},
		"write w1 on ledger: acknowledged, found 2 times"),
	Entry("refused, absent", bench.NotRun, nil),
	Entry("refused, found", bench.NotRun, []string{"w1"},
		"write w1 on ledger: not run, found 1 times"),
	Entry("unknown, absent", bench.Unknown, nil),
	Entry("unknown, found", bench.Unknown, []string{"w1"}),
	Entry("unknown, twice", bench.Unknown, []string{"w1", "w1"},
		"write w1 on ledger: outcome unknown, found 2 times"),
	Entry("never sent", bench.Acknowledged, []string{"w1", "w2"},
		"write w2 on ledger: never sent, found 1 times"),
)

var _ = Describe("History", func() {
	// Guards against a run that passes although a session missed its write.
	It("reports stale reads", func() {
		var h bench.History
		h.AddStale(bench.StaleRead{Database: "ledger", Session: "s1", Missing: "w1"})
		Expect(h.Check(nil)).To(ConsistOf("read of session s1 on ledger: own write w1 is missing"))
	})

	// Guards against a gap that leaves out the time until the end of the span,
	// other databases, or writes whose outcome was not an acknowledgement.
	It("measures the failover gap", func() {
		var h bench.History
		start := time.Unix(0, 0)
		add := func(second int, database string, outcome bench.Outcome) {
			h.Add(bench.Write{Database: database, Outcome: outcome, At: start.Add(time.Duration(second) * time.Second)})
		}
		add(1, "ledger", bench.Acknowledged)
		add(3, "ledger", bench.Acknowledged)
		add(5, "ledger", bench.Unknown)
		add(6, "other", bench.Acknowledged)
		Expect(h.FailoverGap("ledger", start, start.Add(4*time.Second))).To(Equal(2 * time.Second))
		Expect(h.FailoverGap("ledger", start, start.Add(10*time.Second))).To(Equal(7 * time.Second))
	})
})
