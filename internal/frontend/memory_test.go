package frontend_test

import (
	"encoding/binary"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rcrowley/go-metrics"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/frontend"
	"github.com/bramleylever/bramleylever/internal/membudget"
)

var _ = Describe("The memory that callers' messages take", func() {
	// Guards against callers whose large or unfinished messages run the process out of memory,
	// and against ordinary callers that are refused because of them.
	It("is bounded, and short requests go on at the bound", func() {
		const messageBytes = 256 << 10
		memory := membudget.New(6*messageBytes, metrics.NewRegistry())
		b := newTestProxy(func(c *frontend.Config) { c.Memory = memory })
		defer b.close()
		unfinished := b.dialRaw()
		defer unfinished.net.Close()
		header := binary.BigEndian.AppendUint32([]byte{'Q'}, messageBytes)
		_, err := unfinished.net.Write(append(header, strings.Repeat("x", messageBytes-100)...))
		Expect(err).NotTo(HaveOccurred())
		Eventually(memory.Leased).Should(BeNumerically(">", 3*messageBytes))

		ordinary := b.dialRaw()
		defer ordinary.net.Close()
		ordinary.Send(&pgproto3.Query{String: "SELECT 1"})
		Expect(ordinary.Flush()).To(Succeed())
		Expect(ordinary.untilReady()).To(ContainSubstring("row"))

		large := b.dialRaw()
		defer large.net.Close()
		large.Send(&pgproto3.Query{String: "SELECT '" + strings.Repeat("y", messageBytes) + "'"})
		Expect(large.Flush()).To(Succeed())
		Expect(large.untilReady()).To(Equal("53200 end"))

		Expect(unfinished.net.Close()).To(Succeed())
		Eventually(memory.Leased).Should(BeZero())
	})
})
