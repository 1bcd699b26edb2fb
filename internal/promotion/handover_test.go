package promotion

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/leadership"
	"github.com/bramleylever/bramleylever/internal/platform"
)

var _ = Describe("A hand-over on a platform without a fence", func() {
	// newUnfenced returns a fleet whose replicas know term 1.
	newUnfenced := func() *fakeFleet {
		w := newFakeFleet(3, 0)
		w.fenced = false
		w.terms.leader = 1
		return w
	}
	suspectAll := func(w *fakeFleet) {
		for i := range w.hosts {
			w.failing[fmt.Sprintf("h%d", i)] = true
		}
	}
	record := func(w *fakeFleet) leadership.Record {
		item, _, err := w.memory.Get(context.Background(), leadership.RecordPrefix+"x")
		Expect(err).NotTo(HaveOccurred())
		var r leadership.Record
		Expect(json.Unmarshal(item.Value, &r)).To(Succeed())
		return r
	}

	// Guards against two primaries: an order while hosts may still use the old one.
	It("orders nothing while a host may still use the old primary", func() {
		w := newUnfenced()
		suspectAll(w)
		w.terms.inUse, w.terms.undemotable = true, true
		w.run(10)
		Expect(w.orders).To(BeEmpty())
		Expect(w.terms.closed).To(Equal(uint64(1)))
		w.terms.inUse = false
		w.run(10)
		Expect(w.orders).NotTo(BeEmpty())
	})

	// Guards against a hand-over that waits for hosts although the old primary has
	// given its role up.
	It("goes on once the old primary is demoted", func() {
		w := newUnfenced()
		suspectAll(w)
		w.terms.inUse = true
		w.run(10)
		Expect(w.orders).NotTo(BeEmpty())
		Expect(w.terms.recorded()).To(ContainElement("demoted"))
	})

	// Guards against a planned change that loses acknowledged commits: the target is
	// ordered only with the log of the old primary.
	It("demotes the old primary first in a planned change, and waits for its log", func() {
		w := newUnfenced()
		w.snapshot.Servers["p"].Draining = true
		w.received["r2"] = at(100)
		w.run(3)
		Expect(w.terms.recorded()[0]).To(Equal("demoted"))
		Expect(w.orders).NotTo(BeEmpty())
		Expect(w.orders[0].id).To(Equal("r2"))
		Expect(record(w).Answered).To(BeTrue())
	})

	// Guards against an order that is carried out late and undoes a newer one: the
	// platform does not compare tokens.
	It("orders only the same instance while an earlier order may still be carried out", func() {
		w := newUnfenced()
		suspectAll(w)
		w.answer = errors.New("no answer")
		w.run(5)
		Expect(w.orders).NotTo(BeEmpty())
		Expect(record(w)).To(Equal(leadership.Record{ClosedEpoch: 1, Target: "r2", Token: w.orders[0].token}))
		w.received["r1"] = at(200)
		w.run(20)
		for _, o := range w.orders {
			Expect(o.id).To(Equal("r2"))
		}
		// A successor that finds the record orders the same instance as well.
		_, err := w.memory.Txn(context.Background(), platform.Txn{Deletes: []string{dutyPrefix + "x"}})
		Expect(err).NotTo(HaveOccurred())
		before := len(w.orders)
		for _, r := range w.hosts {
			delete(r.services, "x")
		}
		w.run(20)
		Expect(len(w.orders)).To(BeNumerically(">", before))
		Expect(w.orders[before].id).To(Equal("r2"))
		// Another instance is ordered only after the last order can have no effect.
		delete(w.received, "r2")
		before = len(w.orders)
		w.run(int(lateOrderTime/tickInterval) - 5)
		Expect(w.orders).To(HaveLen(before))
		w.run(20)
		Expect(w.orders[len(w.orders)-1].id).To(Equal("r1"))
	})

	// Guards against an order by a host that has lost the duty while it waited for other
	// hosts, with a token that is lower than its successor's.
	It("orders nothing once the lease of the duty is about to end", func() {
		w := newUnfenced()
		suspectAll(w)
		for _, r := range w.hosts {
			lease := r.options.Lease
			r.options.Lease = func() (platform.LeaseID, time.Duration) {
				id, _ := lease()
				if len(w.terms.recorded()) > 0 {
					return id, minLeaseValidity / 2
				}
				return id, time.Hour
			}
		}
		w.run(10)
		Expect(w.terms.recorded()).NotTo(BeEmpty())
		Expect(w.orders).To(BeEmpty())
	})

	// Guards against a second, needless promotion: the old primary came back, registered
	// itself as the primary again, and was found not to answer as one.
	It("does not replace the new primary when the old one comes back", func() {
		w := newUnfenced()
		w.terms.closed, w.terms.leader, w.terms.proved = 1, 2, "r1"
		for _, r := range w.hosts {
			r.options.Failing = func(server *catalog.Server) bool { return server.ID == "p" }
		}
		w.run(40)
		Expect(w.orders).To(BeEmpty())
	})

	// Guards against a service without a primary for ever: the host that closed the term
	// ended before it ordered the promotion.
	It("is completed by another host", func() {
		w := newUnfenced()
		w.terms.closed = 1
		w.run(40)
		Expect(w.orders).NotTo(BeEmpty())
	})
})
