package bench_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/bench"
)

var _ = Describe("Arrivals", func() {
	start := time.Unix(0, 0)

	// Guards against a load that drifts away from the stated rate.
	It("keeps the rate", func() {
		constant, err := bench.NewConstant(start, 200)
		Expect(err).NotTo(HaveOccurred())
		poisson, err := bench.NewPoisson(start, 200, 1)
		Expect(err).NotTo(HaveOccurred())
		const count = 20000
		for range count {
			constant.Next()
			poisson.Next()
		}
		Expect(constant.Next()).To(Equal(start.Add(100 * time.Second)))
		Expect(poisson.Next().Sub(start).Seconds()).To(BeNumerically("~", 100, 3))
	})

	// Guards against a load tool that loops for ever on a wrong rate.
	DescribeTable("refuses a rate of",
		func(rate float64) {
			_, err := bench.NewPoisson(start, rate, 1)
			Expect(err).To(MatchError(ContainSubstring("rate is")))
			_, err = bench.NewConstant(start, rate)
			Expect(err).To(MatchError(ContainSubstring("rate is")))
		},
		Entry("zero", 0.0), Entry("below zero", -1.0), Entry("infinity", math.Inf(1)), Entry("no number", math.NaN()),
	)
})
