// Package e2e tests the parts together: callers, proxies, instances and the
// platform store.
package e2e_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/xdg-go/scram"

	"github.com/bramleylever/bramleylever/internal/backend/standin"
	"github.com/bramleylever/bramleylever/internal/frontend"
	"github.com/bramleylever/bramleylever/internal/pool"
	"github.com/bramleylever/bramleylever/internal/records"
	"github.com/bramleylever/bramleylever/internal/topology"
	"github.com/bramleylever/bramleylever/position"
)

func TestE2E(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "e2e")
}

func verifier(id, account, secret string) records.Key {
	client, err := scram.SHA256.NewClient(id, secret, "")
	Expect(err).NotTo(HaveOccurred())
	factors := scram.KeyFactors{Salt: "0123456789abcdef", Iters: 4096}
	stored, err := client.GetStoredCredentialsWithError(factors)
	Expect(err).NotTo(HaveOccurred())
	return records.Key{ID: id, Account: account, Salt: []byte(factors.Salt), Iterations: factors.Iters,
		StoredKey: stored.StoredKey, ServerKey: stored.ServerKey}
}

var _ = Describe("Frontend with a group of stand-ins", func() {
	var (
		group   *standin.Group
		address string
	)

	BeforeEach(func() {
		var err error
		group, err = standin.NewGroup(3, standin.Config{Password: "p", Settings: standin.Settings{
			Lag: standin.Duration(30 * time.Millisecond)}})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(group.Close)
		database := records.Database{Name: "ledger1", ConnectionLimit: 20}
		for k, in := range group.Instances {
			database.Instances = append(database.Instances, records.Instance{
				Name: in.Name(), Address: in.Address(), Domain: string(rune('a' + k))})
		}
		feed := records.NewFeed()
		feed.Publish(&records.Snapshot{
			Revision:  1,
			Databases: map[string]records.Database{"ledger1": database},
			Accounts:  map[string]records.Account{"clerks": {Name: "clerks", Weight: 1}},
			Keys:      map[string]records.Key{"k1": verifier("k1", "clerks", "secret")},
			Routes:    map[string]records.Route{"ledger1": {Name: "ledger1", Database: "ledger1", MaxStaleness: -1}},
		})
		table := topology.NewTable()
		table.Update(topology.Group{Database: "ledger1", Primary: group.Primary().Name(),
			Term: position.Term{Epoch: 1, Sequence: 1}})
		server := frontend.New(frontend.Config{Domain: "a", Feed: feed, Topology: table,
			Pool: pool.Config{Credentials: pool.Credentials{User: standin.DefaultUser, Password: "p"}}})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = listener.Addr().String()
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
	})

	connect := func() *pgx.Conn {
		conn, err := pgx.Connect(context.Background(), "postgres://k1:secret@"+address+"/ledger1?sslmode=disable")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close, context.Background())
		return conn
	}

	// Guards against an instance and a proxy that understand the protocol
	// differently.
	It("runs statements and transactions and reads its own writes", func(ctx SpecContext) {
		conn := connect()
		_, err := conn.Exec(ctx, "CREATE TABLE slots (id bigint PRIMARY KEY, grower text)")
		Expect(err).NotTo(HaveOccurred())
		for id := range 20 {
			_, err = conn.Exec(ctx, "INSERT INTO slots VALUES ($1, $2)", id, "grower")
			Expect(err).NotTo(HaveOccurred())
			var count int
			Expect(conn.QueryRow(ctx, "SELECT count(*) FROM slots").Scan(&count)).To(Succeed())
			Expect(count).To(Equal(id + 1))
		}
		tx, err := conn.Begin(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec(ctx, "DELETE FROM slots")
		Expect(err).NotTo(HaveOccurred())
		Expect(tx.Rollback(ctx)).To(Succeed())
		var count int
		Expect(conn.QueryRow(ctx, "SELECT count(*) FROM slots").Scan(&count)).To(Succeed())
		Expect(count).To(Equal(20))
		_, err = conn.Exec(ctx, "INSERT INTO slots VALUES (1, 'twice')")
		Expect(err).To(MatchError(ContainSubstring("23505")))
	}, NodeTimeout(30*time.Second))
})
