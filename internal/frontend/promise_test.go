package frontend_test

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/frontend"
	"github.com/bramleylever/bramleylever/internal/records"
	"github.com/bramleylever/bramleylever/internal/topology"
)

type answers = []pgproto3.BackendMessage

// failing answers statements that contain the text with an error of the given
// SQLSTATE.
func failing(text, code string) func(*fakeConn, string) (answers, bool) {
	return func(_ *fakeConn, sql string) (answers, bool) {
		return answers{pgError(code, "injected")}, strings.Contains(sql, text)
	}
}

// dropping closes the connection instead of answering the first statement that
// contains the text. If run is set, the statement takes effect before.
func dropping(text string, run bool) func(*fakeConn, string) (answers, bool) {
	var dropped atomic.Bool
	return func(c *fakeConn, sql string) (answers, bool) {
		if strings.Contains(sql, text) && dropped.CompareAndSwap(false, true) {
			if run {
				c.defaultAnswer(sql)
			}
			c.net.Close()
		}
		return nil, false
	}
}

func (f *fakeInstance) inject(on func(*fakeConn, string) (answers, bool)) {
	f.set(func() { f.onQuery = on })
}

// count returns the number of statements that were run and contain the text.
func (f *fakeInstance) count(text string) int {
	n := 0
	for _, sql := range f.queries() {
		if strings.Contains(sql, text) {
			n++
		}
	}
	return n
}

const insert = "INSERT INTO t VALUES (1)"

var _ = Describe("Promise 1: read-your-writes", func() {
	var b *testProxy
	BeforeEach(func() { b = newTestProxy() })
	AfterEach(func() { b.close() })

	// Guards against a read that misses the session's own write after a lag, a
	// failover or an outdated topology, also when the session has moved to
	// another connection with its position.
	DescribeTable("a read after a write never returns data without the write",
		func(extra string, between func(b *testProxy)) {
			writer := b.connect("")
			defer writer.Close(ctx())
			Expect(exec(writer, insert)).To(BeEmpty())
			at := writer.PgConn().ParameterStatus("bramleylever.session_position")
			between(b)
			for _, reader := range []*pgx.Conn{writer, b.connect("&bramleylever.session_position=" + at + extra)} {
				v := queryValue(reader, "SELECT v FROM t")
				Expect(v).To(HaveSuffix(":1"))
				reader.Close(ctx())
			}
		},
		Entry("replica lags", "", func(*testProxy) {}),
		Entry("replica lags and an age is accepted", "&bramleylever.max_staleness=1h", func(*testProxy) {}),
		Entry("replica has the write", "", func(b *testProxy) { b.replica.set(func() { b.replica.applied = 1 }) }),
		Entry("the topology does not show a promotion yet", "", func(b *testProxy) {
			// The replica has the write; the primary of the topology has lost it.
			b.replica.set(func() { b.replica.applied, b.replica.term = 1, term(1) })
			b.primary.kill()
			b.primary.set(func() { b.primary.applied = 0 })
		}),
		Entry("failover while the read waits", "", func(b *testProxy) {
			b.primary.kill()
			b.primary.set(func() { b.primary.applied = 0 })
			time.AfterFunc(100*time.Millisecond, func() {
				b.replica.set(func() { b.replica.applied, b.replica.primary = 1, true })
				b.topology.Update(topology.Group{Database: "db", Term: term(2), Primary: "b"})
			})
		}),
	)

	// Guards against skipping the check of a position because the connection has
	// reported a position of a newer term: the position of the older term may be
	// on a fork that the newer term does not contain.
	It("lets the instance check a position of another term", func() {
		b.replica.set(func() { b.replica.term, b.replica.applied = term(2), 9 })
		conn := b.connect("&bramleylever.session_position=db%3D1.1%2F5")
		defer conn.Close(ctx())
		b.replica.inject(failing("cluster_read_guard('1.1/5'", "55000"))
		b.primary.set(func() { b.primary.applied = 6 })
		Expect(queryValue(conn, "SELECT v FROM t")).To(Equal("a:6"))
	})

	// Guards against a session with an id, whose position is not known, reading
	// from a primary that was isolated and has been replaced.
	It("confirms the primary for a session without a position", func() {
		b.primary.inject(failing("cluster_confirm_primary", "55P03"))
		conn := b.connect("&bramleylever.session_id=s1")
		defer conn.Close(ctx())
		b := b // a callback that runs late must not change the proxy of the next spec
		time.AfterFunc(150*time.Millisecond, func() {
			b.replica.set(func() { b.replica.applied, b.replica.primary = 7, true })
			b.topology.Update(topology.Group{Database: "db", Term: term(2), Primary: "b"})
		})
		Expect(queryValue(conn, "SELECT v FROM t")).To(Equal("b:7"))
	})

	// Guards against replication lag that overloads the primary, because all
	// reads fall back to it.
	It("limits reads that fall back to the primary", func() {
		b.close()
		b = newTestProxy(func(c *frontend.Config) { c.QueueTimeout = 300 * time.Millisecond })
		b.primary.set(func() { b.primary.applied = 5 })
		var running, most atomic.Int32
		b.primary.inject(func(_ *fakeConn, sql string) (answers, bool) {
			if strings.HasPrefix(sql, "SELECT v") {
				most.Store(max(most.Load(), running.Add(1)))
				time.Sleep(50 * time.Millisecond)
				running.Add(-1)
			}
			return nil, false
		})
		var wg sync.WaitGroup
		for range 8 {
			conn := b.connect("&bramleylever.session_position=db%3D1.1%2F5")
			defer conn.Close(ctx())
			wg.Go(func() { _, _ = conn.Exec(ctx(), "SELECT v FROM t") })
		}
		wg.Wait()
		Expect(most.Load()).To(BeNumerically("<=", 2))
	})
})

