package connpool

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/catalog"
)

var _ = Describe("Requests that wait for a connection", func() {
	var pool *Pool
	var held Handle
	server := &catalog.Server{ID: "i1"}
	one := Limit{MaxOpen: 1, MaxIdle: 1}
	BeforeEach(func() {
		pool = New(Config{Dialer: &fakeDialer{}, IdleTime: time.Minute, Registry: metrics.NewRegistry()})
		var err error
		held, err = pool.AcquireHandle(context.Background(), server, Request{Account: "a"}, one)
		Expect(err).NotTo(HaveOccurred())
	})
	waiting := func() int { return pool.Load(server) - 1 }
	// wait makes a request wait and names it in order once it is served.
	wait := func(ctx context.Context, request Request, name string, order chan<- string) {
		before := waiting()
		go func() {
			defer GinkgoRecover()
			h, err := pool.AcquireHandle(ctx, server, request, one)
			if err != nil {
				order <- name + " refused"
				return
			}
			order <- name
			h.Release()
		}()
		Eventually(waiting).Should(Equal(before + 1))
	}

	// Guards against important work that waits behind less important work of the account whose
	// connection becomes free.
	It("are served by class, whichever account's connection is released", func() {
		order := make(chan string, 3)
		wait(context.Background(), Request{Account: "a", Class: 2}, "least", order)
		wait(context.Background(), Request{Account: "a", Class: 1}, "middle", order)
		wait(context.Background(), Request{Account: "b", Class: 0}, "most", order)
		held.Release()
		Eventually(order).Should(Receive(Equal("most")))
		Eventually(order).Should(Receive(Equal("middle")))
		Eventually(order).Should(Receive(Equal("least")))
	})

	// Guards against a request that waits until its deadline although it is known that it
	// cannot be served before.
	It("are refused at once if those before them need too long", func() {
		in := pool.instance(server)
		pool.mu.Lock()
		in.queue.Charge("a", time.Hour)
		pool.mu.Unlock()
		order := make(chan string, 2)
		wait(context.Background(), Request{Account: "a"}, "first", order)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		started := time.Now()
		_, err := pool.AcquireHandle(ctx, server, Request{Account: "a"}, one)
		Expect(err).To(MatchError(ErrNoConnection))
		Expect(time.Since(started)).To(BeNumerically("<", time.Minute/2))
		held.Release()
		Eventually(order).Should(Receive(Equal("first")))
	})

	// Guards against a queue without bound, and against important work that is given up while
	// less important work waits.
	It("are given up from the least important one when too many wait", func() {
		order := make(chan string, maxWaiting+1)
		wait(context.Background(), Request{Account: "a", Class: 1}, "least", order)
		for range maxWaiting - 1 {
			wait(context.Background(), Request{Account: "a"}, "most", order)
		}
		go func() {
			defer GinkgoRecover()
			h, err := pool.AcquireHandle(context.Background(), server, Request{Account: "a"}, one)
			Expect(err).NotTo(HaveOccurred())
			h.Release()
		}()
		Eventually(order).Should(Receive(Equal("least refused")))
		Expect(waiting()).To(Equal(maxWaiting))
		held.Release()
		Eventually(waiting).Should(Equal(-1))
	})
})
