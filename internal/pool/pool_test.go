package pool

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/xdg-go/scram"
	"pgregory.net/rapid"

	"github.com/bramleylever/bramleylever/internal/outcome"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "10000")
	os.Exit(m.Run())
}

func TestPool(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pool")
}

// Guards against connections that accumulate prepared statements beyond the limit, and against
// eviction of the statement that was just added.
func TestStatementsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		s := NewStatements(limit)
		have := map[Hash]bool{}
		for range 30 {
			h := HashOf([]byte{byte(rapid.IntRange(0, 9).Draw(t, "statement"))})
			if s.Use(h) != have[h] {
				t.Fatal("Use does not report whether the statement is in the set")
			}
			if evicted, full := s.Add(h); full {
				delete(have, evicted)
			}
			have[h] = true
			if s.Len() != len(have) || s.Len() > limit {
				t.Fatalf("%d statements, expected %d of at most %d", s.Len(), len(have), limit)
			}
		}
	})
}

// instance is a fake server that completes the start-up of each connection and then sends nothing.
type instance struct {
	net.Listener
	mu       sync.Mutex
	open     int
	scram    bool
	refusals int
}

func newInstance(useSCRAM bool) *instance {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	in := &instance{Listener: l, scram: useSCRAM}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go in.serve(conn)
		}
	}()
	DeferCleanup(func() { _ = l.Close() })
	return in
}

func (in *instance) count(n int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.open += n
}

func (in *instance) connections() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.open
}

func (in *instance) serve(conn net.Conn) {
	in.count(1)
	defer in.count(-1)
	defer conn.Close()
	be := pgproto3.NewBackend(conn, conn)
	if _, err := be.ReceiveStartupMessage(); err != nil {
		return
	}
	in.mu.Lock()
	refuse := in.refusals > 0
	in.refusals--
	in.mu.Unlock()
	if refuse {
		be.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "53300", Message: "too many connections"})
		_ = be.Flush()
		return
	}
	if in.scram && !authenticate(be) {
		return
	}
	be.Send(&pgproto3.AuthenticationOk{})
	be.Send(&pgproto3.ParameterStatus{Name: "applied_position", Value: "1.1/5"})
	be.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	_ = be.Flush()
	for {
		if _, err := be.Receive(); err != nil {
			return
		}
	}
}

func authenticate(be *pgproto3.Backend) bool {
	client, _ := scram.SHA256.NewClient("proxy", "password", "")
	stored, _ := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "0123456789abcdef", Iters: 4096})
	server, _ := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
	conversation := server.NewConversation()
	be.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{"SCRAM-SHA-256"}})
	_ = be.SetAuthType(pgproto3.AuthTypeSASL)
	_ = be.Flush()
	first, ok := receive(be).(*pgproto3.SASLInitialResponse)
	if !ok {
		return false
	}
	challenge, _ := conversation.Step(string(first.Data))
	be.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	_ = be.SetAuthType(pgproto3.AuthTypeSASLContinue)
	_ = be.Flush()
	final, ok := receive(be).(*pgproto3.SASLResponse)
	if !ok {
		return false
	}
	proof, err := conversation.Step(string(final.Data))
	if err != nil {
		be.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "28P01", Message: "wrong password"})
		_ = be.Flush()
		return false
	}
	be.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(proof)})
	return true
}

func receive(be *pgproto3.Backend) pgproto3.FrontendMessage {
	m, err := be.Receive()
	if err != nil {
		return nil
	}
	return m
}

// budget is a Budget whose limit a test can change.
type budget struct {
	mu    sync.Mutex
	limit int
}

func (b *budget) Limit(string, time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit
}

func (b *budget) Report(string, int, int) {}

func (b *budget) set(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = n
}

