package connpool

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/internal/statement"
)

func TestPool(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "connection pool")
}

// fakeLink answers every statement with success, except for kind refuse or if err is
// set.
type fakeLink struct {
	sent   []statement.Statement
	refuse statement.Kind
	err    error
	alive  bool
	closed bool
	// silent makes the link answer nothing until the work is abandoned.
	silent bool
}

func (l *fakeLink) Exchange(_ time.Time, abandoned func() bool, statements ...statement.Statement) ([]statement.Result, error) {
	if l.silent {
		for !abandoned() {
			time.Sleep(time.Millisecond)
		}
		return nil, errors.New("i/o timeout")
	}
	if l.err != nil {
		return nil, l.err
	}
	l.sent = append(l.sent, statements...)
	var results []statement.Result
	for _, s := range statements {
		r := statement.Result{State: statement.Idle}
		if l.refuse != statement.Invalid && s.Kind == l.refuse {
			r.Code = statement.ReadOnly
		} else if s.Kind == statement.Begin {
			r.State = statement.InTransaction
		}
		results = append(results, r)
	}
	return results, nil
}

func (l *fakeLink) Alive() bool { return l.alive }
func (l *fakeLink) Close()      { l.closed = true }

type fakeDialer struct {
	mu    sync.Mutex
	links []*fakeLink
	err   error
}

func (d *fakeDialer) Dial(context.Context, *catalog.Server, string) (Link, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err != nil {
		return nil, d.err
	}
	l := &fakeLink{alive: true}
	d.links = append(d.links, l)
	return l, nil
}

var _ = Describe("activity", func() {
	// Guards against detecting a failed instance only when statements reach their
	// deadline, and against taking a slow instance for a failed one.
	It("distinguishes a silent instance from a slow one", func() {
		a := &activity{}
		long := time.Now().Add(-minSilence)
		Expect(a.silent(time.Now())).To(BeFalse())
		Expect(a.silent(long)).To(BeTrue())
		a.recordAnswer(time.Now())
		Expect(a.silent(long)).To(BeFalse())
		slow := &activity{answerTime: minSilence, lastAnswer: long}
		Expect(slow.silent(long)).To(BeFalse())
	})
})

