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
		tracker.reached = now
	})
	fail := func(domain string, times int) {
		for range times {
			tracker.Failed(domain)
		}
	}

	// Guards against a host in a failure domain that is cut off that goes on
	// taking callers whom it cannot serve.
	It("is isolated when only its own failure domain answers", func() {
		fail("other", minFailures)
		Expect(tracker.Isolated()).To(BeFalse())
		now = now.Add(silence)
		tracker.Reached("own")
		Expect(tracker.Isolated()).To(BeTrue())
		tracker.Reached("other")
		Expect(tracker.Isolated()).To(BeFalse())
	})

	// Guards against a quiet host that turns callers away.
	It("is not isolated without failures elsewhere", func() {
		fail("own", 10)
		now = now.Add(time.Hour)
		Expect(tracker.Isolated()).To(BeFalse())
	})
})
