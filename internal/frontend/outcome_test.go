package frontend_test

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/frontend"
	"github.com/bramleylever/bramleylever/internal/topology"
)

type limiterFunc func(string) bool

func (l limiterFunc) Admit(account string, _ time.Time) bool { return l(account) }

var _ = Describe("Promise 10: a request that is reported as not run did not run", func() {
	var b *testProxy
	quick := func(c *frontend.Config) {
		c.QueueTimeout = 200 * time.Millisecond
		c.Limiter = limiterFunc(func(account string) bool { return account != "public" })
	}
	BeforeEach(func() { b = newTestProxy(quick) })
	AfterEach(func() { b.close() })

	// Guards against an error that says "not run" although the write ran, and
	// against errors that do not state the outcome.
	DescribeTable("refuses with the stated SQLSTATE and runs nothing",
		func(state, route, sql string, fault func(b *testProxy)) {
			user := "k1"
			if route == "open" {
				user = "anonymous"
			}
			conn, err := pgx.Connect(ctx(), b.dsn(user, keySecret, route, "&default_query_exec_mode=simple_protocol"))
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close(ctx())
			fault(b)
			_, err = conn.Exec(ctx(), sql)
			Expect(sqlState(err)).To(Equal(state))
			Expect(err.Error()).To(ContainSubstring("not run"))
			Expect(b.primary.count("INSERT")).To(BeZero())
		},
		Entry("no primary known", "57P03", "orders", insert, func(b *testProxy) {
			b.topology.Update(topology.Group{Database: "db", Term: term(2)})
		}),
		Entry("primary unreachable", "57P03", "orders", insert, func(b *testProxy) { b.primary.stop() }),
		Entry("no instance reachable for a read", "57P03", "orders", "SELECT 1", func(b *testProxy) {
			b.primary.stop()
			b.replica.stop()
		}),
		Entry("no connection free", "53300", "orders", insert, func(b *testProxy) {
			for range 4 {
				conn := b.connect("")
				Expect(exec(conn, "BEGIN")).To(BeEmpty())
				// Without a reference, the garbage collector would close the connection.
				DeferCleanup(conn.Close, ctx())
			}
		}),
		Entry("rate exceeded", "53400", "open", insert, func(*testProxy) {}),
	)

	// Guards against a request that runs with the parameters of another session,
	// because setting its own parameters on the connection failed.
	It("does not run a request whose parameters the instance refuses", func() {
		conn := b.connect("&TimeZone=nowhere")
		defer conn.Close(ctx())
		b.primary.inject(failing("SET timezone", "22023"))
		Expect(exec(conn, insert)).To(Equal("22023"))
		Expect(b.primary.count("INSERT")).To(BeZero())
	})

	// Guards against a queue that grows without bound while there is no primary.
	It("bounds the requests that wait for a primary", func() {
		b.close()
		b = newTestProxy(quick, func(c *frontend.Config) { c.QueueRequests = 3; c.QueueTimeout = time.Second })
		b.topology.Update(topology.Group{Database: "db", Term: term(2)})
		var full atomic.Int32
		var wg sync.WaitGroup
		for range 8 {
			conn := b.connect("")
			defer conn.Close(ctx())
			wg.Go(func() {
				if _, err := conn.Exec(ctx(), insert); err != nil && strings.Contains(err.Error(), "queue is full") {
					full.Add(1)
				}
			})
		}
		Eventually(full.Load).Should(Equal(int32(5)))
		b.topology.Update(topology.Group{Database: "db", Term: term(3), Primary: "a"})
		wg.Wait()
		Expect(b.primary.count("INSERT")).To(Equal(3))
	})

	// Guards against a transaction that cannot be ended once the rate is exceeded,
	// and against a commit after one of its statements was refused.
	It("always admits the end of a transaction", func() {
		var rateExceeded atomic.Bool
		b.close()
		b = newTestProxy(func(c *frontend.Config) {
			c.Limiter = limiterFunc(func(string) bool { return !rateExceeded.Load() })
		})
		conn := b.connect("&default_query_exec_mode=simple_protocol")
		defer conn.Close(ctx())
		Expect(exec(conn, "BEGIN")).To(BeEmpty())
		Expect(exec(conn, insert)).To(BeEmpty())
		rateExceeded.Store(true)
		Expect(exec(conn, "COMMIT")).To(BeEmpty())
		rateExceeded.Store(false)
		Expect(exec(conn, "BEGIN")).To(BeEmpty())
		rateExceeded.Store(true)
		Expect(exec(conn, insert)).To(Equal("53400"))
		tag, err := conn.Exec(ctx(), "COMMIT")
		Expect(err).NotTo(HaveOccurred())
		Expect(tag.String()).To(Equal("ROLLBACK"))
		Expect(b.primary.count("INSERT")).To(Equal(1))
	})
})