var _ = Describe("Promise 2: no acknowledgement without a majority", func() {
	var b *testProxy
	BeforeEach(func() { b = newTestProxy() })
	AfterEach(func() { b.close() })

	// Guards against acknowledging a commit that the primary could not
	// replicate. The session's position must not advance either, because the
	// commit may be on a fork.
	DescribeTable("a commit whose replication fails has an unknown outcome",
		func(expected string, messages ...pgproto3.FrontendMessage) {
			b.primary.inject(func(c *fakeConn, sql string) (answers, bool) {
				if strings.HasPrefix(sql, "SELECT write_fn") {
					c.write("INSERT")
					return answers{column("v"), row("1"), complete("SELECT 1")}, true
				}
				return failing("cluster_wait_replicated", "55000")(c, sql)
			})
			c := b.dialRaw()
			defer c.net.Close()
			for _, m := range messages[:len(messages)-1] {
				c.Send(m)
			}
			Expect(c.ask(messages[len(messages)-1])).To(Equal(expected))
			Expect(c.ask(query("SHOW bramleylever.session_position"))).To(Equal("columns row SHOW I"))
			conn := b.connect("")
			defer conn.Close(ctx())
			Expect(exec(conn, insert)).To(Equal("08007"))
			Expect(conn.PgConn().ParameterStatus("bramleylever.session_position")).To(BeEmpty())
		},
		Entry("simple", "08007 I", query(insert)),
		Entry("several statements", "08007 I", query(insert+"; SELECT 1")),
		Entry("block", "08007 I", query("BEGIN; "+insert+"; COMMIT")),
		Entry("extended", "parsed bound 08007 I", parse("", insert), bind(""), &pgproto3.Execute{}, &pgproto3.Sync{}),
		Entry("a function that writes", "columns row 08007 I", query("SELECT write_fn() FOR UPDATE")),
	)

	// Guards against sending CommandComplete or ReadyForQuery before a majority
	// has the commit.
	It("holds the answer back until the commit is replicated", func() {
		release := make(chan struct{})
		b.primary.inject(func(_ *fakeConn, sql string) (answers, bool) {
			if strings.Contains(sql, "cluster_wait_replicated") {
				<-release
			}
			return nil, false
		})
		c := b.dialRaw()
		defer c.net.Close()
		c.Send(query(insert))
		Expect(c.Flush()).To(Succeed())
		got := make(chan string)
		go func() { got <- c.untilReady() }()
		Consistently(got, "100ms").ShouldNot(Receive())
		close(release)
		Eventually(got).Should(Receive(Equal("INSERT 0 1 I")))
	})

	// Guards against acknowledging a commit without waiting for its replication
	// because the statement, such as a function that writes, was classified as a
	// read. This applies on the primary and on a replica.
	It("waits for the replication of a commit by a statement classified as a read", func() {
		b.replica.set(func() { b.replica.primary = true })
		waits := atomic.Int32{}
		b.replica.inject(func(c *fakeConn, sql string) (answers, bool) {
			if strings.Contains(sql, "cluster_wait_replicated") {
				waits.Add(1)
			}
			if strings.HasPrefix(sql, "SELECT write_fn") {
				c.write("INSERT")
				return answers{column("v"), row("1"), complete("SELECT 1")}, true
			}
			return nil, false
		})
		conn := b.connect("")
		defer conn.Close(ctx())
		Expect(queryValue(conn, "SELECT write_fn()")).To(Equal("1"))
		Expect(waits.Load()).To(Equal(int32(1)))
		Expect(conn.PgConn().ParameterStatus("bramleylever.session_position")).To(Equal("db=1.1/1"))
	})
})

