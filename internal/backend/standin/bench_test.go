package standin_test

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/bramleylever/bramleylever/internal/backend/standin"
)

// benchmarkStatements runs sql, followed by the statements in after, once per
// iteration on parallel connections to the primary of a group.
func benchmarkStatements(b *testing.B, instances int, sql string, after ...string) {
	ctx := context.Background()
	g, err := standin.NewGroup(instances, standin.Config{RecordLimit: -1})
	if err != nil {
		b.Fatal(err)
	}
	defer g.Close()
	url := connectionString(g.Primary().Address(), standin.DefaultUser)
	setup, err := pgx.Connect(ctx, url)
	if err != nil {
		b.Fatal(err)
	}
	defer setup.Close(ctx)
	for _, text := range []string{
		"CREATE TABLE bench (id bigint PRIMARY KEY, n bigint)",
		"INSERT INTO bench SELECT g, 0 FROM generate_series(0, 999) AS g",
	} {
		if _, err := setup.Exec(ctx, text); err != nil {
			b.Fatal(err)
		}
	}
	b.SetParallelism(2)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		conn, err := pgx.Connect(ctx, url)
		if err != nil {
			b.Error(err)
			return
		}
		defer conn.Close(ctx)
		for k := int64(0); pb.Next(); k++ {
			if _, err := conn.Exec(ctx, sql, k%1000); err != nil {
				b.Error(err)
				return
			}
			for _, next := range after {
				if _, err := conn.Exec(ctx, next); err != nil {
					b.Error(err)
					return
				}
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "statements/s")
}

func BenchmarkRead(b *testing.B) {
	benchmarkStatements(b, 1, "SELECT n FROM bench WHERE id = $1")
}

func BenchmarkWrite(b *testing.B) {
	benchmarkStatements(b, 1, "UPDATE bench SET n = n + 1 WHERE id = $1")
}

func BenchmarkWriteGroupOf3(b *testing.B) {
	benchmarkStatements(b, 3, "UPDATE bench SET n = n + 1 WHERE id = $1")
}

// BenchmarkAcknowledgedWrite waits after each update until a majority has received
// it. The wait is a separate statement and adds a round trip.
func BenchmarkAcknowledgedWrite(b *testing.B) {
	benchmarkStatements(b, 3, "UPDATE bench SET n = n + 1 WHERE id = $1", "SELECT cluster_wait_replicated('last', 5000)")
}
