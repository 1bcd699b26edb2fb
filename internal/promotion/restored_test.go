package promotion

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Runners of a store that was restored from an older copy", func() {
	// Guards against a primary that is never replaced, because the suspicions of the hosts
	// were lost with the leases to which they were bound.
	It("report their suspicions again under a new lease", func() {
		w := newFakeFleet(3, 0)
		older := w.memory.Copy()
		// One host is no quorum.
		w.failing["h0"] = true
		w.run(5)
		w.restore(older)
		w.failing["h1"] = true
		w.run(20)
		Expect(w.orders).NotTo(BeEmpty())
	})
})
