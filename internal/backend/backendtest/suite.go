package backendtest

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2" //nolint:staticcheck // the suite is written as ginkgo specs
	. "github.com/onsi/gomega"    //nolint:staticcheck // see above

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/position"
)

// Run defines the specs of the contract for an implementation. It returns true so that
// a test file can call it in the declaration of a package variable.
func Run(name string, impl Implementation) bool {
	return Describe(name, func() {
		termSpecs(impl)
		forkSpecs(impl)
		majoritySpecs(impl)
		guardSpecs(impl)
		refusalSpecs(impl)
		quiesceSpecs(impl)
		failoverSpecs(impl)
	})
}

// controlCase is a control statement and its expected result, in a group in term 1.3 in
// which instance 0 is the primary, 1 follows it and 2 is fenced.
type controlCase struct {
	call  func(c *cluster) (backend.Status, error)
	want  error // nil if accepted
	role  backend.Role
	index int
}

func termSpecs(impl Implementation) {
	raise := func(k int, n uint64) controlCase {
		return controlCase{index: k, call: func(c *cluster) (backend.Status, error) {
			return c.controls[k].RaiseTerm(c.context(), term(n))
		}}
	}
	promote := func(k int, n uint64) controlCase {
		return controlCase{index: k, call: func(c *cluster) (backend.Status, error) {
			return c.controls[k].Promote(c.context(), term(n))
		}}
	}
	follow := func(k int, n uint64, primary int) controlCase {
		return controlCase{index: k, call: func(c *cluster) (backend.Status, error) {
			return c.controls[k].Follow(c.context(), term(n), c.group.Addresses()[primary])
		}}
	}
	expect := func(t controlCase, role backend.Role, err error) controlCase {
		t.role, t.want = role, err
		return t
	}
	primary, replica, fenced := backend.RolePrimary, backend.RoleReplica, backend.RoleFenced

	// Guards against two primaries in one term, and against a stale coordinator that
	// changes a group in a newer term.
	DescribeTable("terms", func(t controlCase) {
		c := startFenced(impl, 3)
		c.raise(term(3), 0, 1, 2)
		c.promote(term(3), 0)
		c.follow(term(3), 1, 0)
		_, err := t.call(c)
		if t.want == nil {
			Expect(err).NotTo(HaveOccurred())
		} else {
			Expect(err).To(MatchError(t.want))
			Expect(err).To(MatchError(ContainSubstring(c.group.Addresses()[t.index])), "the error names the peer")
		}
		Expect(c.status(t.index).Role).To(Equal(t.role))
	},
		Entry("raise to a higher term fences a primary", expect(raise(0, 4), fenced, nil)),
		Entry("raise to a higher term fences a replica", expect(raise(1, 4), fenced, nil)),
		Entry("raise to the current term leaves a primary as it is", expect(raise(0, 3), primary, nil)),
		Entry("raise to the current term leaves a replica as it is", expect(raise(1, 3), replica, nil)),
		Entry("raise to a lower term is refused", expect(raise(0, 2), primary, outcome.ErrStaleTerm)),
		Entry("promote in a lower term is refused", expect(promote(2, 2), fenced, outcome.ErrStaleTerm)),
		Entry("promote in a higher term is refused", expect(promote(2, 4), fenced, backend.ErrRefused)),
		Entry("promote the primary again changes nothing", expect(promote(0, 3), primary, nil)),
		Entry("promote a replica of the term is refused", expect(promote(1, 3), replica, backend.ErrRefused)),
		Entry("follow in a lower term is refused", expect(follow(2, 2, 0), fenced, outcome.ErrStaleTerm)),
		Entry("follow in the current term makes a replica", expect(follow(2, 3, 0), replica, nil)),
		Entry("follow the same primary again changes nothing", expect(follow(1, 3, 0), replica, nil)),
		Entry("follow another primary in the term is refused", expect(follow(1, 3, 2), replica, backend.ErrRefused)),
		Entry("follow as the primary of the term is refused", expect(follow(0, 3, 1), primary, backend.ErrRefused)),
	)

	// Guards against promoting the wrong candidate: without an entry of the new term,
	// the log of a new primary looks like an old log of the same length.
	It("starts the term's log with an entry of the term", func() {
		c := start(impl, 3)
		c.failOver(term(2), 1, 2, 0)
		for k := range 3 {
			Eventually(func() position.Term { return c.status(k).LastLogTerm }, eventuallyTimeout).Should(Equal(term(2)))
		}
		Expect(c.status(1).History).To(HaveLen(2))
	})
}

