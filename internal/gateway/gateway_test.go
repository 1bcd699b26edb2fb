package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/statement"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

var _ = Describe("Reads", func() {
	// Guards against a strong read at an old primary, after another one has
	// acknowledged commits that it lacks.
	It("proves leadership before a strong read", func() {
		s := newSetting()
		s.group.set("p", func(i *fakeInstance) { i.leads = false })
		s.group.set("r1", func(i *fakeInstance) { i.leads, i.term = true, 2 })
		result := s.session("strong").handle(read("q1"))
		Expect(result.Succeeded()).To(BeTrue())
		Expect(s.group.runsOf("q1")).To(Equal([]string{"r1"}))
	})

	// Guards against reads that all go to the primary once a bound is known.
	It("uses a replica that holds a young enough sample", func() {
		s := newSetting()
		session := s.session("bounded")
		Expect(session.handle(read("first")).Succeeded()).To(BeTrue())
		Expect(s.group.runsOf("first")).To(Equal([]string{"p"}))
		s.group.set("r1", func(i *fakeInstance) { i.applied = 100 })
		Expect(session.handle(read("second")).Succeeded()).To(BeTrue())
		Expect(s.group.runsOf("second")).To(Equal([]string{"r1"}))
	})

	// Guards against a session that does not see its own commit.
	It("does not read at a replica that lacks the session's commit", func() {
		s := newSetting()
		session := s.session("own")
		Expect(session.handle(write("w")).Succeeded()).To(BeTrue())
		Expect(session.handle(read("q")).Succeeded()).To(BeTrue())
		Expect(s.group.runsOf("q")).To(Equal([]string{"p"}))
	})

	// Guards against a session that no instance serves any more because a
	// promotion rolled its newest commit back.
	It("gives up a position that the new leader does not have", func() {
		s := newSetting()
		session := s.session("own")
		Expect(session.handle(write("w")).Succeeded()).To(BeTrue())
		s.group.set("p", func(i *fakeInstance) { i.fault = unreachable })
		s.group.set("r1", func(i *fakeInstance) { i.leads, i.term = true, 2 })
		promoted := *s.snapshot.Servers["r1"]
		promoted.Role, promoted.RoleRevision = catalog.Primary, 9
		s.snapshot.Servers["r1"] = &promoted
		s.snapshot.Groups["x"][1] = &promoted
		Expect(session.handle(read("q")).Succeeded()).To(BeTrue())
		Expect(s.group.runsOf("q")).To(Equal([]string{"r1"}))
	})

	// Guards against a read that fails although another instance would serve it.
	It("goes to another instance after a lost answer", func() {
		s := newSetting()
		session := s.session("bounded")
		session.handle(read("first"))
		s.group.set("r1", func(i *fakeInstance) { i.applied, i.fault = 100, loseAnswer })
		Expect(session.handle(read("q")).Succeeded()).To(BeTrue())
		Expect(s.group.runsOf("q")).To(HaveLen(2))
	})
})

var _ = Describe("Writes", func() {
	// Guards against a write that takes effect twice, and against "not run" for
	// one that may have run.
	It("reports a lost answer as in doubt and does not send again", func() {
		s := newSetting()
		s.group.set("p", func(i *fakeInstance) { i.fault = loseAnswer })
		result := s.session("strong").handle(write("w"))
		Expect(result.Code).To(Equal(statement.InDoubt))
		Expect(s.group.runsOf("w")).To(Equal([]string{"p"}))
	})

	// Guards against a refusal that a second try would have avoided.
	DescribeTable("sends again what did not run",
		func(f fault) {
			s := newSetting()
			s.group.set("p", func(i *fakeInstance) { i.fault = f })
			Expect(s.session("strong").handle(write("w")).Succeeded()).To(BeTrue())
			Expect(s.group.runsOf("w")).To(Equal([]string{"p"}))
		},
		Entry("no slot", busy),
		Entry("connection lost before it was sent", breakBeforeSend),
	)

	// Guards against a caller that waits until its deadline for an answer that
	// says only that nothing was done.
	It("answers not run when no instance leads", func() {
		s := newSetting()
		s.group.set("p", func(i *fakeInstance) { i.leads = false })
		result := s.session("strong").handle(write("w"))
		Expect(result.Code).To(Equal(statement.Busy))
		Expect(s.group.runsOf("w")).To(BeEmpty())
	})
})

