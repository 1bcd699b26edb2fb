package membudget

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"
)

// TestBudgetIsKept guards against leases that hold more than the budget, and against bytes
// that are not given back.
func TestBudgetIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 1 << 20
		b := New(total, metrics.NewRegistry())
		leases := []*Lease{b.Lease(), b.Lease(), b.Lease(), b.Lease()}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			l := leases[rapid.IntRange(0, len(leases)-1).Draw(t, "lease")]
			if rapid.Bool().Draw(t, "release") {
				l.Release()
				continue
			}
			before := l.held
			if l.Hold(rapid.IntRange(0, total/2).Draw(t, "bytes"), 0) != nil && l.held != before {
				t.Fatal("a refused lease changed")
			}
			sum := int64(0)
			for _, other := range leases {
				sum += other.held
			}
			if sum > total || sum != b.Leased() {
				t.Fatalf("leases hold %d of %d bytes, the budget says %d", sum, total, b.Leased())
			}
		}
		for _, l := range leases {
			l.Release()
		}
		if b.Leased() != 0 {
			t.Fatalf("%d bytes were not given back", b.Leased())
		}
	})
}

// TestSmallMessagesNeedNoLease guards against ordinary requests that wait behind a crowd.
func TestSmallMessagesNeedNoLease(t *testing.T) {
	g := NewWithT(t)
	b := New(64<<10, metrics.NewRegistry())
	g.Expect(b.Lease().Hold(16<<10, 0)).To(Succeed())
	large := b.Lease()
	g.Expect(large.Hold(16<<10, time.Millisecond)).To(MatchError(ErrExhausted))
	g.Expect(b.Lease().Hold(FreeBytes, 0)).To(Succeed())
}

// TestWaiterIsServedByRelease guards against a message that waits although bytes were given
// back, and against one that is overtaken.
func TestWaiterIsServedByRelease(t *testing.T) {
	g := NewWithT(t)
	b := New(80<<10, metrics.NewRegistry())
	first := b.Lease()
	g.Expect(first.Hold(20<<10, 0)).To(Succeed())
	done := make(chan error, 1)
	go func() { done <- b.Lease().Hold(20<<10, time.Minute) }()
	g.Eventually(func() int { b.mu.Lock(); defer b.mu.Unlock(); return len(b.waiters) }).Should(Equal(1))
	g.Expect(b.Lease().Hold(10<<10, 0)).To(MatchError(ErrExhausted))
	first.Release()
	g.Eventually(done).Should(Receive(BeNil()))
}
