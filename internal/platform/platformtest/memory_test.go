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

var harness = &platformtest.Harness{}

var _ = BeforeEach(func() {
	memory := platformtest.NewMemory(nil)
	harness.Open = func() platform.Store { return memory }
	harness.Compact = memory.Compact
})

// Guards against tests that pass only because Memory behaves unlike a real store.
var _ = platformtest.DescribeStore("memory", harness)
