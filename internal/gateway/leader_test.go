package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/statement"
)

var _ = Describe("The use of leaders", func() {
	// Guards against writes at an old primary by a host that is cut off from the others
	// and so cannot know that it was replaced.
	It("ends without the right to use leaders, and callers hear of it at once", func() {
		f := newFixture()
		f.terms.lost = time.Second
		started := time.Now()
		s := f.session("strong")
		Expect(s.handle(write("w")).Code).To(Equal(statement.Busy))
		Expect(s.handle(read("r")).Code).To(Equal(statement.Busy))
		Expect(time.Since(started)).To(BeNumerically("<", 200*time.Millisecond))
		Expect(f.group.runsOf("w")).To(BeEmpty())
		Expect(f.group.runsOf("r")).To(BeEmpty())
	})

	// Guards against a write that is acknowledged although another instance may lead
	// without it: the term was closed while the write was under way.
	DescribeTable("reports what a leader acknowledged after its term may have ended as in doubt",
		func(change func(*fixture)) {
			f := newFixture()
			f.group.onRun = func(_ string, kind statement.Kind) {
				if kind == statement.Write {
					change(f)
				}
			}
			Expect(f.session("strong").handle(write("w")).Code).To(Equal(statement.InDoubt))
			Expect(f.group.runsOf("w")).To(HaveLen(1))
		},
		Entry("term closed", func(f *fixture) { f.terms.closeFirst() }),
		Entry("right lost", func(f *fixture) {
			f.terms.mu.Lock()
			defer f.terms.mu.Unlock()
			f.terms.lost = time.Millisecond
		}),
	)

	// Guards against a commit in an old term that is acknowledged.
	It("covers commits", func() {
		f := newFixture()
		s := f.session("strong")
		Expect(s.handle(simple("b", statement.Begin)).Succeeded()).To(BeTrue())
		Expect(s.handle(write("w")).Succeeded()).To(BeTrue())
		f.group.onRun = func(_ string, kind statement.Kind) {
			if kind == statement.Commit {
				f.terms.closeFirst()
			}
		}
		Expect(s.handle(simple("c", statement.Commit)).Code).To(Equal(statement.InDoubt))
	})

	// Guards against a transaction that goes on at an old primary.
	It("ends an open transaction whose term is closed", func() {
		f := newFixture()
		s := f.session("strong")
		Expect(s.handle(simple("b", statement.Begin)).Succeeded()).To(BeTrue())
		Expect(s.handle(write("w")).Succeeded()).To(BeTrue())
		f.terms.closeFirst()
		Expect(s.handle(simple("c", statement.Commit)).Code).To(Equal(statement.Aborted))
		Expect(f.group.runsOf("c")).To(BeEmpty())
	})

	// Guards against writes and strong reads at an old primary that still answers like
	// one beside the new one.
	It("moves to the instance that leads a newer term", func() {
		f := newFixture()
		f.terms.closeFirst()
		f.group.set("r1", func(i *fakeInstance) { i.leads, i.term = true, 2 })
		s := f.session("strong")
		Expect(s.handle(write("w")).Succeeded()).To(BeTrue())
		Expect(s.handle(read("r")).Succeeded()).To(BeTrue())
		Expect(f.group.runsOf("w")).To(Equal([]string{"r1"}))
		Expect(f.group.runsOf("r")).To(Equal([]string{"r1"}))
		instance, epoch := f.terms.Leader("x")
		Expect(instance).To(Equal("r1"))
		Expect(epoch).To(Equal(uint64(2)))
	})

	// Guards against hosts that each ask a new leader while it is busy: some found it
	// 2.6 s after the first one did.
	It("takes over what another host has found out", func() {
		f := newFixture()
		f.terms.closeFirst()
		f.group.set("r1", func(i *fakeInstance) { i.leads, i.term = true, 2 })
		f.terms.AddLeader("x", "r1", 2)
		asked := 0
		f.group.onRun = func(_ string, kind statement.Kind) {
			if kind == statement.Status {
				asked++
			}
		}
		Expect(f.session("strong").handle(write("w")).Succeeded()).To(BeTrue())
		Expect(f.group.runsOf("w")).To(Equal([]string{"r1"}))
		Expect(asked).To(BeZero())
	})
})
