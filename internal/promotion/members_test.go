package promotion

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/platform/platformtest"
	"github.com/bramleylever/bramleylever/position"
)

// syncFleet is a fakeFleet in which one replica confirms each commit. The primary p leads
// term 1, and r1 lacks the last commits, which r2 has confirmed.
type syncFleet struct {
	*fakeFleet
	// empty is a copy of the store without any record.
	empty platformtest.Copy
}

func newSyncFleet() *syncFleet {
	w := &syncFleet{fakeFleet: newFakeFleet(3, 1)}
	w.empty = w.memory.Copy()
	w.leads, w.epoch = map[string]uint64{"p": 1}, 1
	w.received = map[string]position.Position{"p": at(100), "r1": at(90), "r2": at(100)}
	w.runFor(3 * time.Second)
	Expect(w.orders).To(BeEmpty())
	return w
}

func (w *syncFleet) runFor(d time.Duration) { w.run(int(d / tickInterval)) }

// silence makes an instance reach no host, and unregister removes its entry.
func (w *syncFleet) silence(id string) {
	delete(w.received, id)
	if w.leads[id] > 0 {
		delete(w.leads, id)
		for i := range w.hosts {
			w.failing[fmt.Sprintf("h%d", i)] = true
		}
	}
}

func (w *syncFleet) unregister(id string) {
	delete(w.snapshot.Servers, id)
	w.updateGroup()
}

func (w *syncFleet) register(server *catalog.Server) {
	w.snapshot.Servers[server.ID] = server
	w.updateGroup()
}

func (w *syncFleet) updateGroup() {
	var group []*catalog.Server
	for _, id := range []string{"p", "r1", "r2", "r3"} {
		if server := w.snapshot.Servers[id]; server != nil {
			group = append(group, server)
		}
	}
	w.snapshot.Groups["x"] = group
}

// lose makes an instance crash for good, with time for its entry to leave.
func (w *syncFleet) lose(id string) {
	w.silence(id)
	w.runFor(2 * time.Second)
	w.unregister(id)
}

// promoted returns the target of the newest order, or "".
func (w *syncFleet) promoted() string {
	if len(w.orders) == 0 {
		return ""
	}
	return w.orders[len(w.orders)-1].id
}

// lead makes the target of the newest order lead the next term, and replicas follow it.
func (w *syncFleet) lead() {
	w.epoch++
	id := w.promoted()
	w.leads, w.failing = map[string]uint64{id: w.epoch}, map[string]bool{}
	for _, server := range w.snapshot.Servers {
		server.Role = catalog.Replica
	}
	if server := w.snapshot.Servers[id]; server != nil {
		server.Role = catalog.Primary
	}
	for replica := range w.received {
		w.received[replica] = w.received[id]
	}
	w.orders = nil
}

// What may have happened to the hosts and the store before a promotion.
var (
	sameHosts     = Entry("with the same hosts", func(*syncFleet) {})
	newHosts      = Entry("with hosts that have just started", func(w *syncFleet) { w.restart() })
	restoredStore = Entry("in a store restored from a copy without the members", func(w *syncFleet) { w.restore(w.empty) })
	noRecord      = Entry("with hosts that have just started and no record", func(w *syncFleet) {
		w.restore(w.empty)
		w.restart()
	})
)

