package faultnet_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/faultnet"
)

func TestFaultnet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "faultnet")
}

var _ = Describe("Network", func() {
	var (
		network  *faultnet.Network
		listener net.Listener
		dial     faultnet.DialFunc
		near     = netip.MustParsePrefix("127.0.1.0/24")
		far      = netip.MustParsePrefix("127.0.2.0/24")
	)

	BeforeEach(func() {
		network = faultnet.New()
		var err error
		listener, err = net.Listen("tcp", "127.0.2.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		dial = network.Dialer(netip.MustParseAddr("127.0.1.1"))
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				go func() { _, _ = c.Write([]byte(c.RemoteAddr().(*net.TCPAddr).IP.String())) }()
			}
		}()
	})

	// Guards against a cut that blocks nothing, which would make tests of partitions
	// meaningless.
	It("does not connect across a cut until Heal removes it", func() {
		network.Cut(near, far)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, err := dial(ctx, "tcp", listener.Addr().String())
		Expect(err).To(MatchError(context.DeadlineExceeded))
		network.Heal()
		c, err := dial(context.Background(), "tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Close()).To(Succeed())
	})

	// Guards against a cut that loses bytes of an established connection; TCP would
	// deliver them after the partition ends.
	It("delays bytes of an established connection", func() {
		c, err := dial(context.Background(), "tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		network.Cut(near, far)
		Expect(c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))).To(Succeed())
		_, err = c.Read(make([]byte, 16))
		Expect(err).To(HaveOccurred())
		network.Heal()
		Expect(c.SetReadDeadline(time.Now().Add(time.Minute))).To(Succeed())
		buffer := make([]byte, 16)
		n, err := c.Read(buffer)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(buffer[:n])).To(Equal("127.0.1.1"))
	})
})
