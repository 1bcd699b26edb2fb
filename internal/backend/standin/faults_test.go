package standin_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/internal/backend/standin"
)

const (
	eventuallyTimeout    = 5 * time.Second
	consistentlyDuration = 100 * time.Millisecond
)

// expectSQLState expects an error with the given SQLSTATE.
func expectSQLState(err error, state string) {
	GinkgoHelper()
	var refusal *pgconn.PgError
	Expect(err).To(HaveOccurred())
	Expect(errors.As(err, &refusal)).To(BeTrue(), "%v", err)
	Expect(refusal.Code).To(Equal(state), refusal.Message)
}

func settings(s standin.Settings) func(*standin.Config) {
	return func(cfg *standin.Config) { cfg.Settings = s }
}

// async runs a query in the background and returns a channel with its error.
func async(conn *pgx.Conn, sql string) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), sql)
		done <- err
	}()
	return done
}

var _ = Describe("Limits", func() {
	ctx := context.Background()

	// Guards against data connections that use up the slots of control connections.
	It("refuses data connections above the limit and keeps slots for control", func() {
		i := startGroup(1, settings(standin.Settings{ConnectionLimit: 2})).Primary()
		connect(i.Address())
		second := connect(i.Address())
		_, err := pgx.Connect(ctx, connectionString(i.Address(), standin.DefaultUser))
		expectSQLState(err, backend.SQLStateTooManyConnections)
		for range standin.ControlSlots {
			conn, err := pgx.Connect(ctx, connectionString(i.Address(), backend.ControlUser))
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close, ctx)
		}
		_, err = pgx.Connect(ctx, connectionString(i.Address(), backend.ControlUser))
		expectSQLState(err, backend.SQLStateTooManyConnections)
		Expect(i.Status().Connections).To(Equal(2))
		Expect(second.Close(ctx)).To(Succeed())
		Eventually(func() int { return i.Status().Connections }, eventuallyTimeout).Should(Equal(1))
		connect(i.Address())
		Expect(i.Counters().RefusedConnections).To(Equal(uint64(2)))
	})

	// Guards against a connection that is usable before the connection cost has
	// elapsed.
	It("completes authentication after the connection cost", func() {
		i := startGroup(1, settings(standin.Settings{ConnectionCost: standin.Duration(time.Hour)})).Primary()
		short, cancel := context.WithTimeout(ctx, consistentlyDuration)
		defer cancel()
		_, err := pgx.Connect(short, connectionString(i.Address(), standin.DefaultUser))
		Expect(err).To(HaveOccurred())
		Expect(i.Counters().Connections).To(Equal(uint64(1)), "a connection is counted while it authenticates")
		Expect(i.Update(func(s *standin.Settings) { s.ConnectionCost = 0 })).To(Succeed())
		connect(i.Address())
	})

	// Guards against a stand-in that accepts any user or password.
	DescribeTable("checks the user and the password", func(user, pass string) {
		i := startGroup(1).Primary()
		_, err := pgx.Connect(ctx, fmt.Sprintf("postgres://%s:%s@%s/db?sslmode=disable", user, pass, i.Address()))
		expectSQLState(err, "28P01")
	},
		Entry("wrong password", standin.DefaultUser, "wrong"),
		Entry("wrong password of control", backend.ControlUser, "wrong"),
		Entry("unknown user", "somebody", password),
	)

	// Guards against more statements running at once than there are slots, and against
	// a slot that stays occupied after its statement was canceled.
	It("runs only as many statements at once as there are slots", func() {
		i := startGroup(1, settings(standin.Settings{Slots: 1})).Primary()
		first := connect(i.Address())
		sleeping := async(first, "SELECT pg_sleep(60)")
		Eventually(i.RunningStatements, eventuallyTimeout).Should(Equal(1))
		waiting := async(connect(i.Address()), "SELECT 1")
		Consistently(waiting, consistentlyDuration).ShouldNot(Receive())
		Expect(first.PgConn().CancelRequest(ctx)).To(Succeed())
		Eventually(sleeping, eventuallyTimeout).Should(Receive(HaveOccurred()))
		Eventually(waiting, eventuallyTimeout).Should(Receive(BeNil()))
	})

	// Guards against statements that keep waiting after slots were added.
	It("lets waiting statements run when slots are added", func() {
		i := startGroup(1, settings(standin.Settings{Slots: 1})).Primary()
		first := connect(i.Address())
		sleeping := async(first, "SELECT pg_sleep(60)")
		Eventually(i.RunningStatements, eventuallyTimeout).Should(Equal(1))
		waiting := async(connect(i.Address()), "SELECT 1")
		Consistently(waiting, consistentlyDuration).ShouldNot(Receive())
		Expect(i.Update(func(s *standin.Settings) { s.Slots = 2 })).To(Succeed())
		Eventually(waiting, eventuallyTimeout).Should(Receive(BeNil()))
		Expect(first.PgConn().CancelRequest(ctx)).To(Succeed())
		Eventually(sleeping, eventuallyTimeout).Should(Receive(HaveOccurred()))
	})

	// Guards against a deadlock between the slots and the write lock: a statement that
	// waits for the lock must not occupy the only slot, which the transaction that
	// holds the lock needs.
	It("lets a transaction that holds the write lock continue while others wait", func() {
		i := startGroup(1, settings(standin.Settings{Slots: 1, ServiceTime: standin.Duration(time.Millisecond)})).Primary()
		holder := connect(i.Address())
		_, err := holder.Exec(ctx, "CREATE TABLE t (id bigint)")
		Expect(err).NotTo(HaveOccurred())
		tx, err := holder.Begin(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec(ctx, "INSERT INTO t VALUES (1)")
		Expect(err).NotTo(HaveOccurred())
		waiting := async(connect(i.Address()), "INSERT INTO t VALUES (2)")
		Consistently(waiting, consistentlyDuration).ShouldNot(Receive())
		_, err = tx.Exec(ctx, "INSERT INTO t VALUES (3)")
		Expect(err).NotTo(HaveOccurred())
		Expect(tx.Commit(ctx)).To(Succeed())
		Eventually(waiting, eventuallyTimeout).Should(Receive(BeNil()))
	})
})

