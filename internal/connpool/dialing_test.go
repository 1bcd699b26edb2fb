package connpool

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/statement"
)

// slowDialer counts the connections that are being opened at the same time. It refuses
// those beyond a limit.
type slowDialer struct {
	mu      sync.Mutex
	opening int
	most    int
	opened  int
	limit   int
}

func (d *slowDialer) Dial(context.Context, *catalog.Server, string) (Link, error) {
	d.mu.Lock()
	d.opening++
	d.most = max(d.most, d.opening)
	d.mu.Unlock()
	time.Sleep(2 * time.Millisecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opening--
	if d.opened >= d.limit {
		return nil, &Refusal{Code: statement.MaxConns}
	}
	d.opened++
	return &fakeLink{alive: true}, nil
}

// stuckDialer opens no connection before the context ends.
type stuckDialer struct{}

func (stuckDialer) Dial(ctx context.Context, _ *catalog.Server, _ string) (Link, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

var _ = Describe("Connections that are opened", func() {
	// dialSlowly lets a dial run into its time limit while the instance answers on another
	// connection or not, and returns the error of the next request.
	dialSlowly := func(answers bool) error {
		p := New(Config{Dialer: stuckDialer{}, IdleTime: time.Minute, Registry: metrics.NewRegistry()})
		server := &catalog.Server{ID: "i1"}
		limit := Limit{MaxOpen: 4, MaxIdle: 4}
		p.mu.Lock()
		in := p.instance(server)
		p.mu.Unlock()
		in.recordAnswer(time.Now())
		ctx, cancel := context.WithTimeout(context.Background(), minSilence+100*time.Millisecond)
		defer cancel()
		if answers {
			timer := time.AfterFunc(minSilence/2, func() { in.recordAnswer(time.Now()) })
			defer timer.Stop()
		}
		_, err := p.Acquire(ctx, server, Request{Account: "a"}, limit)
		Expect(err).To(HaveOccurred())
		short, cancelShort := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancelShort()
		_, err = p.Acquire(short, server, Request{Account: "a"}, limit)
		return err
	}

	// Guards against an overloaded instance that is taken for unreachable: its work moved
	// to other owners, which opened more connections, until it served nothing.
	It("late do not make an instance count as unreachable while it answers", func() {
		Expect(dialSlowly(true)).NotTo(MatchError(ErrUnreachable))
		Expect(dialSlowly(false)).To(MatchError(ErrUnreachable))
	})

	acquireAll := func(d *slowDialer, count int) (served int) {
		p := New(Config{Dialer: d, IdleTime: time.Minute, Registry: metrics.NewRegistry()})
		server := &catalog.Server{ID: "i1"}
		var mu sync.Mutex
		var group sync.WaitGroup
		for i := range count {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				c, err := p.Acquire(ctx, server, Request{Account: fmt.Sprint("account", i)}, Limit{MaxOpen: count, MaxIdle: count})
				if err != nil {
					return
				}
				mu.Lock()
				served++
				mu.Unlock()
				p.Release(c)
			})
		}
		group.Wait()
		return served
	}

	// Guards against the collapse after a kill of all hosts: they opened 93,966
	// connections, each of which took 27 ms of a slot, and the instances had no slots
	// left for statements.
	It("are few at a time, and everyone is served", func() {
		d := &slowDialer{limit: 100}
		Expect(acquireAll(d, 20)).To(Equal(20))
		Expect(d.most).To(BeNumerically("<=", maxDialing))
	})

	// Guards against waiters that nobody wakes after an instance refused a connection.
	It("leave no one waiting when the instance accepts none", func() {
		started := time.Now()
		Expect(acquireAll(&slowDialer{}, 20)).To(BeZero())
		Expect(time.Since(started)).To(BeNumerically("<", time.Second))
	})
})