var _ = Describe("The logs that a promotion compares where replicas confirm commits", func() {
	// Guards against the loss of commits once the entry of the crashed primary has left the
	// store: one answer of two replicas was taken for all that were needed.
	DescribeTable("include that of a registered replica which does not answer", func(change func(*syncFleet)) {
		w := newSyncFleet()
		w.silence("r2")
		w.lose("p")
		change(w)
		w.runFor(2 * lostMemberWait)
		Expect(w.promoted()).To(BeEmpty())
		w.received["r2"] = at(100)
		w.runFor(5 * time.Second)
		Expect(w.promoted()).To(Equal("r2"))
	},
		sameHosts, newHosts, restoredStore, noRecord,
	)

	// Guards against the loss of commits of a replica whose entry the store has lost as well.
	DescribeTable("include that of a member that is not registered and answers later", func(change func(*syncFleet)) {
		w := newSyncFleet()
		w.silence("r2")
		w.unregister("r2")
		w.silence("p")
		w.unregister("p")
		change(w)
		w.runFor(lostMemberWait / 2)
		Expect(w.promoted()).To(BeEmpty())
		w.received["r2"] = at(100)
		w.runFor(5 * time.Second)
		Expect(w.promoted()).To(Equal("r2"))
	},
		sameHosts, newHosts, restoredStore,
	)

	// Guards against a service that never gets a primary again, because a member that holds
	// commits is gone for good.
	DescribeTable("do not wait for ever for a member that is lost for good", func(change func(*syncFleet)) {
		w := newSyncFleet()
		w.silence("r2")
		w.unregister("r2")
		w.lose("p")
		change(w)
		w.runFor(lostMemberWait + 5*time.Second)
		Expect(w.promoted()).To(Equal("r1"))
	},
		sameHosts, newHosts, noRecord,
	)

	// Guards against a wait for a member that was lost while the primary worked: others hold
	// all that it had confirmed.
	DescribeTable("do without a member that was lost for good before", func(change func(*syncFleet)) {
		w := newSyncFleet()
		w.lose("r2")
		w.runFor(5 * time.Second)
		w.received["r1"] = at(100)
		w.runFor(maxMemberRetry + time.Second)
		change(w)
		w.silence("p")
		w.runFor(3 * time.Second)
		Expect(w.promoted()).To(Equal("r1"))
	},
		sameHosts, newHosts,
	)

	// Guards against a member that is left out although nobody else has its commits.
	It("are awaited from a lost member while the others lack its commits", func() {
		w := newSyncFleet()
		w.lose("r2")
		w.runFor(maxMemberRetry + time.Second)
		w.lose("p")
		w.runFor(lostMemberWait / 2)
		Expect(w.promoted()).To(BeEmpty())
	})

	// Guards against a new instance that confirms commits and is not listed, because the list
	// is changed rarely while a member is missing.
	It("include that of a new instance soon after it registered", func() {
		w := newSyncFleet()
		w.lose("r2")
		w.runFor(4 * maxMemberRetry)
		w.received["r3"] = at(100)
		w.register(&catalog.Server{ID: "r3", Service: "x", Address: "r3:1", Domain: "d1"})
		w.runFor(2 * memberCheckInterval)
		w.silence("r3")
		w.unregister("r3")
		w.received["r2"] = at(90)
		w.silence("p")
		w.runFor(lostMemberWait / 2)
		Expect(w.promoted()).To(BeEmpty())
	})

	// Guards against the loss of commits that a member confirmed after it was left out,
	// because it reached neither the store nor the hosts for a while.
	It("include that of a member which was left out, if it answers", func() {
		w := newSyncFleet()
		w.lose("r2")
		w.received["r1"] = at(100)
		w.runFor(maxMemberRetry + time.Second)
		w.received["r2"], w.received["p"] = at(110), at(110)
		w.silence("p")
		w.runFor(3 * time.Second)
		Expect(w.promoted()).To(Equal("r2"))
		// As the leader it is one of those whose logs count.
		m := &memberRecord{}
		Expect(w.hosts[0].loadMembers(context.Background(), "x", m)).To(Succeed())
		Expect(m.stored).To(ContainElement(Member{ID: "r2", Address: "r2:1", Domain: "d2"}))
	})

	// Guards against the loss of commits that only an instance has to which no work may be
	// sent: it hands over once another one has its log.
	DescribeTable("lead to a hand-over by an instance that may not stay the primary", func(change func(*syncFleet)) {
		w := newSyncFleet()
		change(w)
		w.lose("p")
		w.runFor(5 * time.Second)
		Expect(w.promoted()).To(Equal("r2"))
		w.lead()
		w.runFor(2 * maxMemberRetry)
		Expect(w.promoted()).To(Equal("r1"))
	},
		Entry("draining", func(w *syncFleet) { w.snapshot.Servers["r2"].Draining = true }),
		Entry("in an evacuated failure domain", func(w *syncFleet) { w.snapshot.Evacuated["d2"] = true }),
		Entry("not registered", func(w *syncFleet) { w.unregister("r2") }),
	)

	// Guards against a wait for an instance whose log a new one at its address has got.
	It("include that of the instance that replaced a drained one", func() {
		w := newSyncFleet()
		w.snapshot.Servers["r2"].Draining = true
		w.runFor(2 * time.Second)
		w.lose("r2")
		w.silence("p")
		w.runFor(3 * time.Second)
		Expect(w.promoted()).To(BeEmpty())
		w.received["r3"] = at(100)
		w.register(&catalog.Server{ID: "r3", Service: "x", Address: "r2:1", Domain: "d2"})
		w.runFor(3 * time.Second)
		Expect(w.promoted()).To(Equal("r3"))
	})

	// Guards against a process that has started again and counts as the one whose log is gone.
	DescribeTable("do not include that of a process which started again under the same id", func(started int64) {
		w := newSyncFleet()
		w.silence("p")
		w.received["r2"] = position.Position{}
		w.register(&catalog.Server{ID: "r2", Service: "x", Address: "r2:1", Domain: "d2", Started: started})
		w.runFor(lostMemberWait / 2)
		Expect(w.promoted()).To(BeEmpty())
		w.runFor(lostMemberWait)
		Expect(w.promoted()).To(Equal("r1"))
	},
		Entry("and has registered", int64(5)),
		Entry("and has not registered yet", int64(0)),
	)

	// Guards against the loss of commits of an earlier term: the primary that had them has
	// failed before any replica got them.
	It("have the beginning of the newest term", func() {
		w := newSyncFleet()
		w.lose("p")
		w.runFor(2 * time.Second)
		Expect(w.promoted()).To(Equal("r2"))
		w.lead()
		w.received["r1"] = at(90)
		w.received["p"] = at(90)
		w.register(&catalog.Server{ID: "p", Service: "x", Address: "p:1", Domain: "d0"})
		w.runFor(3 * time.Second)
		w.silence("r2")
		w.runFor(lostMemberWait / 2)
		Expect(w.promoted()).To(BeEmpty())
		w.received["r2"] = at(100)
		w.snapshot.Servers["r2"].Role = catalog.Replica
		w.runFor(3 * time.Second)
		Expect(w.promoted()).To(Equal("r2"))
	})
})
