package standin_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/internal/platform/standin"
)

const eventTimeout = 5 * time.Second

// newOperation returns an operation that creates the key k.
func newOperation() platform.Operation {
	const key = "k"
	id := platform.NewOperationID()
	return platform.Operation{
		ID: id,
		Txn: platform.Txn{
			Compares: []platform.Compare{{Key: key}},
			Puts:     []platform.Put{{Key: key, Value: []byte(id)}},
		},
	}
}

func readValue(server *standin.Server, key string) string {
	store := dial(server, "")
	defer store.Close()
	kv, _, err := store.Get(context.Background(), key)
	Expect(err).NotTo(HaveOccurred())
	return string(kv.Value)
}

var _ = Describe("Apply", func() {
	type faultCase struct {
		before func(*standin.Server)
		// during runs 100 ms after the operation is started.
		during  func(*standin.Server)
		wantErr error
		applied bool
	}

	// Guards against a write that is run twice, reported as failed although it
	// took effect, or reported as successful although it was lost.
	DescribeTable("reports the real outcome of a write",
		func(c faultCase) {
			server := start()
			store := dial(server, "127.0.2.1")
			defer store.Close()
			_, _, err := store.Get(context.Background(), "k")
			Expect(err).NotTo(HaveOccurred())
			if c.before != nil {
				c.before(server)
			}
			if c.during != nil {
				go func() {
					defer GinkgoRecover()
					time.Sleep(100 * time.Millisecond)
					c.during(server)
				}()
			}
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			o := newOperation()
			revision, err := platform.Apply(ctx, store, o)
			if c.wantErr != nil {
				Expect(err).To(MatchError(c.wantErr))
			} else {
				Expect(err).NotTo(HaveOccurred())
				Expect(revision).To(Equal(int64(2)))
			}
			Expect(server.SetFaults(standin.Faults{})).To(Succeed())
			Expect(readValue(server, "k") == o.ID).To(Equal(c.applied))
		},
		Entry("no fault", faultCase{applied: true}),
		Entry("response lost once", faultCase{
			before:  func(s *standin.Server) { s.LoseAnswers(1) },
			applied: true,
		}),
		Entry("responses lost three times", faultCase{
			before:  func(s *standin.Server) { s.LoseAnswers(3) },
			applied: true,
		}),
		Entry("store down before the request", faultCase{
			before:  func(s *standin.Server) { s.SetDown(true) },
			wantErr: platform.ErrUnavailable,
		}),
		Entry("store goes down while the request is delayed", faultCase{
			before:  func(s *standin.Server) { s.SetDelay(300 * time.Millisecond) },
			during:  func(s *standin.Server) { s.SetDown(true) },
			wantErr: platform.ErrOutcomeUnknown,
			applied: true,
		}),
		Entry("store goes down while the request is delayed and comes back", faultCase{
			before: func(s *standin.Server) { s.SetDelay(200 * time.Millisecond) },
			during: func(s *standin.Server) {
				s.SetDown(true)
				time.Sleep(300 * time.Millisecond)
				Expect(s.SetFaults(standin.Faults{})).To(Succeed())
			},
			applied: true,
		}),
		Entry("request takes effect after its call timed out", faultCase{
			before: func(s *standin.Server) { s.SetDelay(700 * time.Millisecond) },
			during: func(s *standin.Server) {
				time.Sleep(300 * time.Millisecond)
				s.SetDelay(0)
			},
			applied: true,
		}),
		Entry("client is partitioned for a while", faultCase{
			before: func(s *standin.Server) { s.Cut(netip.MustParsePrefix("127.0.2.0/24")) },
			during: func(s *standin.Server) {
				time.Sleep(time.Second)
				s.Cut()
			},
			applied: true,
		}),
		Entry("another client is partitioned", faultCase{
			before:  func(s *standin.Server) { s.Cut(netip.MustParsePrefix("127.0.3.0/24")) },
			applied: true,
		}),
	)

	// Guards against reporting a conflict for a write that took effect: its
	// response is lost and another client overwrites the key before Apply reads it.
	It("finds a write that was overwritten before it was read back", func() {
		server := start()
		store := dial(server, "127.0.2.1")
		defer store.Close()
		other := dial(server, "127.0.2.2")
		defer other.Close()
		_, _, err := store.Get(context.Background(), "k")
		Expect(err).NotTo(HaveOccurred())

		o := newOperation()
		server.LoseAnswers(1)
		_, err = store.Txn(context.Background(), o.Txn)
		Expect(err).To(MatchError(platform.ErrOutcomeUnknown))
		_, err = other.Txn(context.Background(), platform.Txn{
			Compares: []platform.Compare{{Key: "k", ModRevision: 2}},
			Puts:     []platform.Put{{Key: "k", Value: []byte("other")}},
		})
		Expect(err).NotTo(HaveOccurred())

		server.LoseAnswers(1)
		unknownOnce := &firstTxnUnknown{Store: store}
		revision, err := platform.Apply(context.Background(), unknownOnce, o)
		Expect(err).NotTo(HaveOccurred())
		Expect(revision).To(Equal(int64(2)))
	})

	// Guards against reporting success or a conflict when the part of the history
	// that could prove it is compacted.
	It("leaves the outcome unknown if the history is compacted", func() {
		server := start()
		store := dial(server, "")
		defer store.Close()
		o := newOperation()
		_, err := store.Txn(context.Background(), o.Txn)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Txn(context.Background(), platform.Txn{Puts: []platform.Put{{Key: "k", Value: []byte("other")}}})
		Expect(err).NotTo(HaveOccurred())
		server.Compact(2)
		_, err = platform.Apply(context.Background(), &firstTxnUnknown{Store: store}, o)
		Expect(err).To(MatchError(platform.ErrOutcomeUnknown))
	})

	// Guards against two writers that both report success.
	It("lets exactly one of several concurrent writers succeed although responses are lost", func() {
		server := start()
		server.LoseAnswers(4)
		const writers = 8
		var wg sync.WaitGroup
		errs := make([]error, writers)
		ids := make([]string, writers)
		for i := range writers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				store := dial(server, "")
				defer store.Close()
				o := newOperation()
				ids[i] = o.ID
				_, errs[i] = platform.Apply(context.Background(), store, o)
			}()
		}
		wg.Wait()
		winner := readValue(server, "k")
		for i, err := range errs {
			if ids[i] == winner {
				Expect(err).NotTo(HaveOccurred())
			} else {
				Expect(err).To(MatchError(platform.ErrConflict))
			}
		}
		Expect(ids).To(ContainElement(winner))
	})

	// Guards against an operation that could take effect twice or not be found.
	DescribeTable("rejects an operation that cannot be read back",
		func(o platform.Operation) {
			server := start()
			store := dial(server, "")
			defer store.Close()
			_, err := platform.Apply(context.Background(), store, o)
			Expect(err).To(HaveOccurred())
			Expect(server.Revision()).To(Equal(int64(1)))
		},
		Entry("no ID", platform.Operation{Txn: newOperation().Txn}),
		Entry("no compare", platform.Operation{ID: "i", Txn: platform.Txn{
			Puts: []platform.Put{{Key: "k", Value: []byte("i")}}}}),
		Entry("ID not in the value", platform.Operation{ID: "i", Txn: platform.Txn{
			Compares: []platform.Compare{{Key: "k"}},
			Puts:     []platform.Put{{Key: "k", Value: []byte("x")}}}}),
		Entry("compared key not changed", platform.Operation{ID: "i", Txn: platform.Txn{
			Compares: []platform.Compare{{Key: "other"}},
			Puts:     []platform.Put{{Key: "k", Value: []byte("i")}}}}),
	)
})