var _ = Describe("Promise 11: at most once", func() {
	var b *testProxy
	BeforeEach(func() { b = newTestProxy() })
	AfterEach(func() { b.close() })

	// Guards against retries of a request that may have taken effect, and against
	// reporting an error for one that can be retried.
	DescribeTable("retries only reads and idempotent writes after a connection failure",
		func(extra string, fault func(*fakeConn, string) (answers, bool), sql, state string, runs int) {
			conn := b.connect("&default_query_exec_mode=simple_protocol" + extra)
			defer conn.Close(ctx())
			b.primary.inject(fault)
			b.replica.inject(fault)
			Expect(exec(conn, sql)).To(Equal(state))
			Expect(b.primary.count(sql) + b.replica.count(sql)).To(Equal(runs))
			b.primary.inject(nil)
			Expect(exec(conn, insert)).To(BeEmpty())
		},
		Entry("write, failure before it runs", "", dropping("INSERT", false), insert, "08007", 1),
		Entry("write, failure after it ran", "", dropping("INSERT", true), insert, "08007", 1),
		Entry("write, failure during the wait for replication", "", dropping("cluster_wait", false), insert, "08007", 1),
		Entry("idempotent write", "&bramleylever.idempotent=on", dropping("INSERT", true), insert, "", 2),
		Entry("read", "", dropping("SELECT v", true), "SELECT v FROM t", "", 2),
		Entry("function that may write", "", dropping("SELECT f", true), "SELECT f(1)", "08007", 1),
		Entry("transaction in one query string", "", dropping("COMMIT", true), "BEGIN; INSERT; COMMIT", "08007", 0),
	)

	// Guards against sending a write on a connection that the instance closed
	// while it was idle. The outcome would be reported as unknown although the
	// write never ran.
	It("does not use a connection that the instance closed", func() {
		conn := b.connect("")
		defer conn.Close(ctx())
		Expect(exec(conn, insert)).To(BeEmpty())
		b.primary.kill()
		Eventually(b.primary.connections).Should(BeZero())
		Expect(exec(conn, insert)).To(BeEmpty())
	})

	// Guards against reporting a failed request in a transaction as run, and
	// against reporting a COMMIT without an answer as not run.
	DescribeTable("reports the outcome after a connection failure in a transaction",
		func(sql, state, message string) {
			conn := b.connect("&default_query_exec_mode=simple_protocol")
			defer conn.Close(ctx())
			Expect(exec(conn, "BEGIN")).To(BeEmpty())
			Expect(exec(conn, insert)).To(BeEmpty())
			b.primary.inject(dropping(sql, true))
			_, err := conn.Exec(ctx(), sql)
			Expect(sqlState(err)).To(Equal(state))
			Expect(err.Error()).To(ContainSubstring(message))
			_, err = conn.Exec(ctx(), "ROLLBACK")
			Expect(err).NotTo(HaveOccurred())
			Expect(exec(conn, "SELECT 1")).To(BeEmpty())
		},
		Entry("statement", "SELECT v FROM t", "08006", "not run"),
		Entry("commit", "COMMIT", "08007", "outcome unknown"),
	)

	// Guards against a retry after part of the answer was written: the caller
	// would receive rows twice.
	It("does not retry a read after part of its answer was written to the caller", func() {
		b.replica.inject(func(c *fakeConn, sql string) (answers, bool) {
			if strings.HasPrefix(sql, "SELECT v") {
				for range 5000 {
					c.be.Send(row("some value of a row"))
				}
				_ = c.be.Flush()
				time.Sleep(50 * time.Millisecond)
				c.net.Close()
			}
			return nil, false
		})
		conn := b.connect("&default_query_exec_mode=simple_protocol")
		defer conn.Close(ctx())
		Expect(exec(conn, "SELECT v FROM t")).To(Equal("08007"))
	})

	// Guards against retries that multiply the load while instances fail.
	It("limits retries to the retry budget", func() {
		b.close()
		b = newTestProxy(func(c *frontend.Config) { c.QueueTimeout = 100 * time.Millisecond })
		always := func(c *fakeConn, sql string) (answers, bool) {
			if strings.HasPrefix(sql, "SELECT v") {
				c.net.Close()
			}
			return nil, false
		}
		b.primary.inject(always)
		b.replica.inject(always)
		conn := b.connect("&default_query_exec_mode=simple_protocol")
		defer conn.Close(ctx())
		const requests = 100
		for range requests {
			Expect(exec(conn, "SELECT v FROM t")).To(Equal("57P03"))
		}
		sent := b.primary.count("SELECT v") + b.replica.count("SELECT v")
		Expect(sent).To(BeNumerically("<=", requests+requests/10+30+3*10))
	})

	// Guards against failed writes in a planned switchover, between the demotion
	// of the old primary and the change of the topology.
	It("queues writes that an instance refused before any effect", func() {
		b.primary.set(func() { b.primary.primary = false })
		conn := b.connect("")
		defer conn.Close(ctx())
		b := b // the timer must not change the proxy of the next spec
		time.AfterFunc(120*time.Millisecond, func() {
			b.replica.set(func() { b.replica.primary = true })
			b.topology.Update(topology.Group{Database: "db", Term: term(2), Primary: "b"})
		})
		Expect(exec(conn, insert)).To(BeEmpty())
		Expect(queryValue(conn, "SELECT v FROM t")).To(Equal("b:1"))
	})

	// Guards against failed transactions if a planned switchover falls between
	// BEGIN and the first write.
	DescribeTable("reopens a transaction after an instance refused its first write",
		func(mode string) {
			conn := b.connect("&default_query_exec_mode=" + mode)
			defer conn.Close(ctx())
			Expect(exec(conn, "BEGIN")).To(BeEmpty())
			b.primary.set(func() { b.primary.primary = false })
			b := b // the timer must not change the proxy of the next spec
			time.AfterFunc(100*time.Millisecond, func() {
				b.replica.set(func() { b.replica.primary = true })
				b.topology.Update(topology.Group{Database: "db", Term: term(2), Primary: "b"})
			})
			Expect(exec(conn, insert)).To(BeEmpty())
			Expect(exec(conn, insert)).To(BeEmpty())
			Expect(exec(conn, "COMMIT")).To(BeEmpty())
			Expect(conn.PgConn().ParameterStatus("bramleylever.session_position")).To(Equal("db=1.1/2"))
			Expect(exec(conn, "BEGIN")).To(BeEmpty())
			Expect(exec(conn, insert)).To(BeEmpty())
			b.replica.set(func() { b.replica.primary = false })
			Expect(exec(conn, insert)).To(Equal("25006"))
			Expect(exec(conn, "ROLLBACK")).To(BeEmpty())
		},
		Entry(nil, "simple_protocol"),
		Entry(nil, "exec"),
	)

	// Guards against errors for writes that are classified as reads.
	It("forwards a write that a replica refused", func() {
		refuse := failing("SELECT w", "25006")
		b.replica.inject(refuse)
		for _, mode := range []string{"simple_protocol", "exec", "cache_statement"} {
			conn := b.connect("&default_query_exec_mode=" + mode)
			Expect(queryValue(conn, "SELECT w()")).To(Equal("a:0"))
			conn.Close(ctx())
		}
		Expect(b.counter("frontend.forwarded_requests")).To(Equal(int64(3)))
	})
})

