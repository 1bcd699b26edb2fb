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
	// Guards against a strong read at a deposed primary that lacks commits which the
	// new primary has acknowledged.
	It("proves leadership before a strong read", func() {
		s := newFixture()
		s.group.set("p", func(i *fakeInstance) { i.leads = false })
		s.group.set("r1", func(i *fakeInstance) { i.leads, i.term = true, 2 })
		result := s.session("strong").handle(read("q1"))
		Expect(result.Succeeded()).To(BeTrue())
		Expect(s.group.runsOf("q1")).To(Equal([]string{"r1"}))
	})

	// Guards against sending all reads to the primary although a recent enough
	// position is known.
	It("reads from a replica that has applied a recent enough sample", func() {
		s := newFixture()
		session := s.session("bounded")
		Expect(session.handle(read("first")).Succeeded()).To(BeTrue())
		Expect(s.group.runsOf("first")).To(Equal([]string{"p"}))
		s.group.set("r1", func(i *fakeInstance) { i.applied = 100 })
		Expect(session.handle(read("second")).Succeeded()).To(BeTrue())
		Expect(s.group.runsOf("second")).To(Equal([]string{"r1"}))
	})

	// Guards against a session that cannot see its own commit.
	It("does not read at a replica that lacks the session's commit", func() {
		s := newFixture()
		session := s.session("own")
		Expect(session.handle(write("w")).Succeeded()).To(BeTrue())
		Expect(session.handle(read("q")).Succeeded()).To(BeTrue())
		Expect(s.group.runsOf("q")).To(Equal([]string{"p"}))
	})

	// Guards against a session that no instance can serve because a promotion rolled
	// back its newest commit.
	It("discards a session position that the new leader does not have", func() {
		s := newFixture()
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
	It("retries a read at another instance after a lost answer", func() {
		s := newFixture()
		session := s.session("bounded")
		session.handle(read("first"))
		s.group.set("r1", func(i *fakeInstance) { i.applied, i.fault = 100, loseAnswer })
		Expect(session.handle(read("q")).Succeeded()).To(BeTrue())
		Expect(s.group.runsOf("q")).To(HaveLen(2))
	})
})

var _ = Describe("Writes", func() {
	// Guards against a write that takes effect twice, and against reporting "not run"
	// for a write that may have run.
	It("reports a write with a lost answer as in doubt and does not send it again", func() {
		s := newFixture()
		s.group.set("p", func(i *fakeInstance) { i.fault = loseAnswer })
		result := s.session("strong").handle(write("w"))
		Expect(result.Code).To(Equal(statement.InDoubt))
		Expect(s.group.runsOf("w")).To(Equal([]string{"p"}))
	})

	// Guards against refusing a write that a retry would have served.
	DescribeTable("sends a write again that did not run",
		func(f fault) {
			s := newFixture()
			s.group.set("p", func(i *fakeInstance) { i.fault = f })
			Expect(s.session("strong").handle(write("w")).Succeeded()).To(BeTrue())
			Expect(s.group.runsOf("w")).To(Equal([]string{"p"}))
		},
		Entry("refused for lack of a slot", busy),
		Entry("connection lost before it was sent", breakBeforeSend),
	)

	// Guards against a caller that runs into its own deadline although the write
	// certainly did not run.
	It("answers that a write did not run when no instance is the leader", func() {
		s := newFixture()
		s.group.set("p", func(i *fakeInstance) { i.leads = false })
		result := s.session("strong").handle(write("w"))
		Expect(result.Code).To(Equal(statement.Busy))
		Expect(s.group.runsOf("w")).To(BeEmpty())
	})
})

