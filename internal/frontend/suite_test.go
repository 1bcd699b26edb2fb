package frontend_test

import (
	"context"
	"flag"
	"net"
	"os"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/xdg-go/scram"

	"github.com/bramleylever/bramleylever/internal/frontend"
	"github.com/bramleylever/bramleylever/internal/pool"
	"github.com/bramleylever/bramleylever/internal/records"
	"github.com/bramleylever/bramleylever/internal/topology"
	"github.com/bramleylever/bramleylever/position"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "10000")
	os.Exit(m.Run())
}

func TestFrontendSpecs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "frontend")
}

const (
	keySecret     = "secret-of-k1"
	proxyUser     = "proxy"
	proxyPassword = "proxy-password"
)

// testProxy is a proxy with a fake primary "a" and a fake replica "b" behind it.
type testProxy struct {
	primary, replica *fakeInstance
	feed             *records.Feed
	topology         *topology.Table
	server           *frontend.Server
	address          string
	registry         metrics.Registry
	snapshot         records.Snapshot
}

// newKey returns a key with SCRAM credentials for the secret.
func newKey(id, account, secret string) records.Key {
	client, err := scram.SHA256.NewClient(id, secret, "")
	if err != nil {
		panic(err)
	}
	factors := scram.KeyFactors{Salt: "0123456789abcdef", Iters: 4096}
	stored, err := client.GetStoredCredentialsWithError(factors)
	if err != nil {
		panic(err)
	}
	return records.Key{ID: id, Account: account, Salt: []byte(factors.Salt), Iterations: factors.Iters,
		StoredKey: stored.StoredKey, ServerKey: stored.ServerKey}
}

func term(epoch uint64) position.Term { return position.Term{Epoch: epoch, Sequence: 1} }

func newTestProxy(change ...func(*frontend.Config)) *testProxy {
	b := &testProxy{
		primary:  newFakeInstance("a", true),
		replica:  newFakeInstance("b", false),
		feed:     records.NewFeed(),
		topology: topology.NewTable(),
		registry: metrics.NewRegistry(),
	}
	b.snapshot = records.Snapshot{
		Revision: 1,
		Databases: map[string]records.Database{"db": {Name: "db", Instances: []records.Instance{
			{Name: "a", Address: b.primary.address(), Domain: "d1"},
			{Name: "b", Address: b.replica.address(), Domain: "d2"},
		}}},
		Accounts: map[string]records.Account{"acc": {Name: "acc", Weight: 1}, "public": {Name: "public", Weight: 1}},
		Keys:     map[string]records.Key{"k1": newKey("k1", "acc", keySecret)},
		Routes: map[string]records.Route{
			"orders": {Name: "orders", Database: "db", MaxStaleness: -1},
			"open":   {Name: "open", Database: "db", Open: true, Account: "public", MaxStaleness: -1},
		},
	}
	first := b.snapshot
	b.feed.Publish(&first)
	b.topology.Update(topology.Group{Database: "db", Term: term(1), Primary: "a"})
	cfg := frontend.Config{
		Domain:   "d1",
		Feed:     b.feed,
		Topology: b.topology,
		Pool:     pool.Config{Credentials: pool.Credentials{User: proxyUser, Password: proxyPassword}},
		Registry: b.registry,
		Seed:     1,
	}
	for _, c := range change {
		c(&cfg)
	}
	b.server = frontend.New(cfg)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	b.address = l.Addr().String()
	go func() { _ = b.server.Serve(l) }()
	return b
}

// publish changes a copy of the snapshot and publishes it as the next revision.
func (b *testProxy) publish(change func(*records.Snapshot)) {
	next := b.snapshot
	next.Revision++
	change(&next)
	b.snapshot = next
	b.feed.Publish(&next)
}

func (b *testProxy) close() {
	b.server.Close()
	b.primary.stop()
	b.replica.stop()
}

func (b *testProxy) dsn(user, password, route, extra string) string {
	return "postgres://" + user + ":" + password + "@" + b.address + "/" + route + "?sslmode=disable&connect_timeout=5" + extra
}

func (b *testProxy) connect(extra string) *pgx.Conn {
	conn, err := pgx.Connect(context.Background(), b.dsn("k1", keySecret, "orders", extra))
	Expect(err).NotTo(HaveOccurred())
	return conn
}

func (b *testProxy) counter(name string) int64 {
	c, ok := b.registry.Get(name).(metrics.Counter)
	if !ok {
		return 0
	}
	return c.Count()
}

func ctx() context.Context {
	c, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	_ = cancel
	return c
}

// sqlState returns the SQLSTATE of a database error, the text of any other error,
// and "" for nil.
func sqlState(err error) string {
	var pgErr *pgconn.PgError
	if ok := asPgError(err, &pgErr); ok {
		return pgErr.Code
	}
	if err != nil {
		return err.Error()
	}
	return ""
}

// queryValue runs a query that must succeed and returns its only value.
func queryValue(conn *pgx.Conn, sql string) string {
	var v string
	err := conn.QueryRow(ctx(), sql).Scan(&v)
	Expect(err).NotTo(HaveOccurred())
	return v
}

// exec runs a statement and returns the sqlState of its error.
func exec(conn *pgx.Conn, sql string) string {
	_, err := conn.Exec(ctx(), sql)
	return sqlState(err)
}
