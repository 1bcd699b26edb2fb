package relay

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/connpool"
	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/internal/statement"
	"github.com/bramleylever/bramleylever/position"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

var _ = Describe("Router", func() {
	// Guards against work that keeps going to owners that are cut off from the instance:
	// a primary that two thirds of the hosts did not reach was slow for all of them.
	It("uses another owner, or no owner, if owners do not reach the instance", func() {
		f := newFleet()
		f.cutOff = map[string]bool{"h0": true, "h1": true}
		var at string
		for range 4 {
			var err error
			if at, err = f.do(3, "a"); err == nil {
				break
			}
			var ownerErr *connpool.OwnerError
			Expect(errors.As(err, &ownerErr) || errors.Is(err, connpool.ErrUnreachable) || outcome.RetrySafe(err)).To(BeTrue())
		}
		Expect(at).To(Equal("h3"))
		started := time.Now()
		_, err := f.do(3, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(started)).To(BeNumerically("<", pairAvoidTime))
	})

	// Guards against an instance whose log a promotion needs and that no host reaches, because
	// its connection owners do not know an instance that is not registered.
	It("reaches an instance that is not registered directly", func() {
		f := newFleet()
		gone := &catalog.Server{ID: "i2", Service: "x", Domain: "d0", Address: "i2:1"}
		handle, err := f.routers[3].Acquire(context.Background(), gone, connpool.Request{Account: "a"})
		Expect(err).NotTo(HaveOccurred())
		defer handle.Release()
		answer, err := handle.Do(time.Now().Add(time.Second), connpool.Work{Statements: []statement.Statement{{Kind: statement.Status}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Results[0].Signature).To(Equal("h3"))
	})

	// Guards against every host keeping its own connections: an instance accepts 22
	// connections, which 9 hosts with 8 accounts exceeded many times over.
	It("runs an account's work from all hosts at one owner in the instance's failure domain", func() {
		f := newFleet()
		for _, account := range []string{"a", "b", "c", "d"} {
			owners := map[string]bool{}
			for from := range 4 {
				at, err := f.do(from, account)
				Expect(err).NotTo(HaveOccurred())
				owners[at] = true
				Eventually(f.connsInUse).Should(BeZero())
			}
			Expect(owners).To(HaveLen(1))
			Expect(owners).To(Or(HaveKey("h0"), HaveKey("h1")))
		}
		dials := len(f.links["h0"]) + len(f.links["h1"])
		Expect(dials).To(Equal(4))
	})

	// Guards against an account without service because its connection owner is gone.
	It("uses another host when the owner is gone", func() {
		f := newFleet()
		at, err := f.do(2, "a")
		Expect(err).NotTo(HaveOccurred())
		f.servers[map[string]int{"h0": 0, "h1": 1}[at]].Stop()
		Eventually(func() error {
			other, err := f.do(2, "a")
			if err == nil && other == at {
				return errors.New("work still runs at the stopped owner")
			}
			return err
		}, 3*time.Second).Should(Succeed())
	})

	// Guards against work that waits until its deadline for a host that is cut off: with 35%
	// of 73 hosts cut off, reads were refused after 780 ms.
	It("abandons work at an unreachable owner long before the deadline", func() {
		f := newFleet()
		at, err := f.do(2, "a")
		Expect(err).NotTo(HaveOccurred())
		// This listener never accepts, so connections to it get no reply.
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(silent.Close)
		f.hosts[map[string]int{"h0": 0, "h1": 1}[at]].Address = silent.Addr().String()
		deadline := time.Now().Add(800 * time.Millisecond)
		h, err := f.routers[2].Acquire(context.Background(), server, connpool.Request{Account: "a"})
		Expect(err).NotTo(HaveOccurred())
		st := statement.Statement{Kind: statement.Read, Text: "READ a"}
		_, err = h.Do(deadline, connpool.Work{Statements: []statement.Statement{st}})
		h.Release()
		Expect(err).To(MatchError(outcome.ErrNotRun))
		Expect(time.Now()).To(BeTemporally("<", deadline), "there must be time left for another owner")
		other, err := f.do(2, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(other).NotTo(Equal(at))
		// The backoff has ended, but the host still does not answer.
		f.routers[2].now = func() time.Time { return time.Now().Add(maxAvoidTime) }
		again, err := f.do(2, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(other))
	})

	// Guards against new leases at a host that is about to exit.
	It("stops using an owner that is stopping, and reports the work as not run", func() {
		f := newFleet()
		at, err := f.do(2, "a")
		Expect(err).NotTo(HaveOccurred())
		f.routers[map[string]int{"h0": 0, "h1": 1}[at]].Drain()
		_, err = f.do(2, "a")
		Expect(err).To(MatchError(outcome.ErrNotRun))
		other, err := f.do(2, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(other).NotTo(Equal(at))
	})

	// Guards against a refusal by the instance that is counted as its failure, and
	// against reporting work as not run that may have run.
	It("reports refusals and unknown outcomes to the requesting host", func() {
		f := newFleet()
		f.dialErr = &connpool.Refusal{Code: statement.MaxConns, Detail: "full"}
		_, err := f.do(2, "a")
		var refusal *connpool.Refusal
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(refusal.Code).To(Equal(statement.MaxConns))
		f.dialErr = errors.New("connection refused")
		Eventually(func() string {
			_, err = f.do(2, "a")
			return err.Error()
		}).Should(ContainSubstring("connection refused"))
		Expect(outcome.RetrySafe(err)).To(BeTrue(), "a connection that was not opened ran nothing")
		f.dialErr, f.linkErr = nil, errors.New("reset")
		Eventually(func() bool {
			_, err = f.do(2, "a")
			return outcome.RetrySafe(err)
		}).Should(BeFalse())
		Expect(err).To(HaveOccurred())
	})

	// Guards against work that reaches its deadline and fails the work of all other sessions
	// at the same owner with it, which left writes in doubt.
	It("keeps using an owner after one statement that exceeds its deadline", func() {
		f := newFleet()
		do := func(deadline time.Duration) error {
			h, err := f.routers[2].Acquire(context.Background(), server, connpool.Request{Account: "a"})
			Expect(err).NotTo(HaveOccurred())
			defer h.Release()
			st := statement.Statement{Kind: statement.Read, Text: slowText}
			_, err = h.Do(time.Now().Add(deadline), connpool.Work{Statements: []statement.Statement{st}})
			return err
		}
		other := make(chan error, 1)
		go func() {
			defer GinkgoRecover()
			other <- do(5 * time.Second)
		}()
		Expect(do(slowTime / 4)).NotTo(Succeed())
		Eventually(other, 3*time.Second).Should(Receive(BeNil()))
		Expect(f.routers[2].avoid).To(BeEmpty())
	})

	// Guards against an owner that was slow for a moment and loses the work of all other
	// sessions with it: the connection to it was closed, and writes were left in doubt.
	It("does not end other work at an owner that is given up", func() {
		f := newFleet()
		at, err := f.do(2, "a")
		Expect(err).NotTo(HaveOccurred())
		Eventually(f.connsInUse).Should(BeZero())
		owner := f.hosts[map[string]int{"h0": 0, "h1": 1}[at]]
		other := make(chan error, 1)
		go func() {
			h, err := f.routers[2].Acquire(context.Background(), server, connpool.Request{Account: "a"})
			if err == nil {
				defer h.Release()
				st := statement.Statement{Kind: statement.Write, Text: slowText}
				_, err = h.Do(time.Now().Add(5*time.Second), connpool.Work{Statements: []statement.Statement{st}})
			}
			other <- err
		}()
		Eventually(f.connsInUse).Should(Equal(1))
		f.routers[2].ownerFailed(owner, errors.New("no answer to a ping"))
		Eventually(other, 3*time.Second).Should(Receive(BeNil()))
	})

	// Guards against every host asking the leader itself for its position.
	It("asks one host in the primary's failure domain for its position", func() {
		f := newFleet()
		for _, r := range f.routers {
			p, age, err := r.Position(context.Background(), server)
			Expect(err).NotTo(HaveOccurred())
			Expect(p.LSN).To(Equal(position.LSN(42)))
			Expect(age).To(Equal(30 * time.Millisecond))
		}
		Expect(f.sampled).To(HaveLen(4))
		Expect(f.sampled).To(Or(HaveEach("h0"), HaveEach("h1")))
	})

	// Guards against a host whose watch was dropped and that learns of no change until the
	// watch ends.
	It("exchanges catalog revisions with the other host", func() {
		f := newFleet()
		for i, r := range f.routers {
			f.revisions[r.options.Self] = &peerv1.CatalogRevisions{Operator: int64(10 + i), Servers: int64(20 + i), OperatorGeneration: 1, ServersGeneration: 2}
		}
		at, err := f.do(2, "a")
		Expect(err).NotTo(HaveOccurred())
		f.mu.Lock()
		defer f.mu.Unlock()
		Expect(proto.Equal(f.hints["h2"], f.revisions[at])).To(BeTrue())
		Expect(proto.Equal(f.hints[at], f.revisions["h2"])).To(BeTrue())
	})

	// Guards against a host that is avoided as an owner because the leader does not answer
	// it.
	It("keeps using a host that has no position", func() {
		f := newFleet()
		f.dialErr = errors.New("connection refused")
		_, _, err := f.routers[2].Position(context.Background(), server)
		Expect(err).To(MatchError(ContainSubstring("connection refused")))
		Expect(f.routers[2].avoid).To(BeEmpty())
	})

	// Guards against running the statements of one transaction on several connections.
	It("keeps a transaction on one connection until it is released", func() {
		f := newFleet()
		h, err := f.routers[2].Acquire(context.Background(), server, connpool.Request{Account: "a"})
		Expect(err).NotTo(HaveOccurred())
		deadline := time.Now().Add(time.Second)
		_, err = h.Do(deadline, connpool.Work{Begin: &statement.Statement{Kind: statement.Begin}})
		Expect(err).NotTo(HaveOccurred())
		_, err = f.do(3, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(len(f.links["h0"]) + len(f.links["h1"])).To(Equal(2))
		h.Release()
		Eventually(f.connsInUse).Should(BeZero())
	})
})
