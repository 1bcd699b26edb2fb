package standin_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/backend/standin"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "10000")
	os.Exit(m.Run())
}

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "standin")
}

const password = "standin-password"

func startGroup(n int, change ...func(*standin.Config)) *standin.Group {
	GinkgoHelper()
	cfg := standin.Config{Password: password}
	for _, c := range change {
		c(&cfg)
	}
	g, err := standin.NewGroup(n, cfg)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(g.Close)
	return g
}

func connectionString(address, user string) string {
	return fmt.Sprintf("postgres://%s:%s@%s/db?sslmode=disable", user, password, address)
}

func connect(address string) *pgx.Conn {
	GinkgoHelper()
	conn, err := pgx.Connect(context.Background(), connectionString(address, standin.DefaultUser))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

var _ = Describe("SQL through pgx", func() {
	var conn *pgx.Conn
	ctx := context.Background()

	BeforeEach(func() {
		conn = connect(startGroup(1).Primary().Address())
		_, err := conn.Exec(ctx, `CREATE TABLE slots (id bigserial PRIMARY KEY, name text NOT NULL UNIQUE,
			n int, price double precision, ok boolean DEFAULT true, raw bytea,
			at timestamptz DEFAULT now(), day date, plain timestamp, doc jsonb)`)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against values that are changed by conversion to or from the text and
	// binary formats of the protocol.
	It("returns the values that were written", func() {
		at := time.Date(2026, 3, 4, 5, 6, 7, 8000, time.UTC)
		var id int64
		err := conn.QueryRow(ctx, `INSERT INTO slots (name, n, price, ok, raw, at, day, plain, doc)
			VALUES ($1, $2, $3, $4, $5, $6, $7, $8, $9) RETURNING id`,
			"a'b", int32(-5), 1.25, false, []byte{0, 1, 255}, at, at, at, map[string]int{"k": 1}).Scan(&id)
		Expect(err).NotTo(HaveOccurred())
		Expect(id).To(Equal(int64(1)))
		var (
			name          string
			n             int32
			price         float64
			ok            bool
			raw           []byte
			gotAt, day, p time.Time
			doc           map[string]int
		)
		err = conn.QueryRow(ctx, "SELECT name, n, price, ok, raw, at, day, plain, doc FROM slots WHERE id = $1", id).
			Scan(&name, &n, &price, &ok, &raw, &gotAt, &day, &p, &doc)
		Expect(err).NotTo(HaveOccurred())
		Expect([]any{name, n, price, ok, raw}).To(Equal([]any{"a'b", int32(-5), 1.25, false, []byte{0, 1, 255}}))
		Expect(gotAt).To(BeTemporally("==", at))
		Expect(p).To(BeTemporally("==", at))
		Expect(day).To(BeTemporally("==", at.Truncate(24*time.Hour)))
		Expect(doc).To(Equal(map[string]int{"k": 1}))
	})

	// Guards against a query execution mode of the driver that gives other results
	// than the rest.
	DescribeTable("supports the query execution modes of the driver", func(mode pgx.QueryExecMode) {
		at := time.Date(2026, 3, 4, 5, 6, 7, 0, time.UTC)
		for k := range 2 {
			_, err := conn.Exec(ctx, "INSERT INTO slots (name, n, ok, at, price) VALUES ($1, $2, $3, $4, $5)",
				mode, fmt.Sprint("s", k), k, true, at, 0.5)
			Expect(err).NotTo(HaveOccurred())
		}
		var name string
		var gotAt time.Time
		var price float64
		Expect(conn.QueryRow(ctx, "SELECT name, at, price FROM slots WHERE n >= $1 AND ok = $2 AND at <= $3 ORDER BY id DESC LIMIT $4",
			mode, 0, true, at, 1).Scan(&name, &gotAt, &price)).To(Succeed())
		Expect([]any{name, price}).To(Equal([]any{"s1", 0.5}))
		Expect(gotAt).To(BeTemporally("==", at))
	},
		Entry("cached statement", pgx.QueryExecModeCacheStatement),
		Entry("cached description", pgx.QueryExecModeCacheDescribe),
		Entry("description", pgx.QueryExecModeDescribeExec),
		Entry("types from the arguments", pgx.QueryExecModeExec),
		Entry("simple protocol", pgx.QueryExecModeSimpleProtocol),
	)

	// Guards against an SQL construct that is translated wrongly or not at all.
	DescribeTable("translates PostgreSQL's dialect", func(sql string, args []any, want any) {
		_, err := conn.Exec(ctx, "INSERT INTO slots (name, n) SELECT 'g' || g, g FROM generate_series(1, 5) AS g")
		Expect(err).NotTo(HaveOccurred())
		rows, err := conn.Query(ctx, sql, args...)
		Expect(err).NotTo(HaveOccurred())
		got, err := pgx.CollectRows(rows, pgx.RowTo[any])
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal([]any{want}))
	},
		Entry("aggregate", "SELECT count(*) FROM slots WHERE n > $1", []any{2}, int64(3)),
		Entry("comparison", "SELECT 1 < 2", nil, true),
		Entry("exists", "SELECT EXISTS (SELECT 1 FROM slots WHERE name = $1)", []any{"g9"}, false),
		Entry("cast", "SELECT $1::int8 + 1", []any{41}, int64(42)),
		Entry("list", "SELECT sum(n) FROM slots WHERE n IN ($1, $2)", []any{1, 4}, int64(5)),
		Entry("array", "SELECT sum(n) FROM slots WHERE n = ANY($1)", []any{"{1,2}"}, int64(3)),
		Entry("between", "SELECT count(n) FROM public.slots WHERE n BETWEEN $1 AND $2", []any{2, 4}, int64(3)),
		Entry("limit", "SELECT n FROM slots ORDER BY n DESC LIMIT $1", []any{1}, int32(5)),
		Entry("boolean column", "SELECT ok FROM slots WHERE n = 1", nil, true),
		Entry("upsert", "INSERT INTO slots (name, n) VALUES ($1, $2) ON CONFLICT (name) DO UPDATE SET n = excluded.n + 1 RETURNING n",
			[]any{"g1", 10}, int32(11)),
		Entry("current setting", "SELECT current_setting('TimeZone')", nil, "UTC"),
		Entry("series", "SELECT sum(x) FROM generate_series(1, 4) AS g(x)", nil, int64(10)),
	)
})
