package relay

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/connpool"
	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/internal/statement"
)

var _ = Describe("A planned stop of a connection owner", func() {
	const requester = 2
	var (
		f        *fleet
		h        connpool.Handle
		owner    int
		deadline time.Time
	)
	commit := connpool.Work{Statements: []statement.Statement{{ID: "c", Kind: statement.Commit}}}

	// commits returns how many commits ran.
	commits := func() int {
		f.mu.Lock()
		defer f.mu.Unlock()
		n := 0
		for _, run := range f.runs {
			if run == f.hosts[owner].Name+" "+statement.Commit.String() {
				n++
			}
		}
		return n
	}

	BeforeEach(func() {
		f = newFleet()
		at, err := f.do(requester, "a")
		Expect(err).NotTo(HaveOccurred())
		owner = map[string]int{"h0": 0, "h1": 1}[at]
		Eventually(f.connsInUse).Should(BeZero())
		h, err = f.routers[requester].Acquire(context.Background(), server, connpool.Request{Account: "a"})
		Expect(err).NotTo(HaveOccurred())
		deadline = time.Now().Add(5 * time.Second)
		_, err = h.Do(deadline, connpool.Work{Begin: &statement.Statement{Kind: statement.Begin}})
		Expect(err).NotTo(HaveOccurred())
		Expect(f.routers[owner].Serving()).To(Equal(1))
		DeferCleanup(func() { h.Release() })
	})

	// Guards against a commit in doubt, or run after all, because the owner of its
	// connection was stopped between two statements.
	It("ends an open transaction of another host and says that later work does not run", func() {
		f.routers[owner].EndLeases()
		Expect(f.routers[owner].Serving()).To(BeZero())
		Expect(f.connsInUse()).To(BeZero(), "the connection, and with it the transaction, is closed")
		_, err := h.Do(deadline, commit)
		Expect(err).To(MatchError(outcome.ErrNotRun))
		Consistently(commits, 50*time.Millisecond).Should(BeZero())
		Expect(f.routers[requester].avoid).To(HaveKey(f.hosts[owner].Name))
	})

	// Guards against the same doubt when the process of the owner has ended before the next
	// statement.
	It("says so also after its end", func() {
		f.routers[owner].EndLeases()
		// The reply to a ping follows the last reply of the lease on the same connection.
		Expect(f.routers[requester].Ping(context.Background(), f.hosts[owner])).To(Succeed())
		f.servers[owner].Stop()
		_, err := h.Do(deadline, commit)
		Expect(err).To(MatchError(outcome.ErrNotRun))
	})

	// Guards against work that is cut off although it was accepted in time, and against
	// further work after it.
	It("lets work under way end, and nothing after it", func() {
		slow := connpool.Work{Statements: []statement.Statement{{ID: "s", Kind: statement.Read, Text: slowText}}}
		done := make(chan error, 1)
		go func() {
			_, err := h.Do(deadline, slow)
			done <- err
		}()
		time.Sleep(slowTime / 4)
		f.routers[owner].EndLeases()
		Expect(f.routers[owner].Serving()).To(Equal(1))
		Eventually(done, 2*time.Second).Should(Receive(BeNil()))
		Eventually(f.routers[owner].Serving).Should(BeZero())
		_, err := h.Do(deadline, commit)
		Expect(err).To(MatchError(outcome.ErrNotRun))
		Expect(commits()).To(BeZero())
	})

	// Guards against a lease that is opened just before the end and stays open.
	It("ends a lease after its first work if leases have to end", func() {
		f.routers[owner].leasesEnded.Store(true)
		at, err := f.do(requester, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(at).To(Equal(f.hosts[owner].Name))
		Eventually(f.routers[owner].Serving).Should(Equal(1), "only the one that was idle")
	})
})

var _ = Describe("An interrupt of a stopping host", func() {
	// Guards against a caller whose statement runs at another host and that gets no answer,
	// and against an owner that is avoided although it works.
	It("ends work at another host long before its deadline", func() {
		f := newFleet()
		h, err := f.routers[2].Acquire(context.Background(), server, connpool.Request{Account: "a"})
		Expect(err).NotTo(HaveOccurred())
		defer h.Release()
		done := make(chan error, 1)
		go func() {
			_, err := h.Do(time.Now().Add(time.Minute), connpool.Work{Statements: []statement.Statement{{Kind: statement.Write, Text: slowText}}})
			done <- err
		}()
		Eventually(f.connsInUse).Should(Equal(1))
		f.routers[2].Interrupt()
		Eventually(done, slowTime/2).Should(Receive(And(HaveOccurred(), Not(MatchError(outcome.ErrNotRun)))))
		Expect(f.routers[2].avoid).To(BeEmpty())
	})
})
