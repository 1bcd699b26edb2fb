package routing_test

import (
	"flag"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"pgregory.net/rapid"

	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/routing"
	"github.com/bramleylever/bramleylever/position"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "10000")
	os.Exit(m.Run())
}

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

func at(epoch, lsn uint64) position.Position {
	return position.Position{Term: position.Term{Epoch: epoch, Sequence: 1}, LSN: position.LSN(lsn)}
}

var policies = []string{routing.RoundRobin, routing.LeastOutstanding, routing.PowerOfTwo, routing.WaitingTimeWithError}

func policy(t interface{ Fatal(...any) }, name string) routing.Policy {
	p, err := routing.NewPolicy(name, 1)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Guards, for every policy, against writes on a replica, reads without a required check,
// and new work on instances that are leaving or that failed.
func TestPromise1And12Decisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := routing.Input{
			Write:           rapid.Bool().Draw(t, "write"),
			PositionUnknown: rapid.Bool().Draw(t, "position unknown"),
			MaxStaleness:    time.Duration(rapid.IntRange(-1, 1).Draw(t, "age")) * time.Second,
			Fallback:        rapid.Bool().Draw(t, "fallback"),
			FallbackAllowed: rapid.Bool().Draw(t, "allowed"),
		}
		if !in.PositionUnknown && rapid.Bool().Draw(t, "has position") {
			in.Position = at(1, uint64(rapid.IntRange(1, 9).Draw(t, "lsn")))
		}
		for i := range rapid.IntRange(0, 4).Draw(t, "instances") {
			in.Candidates = append(in.Candidates, routing.Candidate{
				Instance:    string(rune('a' + i)),
				Primary:     i == 0 && rapid.Bool().Draw(t, "primary"),
				Leaving:     rapid.Bool().Draw(t, "leaving"),
				Suspect:     rapid.Bool().Draw(t, "suspect"),
				Failed:      rapid.Bool().Draw(t, "failed"),
				Applied:     at(1, uint64(rapid.IntRange(0, 9).Draw(t, "applied"))),
				ObservedAge: time.Duration(rapid.IntRange(0, 40).Draw(t, "observed")) * time.Millisecond,
				Outstanding: rapid.IntRange(0, 5).Draw(t, "outstanding"),
				Weight:      rapid.Float64Range(0.1, 1).Draw(t, "weight"),
			})
		}
		d := routing.Decide(&in, policy(t, rapid.SampledFrom(policies).Draw(t, "policy")))
		if d.Target == routing.None {
			return
		}
		if wrong := violatedRule(&in, d); wrong != "" {
			t.Fatal(wrong)
		}
	})
}

// violatedRule names the rule that a decision breaks.
func violatedRule(in *routing.Input, d routing.Decision) string {
	c := in.Candidates[d.Target]
	primaryOnly := in.Write || in.PositionUnknown
	switch {
	case c.Failed:
		return "the request already failed there"
	case primaryOnly && !c.Primary:
		return "only the primary can run this request"
	case !c.Primary && c.Leaving:
		return "the instance is leaving"
	case !c.Primary && c.Suspect:
		return "the instance does not answer"
	case d.Fallback && (!c.Primary || !in.FallbackAllowed):
		return "the fallback is not allowed"
	case in.PositionUnknown && d.Check != routing.CheckPrimary:
		return "the primary must be confirmed"
	case in.PositionUnknown:
		return ""
	case !in.Position.IsZero() && d.Check != routing.CheckPosition:
		return "the position must be checked"
	case !in.Write && in.MaxStaleness >= 0 && d.Check != routing.CheckPosition:
		return "the age must be checked"
	default:
		return ""
	}
}

