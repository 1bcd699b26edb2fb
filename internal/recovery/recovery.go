// Package recovery contains panics, so that a fault in the work for one caller, peer or
// message does not end the process with the work of all others. A contained panic is
// reported with its stack and counted; it is never silent.
//
// Invariant: state that only the failed goroutine used is dropped by its cleanup, and
// is not used any more.
package recovery

import (
	"context"
	"errors"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// restartDelay is the time after which Loop starts a function again that panicked.
const restartDelay = 500 * time.Millisecond

// reporter receives the contained panics; nil until SetReporter is called.
var reporter atomic.Pointer[func(where string, value any, stack []byte)]

// SetReporter sets the function that is told of each contained panic. It is called on
// the goroutine that panicked.
func SetReporter(f func(where string, value any, stack []byte)) { reporter.Store(&f) }

// LogTo makes contained panics appear in a log and in the counter
// recovery.panics_count of a registry.
func LogTo(log *zap.Logger, registry metrics.Registry) {
	panics := metrics.GetOrRegisterCounter("recovery.panics_count", registry)
	SetReporter(func(where string, value any, stack []byte) {
		panics.Inc(1)
		log.Error("panic contained", zap.String("where", where), zap.Any("panic", value), zap.ByteString("stack", stack))
	})
}

// Contain ends a panic of the calling goroutine, reports it and runs cleanup, which may
// be nil. It must be deferred directly.
func Contain(where string, cleanup func()) {
	value := recover()
	if value == nil {
		return
	}
	report(where, value, debug.Stack())
	if cleanup != nil {
		defer Contain(where+" cleanup", nil)
		cleanup()
	}
}

func report(where string, value any, stack []byte) {
	if f := reporter.Load(); f != nil {
		(*f)(where, value, stack)
	}
}

// Go runs a function in a new goroutine and contains its panics.
func Go(where string, f func()) {
	go Run(where, f)
}

// Run runs a function and contains its panics.
func Run(where string, f func()) {
	defer Contain(where, nil)
	f()
}

// ErrPanic is the error of a call that ended by a panic.
var ErrPanic = errors.New("the call ended by a panic")

// Call runs a function and returns its error, or ErrPanic if it panicked.
func Call(where string, f func() error) error {
	result := ErrPanic
	Run(where, func() { result = f() })
	return result
}

// Loop runs a function that works until ctx ends, and starts it again after a panic.
// The function must not rely on state that an earlier run may have left half changed.
func Loop(ctx context.Context, where string, f func(context.Context)) {
	for {
		finished := false
		Run(where, func() {
			f(ctx)
			finished = true
		})
		if finished {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(restartDelay):
		}
	}
}
