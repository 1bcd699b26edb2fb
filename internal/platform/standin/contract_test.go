package standin_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/internal/platform/platformtest"
	"github.com/bramleylever/bramleylever/internal/platform/standin"
)

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform store stand-in")
}

func start() *standin.Server {
	server, err := standin.Start("127.0.0.1:0", standin.Options{})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	return server
}

func dial(server *standin.Server, local string) platform.Store {
	store, err := platform.Dial(context.Background(), platform.Options{
		Endpoints:        []string{server.Address()},
		LocalAddress:     local,
		Timeout:          500 * time.Millisecond,
		ProgressInterval: 50 * time.Millisecond,
	})
	Expect(err).NotTo(HaveOccurred())
	return store
}

var harness = &platformtest.Harness{}

var _ = platformtest.DescribeStore("etcd client and stand-in", harness)

var _ = BeforeEach(func() {
	server := start()
	harness.Open = func() platform.Store { return dial(server, "") }
	harness.Compact = server.Compact
	restoreHarness.Open = harness.Open
	restoreHarness.Copy = func() func() {
		copied := time.Now()
		time.Sleep(2 * time.Millisecond)
		return func() { server.Restore(time.Since(copied)) }
	}
})

var restoreHarness = &platformtest.RestoreHarness{}

// Guards against a client or a stand-in whose revisions go back after a restore.
var _ = platformtest.DescribeRestore("etcd client and stand-in", restoreHarness)