func forkSpecs(impl Implementation) {
	// Guards against a replica that keeps entries which the new primary never had, and
	// against a data connection whose reported applied position has been undone.
	It("removes the forked entries and closes the data connections", func() {
		c := start(impl, 3)
		writer := c.createTable()
		Expect(c.group.Isolate(0)).To(Succeed())
		writer.mustQuery("INSERT INTO contract VALUES (1, 1)")
		fork := writer.lastCommit()
		reader := c.connect(0)
		Expect(reader.mustQuery("SELECT id FROM contract")).To(Equal([]string{"1"}))

		c.failOver(term(2), 1, 2)
		other := c.connect(1)
		other.mustQuery("INSERT INTO contract VALUES (2, 2)")
		kept := other.lastCommit()
		other.mustQuery(waitReplicatedSQL(eventuallyTimeout))
		Expect(c.group.Heal()).To(Succeed())
		c.follow(term(2), 0, 1)

		c.awaitApplied(0, kept)
		Expect(c.status(0).History.Contains(fork)).To(BeFalse())
		_, err := reader.query("SELECT id FROM contract")
		Expect(err).To(HaveOccurred())
		fresh := c.connect(0)
		Expect(fresh.mustQuery("SELECT id FROM contract")).To(Equal([]string{"2"}))
		fresh.expectSQLState(backend.SQLStateNotInPrerequisiteState, readGuardSQL(fork, 0, -1))
	})

	// Guards against data connections that are closed at every change of the primary.
	It("keeps the data connections of a replica without forked entries", func() {
		c := start(impl, 3)
		c.createTable()
		reader := c.connect(2)
		c.failOver(term(2), 1, 2)
		Expect(reader.mustQuery("SELECT count(*) FROM contract")).To(Equal([]string{"0"}))
	})
}

func majoritySpecs(impl Implementation) {
	// Guards against an acknowledged write that can be lost in a promotion.
	DescribeTable("acknowledges a commit only after a majority received it",
		func(isolated []int, state string) {
			c := start(impl, 3)
			writer := c.createTable()
			for _, k := range isolated {
				Expect(c.group.Isolate(k)).To(Succeed())
			}
			before := c.status(0).Confirmed
			writer.mustQuery("INSERT INTO contract VALUES (1, 1)")
			if state == "" {
				writer.mustQuery(waitReplicatedSQL(eventuallyTimeout))
				Expect(c.status(0).Confirmed).To(BeNumerically(">=", writer.lastCommit().LSN))
				return
			}
			writer.expectSQLState(state, waitReplicatedSQL(consistentlyDuration))
			Expect(c.status(0).Confirmed).To(Equal(before))
			writer.expectSQLState(state, fmt.Sprintf("SELECT cluster_confirm_primary(%d)", consistentlyDuration.Milliseconds()))
			Expect(c.group.Heal()).To(Succeed())
			writer.mustQuery(waitReplicatedSQL(eventuallyTimeout))
		},
		Entry("no instance isolated", nil, ""),
		Entry("one replica isolated", []int{2}, ""),
		Entry("both replicas isolated", []int{1, 2}, backend.SQLStateLockNotAvailable),
		Entry("the primary isolated", []int{0}, backend.SQLStateLockNotAvailable),
	)

	// Guards against an old primary that acknowledges writes: replicas in a higher term
	// must not count towards its majority.
	It("is not confirmed by replicas in a higher term", func() {
		c := start(impl, 3)
		writer := c.createTable()
		c.raise(term(2), 1, 2)
		writer.mustQuery("INSERT INTO contract VALUES (1, 1)")
		writer.expectSQLState(backend.SQLStateLockNotAvailable, waitReplicatedSQL(consistentlyDuration))
		writer.expectSQLState(backend.SQLStateLockNotAvailable,
			fmt.Sprintf("SELECT cluster_confirm_primary(%d)", consistentlyDuration.Milliseconds()))
	})

	// Guards against a wait that reports success after the primary was fenced.
	It("fails the wait once the primary is fenced", func() {
		c := start(impl, 3)
		writer := c.createTable()
		writer.mustQuery("INSERT INTO contract VALUES (1, 1)")
		c.raise(term(2), 0)
		writer.expectSQLState(backend.SQLStateNotInPrerequisiteState, waitReplicatedSQL(eventuallyTimeout))
		writer.expectSQLState(backend.SQLStateNotInPrerequisiteState, "SELECT cluster_confirm_primary(100)")
	})

	// Guards against a frozen replica that counts towards the majority although it
	// doesn't respond.
	It("does not count frozen replicas until they respond again", func() {
		c := start(impl, 3)
		writer := c.createTable()
		c.group.Freeze(1)
		c.group.Freeze(2)
		writer.mustQuery("INSERT INTO contract VALUES (1, 1)")
		writer.expectSQLState(backend.SQLStateLockNotAvailable, waitReplicatedSQL(consistentlyDuration))
		c.group.Thaw(1)
		writer.mustQuery(waitReplicatedSQL(eventuallyTimeout))
		c.group.Thaw(2)
	})
}

