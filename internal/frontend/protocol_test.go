package frontend_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"errors"
	"io"
	"math/big"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/frontend"
	"github.com/bramleylever/bramleylever/internal/pool"
	"github.com/bramleylever/bramleylever/internal/records"
)

func asPgError(err error, target **pgconn.PgError) bool { return errors.As(err, target) }

// rawCaller is a caller that can send any sequence of protocol messages.
type rawCaller struct {
	net net.Conn
	*pgproto3.Frontend
}

// dialRaw logs in as anonymous user on the open route and reads up to
// ReadyForQuery.
func (b *testProxy) dialRaw() *rawCaller {
	conn, err := net.Dial("tcp", b.address)
	Expect(err).NotTo(HaveOccurred())
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	c := &rawCaller{conn, pgproto3.NewFrontend(conn, conn)}
	c.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber,
		Parameters: map[string]string{"user": "anonymous", "database": "open"}})
	Expect(c.Flush()).To(Succeed())
	c.untilReady()
	return c
}

// untilReady reads up to ReadyForQuery or to the end of the connection and
// returns a summary of the messages: a word for each type, the SQLSTATE of
// errors, the tag of completed commands, and the transaction status or "end".
func (c *rawCaller) untilReady() string {
	var seen []string
	for {
		m, err := c.Receive()
		if err != nil {
			return strings.Join(append(seen, "end"), " ")
		}
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			seen = append(seen, m.Code)
		case *pgproto3.ReadyForQuery:
			return strings.Join(append(seen, string(m.TxStatus)), " ")
		case *pgproto3.CommandComplete:
			seen = append(seen, string(m.CommandTag))
		case *pgproto3.DataRow:
			seen = append(seen, "row")
		case *pgproto3.RowDescription:
			seen = append(seen, "columns")
		case *pgproto3.ParseComplete:
			seen = append(seen, "parsed")
		case *pgproto3.BindComplete:
			seen = append(seen, "bound")
		case *pgproto3.CloseComplete:
			seen = append(seen, "closed")
		case *pgproto3.EmptyQueryResponse:
			seen = append(seen, "empty")
		case *pgproto3.NoData:
			seen = append(seen, "nodata")
		case *pgproto3.ParameterDescription:
			seen = append(seen, "types")
		}
	}
}

// ask sends messages and returns the summary of untilReady.
func (c *rawCaller) ask(messages ...pgproto3.FrontendMessage) string {
	for _, m := range messages {
		c.Send(m)
	}
	Expect(c.Flush()).To(Succeed())
	return c.untilReady()
}

func query(sql string) *pgproto3.Query { return &pgproto3.Query{String: sql} }

func parse(name, sql string) *pgproto3.Parse { return &pgproto3.Parse{Name: name, Query: sql} }

func bind(name string) *pgproto3.Bind { return &pgproto3.Bind{PreparedStatement: name} }

func selfSigned() *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	Expect(err).NotTo(HaveOccurred())
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}
}

