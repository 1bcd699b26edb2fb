package reachability

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Domains", func() {
	// Guards against a failure domain that counts as cut off because one host there has failed
	// or because nobody asked, and against one that is cut off and still waited for.
	It("knows the failure domains from which nothing answers", func() {
		now := time.Now()
		d := NewDomains()
		d.now = func() time.Time { return now }
		d.Reached("a")
		d.Reached("b")
		now = now.Add(minSilence)
		Expect(d.Silent("a")).To(BeFalse(), "nobody has asked")
		d.Failed("a", "host-1")
		d.Failed("a", "host-1")
		Expect(d.Silent("a")).To(BeFalse(), "one host has failed")
		d.Failed("a", "host-2")
		Expect(d.Silent("a")).To(BeTrue())
		Expect(d.Silent("b")).To(BeFalse())
		d.Reached("a")
		Expect(d.Silent("a")).To(BeFalse())
		var none *Domains
		none.Reached("a")
		none.Failed("a", "host-1")
		Expect(none.Silent("a")).To(BeFalse())
	})
})
