package gateway

import (
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/statement"
)

// openSession is a session whose caller's connection records that it is closed.
type openSession struct {
	*Session
	closed atomic.Bool
}

func (s *fixture) openSession() *openSession {
	o := &openSession{}
	session, result := s.gateway.Open("strong", key, func() { o.closed.Store(true) })
	Expect(result.Succeeded()).To(BeTrue())
	o.Session = session
	return o
}

// rolledBack reports whether the gateway has rolled the session's transaction back.
func (o *openSession) rolledBack() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tx == nil && o.unreported
}

var _ = Describe("The end of transactions in a planned stop", func() {
	// Guards against a stop that takes statements of open transactions until the process
	// exits, and that leaves the caller of a rolled back transaction without a promise.
	DescribeTable("answers the next statement at once, promises that nothing is kept, and then closes the session",
		func(next statement.Statement, expected statement.Code, state statement.State) {
			s := newFixture()
			session := s.openSession()
			session.handle(simple("b", statement.Begin))
			Expect(session.handle(write("w")).Succeeded()).To(BeTrue())
			s.gateway.Drain()
			Expect(session.handle(write("w2")).Succeeded()).To(BeTrue(), "the transaction may go on until it has to end")
			s.gateway.EndTransactions()
			Eventually(session.rolledBack).Should(BeTrue())
			Expect(session.closed.Load()).To(BeFalse(), "the caller does not know yet")
			result, closeConn := session.Handle(next, time.Now())
			Expect(result.Code).To(Equal(expected))
			Expect(result.State).To(Equal(state))
			Expect(closeConn).To(BeTrue())
			Expect(s.group.runsOf(next.ID)).To(BeEmpty())
			Expect(s.group.instances["p"].applied).To(Equal(uint64(100)), "nothing is committed")
			Expect(s.gateway.DrainCounts()).To(Equal(DrainCounts{Aborted: 1, Refused: 1}))
		},
		Entry("a read", read("n"), statement.Aborted, statement.InFailed),
		Entry("a write", write("n"), statement.Aborted, statement.InFailed),
		Entry("a commit", simple("n", statement.Commit), statement.Aborted, statement.Idle),
		Entry("a rollback", simple("n", statement.Rollback), statement.OK, statement.Idle),
		Entry("an invalid statement", statement.Statement{ID: "n", Problem: "invalid"}, statement.Aborted, statement.InFailed),
	)

	// Guards against a commit that is sent to an instance after the last moment because
	// it arrives before the transaction has been rolled back.
	It("refuses a commit that arrives with the end", func() {
		s := newFixture()
		session := s.openSession()
		session.handle(simple("b", statement.Begin))
		Expect(session.handle(write("w")).Succeeded()).To(BeTrue())
		s.gateway.phase.Store(int32(phaseEndingTransactions))
		Expect(session.handle(simple("c", statement.Commit)).Code).To(Equal(statement.Aborted))
		Expect(s.group.runsOf("c")).To(BeEmpty())
		Expect(s.group.instances["p"].applied).To(Equal(uint64(100)))
	})

	// Guards against work that begins after the last moment, in a session that is open or
	// in a new one.
	It("refuses all other new work as not run", func() {
		s := newFixture()
		session := s.session("strong")
		s.gateway.phase.Store(int32(phaseEndingTransactions))
		for _, st := range []statement.Statement{write("w"), read("q"), simple("b", statement.Begin)} {
			Expect(session.handle(st).Code).To(Equal(statement.Busy))
		}
		Expect(s.group.runs).To(BeEmpty())
		refused, result := s.gateway.Open("strong", key, func() {})
		Expect(refused).To(BeNil())
		Expect(result.Code).To(Equal(statement.Busy))
	})

	// Guards against a session in the failed state that keeps the process until the end of
	// the grace time: its caller was told before.
	It("closes a session in the failed state", func() {
		s := newFixture()
		session := s.openSession()
		session.handle(simple("b", statement.Begin))
		Expect(session.handle(statement.Statement{ID: "x", Problem: "invalid"}).State).To(Equal(statement.InFailed))
		s.gateway.Drain()
		Expect(session.closed.Load()).To(BeFalse(), "the caller may still end the transaction")
		s.gateway.EndTransactions()
		Expect(session.closed.Load()).To(BeTrue())
	})

	// Guards against a caller that stays silent and keeps the process until the end of the
	// grace time.
	It("closes the session of a silent caller when statements are interrupted", func() {
		s := newFixture()
		session := s.openSession()
		session.handle(simple("b", statement.Begin))
		s.gateway.EndTransactions()
		Eventually(session.rolledBack).Should(BeTrue())
		s.gateway.Sweep()
		Expect(session.closed.Load()).To(BeFalse())
		s.gateway.Interrupt()
		Expect(session.closed.Load()).To(BeTrue())
		Expect(s.group.interrupts).To(Equal(1))
		result, _ := session.Handle(simple("c", statement.Commit), time.Now())
		Expect(result.Code).To(Equal(statement.Aborted), "a commit that arrives as the session is closed")
	})
})

