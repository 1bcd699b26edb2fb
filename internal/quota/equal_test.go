package quota

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("An equal allocation", func() {
	newAllocation := func(now time.Time) *account {
		a := newAccount(now)
		a.limit, a.hosts, a.equal = limit{rate: 30, burst: 30}, allocationsPerAccount, true
		a.applyWrite(0.2, true, now)
		return a
	}
	floor := floorFraction / float64(allocationsPerAccount)
	start := time.Now()

	// Guards against a write of every host for every account each few seconds, which
	// most of the store's calls of a large fleet were.
	It("stays usable while its host is registered", func() {
		a := newAllocation(start)
		for at := time.Second; at < 3*equalAllocationTTL; at += time.Second {
			a.confirm(start.Add(at), start.Add(at))
		}
		Expect(a.usableFraction(start.Add(3 * equalAllocationTTL))).To(BeNumerically("~", floor+0.2))
	})

	// Guards against an allocation that is used again after other hosts may have
	// reclaimed it: its host was silent for long and is registered again.
	It("stays expired until it is written again", func() {
		a := newAllocation(start)
		late := start.Add(equalAllocationTTL)
		Expect(a.usableFraction(late)).To(BeNumerically("~", floor))
		a.confirm(late, late)
		Expect(a.usableFraction(late.Add(time.Second))).To(BeNumerically("~", floor))
		a.applyWrite(0.2, true, late)
		Expect(a.usableFraction(late.Add(time.Second))).To(BeNumerically("~", floor+0.2))
	})

	// Guards against a limit that is used twice: the allocation of a host that runs is
	// given to another one.
	It("is not reclaimed while its host is registered", func() {
		l := ledger{"a": {"h": allocation{Fraction: 0.2, Sequence: 1, Equal: true}}}
		registered := true
		t := renewalTracker{}
		prune := func(at time.Duration) {
			t.prune(l, "self", start.Add(at), func(string) bool { return registered })
		}
		prune(0)
		prune(2 * equalReclaimAfter)
		Expect(l["a"]).To(HaveKey("h"))
		registered = false
		prune(2*equalReclaimAfter + time.Second)
		prune(3*equalReclaimAfter - time.Second)
		Expect(l["a"]).To(HaveKey("h"))
		prune(3*equalReclaimAfter + time.Second)
		Expect(l["a"]).NotTo(HaveKey("h"))
	})
})