var _ = Describe("Set", func() {
	var in *instance
	var limit *budget
	var set *Set
	request := func(wait time.Duration) Request {
		return Request{Target: Target{Instance: "a", Address: in.Addr().String(), Database: "db"}, Account: "acc", Wait: wait}
	}
	setUp := func(useSCRAM bool, change func(*Config)) {
		in = newInstance(useSCRAM)
		limit = &budget{limit: 2}
		cfg := Config{Credentials: Credentials{User: "proxy", Password: "password"}, Budget: limit, MaxWaiting: 2}
		if change != nil {
			change(&cfg)
		}
		set = NewSet(cfg)
		DeferCleanup(set.Close)
	}

	// Guards against failing to connect to an instance that requires SCRAM, and against a wrong
	// password that is reported as anything but an unreachable instance.
	It("authenticates with SCRAM", func() {
		setUp(true, nil)
		c, err := set.Acquire(request(time.Second))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Applied.String()).To(Equal("1.1/5"))
		set.Release(c, true)
		wrong := NewSet(Config{Credentials: Credentials{User: "proxy", Password: "other"}})
		defer wrong.Close()
		_, err = wrong.Acquire(request(time.Second))
		Expect(err).To(MatchError(ErrUnreachable))
	})

	// Guards against more open connections than the budget allows, and against waits that do not
	// time out or whose error does not say that nothing was run.
	It("stays within the budget", func() {
		setUp(false, nil)
		var held []*Conn
		for range 2 {
			c, err := set.Acquire(request(time.Second))
			Expect(err).NotTo(HaveOccurred())
			held = append(held, c)
		}
		_, err := set.Acquire(request(20 * time.Millisecond))
		Expect(err).To(MatchError(ErrTimeout))
		Expect(outcome.RetrySafe(err)).To(BeTrue())
		limit.set(1)
		set.Release(held[0], true)
		set.Release(held[1], true)
		Eventually(in.connections).Should(Equal(1))
		limit.set(0)
		set.Tick()
		Eventually(in.connections).Should(BeZero())
	})

	// Guards against reuse of a connection whose protocol or transaction state is unknown.
	DescribeTable("does not reuse a connection",
		func(spoil func(c *Conn), clean bool) {
			setUp(false, nil)
			c, err := set.Acquire(request(time.Second))
			Expect(err).NotTo(HaveOccurred())
			spoil(c)
			set.Release(c, clean)
			again, err := set.Acquire(request(time.Second))
			Expect(err).NotTo(HaveOccurred())
			Expect(again).NotTo(BeIdenticalTo(c))
			Expect(c.Write(nil)).Error().To(MatchError(net.ErrClosed))
		},
		Entry("that is not clean", func(*Conn) {}, false),
		Entry("that was interrupted", func(c *Conn) { c.Interrupt() }, true),
		Entry("after a cancel request", func(c *Conn) { c.PreventReuse() }, true),
		Entry("of a retired instance", func(*Conn) { set.Retire("a") }, true),
	)

	// Guards against closing a clean connection, because opening the next one takes 10 to 30 ms.
	It("reuses a clean connection", func() {
		setUp(false, nil)
		c, err := set.Acquire(request(time.Second))
		Expect(err).NotTo(HaveOccurred())
		set.Release(c, true)
		again, err := set.Acquire(request(time.Second))
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(BeIdenticalTo(c))
	})

	// Guards against an account with many waiting requests causing requests of another account to
	// be shed.
	It("sheds requests of the account with the most waiting requests per weight", func() {
		setUp(false, nil)
		limit.set(1)
		c, err := set.Acquire(request(time.Second))
		Expect(err).NotTo(HaveOccurred())
		results := make(chan error, 3)
		for i, account := range []string{"large", "large", "small"} {
			r := request(time.Second)
			r.Account = account
			go func() {
				got, err := set.Acquire(r)
				if err == nil {
					set.Release(got, true)
				}
				results <- wrap(account, err)
			}()
			Eventually(func() int { return set.pool(r.Target).queueLength() }).Should(Equal(min(i+1, 2)))
		}
		Expect(<-results).To(MatchError(ContainSubstring("large: waiting queue is full")))
		set.Release(c, true)
		Expect(<-results).To(Succeed())
		Expect(<-results).To(Succeed())
	})

	// Guards against requests that fail because the instance has briefly reached its own
	// connection limit.
	It("dials again when the instance refused a connection at its own limit", func() {
		setUp(false, nil)
		in.refusals = 1
		stop := make(chan struct{})
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
					set.Tick()
				}
			}
		}()
		defer close(stop)
		_, err := set.Acquire(request(time.Second))
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against the first requests to an instance having to wait for a connection to be opened.
	It("opens the warm connections", func() {
		setUp(false, func(c *Config) { c.WarmConnections = 2 })
		set.EnsurePool(request(0).Target)
		set.Tick()
		Eventually(in.connections).Should(Equal(2))
	})

	// Guards against requests that wait for an unreachable instance until they time out.
	It("reports an unreachable instance at once", func() {
		setUp(false, nil)
		_ = in.Close()
		_, err := set.Acquire(request(time.Minute))
		Expect(err).To(MatchError(ErrUnreachable))
		Expect(errors.Is(err, outcome.ErrNotRun)).To(BeTrue())
	})
})

func wrap(account string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", account, err)
}

func (p *instancePool) queueLength() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.length
}