var _ = Describe("Promise 3: transactions never mix", func() {
	var b *testProxy
	BeforeEach(func() { b = newTestProxy() })
	AfterEach(func() { b.close() })

	// Guards against a connection being passed to another caller within a
	// transaction, also when callers disconnect or get errors. Each connection
	// must see whole transactions of one caller.
	It("keeps a connection with one caller until its transaction has ended", func() {
		var mu sync.Mutex
		open := map[*fakeConn]string{}
		mixed := []string{}
		b.primary.inject(func(c *fakeConn, sql string) (answers, bool) {
			mu.Lock()
			defer mu.Unlock()
			_, caller, ok := strings.Cut(sql, "-- ")
			if !ok {
				return nil, false
			}
			if owner := open[c]; owner != "" && c.status != 'I' && owner != caller {
				mixed = append(mixed, owner+" and "+caller)
			}
			open[c] = caller
			return nil, false
		})
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Go(func() {
				defer GinkgoRecover()
				for j := range 10 {
					conn := b.connect("&default_query_exec_mode=simple_protocol")
					tag := fmt.Sprintf(" -- %d", i)
					_, _ = conn.Exec(ctx(), "BEGIN"+tag)
					_, _ = conn.Exec(ctx(), insert+tag)
					switch (i + j) % 4 {
					case 0:
						conn.PgConn().Conn().Close()
						continue
					case 1:
						_, _ = conn.Exec(ctx(), "LISTEN x"+tag)
						_, _ = conn.Exec(ctx(), "ROLLBACK"+tag)
					default:
						_, _ = conn.Exec(ctx(), "COMMIT"+tag)
					}
					conn.Close(ctx())
				}
			})
		}
		wg.Wait()
		Expect(mixed).To(BeEmpty())
		Expect(b.primary.count(insert)).To(BeNumerically(">=", 120))
	})

	// Guards against the transaction of a disconnected caller staying open or
	// being continued by another caller.
	It("closes the backend connection of a caller that disconnects in a transaction", func() {
		c := b.dialRaw()
		Expect(c.ask(query("BEGIN"))).To(Equal("BEGIN T"))
		before := b.primary.connections()
		c.net.Close()
		Eventually(b.primary.connections).Should(Equal(before - 1))
	})

	// Guards against statements that run outside of a transaction because a
	// refused statement ended it while the caller still considers it open.
	It("aborts the transaction if a statement in it is refused", func() {
		c := b.dialRaw()
		defer c.net.Close()
		Expect(c.ask(query("BEGIN"))).To(Equal("BEGIN T"))
		Expect(c.ask(query("LISTEN x"))).To(Equal("0A000 E"))
		Expect(c.ask(query(insert))).To(Equal("25P02 E"))
		Expect(c.ask(parse("", "COMMIT"), bind(""), &pgproto3.Execute{}, &pgproto3.Sync{})).To(Equal("parsed bound ROLLBACK I"))
		Expect(b.primary.count("INSERT")).To(BeZero())
		Expect(c.ask(query(insert))).To(Equal("INSERT 0 1 I"))
	})
})

var _ = Describe("Promise 9: complete answers", func() {
	// Guards against an answer that is truncated, mixed with another one, or left
	// over from an attempt that was abandoned when its connection failed.
	It("returns to each of many callers the answer to its own request", func() {
		b := newTestProxy()
		defer b.close()
		echo := func(c *fakeConn, sql string) (answers, bool) {
			if strings.Contains(sql, "cluster_") || !strings.HasPrefix(sql, "SELECT") {
				return nil, false
			}
			if c.name == "b" && strings.HasSuffix(sql, "7'") {
				// This partial answer must not precede that of the retry.
				c.be.Send(row(sql))
				_ = c.be.Flush()
				time.Sleep(time.Millisecond)
				c.net.Close()
			}
			out := answers{column("v")}
			for range 50 {
				out = append(out, row(sql))
			}
			return append(out, complete("SELECT 50")), true
		}
		b.replica.inject(echo)
		b.primary.inject(echo)
		var wg sync.WaitGroup
		for i := range 8 {
			conn := b.connect("")
			wg.Go(func() {
				defer GinkgoRecover()
				defer conn.Close(ctx())
				for j := range 30 {
					sql := fmt.Sprintf("SELECT '%d-%d'", i, j)
					rows, err := conn.Query(ctx(), sql)
					Expect(err).NotTo(HaveOccurred())
					got, err := pgx.CollectRows(rows, pgx.RowTo[string])
					Expect(err).NotTo(HaveOccurred())
					Expect(got).To(HaveLen(50))
					Expect(got).To(HaveEach(sql))
				}
			})
		}
		wg.Wait()
	})
})

var _ = Describe("Promise 12: an instance that leaves gets no new work", func() {
	// Guards against new requests on a leaving instance, also on connections
	// that were opened before it began to leave.
	It("sends reads to another instance", func() {
		b := newTestProxy()
		defer b.close()
		conn := b.connect("")
		defer conn.Close(ctx())
		Expect(queryValue(conn, "SELECT 1")).To(Equal("b:0"))
		b.publish(func(s *records.Snapshot) {
			s.Backends = map[string]records.ServiceState{"b": records.StateLeaving}
		})
		Expect(queryValue(conn, "SELECT 1")).To(Equal("a:0"))
		Eventually(b.replica.connections).Should(BeZero())
	})
})
