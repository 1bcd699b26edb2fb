package quota

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Hosts that start together", func() {
	const (
		fleetSize = 9
		rate      = 40.0
	)
	// admitted returns how many operations the hosts admit in a time, if callers ask for
	// many times the rate everywhere.
	admitted := func(f *fleet, d time.Duration) (n int) {
		for end := f.now.Add(d); f.now.Before(end); {
			f.step(tickInterval, nil)
			for i := range f.limiters {
				for range 5 {
					if f.admit(i) {
						n++
					}
				}
			}
		}
		return n
	}
	// restart replaces all hosts by ones that know the given number of hosts, or that have
	// not read any yet.
	restart := func(f *fleet, count int, known bool) {
		f.now = f.now.Add(time.Second)
		for i, old := range f.limiters {
			l := f.start(old.options.Host, count)
			l.options.HostsKnown = func() bool { return known }
			l.restore(context.Background())
			f.limiters[i] = l
		}
	}
	// allowed is what the users accept in a time.
	allowed := func(d time.Duration) int { return int((rate*d.Seconds()+rate)*1.1) + 20 }

	// Guards against a host that counts itself alone before it knows the others, and takes
	// the whole common part of each limit: nine of them exceeded a limit together.
	DescribeTable("stay within the limit",
		func(count int, known bool) {
			f := newFleet(fleetSize, rate)
			admitted(f, 20*time.Second)
			restart(f, count, known)
			const d = 5 * time.Second
			got := admitted(f, d)
			Expect(got).To(BeNumerically("<=", allowed(d)))
			Expect(got).To(BeNumerically(">=", int(rate*d.Seconds()*(1-floorFraction)/2)), "the restored allocations stay in use")
		},
		Entry("before they have read any host", 1, false),
		Entry("while each has read only itself", 1, true),
		Entry("once they have read all", fleetSize, true),
	)

	// Guards against the same at the first start of a fleet, without allocations.
	It("admit nothing by a common part before they have read any host", func() {
		f := newFleet(fleetSize, rate)
		restart(f, 1, false)
		Expect(admitted(f, 5*time.Second)).To(BeNumerically("<=", fleetSize*initialTokens))
	})
})