var _ = Describe("A session that has just been opened", func() {
	// Guards against callers that are turned away while the host can still serve them: a stop
	// closed new sessions before their first operation could arrive.
	DescribeTable("is not closed before its caller had time for an operation",
		func(prepare []statement.Statement) {
			s := newFixture()
			now := time.Now()
			s.gateway.now = func() time.Time { return now }
			s.gateway.Drain()
			session := s.openSession()
			for _, st := range prepare {
				now = now.Add(firstStatementTime / 2)
				result, closeConn := session.Handle(st, now)
				Expect(result.Succeeded()).To(BeTrue())
				Expect(closeConn).To(BeFalse(), "an operation follows")
			}
			now = now.Add(firstStatementTime - 1)
			s.gateway.Sweep()
			Expect(session.closed.Load()).To(BeFalse())
			result, closeConn := session.Handle(read("q"), now)
			Expect(result.Succeeded()).To(BeTrue())
			Expect(closeConn).To(BeTrue(), "the operation has ended")
		},
		Entry("after its start", nil),
		Entry("after statements that prepare it", []statement.Statement{
			{ID: "s", Kind: statement.Set, Name: "v", Value: "1"},
			{ID: "p", Kind: statement.Prepare, Name: "s1", Value: "shape"},
			{ID: "d", Kind: statement.Deallocate, Name: "s1"},
		}),
	)

	// Guards against silent callers that keep a stopping host.
	It("is closed if no operation arrives, at the latest when new work is refused", func() {
		s := newFixture()
		now := time.Now()
		s.gateway.now = func() time.Time { return now }
		s.gateway.Drain()
		silent, late := s.openSession(), s.openSession()
		now = now.Add(firstStatementTime)
		late.keepUntil = now.Add(firstStatementTime)
		s.gateway.Sweep()
		Expect(silent.closed.Load()).To(BeTrue())
		Expect(late.closed.Load()).To(BeFalse())
		s.gateway.EndTransactions()
		Expect(late.closed.Load()).To(BeTrue())
	})
})

