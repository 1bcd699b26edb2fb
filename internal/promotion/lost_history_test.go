package promotion

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/internal/platform/platformtest"
)

// TestPromotionsGoOnAfterLostAnswers draws histories in which any conditional write of the
// promotion duty is done and not answered, or not done. It guards against a host that takes
// its own key for another host's: nobody can promote any more.
func TestPromotionsGoOnAfterLostAnswers(t *testing.T) {
	gomega.RegisterTestingT(t)
	prefixes := []func(platform.Txn) bool{
		puts(dutyPrefix), deletes(dutyPrefix), puts(historyPrefix), puts(suspicionPrefix), deletes(suspicionPrefix),
	}
	faults := []platformtest.Fault{{LoseAnswers: true}, {Err: platform.ErrUnavailable}, {Err: platform.ErrOutcomeUnknown}}
	rapid.Check(t, func(t *rapid.T) {
		w := newFakeFleet(3, 0)
		w.terms.leader = 1
		store := &faultyStore{Memory: w.memory}
		for _, r := range w.hosts {
			r.options.Store = store
		}
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			for i := range w.hosts {
				w.failing[fmt.Sprintf("h%d", i)] = rapid.Bool().Draw(t, "fails")
			}
			store.matches = rapid.SampledFrom(prefixes).Draw(t, "write")
			store.fault = rapid.SampledFrom(faults).Draw(t, "fault")
			store.left = rapid.IntRange(0, 3).Draw(t, "times")
			w.answer = rapid.SampledFrom([]error{nil, ErrSuperseded}).Draw(t, "answer")
			w.run(rapid.IntRange(1, 8).Draw(t, "steps"))
		}
		store.left, w.answer = 0, nil
		for i := range w.hosts {
			w.failing[fmt.Sprintf("h%d", i)] = true
		}
		before := len(w.orders)
		w.run(int((minPromotionInterval + 10*time.Second) / tickInterval))
		if len(w.orders) == before {
			t.Fatal("no promotion is ordered any more")
		}
	})
}