var _ = Describe("Transactions", func() {
	// Guards against a commit that is reported lost although it may be kept,
	// and against doubt where nothing can be kept.
	DescribeTable("settle a commit without an answer",
		func(first statement.Statement, expected statement.Code) {
			s := newSetting()
			session := s.session("strong")
			session.handle(simple("b", statement.Begin))
			Expect(session.handle(first).Succeeded()).To(BeTrue())
			s.group.set("p", func(i *fakeInstance) { i.fault = loseAnswer })
			result := session.handle(simple("c", statement.Commit))
			Expect(result.Code).To(Equal(expected))
			Expect(result.State).To(Equal(statement.Idle))
		},
		Entry("that wrote", write("w"), statement.InDoubt),
		Entry("that only read", read("q"), statement.Aborted),
	)

	// Guards against a transaction that goes on at a primary that lost the lead.
	It("is aborted when the instance loses the lead", func() {
		s := newSetting()
		session := s.session("strong")
		session.handle(simple("b", statement.Begin))
		Expect(session.handle(write("w1")).Succeeded()).To(BeTrue())
		s.group.set("p", func(i *fakeInstance) { i.leads = false })
		result := session.handle(read("q"))
		Expect(result.Code).To(Equal(statement.Aborted))
		Expect(result.State).To(Equal(statement.InFailed))
		Expect(session.handle(read("q2")).Code).To(Equal(statement.Malformed))
		Expect(session.handle(simple("r", statement.Rollback)).State).To(Equal(statement.Idle))
	})

	// Guards against work of an abandoned transaction that is kept.
	It("ends after resting too long", func() {
		s := newSetting()
		s.snapshot.Config.TransactionIdle = 30 * time.Millisecond
		session := s.session("strong")
		session.handle(simple("b", statement.Begin))
		Expect(session.handle(write("w")).Succeeded()).To(BeTrue())
		Eventually(func() bool {
			session.mu.Lock()
			defer session.mu.Unlock()
			return session.failed
		}).Should(BeTrue())
		Expect(session.handle(write("w2")).Code).To(Equal(statement.Malformed))
		Expect(session.handle(simple("c", statement.Commit)).Code).To(Equal(statement.Aborted))
		Expect(s.group.instances["p"].applied).To(Equal(uint64(100)))
	})
})

var _ = Describe("Sessions", func() {
	// Guards against a key that works after it was withdrawn, also inside an
	// open transaction.
	It("refuse a withdrawn key", func() {
		s := newSetting()
		session := s.session("strong")
		session.handle(simple("b", statement.Begin))
		Expect(session.handle(write("w")).Succeeded()).To(BeTrue())
		config := *s.snapshot.Config
		config.Keys = nil
		next := *s.snapshot
		next.Config = &config
		s.snapshot = &next
		Expect(session.handle(write("w2")).Code).To(Equal(statement.NoAuth))
		Expect(session.handle(simple("r", statement.Rollback)).Succeeded()).To(BeTrue())
		Expect(session.handle(read("q")).Code).To(Equal(statement.NoAuth))
		refused, result := s.gateway.Open("strong", key, func() {})
		Expect(refused).To(BeNil())
		Expect(result.Code).To(Equal(statement.NoAuth))
	})

	// Guards against an operation beyond the account's rate that is run.
	It("refuse an operation beyond the rate at once", func() {
		s := newSetting()
		s.admit = false
		Expect(s.session("bounded").handle(read("q")).Code).To(Equal(statement.Busy))
		Expect(s.group.runsOf("q")).To(BeEmpty())
	})

	// Guards against work for a failure domain that operators evacuated.
	It("send nothing to an evacuated failure domain", func() {
		s := newSetting()
		s.snapshot.Evacuated["d0"] = true
		Expect(s.session("strong").handle(write("w")).Code).To(Equal(statement.Busy))
		Expect(s.group.runsOf("w")).To(BeEmpty())
	})

	// Guards against work for a primary past the time after it announced that
	// it leaves, while orders of promotions are lost.
	It("send nothing to a server that has left, not even the rest of a transaction", func() {
		s := newSetting()
		session := s.session("strong")
		session.handle(simple("b", statement.Begin))
		Expect(session.handle(write("w1")).Succeeded()).To(BeTrue())
		s.snapshot.Servers["p"].DrainedAt = time.Now()
		Expect(session.handle(write("w2")).Code).To(Equal(statement.Aborted))
		session.handle(simple("r", statement.Rollback))
		Expect(session.handle(write("w3")).Code).To(Equal(statement.Busy))
		Expect(s.group.runsOf("w2")).To(BeEmpty())
		Expect(s.group.runsOf("w3")).To(BeEmpty())
	})

	// Guards against a stop that cuts off an open transaction, and against one
	// that waits for idle sessions.
	It("are closed between operations by a drain", func() {
		s := newSetting()
		hungUp := map[string]bool{}
		open := func(name string) *Session {
			session, _ := s.gateway.Open("strong", key, func() { hungUp[name] = true })
			return session
		}
		idle, busySession := open("idle"), open("busy")
		busySession.handle(simple("b", statement.Begin))
		s.gateway.Drain()
		Expect(hungUp).To(Equal(map[string]bool{"idle": true}))
		_, hangUp := busySession.Handle(simple("c", statement.Commit), time.Now())
		Expect(hangUp).To(BeTrue())
		idle.Close()
		busySession.Close()
		Expect(s.gateway.Sessions()).To(BeZero())
	})

	// Guards against names of one session that another session meets.
	It("know only their own prepared statements", func() {
		s := newSetting()
		one, other := s.session("strong"), s.session("strong")
		prepare := statement.Statement{ID: "p", Kind: statement.Prepare, Name: "s1", Value: "shape"}
		Expect(one.handle(prepare).Succeeded()).To(BeTrue())
		execute := statement.Statement{ID: "e", Kind: statement.Execute, Name: "s1", Args: "a"}
		Expect(one.handle(execute).Succeeded()).To(BeTrue())
		Expect(other.handle(execute).Code).To(Equal(statement.NoStmt))
	})
})
