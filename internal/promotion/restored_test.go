package promotion

import (
	"context"
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/platform"
)

var _ = Describe("Runners of a store that was restored from an older copy", func() {
	suspectAll := func(w *fakeFleet) {
		for i := range w.hosts {
			w.failing[fmt.Sprintf("h%d", i)] = true
		}
	}
	// lose writes to the store what a restore will lose.
	lose := func(w *fakeFleet) {
		for range 20 {
			_, err := w.memory.Txn(context.Background(), platform.Txn{Puts: []platform.Put{{Key: "elsewhere"}}})
			Expect(err).NotTo(HaveOccurred())
		}
	}

	// Guards against orders that the platform refuses for good, or obeys although they are
	// older, because a token is given out again: it was the revision of the duty.
	It("order with a higher token than before", func() {
		w := newFakeFleet(3, 0)
		older := w.memory.Copy()
		lose(w)
		suspectAll(w)
		w.run(10)
		Expect(w.orders).NotTo(BeEmpty())
		before := w.orders[len(w.orders)-1].token
		w.restore(older)
		w.now = w.now.Add(2 * minPromotionInterval)
		count := len(w.orders)
		w.run(20)
		Expect(len(w.orders)).To(BeNumerically(">", count))
		Expect(w.orders[count].token).To(BeNumerically(">", before))
	})

	// Guards against two hosts with the same duty: the store has lost that of the first.
	It("do not use a duty that the store has lost", func() {
		w := newFakeFleet(3, 0)
		older := w.memory.Copy()
		state := &serviceState{}
		Expect(w.hosts[0].acquireDuty(context.Background(), "x", state)).To(BeTrue())
		Expect(w.hosts[0].holdsDuty(state)).To(BeTrue())
		lease := w.leases["h0"]
		w.memory.Restore(older)
		w.leases["h0"] = lease
		Expect(w.hosts[0].holdsDuty(state)).To(BeFalse())
	})

	// Guards against a duty that is taken while its holder of before may still order.
	It("take no duty before the generation is settled", func() {
		w := newFakeFleet(3, 0)
		w.terms.unsettled = true
		suspectAll(w)
		w.run(20)
		Expect(w.orders).To(BeEmpty())
		w.terms.unsettled = false
		w.run(20)
		Expect(w.orders).NotTo(BeEmpty())
	})

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

	// Guards against an order that undoes a newer one on a platform without a fence: its
	// record was lost, and it is carried out late.
	It("wait for an order of which the record may be lost", func() {
		w := newFakeFleet(3, 0)
		w.fenced = false
		w.terms.leader, w.terms.closed = 1, 1
		w.restore(w.memory.Copy())
		w.run(int(lateOrderTime / tickInterval))
		Expect(w.orders).To(BeEmpty())
		w.run(int(lateOrderTime / tickInterval))
		Expect(w.orders).NotTo(BeEmpty())
	})

	// Guards against writers that wait for a promotion although no order can be lost: the
	// newest closed term has a successor.
	It("do not wait if the newest hand-over is known to be complete", func() {
		w := newFakeFleet(3, 0)
		w.fenced = false
		w.terms.leader, w.terms.closed, w.terms.proved = 2, 1, "p"
		w.restore(w.memory.Copy())
		suspectAll(w)
		w.run(20)
		Expect(w.orders).NotTo(BeEmpty())
		Expect(slices.ContainsFunc(w.orders, func(o order) bool { return o.id == "r2" })).To(BeTrue())
		Expect(w.now.Sub(w.hosts[0].generationSince)).To(BeNumerically("<", 3*time.Second))
	})
})
