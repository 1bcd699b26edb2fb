package quota

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against allocations that end, so that operations within the rate are refused,
// because each write fails on a ledger that the store, restored from an older copy, holds
// at a lower revision than the one that the host knew.
func TestAllocationsAreRenewedAfterTheStoreIsRestored(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1, 100)
	l := f.limiters[0]
	ctx := context.Background()
	renew := func() {
		f.now = f.now.Add(renewAfter)
		g.Expect(l.Admit(f.account, f.now)).To(BeTrue())
		l.write(ctx, 1<<shardOf(f.account.Name))
	}
	renew()
	older := f.memory.Copy()
	renew()
	renew()
	f.memory.Restore(older)
	for range 4 {
		renew()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(f.account.Name)
	g.Expect(a.expired(f.now)).To(BeFalse())
	g.Expect(f.now.Sub(a.renewedAt)).To(BeNumerically("<", time.Second))
}
