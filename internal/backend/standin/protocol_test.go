package standin_test

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/backend/standin"
)

var _ = Describe("Protocol", func() {
	var inst *standin.Instance
	var conn *pgx.Conn
	ctx := context.Background()

	BeforeEach(func() {
		inst = startGroup(1).Primary()
		conn = connect(inst.Address())
		_, err := conn.Exec(ctx, "CREATE TABLE t (id bigint PRIMARY KEY, name text)")
		Expect(err).NotTo(HaveOccurred())
	})

	count := func() int {
		GinkgoHelper()
		var n int
		Expect(connect(inst.Address()).QueryRow(ctx, "SELECT count(*) FROM t").Scan(&n)).To(Succeed())
		return n
	}

	// Guards against a stand-in that accepts what PostgreSQL rejects: the proxy's
	// handling of failed transactions would then not be tested.
	DescribeTable("commits and rejects statements as PostgreSQL does", func(sql string, state string, rows int) {
		_, err := conn.PgConn().Exec(ctx, sql).ReadAll()
		if state == "" {
			Expect(err).NotTo(HaveOccurred())
		} else {
			expectSQLState(err, state)
		}
		if conn.PgConn().TxStatus() != 'I' {
			_, err = conn.PgConn().Exec(ctx, "COMMIT").ReadAll()
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(count()).To(Equal(rows))
	},
		Entry("one query is one transaction", "INSERT INTO t (id) VALUES (1); INSERT INTO t (id) VALUES (1)", "23505", 0),
		Entry("commit within a query", "INSERT INTO t (id) VALUES (1); COMMIT; INSERT INTO t (id) VALUES (1)", "23505", 1),
		Entry("failed transaction", "BEGIN; INSERT INTO t (id) VALUES (1); SELECT nope", "42703", 0),
		Entry("commit", "BEGIN; INSERT INTO t (id) VALUES (1)", "", 1),
		Entry("rollback", "BEGIN; INSERT INTO t (id) VALUES (1); ROLLBACK", "", 0),
		Entry("savepoint before the first write",
			"BEGIN; SAVEPOINT a; INSERT INTO t (id) VALUES (1); ROLLBACK TO a; INSERT INTO t (id) VALUES (2); COMMIT", "", 1),
		Entry("released savepoint", "BEGIN; INSERT INTO t (id) VALUES (1); SAVEPOINT a; INSERT INTO t (id) VALUES (2); RELEASE a; COMMIT", "", 2),
		Entry("unknown savepoint", "BEGIN; INSERT INTO t (id) VALUES (1); ROLLBACK TO a", "3B001", 0),
		Entry("read only", "BEGIN READ ONLY; INSERT INTO t (id) VALUES (1)", "25006", 0),
		Entry("set read only", "BEGIN; SET TRANSACTION READ ONLY; INSERT INTO t (id) VALUES (1)", "25006", 0),
		Entry("not supported", "LISTEN x", "0A000", 0),
		Entry("syntax", "SELEC 1", "42601", 0),
		Entry("unterminated string", "SELECT 'a", "42601", 0),
		Entry("missing table", "SELECT * FROM missing", "42P01", 0),
	)

	// Guards against statements that still run in a failed transaction.
	It("rejects statements until a failed transaction ends", func() {
		tx, err := conn.Begin(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec(ctx, "SELECT nope")
		expectSQLState(err, "42703")
		_, err = tx.Exec(ctx, "INSERT INTO t (id) VALUES (1)")
		expectSQLState(err, "25P02")
		Expect(tx.Commit(ctx)).To(MatchError(pgx.ErrTxCommitRollback))
		Expect(count()).To(Equal(0))
	})

	// Guards against a pipeline in which the statements before a failed one are
	// committed.
	It("runs the statements before Sync in one transaction", func() {
		batch := &pgx.Batch{}
		batch.Queue("INSERT INTO t VALUES (1, 'a')")
		batch.Queue("INSERT INTO t VALUES (1, 'b')")
		batch.Queue("INSERT INTO t VALUES (2, 'c')")
		expectSQLState(conn.SendBatch(ctx, batch).Close(), "23505")
		Expect(count()).To(Equal(0))
	})

	// Guards against rows that are lost or repeated when a portal is resumed.
	It("suspends a portal at the row limit", func() {
		_, err := conn.Exec(ctx, "INSERT INTO t SELECT g, 'x' FROM generate_series(1, 5) AS g")
		Expect(err).NotTo(HaveOccurred())
		frontend := conn.PgConn().Frontend()
		frontend.Send(&pgproto3.Parse{Query: "SELECT id FROM t ORDER BY id"})
		frontend.Send(&pgproto3.Bind{})
		for range 3 {
			frontend.Send(&pgproto3.Execute{MaxRows: 2})
		}
		frontend.Send(&pgproto3.Sync{})
		Expect(frontend.Flush()).To(Succeed())
		var seen []string
		for {
			msg, err := frontend.Receive()
			Expect(err).NotTo(HaveOccurred())
			switch m := msg.(type) {
			case *pgproto3.DataRow:
				seen = append(seen, string(m.Values[0]))
			case *pgproto3.PortalSuspended:
				seen = append(seen, "suspended")
			case *pgproto3.CommandComplete:
				seen = append(seen, string(m.CommandTag))
			}
			if _, ok := msg.(*pgproto3.ReadyForQuery); ok {
				break
			}
		}
		Expect(seen).To(Equal([]string{"1", "2", "suspended", "3", "4", "suspended", "5", "SELECT 5"}))
	})

	// Guards against a cancel request that is ignored or cancels a statement of
	// another session.
	It("cancels the running statement", func() {
		other := connect(inst.Address())
		sleeping, unaffected := async(conn, "SELECT pg_sleep(60)"), async(other, "SELECT pg_sleep(0.3)")
		Eventually(func() error {
			if err := conn.PgConn().CancelRequest(ctx); err != nil {
				return err
			}
			select {
			case err := <-sleeping:
				expectSQLState(err, "57014")
				return nil
			case <-time.After(10 * time.Millisecond):
				return context.DeadlineExceeded
			}
		}, eventuallyTimeout).Should(Succeed())
		Eventually(unaffected, eventuallyTimeout).Should(Receive(BeNil()))
	})

	It("ends a statement at statement_timeout", func() {
		_, err := conn.Exec(ctx, "SET statement_timeout = 20")
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Exec(ctx, "SELECT pg_sleep(60)")
		expectSQLState(err, "57014")
	})

	// Guards against session state that outlives its transaction or DISCARD ALL: tests
	// could then not detect a proxy that mixes up sessions.
	It("resets parameters and prepared statements", func() {
		show := func() string {
			var value string
			Expect(conn.QueryRow(ctx, "SHOW application_name", pgx.QueryExecModeSimpleProtocol).Scan(&value)).To(Succeed())
			return value
		}
		pg := conn.PgConn()
		run := func(sql string) {
			GinkgoHelper()
			_, err := pg.Exec(ctx, sql).ReadAll()
			Expect(err).NotTo(HaveOccurred())
		}
		run("BEGIN; SET application_name = 'rolled back'; ROLLBACK")
		Expect(show()).To(BeEmpty())
		run("BEGIN; SET LOCAL application_name = 'local'; COMMIT")
		Expect(show()).To(BeEmpty())
		run("SET application_name TO 'kept'")
		Expect(show()).To(Equal("kept"))
		Expect(pg.ParameterStatus("application_name")).To(Equal("kept"))
		_, err := pg.Prepare(ctx, "p", "SELECT 1", nil)
		Expect(err).NotTo(HaveOccurred())
		run("DISCARD ALL")
		Expect(show()).To(BeEmpty())
		expectSQLState(pg.ExecPrepared(ctx, "p", nil, nil, nil).Read().Err, "26000")
	})

	// Guards against malformed messages that crash the server.
	DescribeTable("answers malformed requests with an error", func(state string, messages ...pgproto3.FrontendMessage) {
		frontend := conn.PgConn().Frontend()
		for _, m := range append(messages, &pgproto3.Sync{}) {
			frontend.Send(m)
		}
		Expect(frontend.Flush()).To(Succeed())
		Eventually(func() string {
			msg, err := frontend.Receive()
			Expect(err).NotTo(HaveOccurred())
			if response, ok := msg.(*pgproto3.ErrorResponse); ok {
				return response.Code
			}
			return ""
		}).Should(Equal(state))
		Expect(connect(inst.Address()).Ping(ctx)).To(Succeed())
	},
		Entry("unknown statement", "26000", &pgproto3.Bind{PreparedStatement: "x"}),
		Entry("unknown portal", "34000", &pgproto3.Execute{Portal: "x"}),
		Entry("too few parameters", "08P01", &pgproto3.Parse{Query: "SELECT $1"}, &pgproto3.Bind{}),
		Entry("malformed number", "22P02", &pgproto3.Parse{Query: "SELECT $1::int8"}, &pgproto3.Bind{Parameters: [][]byte{[]byte("x")}}),
		Entry("two statements", "42601", &pgproto3.Parse{Query: "SELECT 1; SELECT 2"}),
		Entry("statement after an error", "42601", &pgproto3.Parse{Query: "SELEC"}, &pgproto3.Execute{}),
		Entry("unknown type", "42704", &pgproto3.Parse{Query: "SELECT $1", ParameterOIDs: []uint32{999999}},
			&pgproto3.Bind{Parameters: [][]byte{[]byte("x")}}),
		Entry("copy data", "08P01", &pgproto3.CopyData{Data: []byte("x")}),
	)

	// Guards against replicas that differ from the primary because now() and
	// random() are evaluated again when the commit is replayed.
	It("replays volatile functions with the same values", func() {
		g := startGroup(2)
		writer := connect(g.Primary().Address())
		_, err := writer.Exec(ctx, "CREATE TABLE v (id bigserial PRIMARY KEY, at timestamptz DEFAULT now(), r float8, u uuid)")
		Expect(err).NotTo(HaveOccurred())
		_, err = writer.Exec(ctx, "INSERT INTO v (r, u) SELECT random(), gen_random_uuid() FROM generate_series(1, 3) AS g")
		Expect(err).NotTo(HaveOccurred())
		read := func(c *pgx.Conn) []*pgconn.Result {
			GinkgoHelper()
			out, err := c.PgConn().Exec(ctx, "SELECT cluster_read_guard('1.1/3', 5000, -1); SELECT * FROM v ORDER BY id").ReadAll()
			Expect(err).NotTo(HaveOccurred())
			return out
		}
		Expect(read(connect(g.Instances[1].Address()))[1].Rows).To(Equal(read(writer)[1].Rows))
	})
})

// Guards against a statement that is prepared while its table is missing. It would
// keep wrong parameter types after the table is created, so that its reads match no
// row.
var _ = Describe("Parse", func() {
	It("rejects a table that does not exist and prepares the statement once it does", func(ctx SpecContext) {
		group, err := standin.NewGroup(1, standin.Config{})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(group.Close)
		conn, err := pgx.Connect(ctx, "postgres://"+standin.DefaultUser+"@"+group.Primary().Address()+"/db?sslmode=disable")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close, context.Background())
		const sql = "SELECT count(*) FROM readings WHERE session = $1"
		_, err = conn.PgConn().Prepare(ctx, "s", sql, nil)
		Expect(err).To(MatchError(ContainSubstring("42P01")))
		_, err = conn.Exec(ctx, "CREATE TABLE readings (session bigint)")
		Expect(err).NotTo(HaveOccurred())
		description, err := conn.PgConn().Prepare(ctx, "s", sql, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(description.ParamOIDs).To(Equal([]uint32{20}))
	})
})
