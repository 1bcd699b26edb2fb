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
	// Guards against a load tool that passes a run in which a promise broke.
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
		Entry("nothing in an acknowledged write that is there", operation{end: answered}, 1, ""),
		Entry("a lost acknowledged write", operation{end: answered}, 0, "no acknowledged write lost"),
		Entry("a write that ran twice", operation{end: answered}, 2, "at most once"),
		Entry("an unknown write that ran twice", operation{end: unknown}, 2, "at most once"),
		Entry("nothing in an unknown write that ran", operation{end: unknown}, 1, ""),
		Entry("nothing in an unknown write that did not run", operation{end: unknown}, 0, ""),
		Entry("an untrue refusal", operation{end: notRun}, 1, "not run is true"),
		Entry("nothing in a true refusal", operation{end: notRun}, 0, ""),
	)

	It("reports reads that missed a write of their session", func() {
		h := &history{}
		h.staleRead("session 1")
		Expect(h.check(nil)).To(ConsistOf(Violation{"read-your-writes", "session 1"}))
	})

	// Guards against a gap that hides at the ends of the window.
	It("measures the longest gap within a window", func() {
		at := func(ms int) operation {
			return operation{write: true, end: answered, database: "db", finished: time.Duration(ms) * time.Millisecond}
		}
		h := &history{operations: []operation{at(100), at(900), at(1000), at(5000)}}
		Expect(h.longestGap("db", 0, 2*time.Second)).To(Equal(time.Second))
		Expect(h.longestGap("db", 0, time.Second)).To(Equal(800 * time.Millisecond))
	})
})

var _ = Describe("fare", func() {
	// Guards against refusals above the rate that count as wrong, and the
	// other way round.
	It("counts a refusal as wrong only if an ideal bucket would admit it", func() {
		load := AccountLoad{Account: "a", Limit: 1, Burst: 2}
		refusedAt := func(ms int) operation {
			return operation{end: notRun, sqlState: stateRateExceeded, sent: time.Duration(ms) * time.Millisecond}
		}
		a := fare(load, []operation{refusedAt(0), refusedAt(1), refusedAt(2), refusedAt(1100)})
		Expect(a.Refused).To(Equal(4))
		Expect(a.Wrongly).To(Equal(3))
	})
})

var _ = Describe("ParseFaults", func() {
	It("reads the examples", func() {
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

	// Guards against schedules that silently do something else.
	DescribeTable("refuses", func(raw, text string) {
		_, err := ParseFaults([]byte(raw))
		Expect(err).To(MatchError(ContainSubstring(text)))
	},
		Entry("an unknown action", `{"faults": [{"at": "1s", "action": "explode"}]}`, "explode"),
		Entry("an unknown field", `{"faults": [{"at": "1s", "action": "heal", "when": 1}]}`, "when"),
		Entry("a wrong time", `{"faults": [{"at": "soon", "action": "heal"}]}`, "soon"),
		Entry("a wrong order", `{"faults": [{"at": "2s", "action": "heal"}, {"at": "1s", "action": "heal"}]}`, "before"),
		Entry("trailing text", `{"faults": []} x`, "after the object"),
	)
})

var _ = Describe("arrivals", func() {
	// Guards against a closed loop: the number of requests must not depend on
	// how fast they are answered.
	It("follows the rate and the overload", func() {
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
