package reachability

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestReachability(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reachability")
}

var _ = Describe("Tracker", func() {
	var now time.Time
	var tracker *Tracker
	BeforeEach(func() {
		now = time.Now()
		tracker = New("own")
		tracker.now = func() time.Time { return now }
		tracker.lastReached = now
	})
	fail := func(domain string, times int) {
		for range times {
			tracker.Failed(domain)
		}
	}

	// Guards against a host that accepts callers it cannot serve because its failure
	// domain is cut off from the others.
	It("is isolated when only its own failure domain answers", func() {
		fail("other", minFailures)
		Expect(tracker.Isolated()).To(BeFalse())
		now = now.Add(minSilence)
		tracker.Reached("own")
		Expect(tracker.Isolated()).To(BeTrue())
		tracker.Reached("other")
		Expect(tracker.Isolated()).To(BeFalse())
	})

	// Guards against an idle host that refuses callers because it hears from no one.
	It("is not isolated without failures in other failure domains", func() {
		fail("own", 10)
		now = now.Add(time.Hour)
		Expect(tracker.Isolated()).To(BeFalse())
	})
})
