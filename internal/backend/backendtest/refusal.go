package backendtest

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2" //nolint:staticcheck // the suite is written as ginkgo specs
	. "github.com/onsi/gomega"    //nolint:staticcheck // see above

	"github.com/bramleylever/bramleylever/internal/backend"
)

func refusalSpecs(impl Implementation) {
	// Guards against a write that takes effect although it was refused. The proxy
	// forwards a refused write to the primary, so it would run twice.
	DescribeTable("refuses writes without any effect", func(prepare func(c *cluster) int, before, write string) {
		c := start(impl, 3)
		c.createTable()
		k := prepare(c)
		writer := c.connect(k)
		if before != "" {
			writer.mustQuery(before)
		}
		writer.expectSQLState(backend.SQLStateReadOnly, write)
		if before != "" {
			writer.mustQuery("ROLLBACK")
		}
		Expect(writer.mustQuery("SELECT count(*) FROM contract")).To(Equal([]string{"0"}))
	},
		Entry("replica", replica, "", "INSERT INTO contract VALUES (1, 1)"),
		Entry("replica, schema change", replica, "", "CREATE TABLE other (id bigint)"),
		Entry("replica, lock", replica, "", "SELECT n FROM contract FOR UPDATE"),
		Entry("replica, first write of a transaction", replica, "BEGIN; SELECT * FROM contract", "INSERT INTO contract VALUES (1, 1)"),
		Entry("replica, after a read in one query", replica, "", "SELECT 1; DELETE FROM contract"),
		Entry("fenced primary", fencedPrimary, "", "INSERT INTO contract VALUES (1, 1)"),
		Entry("fenced primary, in a transaction", fencedPrimary, "BEGIN", "INSERT INTO contract VALUES (1, 1)"),
		Entry("primary, read only transaction", func(*cluster) int { return 0 }, "BEGIN READ ONLY", "INSERT INTO contract VALUES (1, 1)"),
	)

	// Guards against a write that the old primary commits after its term was raised: no
	// majority would have received it.
	DescribeTable("aborts an open transaction when the term is raised", func(next string) {
		c := start(impl, 3)
		c.createTable()
		writer := c.connect(0)
		writer.mustQuery("BEGIN; INSERT INTO contract VALUES (1, 1)")
		c.raise(term(2), 0)
		_, err := writer.query(next)
		Expect(sqlStateOf(err)).To(Or(Equal(backend.SQLStateReadOnly), Equal("57P01")), "%v", err)
		Expect(c.connect(0).mustQuery("SELECT count(*) FROM contract")).To(Equal([]string{"0"}))
		Expect(c.status(0).Received).To(Equal(c.status(1).Received))
	},
		Entry("commit", "COMMIT"),
		Entry("another write", "INSERT INTO contract VALUES (2, 2)"),
		Entry("a read of its own write", "SELECT * FROM contract"),
	)

	// Guards against callers that run control statements on data connections.
	It("refuses control statements on data connections", func() {
		c := start(impl, 1)
		c.connect(0).expectSQLState("42501", "SELECT cluster_raise_term('9.9')")
	})

	// Guards against dirty reads, against reads that are blocked by writers, and
	// against a transaction that doesn't see its own write.
	It("reads committed data while a write transaction is open", func() {
		c := start(impl, 3)
		c.createTable()
		writer := c.connect(0)
		writer.mustQuery("BEGIN; INSERT INTO contract VALUES (1, 1)")
		Expect(writer.mustQuery("SELECT count(*) FROM contract")).To(Equal([]string{"1"}), "its own write")
		reader := c.connect(0)
		Expect(reader.mustQuery("SELECT count(*) FROM contract")).To(Equal([]string{"0"}))
		writer.mustQuery("COMMIT")
		Expect(reader.mustQuery("SELECT count(*) FROM contract")).To(Equal([]string{"1"}))
	})
}

func replica(*cluster) int { return 1 }

func fencedPrimary(c *cluster) int {
	c.raise(term(2), 0)
	return 0
}

