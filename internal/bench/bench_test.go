package bench

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBench(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bench")
}

var _ = Describe("history", func() {
	// Guards against a load tool that accepts a run in which a guarantee was
	// violated.
	DescribeTable("finds",
		func(o operation, rows int, rule string) {
			o.write, o.database, o.id = true, "db", 7
			h := &history{operations: []operation{o}}
			found := map[string]map[int64]int{"db": {}}
			if rows > 0 {
				found["db"][7] = rows
			}
			violations := h.check(found)
			if rule == "" {
				Expect(violations).To(BeEmpty())
				return
			}
			Expect(violations).To(HaveLen(1))
			Expect(violations[0].Rule).To(Equal(rule))
		},
		Entry("no violation for an acknowledged write that is stored", operation{outcome: answered}, 1, ""),
		Entry("an acknowledged write that is not stored", operation{outcome: answered}, 0, "no acknowledged write lost"),
		Entry("an acknowledged write that is stored twice", operation{outcome: answered}, 2, "at most once"),
		Entry("a write of unknown outcome that is stored twice", operation{outcome: unknown}, 2, "at most once"),
		Entry("no violation for a write of unknown outcome that is stored", operation{outcome: unknown}, 1, ""),
		Entry("no violation for a write of unknown outcome that is not stored", operation{outcome: unknown}, 0, ""),
		Entry("a write reported as not run that is stored", operation{outcome: notRun}, 1, "not run is true"),
		Entry("no violation for a write reported as not run that is not stored", operation{outcome: notRun}, 0, ""),
	)

	It("reports reads that did not see a write of their own session", func() {
		h := &history{}
		h.addStaleRead("session 1")
		Expect(h.check(nil)).To(ConsistOf(Violation{"read-your-writes", "session 1"}))
	})

	// Guards against missing a gap at the start or the end of the window, where
	// there is no write on one side.
	It("measures the longest gap within a window", func() {
		at := func(ms int) operation {
			return operation{write: true, outcome: answered, database: "db", finished: time.Duration(ms) * time.Millisecond}
		}
		h := &history{operations: []operation{at(100), at(900), at(1000), at(5000)}}
		Expect(h.longestGap("db", 0, 2*time.Second)).To(Equal(time.Second))
		Expect(h.longestGap("db", 0, time.Second)).To(Equal(800 * time.Millisecond))
	})
})

var _ = Describe("newAccountResult", func() {
	// Guards against counting refusals above the rate limit as wrong, and against
	// missing refusals within it.
	It("counts a refusal as wrong only if an ideal token bucket admits the request", func() {
		load := AccountLoad{Account: "a", Limit: 1, Burst: 2}
		refusedAt := func(ms int) operation {
			return operation{outcome: notRun, sqlState: sqlStateRateExceeded, sent: time.Duration(ms) * time.Millisecond}
		}
		a := newAccountResult(load, []operation{refusedAt(0), refusedAt(1), refusedAt(2), refusedAt(1100)})
		Expect(a.RefusedForRate).To(Equal(4))
		Expect(a.RefusedWithinRate).To(Equal(3))
	})
})

var _ = Describe("ParseFaults", func() {
	It("parses the example schedules", func() {
		files, err := filepath.Glob("../../examples/faults/*.json")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).NotTo(BeEmpty())
		for _, file := range files {
			raw, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			_, err = ParseFaults(raw)
			Expect(err).NotTo(HaveOccurred(), file)
		}
	})

	// Guards against typing errors in a schedule that go unnoticed and change what
	// the run does.
	DescribeTable("refuses", func(raw, text string) {
		_, err := ParseFaults([]byte(raw))
		Expect(err).To(MatchError(ContainSubstring(text)))
	},
		Entry("an unknown action", `{"faults": [{"at": "1s", "action": "explode"}]}`, "explode"),
		Entry("an unknown field", `{"faults": [{"at": "1s", "action": "heal", "when": 1}]}`, "when"),
		Entry("an invalid duration", `{"faults": [{"at": "soon", "action": "heal"}]}`, "soon"),
		Entry("faults out of order", `{"faults": [{"at": "2s", "action": "heal"}, {"at": "1s", "action": "heal"}]}`, "before"),
		Entry("text after the object", `{"faults": []} x`, "after the object"),
	)
})

var _ = Describe("arrivals", func() {
	// Guards against a closed-loop load, in which slow responses reduce the number
	// of requests.
	It("follows the offered rate and the overload factor", func() {
		a := AccountLoad{Rate: 100, Overload: 4}
		times := arrivals(a, 30*time.Second, false, rand.New(rand.NewPCG(1, 1)))
		Expect(len(times)).To(BeNumerically("~", 6000, 10))
		poisson := arrivals(a, 30*time.Second, true, rand.New(rand.NewPCG(1, 1)))
		Expect(len(poisson)).To(BeNumerically("~", 6000, 400))
	})
})

func FuzzParseFaults(f *testing.F) {
	f.Add([]byte(`{"faults": [{"at": "1s", "action": "heal"}]}`))
	f.Fuzz(func(_ *testing.T, raw []byte) { _, _ = ParseFaults(raw) })
}