var _ = Describe("Decide", func() {
	replica := func(name string, change func(*routing.Candidate)) routing.Candidate {
		c := routing.Candidate{Instance: name, Weight: 1, Applied: at(1, 5)}
		if change != nil {
			change(&c)
		}
		return c
	}
	primary := routing.Candidate{Instance: "p", Primary: true, Weight: 1, Applied: at(1, 9)}

	// Guards against reads on the primary that a replica could serve, and against reads
	// that wait on a replica known to be behind.
	DescribeTable("chooses the instance of a read",
		func(in routing.Input, expected, reason string) {
			p, _ := routing.NewPolicy(routing.LeastOutstanding, 1)
			d := routing.Decide(&in, p)
			name := ""
			if d.Target != routing.None {
				name = in.Candidates[d.Target].Instance
			}
			Expect(name).To(Equal(expected))
			Expect(d.Reason).To(Equal(reason))
		},
		Entry("prefers a replica to the primary", routing.Input{MaxStaleness: -1,
			Candidates: []routing.Candidate{primary, replica("a", func(c *routing.Candidate) { c.Outstanding = 9 })}}, "a", routing.ReasonReplica),
		Entry("prefers the own failure domain at equal load", routing.Input{MaxStaleness: -1,
			Candidates: []routing.Candidate{replica("a", nil), replica("b", func(c *routing.Candidate) { c.SameDomain = true }), replica("c", nil)}}, "b", routing.ReasonReplica),
		Entry("prefers a lower load to the own failure domain", routing.Input{MaxStaleness: -1,
			Candidates: []routing.Candidate{replica("a", nil), replica("b", func(c *routing.Candidate) { c.SameDomain, c.Outstanding = true, 1 })}}, "a", routing.ReasonReplica),
		Entry("uses the primary if the replica was behind a moment ago", routing.Input{MaxStaleness: -1, Position: at(1, 6), FallbackAllowed: true,
			Candidates: []routing.Candidate{primary, replica("a", nil)}}, "p", routing.ReasonFallback),
		Entry("uses a replica that was behind some time ago", routing.Input{MaxStaleness: -1, Position: at(1, 6), FallbackAllowed: true,
			Candidates: []routing.Candidate{primary, replica("a", func(c *routing.Candidate) { c.ObservedAge = time.Second })}}, "a", routing.ReasonReplica),
		Entry("waits on a replica if the fallback limit is reached", routing.Input{MaxStaleness: -1, Position: at(1, 6),
			Candidates: []routing.Candidate{primary, replica("a", nil)}}, "a", routing.ReasonFallbackLimit),
		Entry("uses the primary if there is no replica", routing.Input{MaxStaleness: -1, Candidates: []routing.Candidate{primary}}, "p", routing.ReasonNoReplica),
		Entry("finds no instance among no candidates", routing.Input{MaxStaleness: -1}, "", routing.ReasonNoInstance),
	)

	// Guards against taking the connection's position as proof that it contains a
	// position of an older term, which may be on a diverged timeline.
	DescribeTable("reports whether a position must be checked on a connection",
		func(wanted, applied, guarded position.Position, expected bool) {
			Expect(routing.GuardNeeded(wanted, applied, guarded)).To(Equal(expected))
		},
		Entry("no position", position.Position{}, at(1, 1), position.Position{}, false),
		Entry("applied", at(1, 5), at(1, 5), position.Position{}, false),
		Entry("not applied", at(1, 6), at(1, 5), position.Position{}, true),
		Entry("newer term applied", at(1, 5), at(2, 9), position.Position{}, true),
		Entry("newer term applied, same position checked before", at(1, 5), at(2, 9), at(1, 5), false),
		Entry("newer term applied, lower position checked before", at(1, 6), at(2, 9), at(1, 5), true),
	)

	// Guards against a policy that starves a replica, or that ignores the reduced weight
	// of an instance returning to service.
	DescribeTable("distributes reads by weight",
		func(name string) {
			p, err := routing.NewPolicy(name, 1)
			Expect(err).NotTo(HaveOccurred())
			in := routing.Input{MaxStaleness: -1, Candidates: []routing.Candidate{
				replica("a", nil), replica("b", nil), replica("c", func(c *routing.Candidate) { c.Weight = 0.1 })}}
			// Each instance answers one request per step.
			count := [3]int{}
			for range 3000 {
				for i := range in.Candidates {
					in.Candidates[i].Outstanding = max(in.Candidates[i].Outstanding-1, 0)
				}
				for range 2 {
					t := routing.Decide(&in, p).Target
					count[t]++
					in.Candidates[t].Outstanding++
				}
			}
			Expect(count[0]).To(BeNumerically("~", count[1], 600))
			Expect(count[2]).To(BeNumerically("<", count[0]/2))
		},
		Entry(nil, routing.RoundRobin), Entry(nil, routing.LeastOutstanding),
		Entry(nil, routing.PowerOfTwo), Entry(nil, routing.WaitingTimeWithError),
	)

	// Guards against a replica that attracts load because it returns errors quickly.
	It("increases the waiting time by the error rate", func() {
		p, _ := routing.NewPolicy(routing.WaitingTimeWithError, 1)
		in := routing.Input{MaxStaleness: -1, Candidates: []routing.Candidate{
			replica("a", func(c *routing.Candidate) { c.Latency, c.ErrorRate = time.Millisecond, 0.9 }),
			replica("b", func(c *routing.Candidate) { c.Latency = 1500 * time.Microsecond }),
		}}
		Expect(routing.Decide(&in, p).Target).To(Equal(1))
	})

	It("rejects an unknown policy", func() {
		_, err := routing.NewPolicy("random", 1)
		Expect(err).To(MatchError(ContainSubstring("round_robin")))
	})
})