func quiesceSpecs(impl Implementation) {
	const limit = 300 * time.Millisecond

	// Guards against a switchover that loses the last log entries, and against writes
	// that stay blocked.
	It("refuses writes, returns the final position and ends after the limit", func() {
		c := start(impl, 3)
		writer := c.createTable()
		st, err := c.controls[0].Quiesce(c.context(), limit)
		Expect(err).NotTo(HaveOccurred())
		writer.expectSQLState(backend.SQLStateReadOnly, "INSERT INTO contract VALUES (1, 1)")
		Expect(c.status(0).Received).To(Equal(st.Received))
		writer.mustQuery("SELECT * FROM contract")
		Eventually(func() error {
			_, err := writer.query("INSERT INTO contract VALUES (2, 2)")
			return err
		}, eventuallyTimeout).Should(Succeed())
	})

	// Guards against a final position that an open transaction later exceeds, and
	// against a queued write that runs after the quiesce instead of being refused.
	It("waits for the open transaction", func() {
		c := start(impl, 3)
		writer := c.createTable()
		writer.mustQuery("BEGIN; INSERT INTO contract VALUES (1, 1)")
		queued := make(chan string, 1)
		early := c.connect(0)
		go func() {
			_, err := early.query("INSERT INTO contract VALUES (1, 2)")
			queued <- sqlStateOf(err)
		}()
		Consistently(queued, consistentlyDuration).ShouldNot(Receive())
		done := make(chan backend.Status, 1)
		go func() {
			defer GinkgoRecover()
			st, err := c.controls[0].Quiesce(c.context(), eventuallyTimeout)
			Expect(err).NotTo(HaveOccurred())
			done <- st
		}()
		other := c.connect(0)
		Eventually(func() string {
			_, err := other.query("BEGIN; DELETE FROM contract; ROLLBACK")
			return sqlStateOf(err)
		}, eventuallyTimeout).Should(Equal(backend.SQLStateReadOnly))
		Eventually(queued, eventuallyTimeout).Should(Receive(Equal(backend.SQLStateReadOnly)))
		Consistently(done, consistentlyDuration).ShouldNot(Receive())
		writer.mustQuery("INSERT INTO contract VALUES (2, 2); COMMIT")
		var st backend.Status
		Eventually(done, eventuallyTimeout).Should(Receive(&st))
		Expect(st.Received).To(Equal(writer.lastCommit().LSN))
	})

	// Guards against a quiesce that stays in force after it failed.
	It("is lifted if the open transaction does not end within the limit", func() {
		c := start(impl, 3)
		writer := c.createTable()
		writer.mustQuery("BEGIN; INSERT INTO contract VALUES (1, 1)")
		_, err := c.controls[0].Quiesce(c.context(), limit)
		Expect(err).To(MatchError(backend.ErrRefused))
		Expect(sqlStateOf(err)).To(Equal(backend.SQLStateLockNotAvailable))
		writer.mustQuery("COMMIT")
		other := c.connect(0)
		other.mustQuery("INSERT INTO contract VALUES (2, 2)")
	})

	// Guards against a switchover that starts from an instance which isn't the primary.
	It("is refused by a replica", func() {
		c := start(impl, 3)
		_, err := c.controls[1].Quiesce(c.context(), limit)
		Expect(err).To(MatchError(backend.ErrRefused))
		Expect(sqlStateOf(err)).To(Equal(backend.SQLStateNotInPrerequisiteState))
	})

	// Guards against a planned switchover that loses a commit.
	It("loses no commit in a switchover", func() {
		c := start(impl, 3)
		writer := c.createTable()
		for k := range 10 {
			writer.mustQuery(fmt.Sprintf("INSERT INTO contract VALUES (%d, 0)", k))
		}
		st, err := c.controls[0].Quiesce(c.context(), eventuallyTimeout)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return c.status(1).Received >= st.Received }, eventuallyTimeout).Should(BeTrue())
		c.failOver(term(2), 1, 0, 2)
		Expect(c.connect(1).mustQuery("SELECT count(*) FROM contract")).To(Equal([]string{"10"}))
		Expect(writer.mustQuery("SELECT count(*) FROM contract")).To(Equal([]string{"10"}))
	})
}