var _ = Describe("Pool", func() {
	var dialer *fakeDialer
	var pool *Pool
	server := &catalog.Server{ID: "i1"}
	two := Limit{MaxOpen: 2, MaxIdle: 2}
	BeforeEach(func() {
		dialer = &fakeDialer{}
		pool = New(Config{Dialer: dialer, IdleTime: time.Minute, Registry: metrics.NewRegistry()})
	})
	acquire := func(account string, limit Limit) Handle {
		h, err := pool.AcquireHandle(context.Background(), server, Request{Account: account}, limit)
		Expect(err).NotTo(HaveOccurred())
		return h
	}

	// Guards against running statements of one account on a connection of another.
	It("does not share connections between accounts", func() {
		acquire("a", two).Release()
		acquire("b", two).Release()
		acquire("a", two).Release()
		Expect(dialer.links).To(HaveLen(2))
	})

	// Guards against opening more connections than the limit of this host allows.
	It("closes an idle connection of another account at the limit", func() {
		acquire("a", two).Release()
		acquire("b", two).Release()
		acquire("c", two).Release()
		Expect(dialer.links).To(HaveLen(3))
		Expect(dialer.links[0].closed).To(BeTrue())
		Expect(dialer.links[1].closed).To(BeFalse())
	})

	// Guards against a caller that waits for a connection beyond its deadline.
	It("fails with ErrNotRun when no connection becomes free in time", func() {
		held := acquire("a", Limit{MaxOpen: 1, MaxIdle: 1})
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, err := pool.AcquireHandle(ctx, server, Request{Account: "a"}, Limit{MaxOpen: 1, MaxIdle: 1})
		Expect(err).To(MatchError(outcome.ErrNotRun))
		held.Release()
		Expect(pool.Load(server)).To(BeZero())
	})

	// Guards against a waiter that is never served because the connection that it waits
	// for breaks.
	It("lets a waiter open a connection in place of a broken one", func() {
		held := acquire("a", Limit{MaxOpen: 1, MaxIdle: 1})
		got := make(chan Handle)
		go func() {
			defer GinkgoRecover()
			got <- acquire("a", Limit{MaxOpen: 1, MaxIdle: 1})
		}()
		Eventually(func() int { return pool.Load(server) }).Should(Equal(2))
		dialer.links[0].err = errors.New("reset")
		_, err := held.Do(time.Now(), Work{Statements: []statement.Statement{{Kind: statement.Read}}})
		Expect(err).To(HaveOccurred())
		held.Release()
		Eventually(got).Should(Receive())
		Expect(dialer.links).To(HaveLen(2))
	})

	// Guards against sending a statement on a connection that the instance has closed,
	// which would leave its outcome unknown.
	It("does not hand out a connection that the peer closed", func() {
		acquire("a", two).Release()
		dialer.links[0].alive = false
		acquire("a", two).Release()
		Expect(dialer.links).To(HaveLen(2))
		Expect(dialer.links[0].closed).To(BeTrue())
	})

	// Guards against returning a connection with an open transaction to the pool.
	It("closes a connection that is released inside a transaction", func() {
		h := acquire("a", two)
		_, err := h.Do(time.Now(), Work{Begin: &statement.Statement{Kind: statement.Begin}})
		Expect(err).NotTo(HaveOccurred())
		h.Release()
		Expect(dialer.links[0].closed).To(BeTrue())
	})

	// Guards against running statements outside a transaction because its begin was
	// refused.
	It("sends nothing after a refused begin", func() {
		h := acquire("a", two)
		dialer.links[0].refuse = statement.Begin
		answer, err := h.Do(time.Now(), Work{
			Begin: &statement.Statement{Kind: statement.Begin}, Statements: []statement.Statement{{Kind: statement.Read}},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Refused.Code).To(Equal(statement.ReadOnly))
		Expect(dialer.links[0].sent).To(HaveLen(1))
	})

	// Guards against a session that runs with variables of another session.
	It("applies exactly the session's values to a connection", func() {
		h := acquire("a", two)
		run := func(values Values, prepared *Prepared, st statement.Statement) {
			_, err := h.Do(time.Now(), Work{Values: values, Prepared: prepared, Statements: []statement.Statement{st}})
			Expect(err).NotTo(HaveOccurred())
		}
		kinds := func() []statement.Kind {
			var out []statement.Kind
			for _, s := range dialer.links[0].sent {
				out = append(out, s.Kind)
			}
			dialer.links[0].sent = nil
			return out
		}
		run(Values{"x": "1"}, nil, statement.Statement{Kind: statement.Read})
		Expect(kinds()).To(Equal([]statement.Kind{statement.Set, statement.Read}))
		run(Values{"x": "1"}, &Prepared{Shape: "q"}, statement.Statement{Kind: statement.Execute, Name: "s1"})
		Expect(dialer.links[0].sent[1].Name).To(Equal("r_q"))
		Expect(kinds()).To(Equal([]statement.Kind{statement.Prepare, statement.Execute}))
		run(nil, &Prepared{Shape: "q"}, statement.Statement{Kind: statement.Execute, Name: "s2"})
		Expect(kinds()).To(Equal([]statement.Kind{statement.Reset, statement.Prepare, statement.Execute}))
	})

	// Guards against work that outlasts the process, which then ends without an answer to
	// the caller.
	It("ends work under way, and later work, once it is interrupted", func() {
		h := acquire("a", two)
		dialer.links[0].silent = true
		do := func() error {
			_, err := h.Do(time.Now().Add(time.Minute), Work{Statements: []statement.Statement{{Kind: statement.Write}}})
			return err
		}
		done := make(chan error, 1)
		go func() { done <- do() }()
		Consistently(done, minSilence/8).ShouldNot(Receive())
		pool.Interrupt()
		Eventually(done, minSilence/2).Should(Receive(And(HaveOccurred(), Not(MatchError(outcome.ErrNotRun)))))
		Expect(do()).NotTo(Succeed())
	})
})

var _ = Describe("The names of prepared statements on a connection", func() {
	// Guards against a shape that changes how the message that prepares it is read: the shape
	// is the last field and may hold blanks, the name may not.
	DescribeTable("hold no byte that could end the field, and differ if the shapes do",
		func(shape string) {
			name := Prepared{Shape: shape}.name()
			Expect(name).To(MatchRegexp("^[A-Za-z0-9_-]{1,80}$"))
			Expect(name).NotTo(Equal(Prepared{Shape: shape, Writes: true}.name()))
			Expect(name).NotTo(Equal(Prepared{Shape: shape + " "}.name()))
		},
		Entry(nil, "q2c"), Entry(nil, "a b"), Entry(nil, "a\nb"), Entry(nil, "\xff"), Entry(nil, strings.Repeat("x", 2000)), Entry(nil, ""),
	)
})