var _ = Describe("Protocol", func() {
	var b *testProxy
	BeforeEach(func() { b = newTestProxy() })
	AfterEach(func() { b.close() })

	// Guards against an answer that is matched with the wrong message in the
	// simple or the extended query protocol.
	It("relays simple and extended queries", func() {
		conn := b.connect("")
		defer conn.Close(ctx())
		Expect(queryValue(conn, "SELECT v FROM t")).To(Equal("b:0"))
		Expect(exec(conn, "INSERT INTO t VALUES (1)")).To(BeEmpty())
		Expect(conn.PgConn().ParameterStatus("bramleylever.session_position")).To(Equal("db=1.1/1"))
		Expect(queryValue(conn, "SELECT v FROM t")).To(Equal("a:1"))
		Expect(b.counter("frontend.write_answered_requests")).To(Equal(int64(1)))
	})

	// Guards against answers that are lost, duplicated or matched with the wrong
	// request, and against errors after which the following answers are matched
	// wrongly. After each case, the connection must still answer a query.
	DescribeTable("answers each message in order",
		func(expected string, messages ...pgproto3.FrontendMessage) {
			c := b.dialRaw()
			defer c.net.Close()
			Expect(c.ask(messages...)).To(Equal(expected))
			if !strings.HasSuffix(expected, "end") {
				c.ask(query("ROLLBACK"))
				Expect(c.ask(query("SELECT v FROM t"))).To(Equal("columns row SELECT 1 I"))
			}
		},
		Entry("empty query", "empty I", query(" -- nothing")),
		Entry("several statements", "columns row SELECT 1 columns row SELECT 1 I", query("SELECT 1; SELECT 2;")),
		Entry("write and read in one string", "INSERT 0 1 columns row SELECT 1 I", query("INSERT INTO t VALUES (1); SELECT 1")),
		Entry("block in one string", "BEGIN INSERT 0 1 COMMIT I", query("BEGIN; INSERT INTO t VALUES (1); COMMIT")),
		Entry("extended read", "parsed bound columns row SELECT 1 I",
			parse("", "SELECT 1"), bind(""), &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{}),
		Entry("extended write", "parsed bound nodata INSERT 0 1 I",
			parse("", "INSERT INTO t VALUES (1)"), bind(""), &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{}),
		Entry("two statements before one Sync", "parsed bound row SELECT 1 parsed bound row SELECT 1 I",
			parse("", "SELECT 1"), bind(""), &pgproto3.Execute{}, parse("", "SELECT 2"), bind(""), &pgproto3.Execute{}, &pgproto3.Sync{}),
		Entry("describe a statement", "parsed types columns I",
			parse("s", "SELECT 1"), &pgproto3.Describe{ObjectType: 'S', Name: "s"}, &pgproto3.Sync{}),
		Entry("close", "parsed closed closed I",
			parse("s", "SELECT 1"), &pgproto3.Close{ObjectType: 'S', Name: "s"}, &pgproto3.Close{ObjectType: 'P'}, &pgproto3.Sync{}),
		Entry("unknown statement", "26000 I", bind("none"), &pgproto3.Execute{}, &pgproto3.Sync{}),
		Entry("unknown portal", "34000 I", &pgproto3.Execute{Portal: "none"}, &pgproto3.Sync{}),
		Entry("Sync alone", "I", &pgproto3.Sync{}),
		Entry("COPY", "0A000 I", query("COPY t FROM STDIN")),
		Entry("stray copy messages", "I", &pgproto3.CopyData{Data: []byte("x")}, &pgproto3.CopyDone{}, &pgproto3.Sync{}),
		Entry("function call", "0A000 I", &pgproto3.FunctionCall{}),
		Entry("own setting", "SET I", query("SET bramleylever.max_staleness = '500ms'")),
		Entry("own setting, extended", "parsed bound nodata SET I",
			parse("", "SET bramleylever.idempotent = on"), bind(""), &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{}),
		Entry("unknown own setting", "42704 I", query("SET bramleylever.other = 1")),
		Entry("show own setting", "columns row SHOW I", query("SHOW bramleylever.session_position")),
		Entry("DISCARD ALL", "DISCARD ALL I", query("DISCARD ALL")),
		Entry("terminate", "end", &pgproto3.Terminate{}),
	)

	// Guards against a deadlock: after Flush, a caller may wait for the answers
	// before it sends Sync.
	It("answers at Flush and ends the implicit transaction at Sync", func() {
		c := b.dialRaw()
		defer c.net.Close()
		for _, m := range []pgproto3.FrontendMessage{parse("", "INSERT INTO t VALUES (1)"), bind(""), &pgproto3.Execute{}, &pgproto3.Flush{}} {
			c.Send(m)
		}
		Expect(c.Flush()).To(Succeed())
		for range 3 {
			_, err := c.Receive()
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(c.ask(&pgproto3.Sync{})).To(Equal("I"))
		Expect(c.ask(bind("gone"), &pgproto3.Flush{}, &pgproto3.Sync{})).To(Equal("26000 I"))
		Expect(c.ask(query("SELECT 1"))).To(HaveSuffix("I"))
	})

	// Guards against running statements that leave state on the shared backend
	// connection, against refusing others, and against SQL syntax that hides a
	// statement from the lexer.
	DescribeTable("refuses statements that cannot be isolated between sessions",
		func(sql, state string) {
			conn := b.connect("&default_query_exec_mode=simple_protocol")
			defer conn.Close(ctx())
			Expect(exec(conn, sql)).To(Equal(state))
			if state != "" {
				Expect(append(b.primary.queries(), b.replica.queries()...)).To(BeEmpty())
			}
		},
		Entry(nil, "LISTEN c", "0A000"),
		Entry(nil, "CREATE TEMP TABLE x (v int)", "0A000"),
		Entry(nil, "create /* a */ temporary view x as select 1", "0A000"),
		Entry(nil, "SELECT 1 INTO TEMP x", "0A000"),
		Entry(nil, "SELECT pg_advisory_lock(1)", "0A000"),
		Entry(nil, `SELECT "pg_try_advisory_lock"(1)`, "0A000"),
		Entry(nil, "SELECT pg_advisory_xact_lock(1)", ""),
		Entry(nil, "PREPARE p AS SELECT 1", "0A000"),
		Entry(nil, "EXECUTE p", "0A000"),
		Entry(nil, "DECLARE c CURSOR WITH HOLD FOR SELECT 1", "0A000"),
		Entry(nil, "COPY t TO STDOUT", "0A000"),
		Entry(nil, "SET work_mem = '1MB'", "0A000"),
		Entry(nil, "SET ROLE other", "0A000"),
		Entry(nil, "SELECT set_config('work_mem', '1MB', false)", "0A000"),
		Entry(nil, "SELECT set_config('work_mem', '1MB', true)", ""),
		Entry(nil, "SELECT 'LISTEN x'; LISTEN c", "0A000"),
		Entry(nil, "SELECT $a$;$a$, E'\\';', 1 /* ; /* ; */ */", ""),
		Entry(nil, "SET TimeZone = 'UTC'", ""),
		Entry(nil, "SET LOCAL work_mem = '1MB'", ""),
		Entry(nil, "SELECT 1; SET bramleylever.idempotent = on", "0A000"),
	)

	// Guards against using a prepared statement that exists only on another
	// pooled connection, and against connections that accumulate prepared
	// statements without limit.
	It("prepares statements on connections that lack them", func() {
		b.close()
		b = newTestProxy(func(c *frontend.Config) {
			c.Pool = pool.Config{Credentials: c.Pool.Credentials, MaxStatements: 2}
		})
		x, y := b.dialRaw(), b.dialRaw()
		defer x.net.Close()
		defer y.net.Close()
		for i, sql := range []string{"SELECT 1", "SELECT 2", "SELECT 3"} {
			name := string(rune('a' + i))
			Expect(x.ask(parse(name, sql), &pgproto3.Sync{})).To(Equal("parsed I"))
		}
		hold := b.dialRaw()
		defer hold.net.Close()
		Expect(hold.ask(query("BEGIN READ ONLY"))).To(Equal("BEGIN T"))
		for range 2 {
			for _, name := range []string{"a", "b", "c"} {
				Expect(x.ask(bind(name), &pgproto3.Execute{}, &pgproto3.Sync{})).To(Equal("bound row SELECT 1 I"))
			}
		}
		Expect(y.ask(parse("a", "SELECT 1"), bind("a"), &pgproto3.Execute{}, &pgproto3.Sync{})).To(Equal("parsed bound row SELECT 1 I"))
		Expect(x.ask(parse("a", "SELECT 9"), &pgproto3.Sync{})).To(Equal("42P05 I"))
		Expect(x.ask(query("DEALLOCATE ALL"))).To(Equal("DEALLOCATE ALL I"))
		Expect(x.ask(bind("a"), &pgproto3.Sync{})).To(Equal("26000 I"))
	})

	// Guards against malformed input that crashes the proxy, or that closes the
	// connection without an error message.
	DescribeTable("refuses malformed input",
		func(raw []byte, expected string) {
			c := b.dialRaw()
			defer c.net.Close()
			_, err := c.net.Write(raw)
			Expect(err).NotTo(HaveOccurred())
			Expect(c.untilReady()).To(Equal(expected))
			again := b.dialRaw()
			defer again.net.Close()
			Expect(again.ask(query("SELECT 1"))).To(HaveSuffix("I"))
		},
		Entry("unknown type", []byte{'!', 0, 0, 0, 4}, "08P01 end"),
		Entry("length below the minimum", []byte{'Q', 0, 0, 0, 1}, "08P01 end"),
		Entry("length above the limit", []byte{'Q', 0x7f, 0, 0, 0}, "54000 end"),
		Entry("unterminated string", []byte{'Q', 0, 0, 0, 5, 'x'}, "08P01 end"),
		Entry("Bind without names", []byte{'B', 0, 0, 0, 4}, "08P01 end"),
		Entry("Describe of neither a statement nor a portal", []byte{'D', 0, 0, 0, 6, 'X', 0}, "08P01 end"),
		Entry("Parse with too many types", []byte{'P', 0, 0, 0, 9, 0, 0, 0xff, 0xff, 0}, "08P01 end"),
	)

	// Guards against running the part of a message that arrived before the
	// caller disconnected.
	It("does not run a truncated message", func() {
		c := b.dialRaw()
		_, _ = c.net.Write([]byte{'Q', 0, 0, 0, 40, 'I', 'N', 'S', 'E', 'R', 'T'})
		c.net.Close()
		Eventually(b.server.Sessions).Should(BeZero())
		Expect(b.primary.queries()).To(BeEmpty())
	})

	// Guards against large messages being truncated at buffer boundaries in
	// either direction.
	It("relays large requests and answers", func() {
		b.replica.set(func() {
			b.replica.onQuery = func(_ *fakeConn, sql string) ([]pgproto3.BackendMessage, bool) {
				return []pgproto3.BackendMessage{column("v"), row(sql), complete("SELECT 1")}, !strings.Contains(sql, "cluster_")
			}
		})
		conn := b.connect("&default_query_exec_mode=simple_protocol")
		defer conn.Close(ctx())
		for _, size := range []int{500, 5000, 16300, 17000, 3 << 20} {
			sql := "SELECT '" + strings.Repeat("x", size) + "'"
			Expect(queryValue(conn, sql)).To(Equal(sql))
		}
	})

	// Guards against start-up options being ignored or parsed incorrectly.
	DescribeTable("reads start-up options",
		func(extra, show, expected string) {
			conn := b.connect(extra)
			defer conn.Close(ctx())
			Expect(queryValue(conn, "SHOW bramleylever."+show)).To(Equal(expected))
		},
		Entry("-c", "&options=-c%20bramleylever.max_staleness%3D2s", "max_staleness", "2s"),
		Entry("--", "&options=--bramleylever.session_id%3Dmy%5C%20id", "session_id", "my id"),
		Entry("own parameter", "&bramleylever.session_position=db%3D1.1%2F4", "session_position", "db=1.1/4"),
		Entry("default", "", "idempotent", "off"),
	)

	DescribeTable("refuses invalid start-up messages",
		func(user, password, route, extra, state string) {
			_, err := pgx.Connect(ctx(), b.dsn(user, password, route, extra))
			Expect(sqlState(err)).To(Equal(state))
		},
		Entry("untracked parameter", "k1", keySecret, "orders", "&work_mem=1MB", "0A000"),
		Entry("malformed position", "k1", keySecret, "orders", "&bramleylever.session_position=x", "22023"),
		Entry("unknown route", "k1", keySecret, "none", "", "3D000"),
		Entry("replication", "k1", keySecret, "orders", "&replication=database", "0A000"),
	)

	// Guards against encryption requests that get no answer or the wrong one,
	// without and with TLS configured.
	It("negotiates encryption", func() {
		conn, err := net.Dial("tcp", b.address)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		for _, code := range []uint32{80877104, 80877103} {
			_, _ = conn.Write(binary.BigEndian.AppendUint32([]byte{0, 0, 0, 8}, code))
			answer := make([]byte, 1)
			_, err = io.ReadFull(conn, answer)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(answer)).To(Equal("N"))
		}
		b.close()
		b = newTestProxy(func(c *frontend.Config) { c.TLS = selfSigned() })
		secure, err := pgx.Connect(ctx(), strings.Replace(b.dsn("k1", keySecret, "orders", ""), "disable", "require", 1))
		Expect(err).NotTo(HaveOccurred())
		defer secure.Close(ctx())
		Expect(queryValue(secure, "SELECT 1")).To(Equal("b:0"))
	})

	// Guards against a session's parameters reaching another caller.
	It("sets tracked parameters per session", func() {
		x, y := b.connect("&application_name=x"), b.connect("")
		defer x.Close(ctx())
		defer y.Close(ctx())
		queryValue(x, "SELECT 1")
		Expect(b.replica.queries()).To(ContainElement("SET application_name TO 'x'"))
		queryValue(y, "SELECT 1")
		Expect(b.replica.queries()).To(ContainElement("SET application_name TO DEFAULT"))
		Expect(exec(x, "SET search_path TO a, \"B c\"")).To(BeEmpty())
		queryValue(y, "SELECT 1")
		queryValue(x, "SELECT 1")
		Expect(b.replica.queries()).To(ContainElement("SET search_path TO 'a', 'B c'"))
	})

	// Guards against a cancel request that cancels another caller's statement.
	It("cancels only the session's own running request", func() {
		running := make(chan struct{}, 1)
		finish := make(chan struct{})
		b.replica.set(func() {
			b.replica.onQuery = func(_ *fakeConn, sql string) ([]pgproto3.BackendMessage, bool) {
				if sql == "SELECT slow" {
					running <- struct{}{}
					<-finish
				}
				return nil, false
			}
		})
		conn := b.connect("&default_query_exec_mode=simple_protocol")
		defer conn.Close(ctx())
		Expect(conn.PgConn().CancelRequest(ctx())).To(Succeed())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = conn.Exec(ctx(), "SELECT slow")
		}()
		<-running
		Expect(b.replica.queries()).NotTo(ContainElement(HavePrefix("CANCEL")))
		other := b.connect("")
		defer other.Close(ctx())
		Expect(other.PgConn().CancelRequest(ctx())).To(Succeed())
		Expect(b.replica.queries()).NotTo(ContainElement(HavePrefix("CANCEL")))
		Expect(conn.PgConn().CancelRequest(ctx())).To(Succeed())
		Eventually(b.replica.queries).Should(ContainElement("CANCEL 7"))
		close(finish)
		<-done
	})

	// Guards against a new snapshot ending sessions that it does not concern.
	It("keeps sessions open when an unrelated part of the configuration changes", func() {
		conn := b.connect("")
		defer conn.Close(ctx())
		b.publish(func(*records.Snapshot) {})
		Expect(queryValue(conn, "SELECT 1")).To(Equal("b:0"))
	})
})
