package revision_test

import (
	"flag"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/revision"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "10000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestRevision(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "revision")
}

type replica = revision.Replica[[]int64, int64]

// appendRevision applies a change to a state that lists the changes it contains.
func appendRevision(state []int64, body int64) []int64 {
	return append(append([]int64(nil), state...), body)
}

func newReplica(domain string, domains []string) *replica {
	return revision.New(revision.Options{Domain: domain, Domains: domains, Keep: 4}, appendRevision)
}

var _ = Describe("Replica", func() {
	domains := []string{"a", "b", "c"}
	start := time.Now()

	// Guards against skipping changes and against going back to an older state.
	DescribeTable("applies a change only if it is newer and follows without a gap",
		func(previous, revisionOfChange int64, result revision.Result) {
			r := newReplica("a", domains)
			r.Adopt(10, []int64{10})
			Expect(r.Apply(revision.Change[int64]{
				Previous: previous, Revision: revisionOfChange, Body: revisionOfChange,
			})).To(Equal(result))
			Expect(r.Revision()).To(Equal(max(int64(10), map[bool]int64{true: revisionOfChange}[result == revision.Applied])))
		},
		Entry("next", int64(10), int64(12), revision.Applied),
		Entry("next, with an earlier previous revision", int64(8), int64(12), revision.Applied),
		Entry("known", int64(8), int64(10), revision.Old),
		Entry("older", int64(3), int64(5), revision.Old),
		Entry("changes missing in between", int64(11), int64(12), revision.Gap),
		Entry("malformed", int64(12), int64(12), revision.Gap),
	)

	// Guards against sending a peer an incomplete list of changes as if it were
	// complete.
	DescribeTable("serves changes only while all of them are kept",
		func(after int64, ok bool, count int) {
			r := newReplica("a", domains)
			r.Adopt(10, nil)
			for at := int64(11); at <= 16; at++ {
				r.Apply(revision.Change[int64]{Previous: at - 1, Revision: at, Body: at})
			}
			changes, kept := r.Since(after)
			Expect(kept).To(Equal(ok))
			Expect(changes).To(HaveLen(count))
		},
		Entry("up to date", int64(16), true, 0),
		Entry("ahead", int64(20), true, 0),
		Entry("one behind", int64(15), true, 1),
		Entry("oldest kept", int64(12), true, 4),
		Entry("older than the kept changes", int64(11), false, 0),
		Entry("no state", int64(0), false, 0),
	)

	type step struct {
		requestedAt, now time.Duration
		answer           revision.Confirmation
	}
	at := func(domain string, revisionOfPeer int64) revision.Confirmation {
		return revision.Confirmation{Domain: domain, Revision: revisionOfPeer, StoreAge: -1}
	}

	// Guards against an isolated host that uses an outdated state, for example
	// API keys that were withdrawn since, and against hosts that refuse to serve
	// while the store is down although a majority of domains confirms them.
	DescribeTable("is confirmed by the store or by a majority of domains",
		func(started bool, steps []step, now time.Duration, confirmed bool) {
			r := newReplica("a", domains)
			r.Adopt(10, nil)
			if started {
				r.ConfirmByStore(start.Add(-time.Hour), start.Add(-time.Hour))
			}
			for _, s := range steps {
				r.ConfirmByPeer(start.Add(s.now), start.Add(s.requestedAt), s.answer)
			}
			Expect(r.Confirmed(start.Add(now))).To(Equal(confirmed))
		},
		Entry("no contact", true, nil, time.Duration(0), false),
		Entry("own domain and one other domain", true, []step{{0, 0, at("b", 10)}}, 10*time.Second, true),
		Entry("contact too old", true, []step{{0, 0, at("b", 10)}}, 10*time.Second+1, false),
		Entry("late answer", true, []step{{0, 11 * time.Second, at("b", 10)}}, 11*time.Second, false),
		Entry("peer ahead", true, []step{{0, 0, at("b", 11)}}, time.Duration(0), false),
		Entry("peer not started", true, []step{{0, 0, at("b", 0)}}, time.Duration(0), false),
		Entry("own domain only", true, []step{{0, 0, at("a", 10)}}, time.Duration(0), false),
		Entry("domain that is not configured", true, []step{{0, 0, at("x", 10)}}, time.Duration(0), false),
		Entry("not started: the own domain does not count without a contact", false,
			[]step{{0, 0, at("b", 10)}}, time.Duration(0), false),
		Entry("not started: two other domains", false,
			[]step{{0, 0, at("b", 10)}, {0, 0, at("c", 10)}}, time.Duration(0), true),
		Entry("not started: a peer of the own domain and another domain", false,
			[]step{{0, 0, at("a", 10)}, {0, 0, at("b", 10)}}, time.Duration(0), true),
		Entry("contact reported by a peer", true, []step{{0, 0, revision.Confirmation{
			Domain: "a", Revision: 10, StoreAge: -1, Domains: map[string]time.Duration{"c": 9 * time.Second},
		}}}, 500*time.Millisecond, true),
		Entry("age reported by a peer is lengthened by the margin", true, []step{{0, 0, revision.Confirmation{
			Domain: "a", Revision: 10, StoreAge: 9900 * time.Millisecond,
		}}}, time.Duration(0), false),
		Entry("store age reported by a peer", true, []step{{0, 0, revision.Confirmation{
			Domain: "a", Revision: 10, StoreAge: 9 * time.Second,
		}}}, 500*time.Millisecond, true),
	)
})
