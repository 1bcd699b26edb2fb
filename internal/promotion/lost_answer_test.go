package promotion

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/internal/platform/platformtest"
)

// faultyStore injects a fault into the next transactions of a kind.
type faultyStore struct {
	*platformtest.Memory
	matches func(platform.Txn) bool
	fault   platformtest.Fault
	left    int
}

func (f *faultyStore) Txn(ctx context.Context, txn platform.Txn) (int64, error) {
	if f.left > 0 && f.matches(txn) {
		f.left--
		f.SetFault(f.fault)
		defer f.SetFault(platformtest.Fault{})
	}
	return f.Memory.Txn(ctx, txn)
}

// puts and deletes return whether a transaction puts, or deletes, a key with a prefix.
func puts(prefix string) func(platform.Txn) bool {
	return func(t platform.Txn) bool { return len(t.Puts) > 0 && strings.HasPrefix(t.Puts[0].Key, prefix) }
}

func deletes(prefix string) func(platform.Txn) bool {
	return func(t platform.Txn) bool { return len(t.Deletes) > 0 && strings.HasPrefix(t.Deletes[0], prefix) }
}

var _ = Describe("A lost answer of the store", func() {
	faults := map[string]platformtest.Fault{
		"done and not answered":            {LoseAnswers: true},
		"not answered and done later":      {Postpone: true},
		"refused, and nothing was done":    {Err: platform.ErrUnavailable},
		"not answered and not done at all": {Err: platform.ErrOutcomeUnknown},
	}
	writes := map[string]func(platform.Txn) bool{
		"taking the duty":         puts(dutyPrefix),
		"releasing the duty":      deletes(dutyPrefix),
		"recording a term":        puts(historyPrefix),
		"recording a suspicion":   puts(suspicionPrefix),
		"withdrawing a suspicion": deletes(suspicionPrefix),
	}
	faulty := func(matches func(platform.Txn) bool, fault platformtest.Fault, times int) (*fakeFleet, *faultyStore) {
		w := newFakeFleet(3, 0)
		w.terms.leader = 1
		store := &faultyStore{Memory: w.memory, matches: matches, fault: fault, left: times}
		for _, r := range w.hosts {
			r.options.Store = store
		}
		return w, store
	}
	fail := func(w *fakeFleet, failing bool) {
		for i := range w.hosts {
			w.failing[fmt.Sprintf("h%d", i)] = failing
		}
	}
	// settled is a time in which a duty is taken and a promotion ordered, whatever answer
	// was lost.
	const settled = 3 * time.Second

	for writeName, matches := range writes {
		for faultName, fault := range faults {
			for _, times := range []int{1, 3} {
				// Guards against a host that holds a duty without knowing it and renews it, so
				// that nobody can promote any more; against a token that is used for two
				// instances; and against a suspicion that stays although its host reaches the
				// primary again.
				It(fmt.Sprintf("does not end promotions: %s, %s, %d in a row", writeName, faultName, times), func() {
					w, store := faulty(matches, fault, times)
					fail(w, true)
					w.answer = ErrSuperseded
					w.run(5)
					w.answer = nil
					w.run(int(settled / tickInterval))
					Expect(w.orders).NotTo(BeEmpty())
					targets := map[int64]string{}
					for _, o := range w.orders {
						Expect(targets[o.token]).To(BeElementOf("", o.id), "one token names one instance")
						targets[o.token] = o.id
					}
					last := w.orders[len(w.orders)-1]
					duty, _, err := w.memory.Get(context.Background(), dutyPrefix+"x")
					Expect(err).NotTo(HaveOccurred())
					Expect(duty.ModRevision).To(Equal(last.token), "the host and the store agree on the duty")

					fail(w, false)
					w.run(5)
					store.RunPostponed()
					w.run(5)
					items, _, err := w.memory.List(context.Background(), suspicionPrefix)
					Expect(err).NotTo(HaveOccurred())
					for _, item := range items {
						var s Suspicion
						Expect(json.Unmarshal(item.Value, &s)).To(Succeed())
						Expect(s.Server).To(BeEmpty(), "the suspicion is withdrawn")
					}
				})
			}
		}
	}

	// Guards against a duty that a host holds without knowing once the reason for it is
	// gone: it renews the duty, and nobody else can take it.
	DescribeTable("leaves no duty that nobody uses",
		func(matches func(platform.Txn) bool, fault platformtest.Fault) {
			w, store := faulty(matches, fault, 1)
			fail(w, true)
			w.answer = ErrSuperseded
			w.run(4)
			for _, r := range w.hosts {
				r.options.Failing = func(*catalog.Server) bool { return false }
			}
			w.run(int(2 * dutyCheckInterval / tickInterval))
			store.RunPostponed()
			w.run(int(2 * dutyCheckInterval / tickInterval))
			duty, _, err := w.memory.Get(context.Background(), dutyPrefix+"x")
			Expect(err).NotTo(HaveOccurred())
			known := false
			for _, r := range w.hosts {
				known = known || r.services["x"].token != 0 && r.services["x"].token == duty.ModRevision
			}
			Expect(duty.ModRevision == 0 || known).To(BeTrue(), "the duty is free, or its holder knows")
		},
		Entry("created and not answered", puts(dutyPrefix), platformtest.Fault{LoseAnswers: true}),
		Entry("created late", puts(dutyPrefix), platformtest.Fault{Postpone: true}),
		Entry("release refused", deletes(dutyPrefix), platformtest.Fault{Err: platform.ErrUnavailable}),
		Entry("release carried out late", deletes(dutyPrefix), platformtest.Fault{Postpone: true}),
	)
})