var _ = Describe("Transactions", func() {
	// Guards against reporting a commit as aborted although it may have taken effect,
	// and against reporting doubt for a transaction that has no effect.
	DescribeTable("classify a commit without an answer",
		func(first statement.Statement, expected statement.Code) {
			s := newFixture()
			session := s.session("strong")
			session.handle(simple("b", statement.Begin))
			Expect(session.handle(first).Succeeded()).To(BeTrue())
			s.group.set("p", func(i *fakeInstance) { i.fault = loseAnswer })
			result := session.handle(simple("c", statement.Commit))
			Expect(result.Code).To(Equal(expected))
			Expect(result.State).To(Equal(statement.Idle))
		},
		Entry("of a transaction that wrote", write("w"), statement.InDoubt),
		Entry("of a transaction that only read", read("q"), statement.Aborted),
	)

	// Guards against a transaction that continues at an instance that is no longer the
	// leader.
	It("are aborted when the instance is no longer the leader", func() {
		s := newFixture()
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

	// Guards against an abandoned transaction whose writes take effect.
	It("are rolled back after the configured idle time", func() {
		s := newFixture()
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
	// Guards against a key that is still accepted after its withdrawal, also inside an
	// open transaction.
	It("refuse a withdrawn key", func() {
		s := newFixture()
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

	// Guards against running an operation that exceeds the account's rate limit.
	It("refuse an operation beyond the rate limit at once", func() {
		s := newFixture()
		s.admit = false
		Expect(s.session("bounded").handle(read("q")).Code).To(Equal(statement.Busy))
		Expect(s.group.runsOf("q")).To(BeEmpty())
	})

	// Guards against sending statements to a failure domain that operators have
	// evacuated.
	It("send nothing to an evacuated failure domain", func() {
		s := newFixture()
		s.snapshot.Evacuated["d0"] = true
		Expect(s.session("strong").handle(write("w")).Code).To(Equal(statement.Busy))
		Expect(s.group.runsOf("w")).To(BeEmpty())
	})

	// Guards against sending statements to a primary after its drain time has passed.
	// This happens when promotion orders are lost and it stays registered as primary.
	It("send nothing to a drained server, not even the rest of a transaction", func() {
		s := newFixture()
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

	// Guards against a commit that takes effect after its key was withdrawn, or at an instance
	// in a failure domain that was evacuated: only the statements before it were checked.
	DescribeTable("do not commit what their next statement could not add to",
		func(change func(*fixture), expected statement.Code) {
			s := newFixture()
			session := s.session("strong")
			session.handle(simple("b", statement.Begin))
			Expect(session.handle(write("w")).Succeeded()).To(BeTrue())
			change(s)
			result := session.handle(simple("c", statement.Commit))
			Expect(result.Code).To(Equal(expected))
			Expect(result.State).To(Equal(statement.Idle))
			Expect(s.group.runsOf("c")).To(BeEmpty())
			Expect(s.group.instances["p"].applied).To(Equal(uint64(100)), "nothing is committed")
		},
		Entry("after their key was withdrawn", func(s *fixture) { clear(s.snapshot.Config.Keys) }, statement.NoAuth),
		Entry("in a failure domain that was evacuated", func(s *fixture) { s.snapshot.Evacuated["d0"] = true }, statement.Aborted),
	)

	// Guards against a commit that is refused although a draining instance may still end its
	// transactions.
	It("commit at an instance that is draining", func() {
		s := newFixture()
		session := s.session("strong")
		session.handle(simple("b", statement.Begin))
		Expect(session.handle(write("w")).Succeeded()).To(BeTrue())
		s.snapshot.Servers["p"].DrainedAt = time.Now()
		Expect(session.handle(simple("c", statement.Commit)).Succeeded()).To(BeTrue())
		Expect(s.group.instances["p"].applied).To(Equal(uint64(101)))
	})

	// Guards against a shutdown that interrupts an open transaction, and against one
	// that waits for idle sessions.
	It("are closed by a drain once no transaction is open", func() {
		s := newFixture()
		closed := map[string]bool{}
		open := func(name string) *Session {
			session, _ := s.gateway.Open("strong", key, func() { closed[name] = true })
			Expect(session.handle(read("q")).Succeeded()).To(BeTrue())
			return session
		}
		idle, busySession := open("idle"), open("busy")
		busySession.handle(simple("b", statement.Begin))
		s.gateway.Drain()
		Expect(closed).To(Equal(map[string]bool{"idle": true}))
		_, closeConn := busySession.Handle(simple("c", statement.Commit), time.Now())
		Expect(closeConn).To(BeTrue())
		idle.Close()
		busySession.Close()
		Expect(s.gateway.Sessions()).To(BeZero())
	})

	// Guards against a session that can execute the prepared statements of another
	// session.
	It("can execute only their own prepared statements", func() {
		s := newFixture()
		one, other := s.session("strong"), s.session("strong")
		prepare := statement.Statement{ID: "p", Kind: statement.Prepare, Name: "s1", Value: "shape"}
		Expect(one.handle(prepare).Succeeded()).To(BeTrue())
		execute := statement.Statement{ID: "e", Kind: statement.Execute, Name: "s1", Args: "a"}
		Expect(one.handle(execute).Succeeded()).To(BeTrue())
		Expect(other.handle(execute).Code).To(Equal(statement.NoStmt))
	})
})
