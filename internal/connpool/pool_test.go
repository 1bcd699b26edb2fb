package connpool

import (
	"context"
	"errors"
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

// fakeLink answers every statement with success, unless it is told otherwise.
type fakeLink struct {
	sent   []statement.Statement
	refuse statement.Kind
	err    error
	alive  bool
	closed bool
}

func (l *fakeLink) Exchange(_ time.Time, _ func() bool, statements ...statement.Statement) ([]statement.Result, error) {
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
	// Guards against a failover that starts only when statements reach their
	// deadline, and against one for an instance that is only slow.
	It("tells a silent instance from a slow one", func() {
		a := &activity{}
		long := time.Now().Add(-minSilence)
		Expect(a.silent(time.Now())).To(BeFalse())
		Expect(a.silent(long)).To(BeTrue())
		a.heard(time.Now())
		Expect(a.silent(long)).To(BeFalse())
		slow := &activity{answerTime: minSilence, last: long}
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
	lease := func(account string, limit Limit) Handle {
		h, err := pool.AcquireHandle(context.Background(), server, account, nil, limit)
		Expect(err).NotTo(HaveOccurred())
		return h
	}

	// Guards against statements of one account on the connection of another.
	It("keeps the connections of accounts apart", func() {
		lease("a", two).Release()
		lease("b", two).Release()
		lease("a", two).Release()
		Expect(dialer.links).To(HaveLen(2))
	})

	// Guards against more connections than the instance allows this host.
	It("closes an idle connection of another account at the limit", func() {
		lease("a", two).Release()
		lease("b", two).Release()
		lease("c", two).Release()
		Expect(dialer.links).To(HaveLen(3))
		Expect(dialer.links[0].closed).To(BeTrue())
		Expect(dialer.links[1].closed).To(BeFalse())
	})

	// Guards against a caller that waits past its time.
	It("refuses with not run when no connection becomes free", func() {
		held := lease("a", Limit{MaxOpen: 1, MaxIdle: 1})
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, err := pool.AcquireHandle(ctx, server, "a", nil, Limit{MaxOpen: 1, MaxIdle: 1})
		Expect(err).To(MatchError(outcome.ErrNotRun))
		held.Release()
		Expect(pool.Load(server)).To(BeZero())
	})

	// Guards against a waiter that is left behind when the connection that it
	// waits for breaks.
	It("lets a waiter open a connection in the place of a broken one", func() {
		held := lease("a", Limit{MaxOpen: 1, MaxIdle: 1})
		got := make(chan Handle)
		go func() {
			defer GinkgoRecover()
			got <- lease("a", Limit{MaxOpen: 1, MaxIdle: 1})
		}()
		Eventually(func() int { return pool.Load(server) }).Should(Equal(2))
		dialer.links[0].err = errors.New("reset")
		_, err := held.Do(time.Now(), Work{Statements: []statement.Statement{{Kind: statement.Read}}})
		Expect(err).To(HaveOccurred())
		held.Release()
		Eventually(got).Should(Receive())
		Expect(dialer.links).To(HaveLen(2))
	})

	// Guards against a statement that is sent on a connection that the instance
	// has closed, whose outcome would then not be known.
	It("does not hand out a connection that the peer closed", func() {
		lease("a", two).Release()
		dialer.links[0].alive = false
		lease("a", two).Release()
		Expect(dialer.links).To(HaveLen(2))
		Expect(dialer.links[0].closed).To(BeTrue())
	})

	// Guards against a transaction that stays open on a pooled connection.
	It("closes a connection that is released inside a transaction", func() {
		h := lease("a", two)
		_, err := h.Do(time.Now(), Work{Begin: &statement.Statement{Kind: statement.Begin}})
		Expect(err).NotTo(HaveOccurred())
		h.Release()
		Expect(dialer.links[0].closed).To(BeTrue())
	})

	// Guards against statements outside the transaction whose begin was refused.
	It("sends nothing after a refused begin", func() {
		h := lease("a", two)
		dialer.links[0].refuse = statement.Begin
		answer, err := h.Do(time.Now(), Work{
			Begin: &statement.Statement{Kind: statement.Begin}, Statements: []statement.Statement{{Kind: statement.Read}},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Refused.Code).To(Equal(statement.ReadOnly))
		Expect(dialer.links[0].sent).To(HaveLen(1))
	})

	// Guards against values of one session that another one meets.
	It("gives a connection exactly the session's values", func() {
		h := lease("a", two)
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
})