var _ = Describe("DecisionLog", func() {
	// Guards against logging every decision under load, and against field names that
	// differ from those of other log lines.
	It("logs every nth decision", func() {
		core, logged := observer.New(zap.InfoLevel)
		l := routing.NewDecisionLog(zap.New(core), 3)
		for range 9 {
			l.Add(routing.Entry{Database: "db", Instance: "a", Account: "acc", Session: 7, Class: "read", Reason: routing.ReasonReplica})
		}
		Expect(logged.Len()).To(Equal(3))
		Expect(logged.All()[0].ContextMap()).To(Equal(map[string]any{
			logging.FieldDecision: "route", logging.FieldDatabase: "db", logging.FieldInstance: "a",
			logging.FieldAccount: "acc", logging.FieldSession: uint32(7), logging.FieldStatement: "read",
			logging.FieldReason: routing.ReasonReplica,
		}))
	})
})

var _ = Describe("Estimates", func() {
	// Guards against keeping a position that the instance has lost by a rewind.
	It("replaces the applied position by the last observed one", func() {
		e := routing.NewEstimates().Of("a")
		now := time.Unix(100, 0)
		e.Begin(now)
		e.End(time.Millisecond, false, at(1, 9), now)
		e.Observe(time.Millisecond, false, at(1, 7), now)
		e.Fail()
		var c routing.Candidate
		e.Fill(&c, now.Add(time.Second))
		Expect(c.Applied).To(Equal(at(1, 7)))
		Expect(c.ObservedAge).To(Equal(time.Second))
		Expect(c.Outstanding).To(BeZero())
		Expect(c.ErrorRate).To(BeNumerically(">", 0))
	})

	// Guards against reads on a frozen instance, and against an instance that stays
	// suspect after it has answered again.
	It("suspects an instance that does not answer outstanding requests", func() {
		e := routing.NewEstimates().Of("a")
		now := time.Unix(100, 0)
		later := now.Add(2 * time.Second)
		Expect(e.Suspect(later)).To(BeFalse())
		e.Begin(now)
		Expect(e.Suspect(now.Add(time.Second / 2))).To(BeFalse())
		Expect(e.Suspect(later)).To(BeTrue())
		e.Answered(later)
		Expect(e.Suspect(later)).To(BeFalse())
		e.Fail()
		Expect(e.Suspect(later)).To(BeTrue())
		e.End(time.Millisecond, false, at(1, 1), later)
		Expect(e.Suspect(later)).To(BeFalse())
	})
})