var _ = Describe("Faults", func() {
	ctx := context.Background()

	// Guards against a frozen instance that responds, or that loses what it received.
	It("does not respond while frozen and continues after Thaw", func() {
		i := startGroup(1).Primary()
		conn := connect(i.Address())
		i.Freeze()
		dialed, err := net.Dial("tcp", i.Address())
		Expect(err).NotTo(HaveOccurred(), "a stopped process still accepts connections")
		defer dialed.Close()
		done := async(conn, "SELECT 1")
		Consistently(done, consistentlyDuration).ShouldNot(Receive())
		i.Thaw()
		Eventually(done, eventuallyTimeout).Should(Receive(BeNil()))
	})

	// Guards against a cut that affects addresses outside of its prefix, or misses some
	// inside.
	It("cuts connections by their source address", func() {
		i := startGroup(1).Primary()
		cfg, err := pgx.ParseConfig(connectionString(i.Address(), standin.DefaultUser))
		Expect(err).NotTo(HaveOccurred())
		cfg.DialFunc = (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 3, 9)}}).DialContext
		inside, err := pgx.ConnectConfig(ctx, cfg)
		Expect(err).NotTo(HaveOccurred())
		outside := connect(i.Address())
		Expect(i.Cut(netip.MustParsePrefix("127.0.3.0/24"))).To(Succeed())
		done := async(inside, "SELECT 1")
		Consistently(done, consistentlyDuration).ShouldNot(Receive())
		_, err = outside.Exec(ctx, "SELECT 1")
		Expect(err).NotTo(HaveOccurred())
		Expect(i.Heal()).To(Succeed())
		Eventually(done, eventuallyTimeout).Should(Receive(BeNil()))
	})

	// Guards against a replica that makes entries visible before the lag has passed,
	// and against a lag that delays the acknowledgement.
	It("receives at once and applies after the lag", func() {
		g := startGroup(3)
		for _, r := range g.Instances[1:] {
			Expect(r.SetLag(time.Hour)).To(Succeed())
		}
		conn := connect(g.Primary().Address())
		_, err := conn.Exec(ctx, "CREATE TABLE t (id bigint)")
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Exec(ctx, "SELECT cluster_wait_replicated('last', 5000)")
		Expect(err).NotTo(HaveOccurred())
		replica := g.Instances[1]
		Eventually(func() bool { return replica.Status().Received == g.Primary().Status().Received }, eventuallyTimeout).Should(BeTrue())
		Consistently(func() bool { return replica.Status().Applied < replica.Status().Received }, consistentlyDuration).Should(BeTrue())
		Expect(replica.SetLag(0)).To(Succeed())
		Eventually(func() bool { return replica.Status().Applied == replica.Status().Received }, eventuallyTimeout).Should(BeTrue())
	})

	// Guards against an acknowledgement that isn't subject to the network delay.
	It("acknowledges after the receive delay", func() {
		g := startGroup(2)
		Expect(g.Instances[1].Update(func(s *standin.Settings) { s.ReceiveDelay = standin.Duration(time.Hour) })).To(Succeed())
		conn := connect(g.Primary().Address())
		_, err := conn.Exec(ctx, "CREATE TABLE t (id bigint)")
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Exec(ctx, "SELECT cluster_wait_replicated('last', 100)")
		expectSQLState(err, backend.SQLStateLockNotAvailable)
	})

	// Guards against a restart that loses acknowledged writes or the role.
	It("keeps its log when it is killed and restarted", func() {
		g := startGroup(3)
		conn := connect(g.Primary().Address())
		_, err := conn.Exec(ctx, "CREATE TABLE t (id bigint)")
		Expect(err).NotTo(HaveOccurred())
		address := g.Primary().Address()
		Expect(g.Primary().Close()).To(Succeed())
		_, err = conn.Exec(ctx, "SELECT 1")
		Expect(err).To(HaveOccurred())
		Expect(g.Primary().Start(address)).To(Succeed())
		again := connect(address)
		_, err = again.Exec(ctx, "INSERT INTO t VALUES (1)")
		Expect(err).NotTo(HaveOccurred())
		_, err = again.Exec(ctx, "SELECT cluster_wait_replicated('last', 5000)")
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against records that differ from the statements that ran, and against
	// received bytes that are not passed to OnReceive: tests use these to find secrets
	// that reach an instance.
	It("records statements and received bytes", func() {
		var mu sync.Mutex
		var received bytes.Buffer
		i := startGroup(1, func(cfg *standin.Config) {
			cfg.RecordLimit = 2
			cfg.OnReceive = func(_ net.Addr, data []byte) {
				mu.Lock()
				defer mu.Unlock()
				received.Write(data)
			}
		}).Primary()
		conn := connect(i.Address())
		for k := range 3 {
			_, err := conn.Exec(ctx, "SELECT $1::int8", k)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := conn.Exec(ctx, "SELECT nope")
		Expect(err).To(HaveOccurred())
		got := i.Executed()
		Expect(got).To(HaveLen(2))
		Expect(got[0].Args).To(HaveExactElements(BeEquivalentTo(2)))
		Expect(got[0].SQLState).To(BeEmpty())
		Expect(got[1].SQL).To(Equal("SELECT nope"))
		Expect(got[1].SQLState).To(Equal("42703"))
		mu.Lock()
		defer mu.Unlock()
		Expect(received.String()).To(ContainSubstring("SELECT $1::int8"))
	})
})

var _ = Describe("Fault address", func() {
	var inst *standin.Instance

	BeforeEach(func() {
		inst = startGroup(1, func(cfg *standin.Config) { cfg.FaultAddress = "127.0.0.1:0" }).Primary()
	})

	post := func(body string) (int, string) {
		GinkgoHelper()
		resp, err := http.Post("http://"+inst.FaultAddress()+"/faults", "application/json", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode, string(text)
	}

	// Guards against a request that changes settings which it doesn't contain.
	It("changes the given fields and returns all", func() {
		code, text := post(`{"lag":"100ms","cut":["127.0.3.0/24"]}`)
		Expect(code).To(Equal(http.StatusOK), text)
		code, text = post(`{"slots":3}`)
		Expect(code).To(Equal(http.StatusOK), text)
		Expect(text).To(MatchJSON(`{"frozen":false,"cut":["127.0.3.0/24"],"lag":"100ms","receive_delay":"0s",
			"connection_cost":"0s","service_time":"0s","slots":3,"connection_limit":0,"killed":false}`))
		Expect(inst.Settings().Lag).To(Equal(standin.Duration(100 * time.Millisecond)))
	})

	// Guards against an invalid request that is accepted: the test that sent it would
	// run without the fault.
	DescribeTable("rejects an invalid request", func(body, message string) {
		before := inst.Settings()
		code, text := post(body)
		Expect(code).To(Equal(http.StatusBadRequest))
		Expect(text).To(ContainSubstring(message))
		Expect(inst.Settings()).To(Equal(before))
	},
		Entry("an unknown field", `{"lagg":"1s"}`, `unknown field "lagg"`),
		Entry("a negative number", `{"slots":-1}`, "slots"),
		Entry("a negative duration", `{"lag":"-1s"}`, "negative"),
		Entry("a duration without unit", `{"lag":"5"}`, "missing unit"),
		Entry("a malformed prefix", `{"cut":["127.0.0.300/8"]}`, "127.0.0.300/8"),
		Entry("two objects", `{"slots":1}{"slots":2}`, "after the JSON object"),
		Entry("no object", ``, "EOF"),
	)

	It("kills and restarts the instance", func() {
		address := inst.Address()
		code, text := post(`{"killed":true}`)
		Expect(code).To(Equal(http.StatusOK), text)
		_, err := net.Dial("tcp", address)
		Expect(err).To(HaveOccurred())
		code, text = post(`{"killed":false}`)
		Expect(code).To(Equal(http.StatusOK), text)
		connect(address)
	})
})
