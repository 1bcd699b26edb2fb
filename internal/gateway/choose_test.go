package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The choice of an instance for a read", func() {
	// chosen returns the instance for a read with an objective of 400 ms on a host of d1, where
	// r1 is, if r1 probably takes longer than the other replica by the given time.
	chosen := func(slower time.Duration) string {
		s := newFixture()
		s.snapshot.Config.Routes["bounded"].Objective = 400 * time.Millisecond
		session := s.session("bounded")
		Expect(session.handle(read("first")).Succeeded()).To(BeTrue())
		for _, id := range []string{"r1", "r2"} {
			s.group.set(id, func(i *fakeInstance) { i.applied = 100 })
		}
		h := s.gateway.health
		h.mu.Lock()
		h.get(s.snapshot.Servers["r1"]).serviceTime = initialServiceTime + slower
		h.get(s.snapshot.Servers["r2"]).serviceTime = initialServiceTime
		h.mu.Unlock()
		op := &operation{session: session, route: s.snapshot.Config.Routes["bounded"]}
		return s.gateway.chooseRead(s.snapshot, op, nil, s.gateway.now()).server.ID
	}

	// Guards against reads that cross failure domains for a gain that their callers do not
	// notice, and against reads that miss their objective at an overloaded instance at hand.
	DescribeTable("leaves the failure domain only for a gain that matters for the objective",
		func(slower time.Duration, expected string) { Expect(chosen(slower)).To(Equal(expected)) },
		Entry("as fast", time.Duration(0), "r1"),
		Entry("a little slower", 30*time.Millisecond, "r1"),
		Entry("much slower", 60*time.Millisecond, "r2"),
	)

	// Guards against reads without an objective that wait at hand for nothing.
	It("allows little extra time without an objective", func() {
		Expect(spillGain(0)).To(Equal(minSpillGain))
		Expect(spillGain(time.Second)).To(Equal(time.Second / spillDivisor))
	})
})
