package gatewayd

import (
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/gateway"
	"github.com/bramleylever/bramleylever/internal/reachability"
)

var _ = Describe("The drain of a host", func() {
	// Guards against work of other hosts that is cut off, with an unknown outcome,
	// because the host that keeps the connection ends once its own sessions are closed.
	It("waits for the work of other hosts on its connections", func() {
		d := New(Options{Reloadable: Reloadable{Grace: 3 * time.Second}, Log: zap.NewNop()})
		g := gateway.New(gateway.Options{
			Catalog: func() *catalog.Snapshot { return &catalog.Snapshot{} }, Reachability: reachability.New("d"),
			Log: zap.NewNop(), Registry: metrics.NewRegistry(),
		})
		var leases atomic.Int64
		leases.Store(1)
		ended := make(chan time.Time, 1)
		time.AfterFunc(1500*time.Millisecond, func() {
			ended <- time.Now()
			leases.Store(0)
		})
		d.drain(g, func() int { return int(leases.Load()) })
		Expect(time.Now()).To(BeTemporally(">=", <-ended))
	})

	// Guards against a stop that outlasts its grace time because of a peer that keeps a
	// connection.
	It("ends within the grace time", func() {
		const grace = 1500 * time.Millisecond
		d := New(Options{Reloadable: Reloadable{Grace: grace}, Log: zap.NewNop()})
		g := gateway.New(gateway.Options{
			Catalog: func() *catalog.Snapshot { return &catalog.Snapshot{} }, Reachability: reachability.New("d"),
			Log: zap.NewNop(), Registry: metrics.NewRegistry(),
		})
		started := time.Now()
		d.drain(g, func() int { return 1 })
		Expect(time.Since(started)).To(BeNumerically("<", grace))
	})
})
