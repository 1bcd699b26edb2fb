package e2e_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/bramleylever/bramleylever/internal/backend/standin"
)

// Limit and Report implement pool.Budget with a constant limit.
func (f fixedBudget) Limit(string, time.Time) int { return f.limit }

func (f fixedBudget) Report(string, int, int) {}

// BenchmarkReadDirect and BenchmarkReadProxy run the same point read over 64
// connections, directly to an instance and through a proxy in front of three
// instances.
func BenchmarkReadDirect(b *testing.B) {
	s := benchStack(b)
	runStatements(b, "postgres://"+standin.DefaultUser+":"+backendPassword+"@"+
		s.group.Primary().Address()+"/ledger1?sslmode=disable", 64, readRow)
}

func BenchmarkReadProxy(b *testing.B) {
	s := benchStack(b)
	runStatements(b, callerURL(s.address), 64, readRow)
}

// BenchmarkReadDirectSerial and BenchmarkReadProxySerial measure the latency over
// one connection.
func BenchmarkReadDirectSerial(b *testing.B) {
	s := benchStack(b)
	runStatements(b, "postgres://"+standin.DefaultUser+":"+backendPassword+"@"+
		s.group.Primary().Address()+"/ledger1?sslmode=disable", 1, readRow)
}

func BenchmarkReadProxySerial(b *testing.B) {
	s := benchStack(b)
	runStatements(b, callerURL(s.address), 1, readRow)
}

func BenchmarkWriteProxySerial(b *testing.B) {
	s := benchStack(b)
	next := 1000
	runStatements(b, callerURL(s.address), 1, func(ctx context.Context, conn *pgx.Conn) error {
		next++
		_, err := conn.Exec(ctx, "INSERT INTO slots VALUES ($1, 'grower')", next)
		return err
	})
}

func readRow(ctx context.Context, conn *pgx.Conn) error {
	var grower string
	return conn.QueryRow(ctx, "SELECT grower FROM slots WHERE id = $1", 7).Scan(&grower)
}

func benchStack(b *testing.B) *stack {
	b.Helper()
	s, err := newStack(standin.Settings{}, fixedBudget{limit: 64})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.close)
	ctx := context.Background()
	conn, err := pgx.Connect(ctx, callerURL(s.address))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close(ctx) }()
	if _, err := conn.Exec(ctx, "CREATE TABLE slots (id bigint PRIMARY KEY, grower text)"); err != nil {
		b.Fatal(err)
	}
	for id := range 100 {
		if _, err := conn.Exec(ctx, fmt.Sprintf("INSERT INTO slots VALUES (%d, 'grower')", id)); err != nil {
			b.Fatal(err)
		}
	}
	return s
}

// runStatements runs b.N statements, divided evenly among the connections, and
// reports the median latency.
func runStatements(b *testing.B, url string, connections int, statement func(context.Context, *pgx.Conn) error) {
	ctx := context.Background()
	conns := make([]*pgx.Conn, connections)
	for k := range conns {
		conn, err := pgx.Connect(ctx, url)
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = conn.Close(ctx) }()
		if err := statement(ctx, conn); err != nil {
			b.Fatal(err)
		}
		conns[k] = conn
	}
	latencies := make([][]time.Duration, connections)
	var group sync.WaitGroup
	b.ResetTimer()
	for k, conn := range conns {
		count := b.N / connections
		if k < b.N%connections {
			count++
		}
		group.Go(func() {
			for range count {
				start := time.Now()
				if err := statement(ctx, conn); err != nil {
					b.Error(err)
					return
				}
				latencies[k] = append(latencies[k], time.Since(start))
			}
		})
	}
	group.Wait()
	b.StopTimer()
	all := slices.Concat(latencies...)
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "us/median")
}
