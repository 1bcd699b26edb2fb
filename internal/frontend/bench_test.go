package frontend_test

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/frontend"
	"github.com/bramleylever/bramleylever/internal/pool"
	"github.com/bramleylever/bramleylever/internal/records"
	"github.com/bramleylever/bramleylever/internal/topology"
)

// fixedReplyInstance starts a server that answers every simple query with the
// same bytes, so that benchmarks measure the proxy and not the instance.
func fixedReplyInstance(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveFixedReply(conn)
		}
	}()
	return l.Addr().String()
}

func serveFixedReply(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	header := make([]byte, 5)
	if _, err := io.ReadFull(in, header[:4]); err != nil {
		return
	}
	_, _ = in.Discard(int(binary.BigEndian.Uint32(header)) - 4)
	ready, _ := (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(nil)
	startupReply, _ := (&pgproto3.AuthenticationOk{}).Encode(nil)
	startupReply, _ = (&pgproto3.ParameterStatus{Name: "applied_position", Value: "1.1/5"}).Encode(startupReply)
	_, _ = conn.Write(append(startupReply, ready...))
	rows, _ := column("v").Encode(nil)
	rows, _ = row("value").Encode(rows)
	rows, _ = complete("SELECT 1").Encode(rows)
	rows = append(rows, ready...)
	for {
		if _, err := io.ReadFull(in, header); err != nil {
			return
		}
		if _, err := in.Discard(int(binary.BigEndian.Uint32(header[1:])) - 4); err != nil {
			return
		}
		if header[0] == 'Q' {
			if _, err := conn.Write(rows); err != nil {
				return
			}
		}
	}
}

func benchProxy(b *testing.B, connections int) string {
	address := fixedReplyInstance(b)
	feed := records.NewFeed()
	feed.Publish(&records.Snapshot{
		Revision: 1,
		Databases: map[string]records.Database{"db": {Name: "db", Instances: []records.Instance{
			{Name: "a", Address: address}, {Name: "b", Address: address}, {Name: "c", Address: address}}}},
		Routes: map[string]records.Route{"open": {Name: "open", Database: "db", Open: true, Account: "public", MaxStaleness: -1}},
	})
	table := topology.NewTable()
	table.Update(topology.Group{Database: "db", Term: term(1), Primary: "a"})
	server := frontend.New(frontend.Config{Feed: feed, Topology: table, LogEvery: 0,
		Pool:    pool.Config{Budget: fixedBudget(connections)},
		Limiter: limiterFunc(func(string) bool { return true })})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(l) }()
	b.Cleanup(server.Close)
	return l.Addr().String()
}

// benchCaller sends the same query repeatedly and reads each answer without
// allocating.
type benchCaller struct {
	net     net.Conn
	request []byte
	answer  []byte
}

func newBenchCaller(address string) *benchCaller {
	conn, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	startup, _ := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber,
		Parameters: map[string]string{"user": "anonymous", "database": "open"}}).Encode(nil)
	_, _ = conn.Write(startup)
	fe := pgproto3.NewFrontend(conn, conn)
	for {
		m, err := fe.Receive()
		Expect(err).NotTo(HaveOccurred())
		if _, ok := m.(*pgproto3.ReadyForQuery); ok {
			break
		}
	}
	request, _ := query("SELECT v FROM t WHERE k = 1").Encode(nil)
	c := &benchCaller{net: conn, request: request, answer: make([]byte, 4096)}
	return c
}

func (c *benchCaller) roundTrip(b *testing.B) {
	if _, err := c.net.Write(c.request); err != nil {
		b.Fatal(err)
	}
	for got := 0; ; {
		n, err := c.net.Read(c.answer[got:])
		if err != nil {
			b.Fatal(err)
		}
		got += n
		if got >= 6 && c.answer[got-6] == 'Z' && c.answer[got-1] == 'I' {
			return
		}
	}
}

// BenchmarkRead measures sequential reads on one session. The allocations are
// those of the whole process; the instance and the caller allocate nothing.
func BenchmarkRead(b *testing.B) {
	RegisterTestingT(b)
	run := func(address string) func(*testing.B) {
		return func(b *testing.B) {
			c := newBenchCaller(address)
			defer c.net.Close()
			c.roundTrip(b)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				c.roundTrip(b)
			}
		}
	}
	b.Run("direct", run(fixedReplyInstance(b)))
	b.Run("proxy", run(benchProxy(b, 4)))
}

// BenchmarkReadParallel measures reads on 64 sessions, with as many backend
// connections as sessions and with fewer.
func BenchmarkReadParallel(b *testing.B) {
	RegisterTestingT(b)
	run := func(address string) func(*testing.B) {
		return func(b *testing.B) {
			b.SetParallelism((64 + runtime.GOMAXPROCS(0) - 1) / runtime.GOMAXPROCS(0))
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				c := newBenchCaller(address)
				defer c.net.Close()
				for pb.Next() {
					c.roundTrip(b)
				}
			})
		}
	}
	b.Run("direct", run(fixedReplyInstance(b)))
	b.Run("proxy", run(benchProxy(b, 64)))
	b.Run("proxy, 8 connections", run(benchProxy(b, 4)))
}

// BenchmarkIdle measures the memory of a connection that is idle after one
// statement. It includes goroutine stacks and the caller's end of the
// connection, which is in the same process.
func BenchmarkIdle(b *testing.B) {
	RegisterTestingT(b)
	address := benchProxy(b, 4)
	const callers = 2000
	for range b.N {
		before := residentBytes()
		conns := make([]net.Conn, callers)
		for i := range conns {
			c := newBenchCaller(address)
			c.roundTrip(b)
			conns[i] = c.net
		}
		b.ReportMetric(float64(residentBytes()-before)/callers, "B/connection")
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

func residentBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
