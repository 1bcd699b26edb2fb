package gatewayd

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/hosts"
	"github.com/bramleylever/bramleylever/internal/reachability"
)

func TestGatewayd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gatewayd")
}

var _ = Describe("isolation", func() {
	cutOffFromPeers := func(fleet int) *isolationDetector {
		i := &isolationDetector{domains: reachability.New("d0"), peers: reachability.New("h0"), fleet: func() int { return fleet }}
		for _, peer := range []string{"h1", "h2", "h3"} {
			i.peers.Failed(peer)
		}
		return i
	}

	// Guards against a host of a large fleet that accepts callers although it is cut off
	// from all other hosts, so that it has neither quota nor connections for them.
	It("detects a host that reaches no other host of a large fleet", func() {
		i := cutOffFromPeers(hosts.MaxSmallFleet + 1)
		Expect(i.isolated()).To(BeFalse())
		Eventually(i.isolated, 2*time.Second).Should(BeTrue())
		i.peers.Reached("h2")
		Expect(i.isolated()).To(BeFalse())
	})

	// Guards against a host of a small fleet that refuses callers although it can serve
	// them without other hosts.
	It("does not report a host of a small fleet as isolated because it reaches no other host", func() {
		i := cutOffFromPeers(hosts.MaxSmallFleet)
		Consistently(i.isolated, 800*time.Millisecond).Should(BeFalse())
	})

	// Guards against a cut that shows only once callers' work has failed: heartbeats go to other
	// failure domains all the time.
	It("detects a cut from heartbeats alone", func() {
		i := &isolationDetector{
			domains: reachability.New("d0"), peers: reachability.New("h0"), silent: reachability.NewDomains(), fleet: func() int { return 2 },
		}
		h1, h2 := hosts.Host{Name: "h1", Domain: "d1"}, hosts.Host{Name: "h2", Domain: "d1"}
		i.observe(h1, true)
		for range 2 {
			i.observe(h1, false)
			i.observe(h2, false)
		}
		Eventually(i.isolated, 2*time.Second).Should(BeTrue())
		Expect(i.silent.Silent("d1")).To(BeTrue())
		i.observe(h2, true)
		Expect(i.isolated()).To(BeFalse())
		Expect(i.silent.Silent("d1")).To(BeFalse())
	})
})