func execLater(conn *pgx.Conn, sql string) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = conn.Exec(context.Background(), sql)
	}()
	return done
}

// slowInserts makes the primary take a while for each INSERT.
func (b *testProxy) slowInserts() {
	b.primary.inject(func(_ *fakeConn, sql string) (answers, bool) {
		if strings.HasPrefix(sql, "INSERT") {
			time.Sleep(100 * time.Millisecond)
		}
		return nil, false
	})
}

var _ = Describe("Promise 13: a drain interrupts no request", func() {
	// Guards against requests that a drain interrupts, and against a drain that
	// never ends because of idle callers.
	It("finishes transactions and then closes the sessions", func() {
		b := newTestProxy()
		defer b.close()
		idle, busy := b.connect(""), b.connect("&default_query_exec_mode=simple_protocol")
		Expect(exec(busy, "BEGIN")).To(BeEmpty())
		b.server.Drain()
		Eventually(b.server.Sessions).Should(Equal(1))
		Expect(exec(idle, "SELECT 1")).To(Equal("57P01"))
		Expect(exec(busy, insert)).To(BeEmpty())
		Expect(exec(busy, "COMMIT")).To(BeEmpty())
		Eventually(b.server.Sessions).Should(BeZero())
		_, err := pgx.Connect(ctx(), b.dsn("k1", keySecret, "orders", ""))
		Expect(err).To(HaveOccurred())
		Expect(b.primary.count("COMMIT")).To(Equal(1))
	})

	// Guards against requests without an answer that were sent before the drain
	// closed their session.
	It("answers every request that was sent", func() {
		b := newTestProxy()
		defer b.close()
		b.slowInserts()
		c := b.dialRaw()
		defer c.net.Close()
		c.Send(query(insert))
		c.Send(&pgproto3.Query{String: "SELECT 1"})
		Expect(c.Flush()).To(Succeed())
		Eventually(func() int { return b.primary.count("INSERT") }).Should(Equal(1))
		b.server.Drain()
		Expect(c.untilReady()).To(Equal("INSERT 0 1 I"))
		Expect(c.untilReady()).To(Equal("columns row SELECT 1 I"))
		Expect(c.untilReady()).To(Equal("57P01 end"))
	})

	// Guards against a drain that takes requests of open transactions until the process
	// ends, and against a caller that does not learn that its transaction is rolled back.
	DescribeTable("ends the transactions that are open too long between two requests",
		func(next string) {
			b := newTestProxy()
			defer b.close()
			silent, active := b.connect("&default_query_exec_mode=simple_protocol"), b.connect("&default_query_exec_mode=simple_protocol")
			for _, conn := range []*pgx.Conn{silent, active} {
				Expect(exec(conn, "BEGIN")).To(BeEmpty())
				Expect(exec(conn, insert)).To(BeEmpty())
			}
			b.server.Drain()
			Expect(exec(active, "SELECT 1")).To(BeEmpty())
			b.server.EndTransactions()
			Expect(exec(active, next)).To(Equal("57P01"))
			Eventually(b.server.Sessions).Should(BeZero())
			Expect(exec(silent, "COMMIT")).To(Equal("57P01"))
			Expect(b.primary.count("COMMIT")).To(BeZero())
		},
		Entry("before a read", "SELECT 1"),
		Entry("before a commit", "COMMIT"),
	)

	// Guards against a request that was accepted in time and is cut off by the end of
	// transactions.
	It("lets a running request end before it ends the transaction", func() {
		b := newTestProxy()
		defer b.close()
		b.slowInserts()
		conn := b.connect("&default_query_exec_mode=simple_protocol")
		Expect(exec(conn, "BEGIN")).To(BeEmpty())
		running := make(chan string)
		go func() { running <- exec(conn, insert) }()
		Eventually(func() int { return b.primary.count("INSERT") }).Should(Equal(1))
		b.server.Drain()
		b.server.EndTransactions()
		Expect(<-running).To(BeEmpty())
		Expect(exec(conn, "COMMIT")).To(Equal("57P01"))
		Expect(b.primary.count("COMMIT")).To(BeZero())
	})
})
