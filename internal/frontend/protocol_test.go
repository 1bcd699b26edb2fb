package frontend_test

import (
	"errors"

	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/records"
)

func asPgError(err error, target **pgconn.PgError) bool { return errors.As(err, target) }

var _ = Describe("Protocol", func() {
	var b *bench
	BeforeEach(func() { b = newBench() })
	AfterEach(func() { b.close() })

	// Guards against broken message matching in either query protocol.
	It("relays simple and extended queries", func() {
		conn := b.connect("")
		defer conn.Close(ctx())
		Expect(one(conn, "SELECT v FROM t")).To(Equal("b:0"))
		Expect(exec(conn, "INSERT INTO t VALUES (1)")).To(BeEmpty())
		Expect(conn.PgConn().ParameterStatus("bramleylever.session_position")).To(Equal("db=1.1/1"))
		Expect(one(conn, "SELECT v FROM t")).To(Equal("a:1"))
		Expect(b.primary.queries()).To(ContainElement("INSERT INTO t VALUES (1)"))
	})

	// Guards against an unread message of a withdrawn or changed configuration
	// blocking sessions, and against wrong counting of requests by class.
	It("counts requests by class", func() {
		conn := b.connect("")
		defer conn.Close(ctx())
		b.publish(func(*records.Snapshot) {})
		Expect(exec(conn, "INSERT INTO t VALUES (1)")).To(BeEmpty())
		Expect(b.counter("frontend.write_answered_requests")).To(Equal(int64(1)))
	})
})
