package e2e_test

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/backend/standin"
)

func TestE2E(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "e2e")
}

var _ = Describe("Frontend with a group of stand-in instances", func() {
	var address string

	BeforeEach(func() {
		stack, err := newStack(standin.Settings{Lag: standin.Duration(30 * time.Millisecond)})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(stack.close)
		address = stack.address
	})

	connect := func() *pgx.Conn {
		conn, err := pgx.Connect(context.Background(), callerURL(address))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close, context.Background())
		return conn
	}

	// Guards against differences between the protocol implementations of the proxy
	// and of the instances.
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

	// Guards against a session that loses a prepared statement because a lagging
	// replica rejected it before the read was retried on the primary.
	It("keeps prepared statements that a lagging replica rejected", func(ctx SpecContext) {
		conn := connect()
		_, err := conn.Exec(ctx, "CREATE TABLE readings (depth bigint)")
		Expect(err).NotTo(HaveOccurred())
		for range 3 {
			var count int
			Expect(conn.QueryRow(ctx, "SELECT count(*) FROM readings WHERE depth = $1", int64(1)).Scan(&count)).To(Succeed())
		}
	}, NodeTimeout(30*time.Second))
})
