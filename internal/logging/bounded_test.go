package logging

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLogging(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logging")
}

var _ = Describe("NonBlockingWriter", func() {
	// Guards against requests that block because the reader of the log is slow.
	It("drops and counts lines while the output is blocked", func() {
		reader, writer := io.Pipe()
		b := NewNonBlockingWriter(writer)
		const beyond = 100
		for range bufferLines + beyond + 1 {
			_, err := b.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(b.Dropped()).To(BeNumerically(">=", beyond))
		Expect(reader.Close()).To(Succeed())
		b.Close()
	})

	It("writes the buffered lines before Close returns", func() {
		var out bytes.Buffer
		b := NewNonBlockingWriter(&out)
		for range 100 {
			_, _ = b.Write([]byte("line\n"))
		}
		b.Close()
		Expect(strings.Count(out.String(), "line")).To(Equal(100))
	})
})

var _ = Describe("WithRateLimit", func() {
	// Guards against a log that grows with the load of an account whose requests far exceed its
	// limit, because each refusal is logged.
	It("limits the lines with the same message and reports the number of omitted lines", func() {
		var out bytes.Buffer
		logger, err := New("info", &out)
		Expect(err).NotTo(HaveOccurred())
		registry := metrics.NewRegistry()
		logger = WithRateLimit(logger, registry)
		now := time.Unix(1000, 0)
		core, ok := logger.Core().(*rateLimitCore)
		Expect(ok).To(BeTrue())
		core.limiter.now = func() time.Time { return now }
		for range rateLimitLines + 25 {
			logger.Info("refused")
		}
		logger.Error("refused")
		logger.Info("other")
		Expect(strings.Count(out.String(), `"refused"`)).To(Equal(rateLimitLines + 1))
		Expect(out.String()).To(ContainSubstring(`"other"`))
		now = now.Add(rateLimitPeriod)
		out.Reset()
		logger.Info("refused")
		Expect(out.String()).To(ContainSubstring(`"omitted_lines":25`))
		Expect(metrics.GetOrRegisterCounter("logging.omitted_lines_count", registry).Count()).To(Equal(int64(25)))
	})
})
