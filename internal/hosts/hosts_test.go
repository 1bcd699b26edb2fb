package hosts

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/platform/platformtest"
)

var _ = Describe("Registry", func() {
	var memory *platformtest.Memory
	var registry *Registry
	listed := func() int {
		items, _, err := memory.List(context.Background(), Prefix)
		Expect(err).NotTo(HaveOccurred())
		return len(items)
	}
	BeforeEach(func() {
		memory = platformtest.NewMemory(nil)
		registry = New(Host{Name: "h0", Domain: "d0", Address: "h0:1"}, memory, zap.NewNop())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); registry.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-done })
		Eventually(listed).Should(Equal(1))
	})

	// Guards against a host that no other reaches and that stays a holder of
	// limits and connections: accounts whose holders were cut off got nothing.
	It("leaves the list and comes back without losing its lease", func() {
		lease, _ := registry.Lease()
		registry.SetWithdrawn(true)
		Eventually(listed).Should(BeZero())
		Expect(registry.Hosts()).To(BeEmpty())
		registry.SetWithdrawn(false)
		Eventually(listed).Should(Equal(1))
		Expect(registry.Hosts()).To(HaveLen(1))
		after, valid := registry.Lease()
		Expect(after).To(Equal(lease))
		Expect(valid).To(BeNumerically(">", time.Duration(0)))
	})
})