func guardSpecs(impl Implementation) {
	// Guards against reads that don't see the session's own write.
	It("waits until the position is applied", func() {
		c := start(impl, 3)
		writer := c.createTable()
		reader := c.connect(1)
		for k := range 20 {
			writer.mustQuery(fmt.Sprintf("INSERT INTO contract VALUES (%d, 0)", k))
			got := reader.mustQuery(readGuardSQL(writer.lastCommit(), eventuallyTimeout, -1) + fmt.Sprintf("; SELECT id FROM contract WHERE id = %d", k))
			Expect(got).To(Equal([]string{fmt.Sprint(k)}))
		}
	})

	// Guards against a read guard that accepts a position on a fork, or that fails
	// early for a position that the instance may still receive.
	DescribeTable("handles positions outside of the applied log", func(wanted position.Position, state string) {
		c := start(impl, 3)
		c.createTable()
		c.failOver(term(3), 1, 2, 0)
		reader := c.connect(2)
		Eventually(func() position.Term { return c.status(2).LastLogTerm }, eventuallyTimeout).Should(Equal(term(3)))
		if state == "" {
			reader.mustQuery(readGuardSQL(wanted, eventuallyTimeout, -1))
			return
		}
		reader.expectSQLState(state, readGuardSQL(wanted, consistentlyDuration/4, -1))
	},
		Entry("none", position.Position{}, ""),
		Entry("in an old term", position.Position{Term: term(1), LSN: 2}, ""),
		Entry("past the fork of an old term", position.Position{Term: term(1), LSN: 9}, backend.SQLStateNotInPrerequisiteState),
		Entry("in a term that was skipped", position.Position{Term: term(2), LSN: 2}, backend.SQLStateNotInPrerequisiteState),
		Entry("not yet reached in the current term", position.Position{Term: term(3), LSN: 99}, backend.SQLStateLockNotAvailable),
		Entry("in a later term", position.Position{Term: term(4), LSN: 1}, backend.SQLStateLockNotAvailable),
	)

	// Guards against stale data that is reported as fresh, by a replica or an old
	// primary, while no majority can confirm the primary.
	DescribeTable("bounds the age of the data", func(instance int, isolated []int, maxAge time.Duration, state string) {
		c := start(impl, 5)
		c.createTable()
		for _, k := range isolated {
			Expect(c.group.Isolate(k)).To(Succeed())
		}
		reader := c.connect(instance)
		if state != "" {
			time.Sleep(consistentlyDuration) // lets the data become older than maxAge
			reader.expectSQLState(state, readGuardSQL(position.Position{}, consistentlyDuration/4, maxAge))
			return
		}
		got := decodeReadGuard(reader.mustQuery(readGuardSQL(position.Position{}, eventuallyTimeout, maxAge))[0])
		Expect(got.AgeMS).To(And(BeNumerically(">=", 0), BeNumerically("<=", maxAge.Milliseconds())))
	},
		Entry("replica, fresh", 1, nil, time.Duration(0), ""),
		Entry("replica, any age", 1, nil, time.Hour, ""),
		Entry("primary, fresh", 0, nil, time.Duration(0), ""),
		Entry("isolated replica", 1, []int{1}, consistentlyDuration/2, backend.SQLStateLockNotAvailable),
		Entry("isolated primary", 0, []int{0}, consistentlyDuration/2, backend.SQLStateLockNotAvailable),
		Entry("primary with a minority", 0, []int{2, 3, 4}, consistentlyDuration/2, backend.SQLStateLockNotAvailable),
		Entry("replica of a primary with a minority", 1, []int{2, 3, 4}, consistentlyDuration/2, backend.SQLStateLockNotAvailable),
		Entry("replica of a primary with a majority", 1, []int{3, 4}, time.Duration(0), ""),
	)

	// Guards against positions that are not reported, or that move backwards.
	It("reports commit and applied positions", func() {
		c := start(impl, 1)
		writer := c.createTable()
		last := writer.lastCommit()
		Expect(last.IsZero()).To(BeFalse())
		for k := range 3 {
			writer.mustQuery(fmt.Sprintf("INSERT INTO contract VALUES (%d, 0)", k))
			Expect(writer.lastCommit().LSN).To(Equal(last.LSN + 1))
			last = writer.lastCommit()
			Expect(writer.conn.ParameterStatus(backend.ParameterAppliedPosition)).To(Equal(last.String()))
		}
		writer.mustQuery("SELECT * FROM contract")
		writer.mustQuery("UPDATE contract SET n = 1 WHERE id = 99")
		Expect(writer.lastCommit()).To(Equal(last), "a statement that changes nothing has no commit position")
	})
}
