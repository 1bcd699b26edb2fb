package promotion

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/position"
)

var _ = Describe("The choice after a second failover", func() {
	// fail makes all hosts reach the primary, or not.
	fail := func(w *fakeFleet, failing bool) {
		for i := range w.hosts {
			w.failing[fmt.Sprintf("h%d", i)] = failing
		}
	}
	// secondFailover returns a fleet in which r2 was promoted with 95 entries while the old
	// primary had 100, and in which r2 has failed and the old primary is back as a replica.
	secondFailover := func() *fakeFleet {
		w := newFakeFleet(3, 0)
		w.terms.leader = 1
		fail(w, true)
		w.run(10)
		Expect(w.orders).To(HaveLen(1))
		Expect(w.orders[0].id).To(Equal("r2"))
		w.snapshot.Servers["p"].Role, w.snapshot.Servers["r2"].Role = catalog.Replica, catalog.Primary
		w.received = map[string]position.Position{"p": at(100), "r1": at(95)}
		w.terms.leader = 2
		w.now = w.now.Add(2 * minPromotionInterval)
		fail(w, false)
		w.run(1)
		fail(w, true)
		w.orders = nil
		return w
	}

	// Guards against a replaced primary that is promoted again because its log is longer:
	// commits that had been given up come back, and those of the term between are gone.
	DescribeTable("prefers the beginning of the newest term to a longer log that it left",
		func(change func(*fakeFleet)) {
			w := secondFailover()
			change(w)
			w.run(30)
			Expect(w.orders).NotTo(BeEmpty())
			Expect(w.orders[0].id).To(Equal("r1"))
		},
		Entry("with the same hosts", func(*fakeFleet) {}),
		Entry("after a restart of all hosts, by what the store holds", func(w *fakeFleet) {
			w.restart()
			w.terms.leader = 0
		}),
		Entry("in a store restored from an older copy, by what the hosts know", func(w *fakeFleet) {
			_, err := w.memory.Txn(context.Background(), platform.Txn{Deletes: []string{historyPrefix + "x", dutyPrefix + "x"}})
			Expect(err).NotTo(HaveOccurred())
			w.restore(w.memory.Copy())
			for _, r := range w.hosts[1:] {
				Expect(r.services["x"].history.History).To(BeEmpty(), "only one host has had the duty")
			}
			slices.Reverse(w.hosts)
		}),
	)

	// Guards against a promotion that gives up the newest term at once, and against a
	// service that stays without a primary for good.
	It("waits for an instance with the newest term, and goes on without one after a while", func() {
		w := secondFailover()
		delete(w.received, "r1")
		w.run(int(newestTermWait/tickInterval) - 10)
		Expect(w.orders).To(BeEmpty())
		w.run(40)
		Expect(w.orders).NotTo(BeEmpty())
		Expect(w.orders[0].id).To(Equal("p"))
	})

	// Guards against a longer log that is left behind although no newer term has begun: the
	// order of the promotion was never carried out.
	It("does not count a term that has not begun", func() {
		w := newFakeFleet(3, 0)
		fail(w, true)
		w.answer = fmt.Errorf("no answer")
		w.run(10)
		Expect(w.orders).NotTo(BeEmpty())
		Expect(w.orders[0].id).To(Equal("r2"))
		w.received = map[string]position.Position{"r1": at(99)}
		w.answer, w.orders = nil, nil
		w.now = w.now.Add(2 * minPromotionInterval)
		w.restart()
		w.run(30)
		Expect(w.orders).NotTo(BeEmpty())
		Expect(w.orders[0].id).To(Equal("r1"))
	})

	// Guards against a host that forgets that a term has begun because the store could not
	// record it.
	It("keeps what it knows of a term if the store knows less", func() {
		w := newFakeFleet(1, 0)
		pending := termRecord{Next: &beginning{Term: position.Term{Epoch: 2}, End: at(95)}}
		begun := pending
		begun.begin()
		r := w.hosts[0]
		for _, c := range []struct{ known, stored, want termRecord }{
			{begun, pending, begun}, {pending, begun, begun}, {termRecord{}, pending, pending}, {begun, termRecord{}, begun},
		} {
			value, err := json.Marshal(c.stored)
			Expect(err).NotTo(HaveOccurred())
			_, err = w.memory.Txn(context.Background(), platform.Txn{Puts: []platform.Put{{Key: historyPrefix + "x", Value: value}}})
			Expect(err).NotTo(HaveOccurred())
			h := &termHistory{termRecord: c.known}
			Expect(r.loadHistory(context.Background(), "x", h)).To(Succeed())
			Expect(h.termRecord).To(Equal(c.want))
		}
	})

	// Guards against a planned change whose recorded beginning lacks what the old primary
	// still sent to the new one, so that a replica that has it counts as left behind.
	It("records the beginning of a planned term once the new primary leads", func() {
		w := newFakeFleet(3, 0)
		w.snapshot.Servers["p"].Draining = true
		w.run(3)
		Expect(w.orders).NotTo(BeEmpty())
		holder := w.hosts[0]
		Expect(holder.services["x"].history.History).To(BeEmpty())
		holder.options.Inspector = leading{w}
		w.received["r2"] = at(103)
		w.run(1)
		Expect(holder.services["x"].history.History.Includes(at(103))).To(BeTrue())
		Expect(holder.services["x"].history.History.Includes(at(104))).To(BeFalse())
		stored, _, err := holder.readHistory(context.Background(), "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(stored).To(Equal(holder.services["x"].history.termRecord))
	})
})

// leading is an Inspector of which every instance leads term 2.
type leading struct{ *fakeFleet }

func (l leading) Status(ctx context.Context, server *catalog.Server) (Candidate, error) {
	report, err := l.fakeFleet.Status(ctx, server)
	report.Primary, report.Epoch = true, 2
	return report, err
}
