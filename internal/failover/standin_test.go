package failover

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/internal/backend/standin"
	"github.com/bramleylever/bramleylever/internal/records"
	"github.com/bramleylever/bramleylever/internal/topology"
)

// startStandinGroup starts three instances without a primary and a runner that coordinates
// them over the PostgreSQL protocol.
func startStandinGroup(t *testing.T) (map[string]*standin.Instance, *Runner, *topology.Table) {
	t.Helper()
	group, err := standin.StartInstances([]string{"127.0.0.1", "127.0.0.1", "127.0.0.1"}, standin.Config{Name: "i"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(group.Close)
	instances := map[string]*standin.Instance{}
	db := records.Database{Name: "ledger"}
	for _, in := range group.Instances {
		instances[in.Name()] = in
		db.Instances = append(db.Instances, records.Instance{Name: in.Name(), Address: in.Address(), Domain: "d-" + in.Name()})
	}
	table := topology.NewTable()
	r := newSingleHostRunner(nil, table)
	r.options.Dialer = backend.PGDialer{}
	r.probeConns, r.coordinatorConns = newControlConns(r.options.Dialer), newControlConns(r.options.Dialer)
	r.options.Feed.Publish(&records.Snapshot{Revision: 2, Databases: map[string]records.Database{"ledger": db}})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = r.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return instances, r, table
}

func execute(in *standin.Instance, sql ...string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://%s@%s/db?sslmode=disable", standin.DefaultUser, in.Address()))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	for _, statement := range sql {
		if _, err := conn.Exec(ctx, statement); err != nil {
			return err
		}
	}
	return nil
}

func countRows(in *standin.Instance) (count int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://%s@%s/db?sslmode=disable", standin.DefaultUser, in.Address()))
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close(ctx) }()
	err = conn.QueryRow(ctx, "SELECT count(*) FROM t WHERE id IN (1, 2)").Scan(&count)
	return count, err
}

// Guards against control calls that do not match the statements of an instance, in a
// failover, for an old primary that returns, and in a switchover.
func TestPromise2OverPostgreSQL(t *testing.T) {
	t.Run("Promise 2: an acknowledged write survives a failover and a switchover", func(t *testing.T) {
		g := NewWithT(t)
		instances, r, table := startStandinGroup(t)
		primary := func() string {
			group, _ := table.Group("ledger")
			return group.Primary
		}
		following := func() int {
			count := 0
			for _, in := range instances {
				if s := in.Status(); s.Role == backend.RoleReplica && s.Received == instances[primary()].Status().Received {
					count++
				}
			}
			return count
		}
		g.Eventually(primary, "10s").ShouldNot(BeEmpty())
		g.Eventually(following, "10s").Should(Equal(2))
		first := primary()
		const wait = "SELECT cluster_wait_replicated('last', 4000)"
		g.Expect(execute(instances[first], "CREATE TABLE t (id bigint)", "INSERT INTO t VALUES (1)", wait)).To(Succeed())

		instances[first].Freeze()
		g.Eventually(primary, "10s").ShouldNot(Equal(first))
		second := primary()
		g.Eventually(func() error { return execute(instances[second], "INSERT INTO t VALUES (2)", wait) }, "10s").Should(Succeed())
		instances[first].Thaw()
		g.Eventually(following, "10s").Should(Equal(2))

		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		done, err := r.RequestSwitchover(ctx, "ledger", first)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(done.Done).To(BeTrue(), done.Reason)
		g.Expect(primary()).To(Equal(first))
		g.Eventually(following, "10s").Should(Equal(2))
		g.Expect(countRows(instances[first])).To(Equal(2))
	})
}
