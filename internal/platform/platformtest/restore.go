package platformtest

import (
	"context"

	. "github.com/onsi/ginkgo/v2" //nolint:staticcheck // Ginkgo specs use dot imports
	. "github.com/onsi/gomega"    //nolint:staticcheck // Ginkgo specs use dot imports

	"github.com/bramleylever/bramleylever/internal/platform"
)

// RestoreHarness gives the restore suite access to a store that can be restored.
type RestoreHarness struct {
	// Open returns a store.
	Open func() platform.Store
	// Copy takes a copy of the store and returns a function that restores the store from
	// it.
	Copy func() (restore func())
}

// DescribeRestore registers the contract suite for an implementation of a store that may
// come back from an older copy.
func DescribeRestore(name string, h *RestoreHarness) bool {
	return Describe("platform.Store contract for a restored store: "+name, func() {
		c := &contract{prefix: "/restored/"}
		BeforeEach(func() {
			c.store = h.Open()
			ctx, cancel := context.WithTimeout(context.Background(), specTimeout)
			c.ctx = ctx
			DeferCleanup(func() {
				cancel()
				Expect(c.store.Close()).To(Succeed())
			})
		})

		// Guards against a host that takes what was written after the restore for older
		// than what it had read before.
		It("gives higher revisions after a restore", func() {
			restore := h.Copy()
			before := c.put("a", "1", 0)
			c.put("a", "2", 0)
			generation := c.store.Generation()
			restore()
			Expect(c.get("a").ModRevision).To(BeZero())
			Expect(c.put("b", "1", 0)).To(BeNumerically(">", before+1))
			Expect(c.store.Generation()).To(BeNumerically(">", generation))
			Expect(c.get("b").ModRevision).To(BeNumerically(">", before+1))
		})

		// Guards against a watch that misses the changes between the copy and a revision
		// that has been given out again.
		It("ends a watch from a revision of an earlier generation", func() {
			restore := h.Copy()
			from := c.put("a", "1", 0) + 1
			restore()
			for range 4 {
				c.put("b", "again", 0)
			}
			updates, err := c.store.Watch(c.ctx, c.prefix, from)
			Expect(err).NotTo(HaveOccurred())
			Expect(nextChange(updates).Err).To(MatchError(platform.ErrCompacted))
		})

		// Guards against a write over the value of another host that got the same revision
		// number.
		It("refuses a compare with a revision of an earlier generation", func() {
			restore := h.Copy()
			before := c.put("a", "mine", 0)
			restore()
			c.put("a", "theirs", 0)
			_, err := c.store.Txn(c.ctx, platform.Txn{
				Compares: []platform.Compare{{Key: c.prefix + "a", ModRevision: before}},
				Puts:     []platform.Put{{Key: c.prefix + "a", Value: []byte("mine again")}},
			})
			Expect(err).To(MatchError(platform.ErrConflict))
			Expect(string(c.get("a").Value)).To(Equal("theirs"))
		})
	})
}
