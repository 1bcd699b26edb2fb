package gatewayd

import (
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/connpool"
	"github.com/bramleylever/bramleylever/internal/gateway"
	"github.com/bramleylever/bramleylever/internal/reachability"
)

// fakeLeases is the work of other hosts. ended is the number of calls of EndLeases.
type fakeLeases struct{ open, refused, ended atomic.Int64 }

func (f *fakeLeases) Drain()       { f.refused.Add(1) }
func (f *fakeLeases) EndLeases()   { f.ended.Add(1) }
func (f *fakeLeases) Serving() int { return int(f.open.Load()) }

// fakeCallers is a server without a listener. stopped is the number of calls of Close.
type fakeCallers struct{ open, stopped atomic.Int64 }

func (f *fakeCallers) Close() error {
	f.stopped.Add(1)
	return nil
}

func (f *fakeCallers) Connections() int { return int(f.open.Load()) }

// newIdleGateway returns a gateway without sessions.
func newIdleGateway() *gateway.Gateway {
	return gateway.New(gateway.Options{
		Catalog: func() *catalog.Snapshot { return &catalog.Snapshot{} }, Reachability: reachability.New("d"),
		Conns: noConns{}, Log: zap.NewNop(), Registry: metrics.NewRegistry(),
	})
}

// noConns is a Source of which only Interrupt may be called.
type noConns struct{ connpool.Source }

func (noConns) Interrupt() {}

// unregistered is closed: the host is no longer registered.
func unregistered() <-chan struct{} {
	closed := make(chan struct{})
	close(closed)
	return closed
}

var _ = Describe("The drain of a host", func() {
	// Guards against work of other hosts that is cut off, with an unknown outcome,
	// because the host that keeps the connection ends once its own sessions are closed.
	It("waits for the work of other hosts on its connections", func() {
		d := New(Options{Reloadable: Reloadable{Grace: 3 * time.Second}, Log: zap.NewNop()})
		leases := &fakeLeases{}
		leases.open.Store(1)
		ended := make(chan time.Time, 1)
		time.AfterFunc(1500*time.Millisecond, func() {
			ended <- time.Now()
			leases.open.Store(0)
		})
		d.drain(newIdleGateway(), &fakeCallers{}, leases, unregistered())
		Expect(time.Now()).To(BeTemporally(">=", <-ended))
		Expect(leases.refused.Load()).To(Equal(int64(1)))
		Expect(leases.ended.Load()).To(Equal(int64(1)))
	})

	// Guards against a process that ends before a caller that it has accepted is told that
	// it gets no session.
	It("stops accepting callers, and then waits for those that it has accepted", func() {
		d := New(Options{Reloadable: Reloadable{Grace: 3 * time.Second}, Log: zap.NewNop()})
		callers := &fakeCallers{}
		callers.open.Store(1)
		ended := make(chan time.Time, 1)
		time.AfterFunc(1500*time.Millisecond, func() {
			ended <- time.Now()
			callers.open.Store(0)
		})
		d.drain(newIdleGateway(), callers, &fakeLeases{}, unregistered())
		Expect(time.Now()).To(BeTemporally(">=", <-ended))
		Expect(callers.stopped.Load()).To(Equal(int64(1)))
	})

	// Guards against a stop that outlasts its grace time because of a peer that keeps a
	// connection, or because the store does not confirm the end of the registration. Work
	// that is cut off must be reported as an error.
	It("ends within the grace time and reports work that it cuts off", func() {
		const grace = 1500 * time.Millisecond
		core, logs := observer.New(zap.InfoLevel)
		d := New(Options{Reloadable: Reloadable{Grace: grace}, Log: zap.New(core)})
		leases := &fakeLeases{}
		leases.open.Store(1)
		started := time.Now()
		d.drain(newIdleGateway(), &fakeCallers{}, leases, make(chan struct{}))
		Expect(time.Since(started)).To(BeNumerically("<", grace))
		errors := logs.FilterLevelExact(zap.ErrorLevel).All()
		Expect(errors).To(HaveLen(1))
		Expect(errors[0].ContextMap()).To(HaveKeyWithValue("leases", int64(1)))
	})
})