var _ = Describe("The notice of a session that is closed", func() {
	// Guards against a request that is on its way when its session is closed: its caller got
	// no answer, and could not repeat a write or a commit.
	It("is the answer to a statement that arrives later, which is not run", func() {
		s := newFixture()
		session := s.openSession()
		Expect(session.handle(read("q")).Succeeded()).To(BeTrue())
		s.gateway.Drain()
		Expect(session.closed.Load()).To(BeTrue())
		Expect(session.CloseNotice().Code).To(Equal(statement.Busy))
		result, closeConn := session.Handle(write("w"), time.Now())
		Expect(result.Code).To(Equal(statement.Busy))
		Expect(closeConn).To(BeTrue())
		Expect(s.group.runsOf("w")).To(BeEmpty())
		Expect(s.gateway.DrainCounts().Refused).To(Equal(int64(1)))
	})

	It("says that a transaction was rolled back if no answer has said so", func() {
		s := newFixture()
		session := s.openSession()
		session.handle(simple("b", statement.Begin))
		Expect(session.handle(write("w")).Succeeded()).To(BeTrue())
		s.gateway.EndTransactions()
		Eventually(session.rolledBack).Should(BeTrue())
		s.gateway.Interrupt()
		Expect(session.closed.Load()).To(BeTrue())
		Expect(session.CloseNotice().Code).To(Equal(statement.Aborted))
		result, _ := session.Handle(simple("c", statement.Commit), time.Now())
		Expect(result.Code).To(Equal(statement.Aborted))
	})
})

var _ = Describe("An interrupt in a planned stop", func() {
	// Guards against a statement that was accepted in time and that the end of the process
	// cuts off while it waits for an instance.
	DescribeTable("answers a statement under way with its outcome",
		func(open bool, st statement.Statement, prepare func(*fixture), expected statement.Code) {
			s := newFixture()
			for _, r := range s.snapshot.Config.Routes {
				r.Timeout = time.Minute
			}
			session := s.session("strong")
			if open {
				session.handle(simple("b", statement.Begin))
			}
			prepare(s)
			answered := make(chan statement.Result, 1)
			go func() { answered <- session.handle(st) }()
			Eventually(func() int { return s.gateway.Usage().Running }).Should(Equal(1))
			s.gateway.EndTransactions()
			Consistently(answered, 50*time.Millisecond).ShouldNot(Receive(), "it continues until it is interrupted")
			s.gateway.Interrupt()
			var result statement.Result
			Eventually(answered).Should(Receive(&result))
			Expect(result.Code).To(Equal(expected))
			Expect(s.gateway.DrainCounts().Interrupted).To(Equal(int64(1)))
		},
		Entry("a read that finds no leader", false, read("q"), noLeader, statement.Busy),
		Entry("a write that finds no leader", false, write("w"), noLeader, statement.Busy),
		Entry("the first statement of a transaction that finds no leader", true, write("w"), noLeader, statement.Aborted),
		Entry("a read at a silent instance", false, read("q"), silence, statement.Busy),
		Entry("a write at a silent instance", false, write("w"), silence, statement.InDoubt),
		Entry("a statement of a transaction at a silent instance", true, write("w"), silence, statement.Aborted),
	)
})

var _ = Describe("The statements under way at a stop", func() {
	// Guards against a stop whose log does not tell which request it cut off, and whether its
	// session had been opened before the stop.
	It("are named with the ages of the statement and of its session", func() {
		s := newFixture()
		for _, r := range s.snapshot.Config.Routes {
			r.Timeout = time.Minute
		}
		session := s.session("strong")
		Expect(s.gateway.Opened()).To(Equal(int64(1)))
		Expect(s.gateway.OpenStatements()).To(BeEmpty())
		silence(s)
		answered := make(chan statement.Result, 1)
		go func() { answered <- session.handle(write("w")) }()
		Eventually(s.gateway.OpenStatements).Should(HaveLen(1))
		open := s.gateway.OpenStatements()[0]
		Expect(open.Request).To(Equal("w"))
		Expect(open.Kind).To(Equal(statement.Write))
		Expect(open.SessionAge).To(BeNumerically(">=", open.Age))
		s.gateway.Interrupt()
		Eventually(answered).Should(Receive())
		Expect(s.gateway.OpenStatements()).To(BeEmpty())
	})
})

// noLeader makes every instance refuse what only a leader runs.
func noLeader(s *fixture) { s.group.set("p", func(i *fakeInstance) { i.leads = false }) }

// silence makes the instances answer nothing until work is interrupted.
func silence(s *fixture) {
	for id := range s.group.instances {
		s.group.set(id, func(i *fakeInstance) { i.fault = silent })
	}
}
