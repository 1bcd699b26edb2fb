package connpool

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The breaker of an instance", func() {
	start := time.Now()

	// Guards against callers that wait one after the other for an instance that this host
	// cannot reach while other hosts can.
	It("lets one request through after each backoff until the instance answers", func() {
		b := &breaker{}
		Expect(b.open(start)).To(BeFalse())
		b.failed(start)
		Expect(b.open(start.Add(minBreakTime - time.Millisecond))).To(BeTrue())
		later := start.Add(minBreakTime)
		Expect(b.open(later)).To(BeFalse())
		Expect(b.open(later)).To(BeTrue())
		b.failed(later)
		Expect(b.open(later.Add(minBreakTime))).To(BeTrue())
		b.succeeded()
		Expect(b.open(later)).To(BeFalse())
	})

	// Guards against an instance that is not tried again for long after it is back.
	It("has a bounded backoff", func() {
		b := &breaker{}
		for range 20 {
			b.failed(start)
		}
		Expect(b.open(start.Add(maxBreakTime))).To(BeFalse())
	})
})
