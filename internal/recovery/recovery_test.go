package recovery

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

func TestRecovery(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "recovery")
}

var _ = Describe("A panic", func() {
	var registry metrics.Registry
	count := func() int64 { return metrics.GetOrRegisterCounter("recovery.panics_count", registry).Count() }
	BeforeEach(func() {
		registry = metrics.NewRegistry()
		LogTo(zap.NewNop(), registry)
	})

	// Guards against a fault in one goroutine that ends the process, and against one that
	// nobody hears of.
	It("is contained, counted and cleaned up after", func() {
		cleaned := make(chan struct{})
		go func() {
			defer Contain("test", func() { close(cleaned) })
			panic("fault")
		}()
		Eventually(cleaned).Should(BeClosed())
		Expect(count()).To(Equal(int64(1)))
	})

	// Guards against a control loop that never runs again.
	It("restarts a loop", func() {
		var runs atomic.Int64
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			Loop(ctx, "test", func(ctx context.Context) {
				if runs.Add(1) == 1 {
					panic("fault")
				}
				<-ctx.Done()
			})
		}()
		Eventually(runs.Load, 4*restartDelay).Should(Equal(int64(2)))
		cancel()
		Eventually(done).Should(BeClosed())
		Expect(count()).To(Equal(int64(1)))
	})

	// Guards against one hostile or malformed message of a peer that ends the process.
	It("in a handler fails only that call", func() {
		_, err := containUnary(context.Background(), nil, &grpc.UnaryServerInfo{FullMethod: "m"},
			func(context.Context, any) (any, error) { panic("fault") })
		Expect(status.Code(err)).To(Equal(codes.Internal))
		err = containStream(nil, nil, &grpc.StreamServerInfo{FullMethod: "m"},
			func(any, grpc.ServerStream) error { panic("fault") })
		Expect(status.Code(err)).To(Equal(codes.Internal))
		Expect(count()).To(Equal(int64(2)))
	})

	// Guards against a caller that waits for ever for the result of a call that panicked.
	It("becomes the error of a call", func() {
		Expect(Call("test", func() error { panic("fault") })).To(MatchError(ErrPanic))
		Expect(Call("test", func() error { return nil })).To(Succeed())
	})

	// Guards against a cleanup that panics as well.
	It("in a cleanup is contained too", func() {
		done := make(chan struct{})
		go func() {
			defer close(done)
			defer Contain("test", func() { panic("again") })
			panic("fault")
		}()
		Eventually(done, time.Second).Should(BeClosed())
		Expect(count()).To(Equal(int64(2)))
	})
})