// firstTxnUnknown replaces the result of the first Txn by ErrOutcomeUnknown.
type firstTxnUnknown struct {
	platform.Store
	lost bool
}

func (c *firstTxnUnknown) Txn(ctx context.Context, txn platform.Txn) (int64, error) {
	revision, err := c.Store.Txn(ctx, txn)
	if !c.lost {
		c.lost = true
		return 0, platform.ErrOutcomeUnknown
	}
	return revision, err
}

var _ = Describe("stand-in", func() {
	// Guards against a watch that ends or misses changes because of a short partition.
	It("delivers the changes held back during a partition once it ends", func() {
		server := start()
		watcher := dial(server, "127.0.2.1")
		defer watcher.Close()
		writer := dial(server, "127.0.3.1")
		defer writer.Close()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		updates, err := watcher.Watch(ctx, "k", 2)
		Expect(err).NotTo(HaveOccurred())
		Eventually(updates).Should(Receive())
		server.Cut(netip.MustParsePrefix("127.0.2.1/32"))
		_, err = writer.Txn(ctx, platform.Txn{Puts: []platform.Put{{Key: "k", Value: []byte("1")}}})
		Expect(err).NotTo(HaveOccurred())
		Consistently(func() bool {
			select {
			case u := <-updates:
				return len(u.Events) > 0
			default:
				return false
			}
		}, 200*time.Millisecond).Should(BeFalse())
		server.Cut()
		Eventually(func() int { return len((<-updates).Events) }, eventTimeout).Should(Equal(1))
	})

	// Guards against a watcher that waits forever on a connection that no longer works.
	It("ends a watch that receives no messages", func() {
		server := start()
		watcher := dial(server, "127.0.2.1")
		defer watcher.Close()
		updates, err := watcher.Watch(context.Background(), "k", 2)
		Expect(err).NotTo(HaveOccurred())
		Eventually(updates).Should(Receive())
		server.Cut(netip.MustParsePrefix("127.0.2.1/32"))
		Eventually(func() error { return (<-updates).Err }, eventTimeout).Should(MatchError(platform.ErrUnavailable))
	})

	// Guards against call counts that hide load on the store.
	It("counts calls by client and kind, and an open watch once", func() {
		server := start()
		one, two := dial(server, "127.0.2.1"), dial(server, "127.0.2.2")
		defer one.Close()
		defer two.Close()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for range 3 {
			_, _, err := one.Get(ctx, "k")
			Expect(err).NotTo(HaveOccurred())
		}
		updates, err := two.Watch(ctx, "k", 0)
		Expect(err).NotTo(HaveOccurred())
		Eventually(updates).Should(Receive())
		id, err := two.GrantLease(ctx, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		_, err = two.KeepAlive(ctx, id)
		Expect(err).NotTo(HaveOccurred())
		Expect(two.RevokeLease(ctx, id)).To(Succeed())
		calls := server.CallsByClient()
		Expect(calls["127.0.2.1"]).To(Equal(map[standin.CallKind]int64{standin.CallRange: 3}))
		delete(calls["127.0.2.2"], standin.CallProgress)
		Expect(calls["127.0.2.2"]).To(Equal(map[standin.CallKind]int64{
			standin.CallWatch: 1, standin.CallGrant: 1, standin.CallKeepAlive: 1, standin.CallRevoke: 1,
		}))
	})

	// Guards against an invalid or misspelled fault that is silently ignored.
	DescribeTable("sets faults over HTTP",
		func(body string, status int, expected standin.Faults) {
			server := start()
			admin, err := server.ServeAdmin("127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(admin.Close)
			address := fmt.Sprintf("http://%s/faults", admin.Address())
			response, err := http.Post(address, "application/json", strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			_, err = io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(status))
			Expect(server.Faults()).To(Equal(expected))
		},
		Entry("all", `{"down":true,"delay_ms":5,"lose_answers":2,"cut":["10.0.0.0/8"]}`, http.StatusOK,
			standin.Faults{Down: true, DelayMS: 5, LoseAnswers: 2, Cut: []string{"10.0.0.0/8"}}),
		Entry("none", `{}`, http.StatusOK, standin.Faults{}),
		Entry("unknown field", `{"dwon":true}`, http.StatusBadRequest, standin.Faults{}),
		Entry("two objects", `{}{"down":true}`, http.StatusBadRequest, standin.Faults{}),
		Entry("negative delay", `{"delay_ms":-1}`, http.StatusBadRequest, standin.Faults{}),
		Entry("negative count", `{"lose_answers":-1}`, http.StatusBadRequest, standin.Faults{}),
		Entry("address without prefix length", `{"cut":["10.0.0.1"]}`, http.StatusBadRequest, standin.Faults{}),
	)

	// Guards against a restore that keeps what was written after the copy or a lease from
	// before, and against one with an arbitrary age because of a malformed request.
	It("is restored over HTTP", func() {
		server := start()
		admin, err := server.ServeAdmin("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(admin.Close)
		restore := func(age string) int {
			response, err := http.PostForm(fmt.Sprintf("http://%s/restore", admin.Address()), url.Values{"lost_ms": {age}})
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			return response.StatusCode
		}
		store := dial(server, "")
		ctx := context.Background()
		lease, err := store.GrantLease(ctx, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Txn(ctx, platform.Txn{Puts: []platform.Put{{Key: "k"}}})
		Expect(err).NotTo(HaveOccurred())
		for _, invalid := range []string{"", "-1", "soon"} {
			Expect(restore(invalid)).To(Equal(http.StatusBadRequest))
		}
		Expect(restore("60000")).To(Equal(http.StatusOK))
		item, _, err := store.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(item.ModRevision).To(BeZero())
		_, err = store.KeepAlive(ctx, lease)
		Expect(err).To(MatchError(platform.ErrLeaseNotFound))
		Expect(store.Generation()).To(Equal(platform.FirstGeneration + 1))
	})
})
