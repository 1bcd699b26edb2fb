package platformtest_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/internal/platform/platformtest"
)

func TestMemory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "in-memory platform store")
}

var (
	harness        = &platformtest.Harness{}
	restoreHarness = &platformtest.RestoreHarness{}
)

var _ = BeforeEach(func() {
	memory := platformtest.NewMemory(nil)
	harness.Open = func() platform.Store { return memory }
	harness.Compact = memory.Compact
	restoreHarness.Open = harness.Open
	restoreHarness.Copy = func() func() {
		older := memory.Copy()
		return func() { memory.Restore(older) }
	}
})

// Guards against tests that pass only because Memory behaves unlike a real store.
var _ = platformtest.DescribeStore("memory", harness)

// Guards against tests of a restored store that pass only because Memory is ordered
// unlike a real store.
var _ = platformtest.DescribeRestore("memory", restoreHarness)
