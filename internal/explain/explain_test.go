package explain

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestExplain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "explain")
}

const logs = `  3.10 host-2 {"level":"info","time":"2026-01-01T00:00:03.1Z","msg":"primary suspected","decision":"suspect_primary","service":"svc","instance":"i-1"}
not a log line
  1.00 host-1 {"level":"warn","time":"2026-01-01T00:00:01Z","msg":"store lost","step":"follow catalog"}
  3.50 host-1 {"level":"info","time":"2026-01-01T00:00:03.5Z","msg":"statement not served","decision":"answer","request":"q1","service":"svc","code":"BUSY","reason":"not run: reset at i-2"}
  3.20 host-3 {"level":"info","time":"2026-01-01T00:00:03.2Z","msg":"instance not reached","decision":"avoid_instance","instance":"i-2"}
  3.30 host-1 {"level":"info","time":"2026-01-01T00:00:03.3Z","msg":"statement not served","decision":"answer","request":"q2","service":"svc","code":"BUSY"}
  3.30 host-3 {"level":"info","time":"2026-01-01T00:00:03.3Z","msg":"primary suspected","decision":"suspect_primary","service":"other"}
  9.00 host-2 {"level":"info","time":"2026-01-01T00:00:09Z","msg":"promotion ordered","decision":"promote","service":"svc"}
`

var _ = Describe("Find", func() {
	read := func() []Line {
		lines, skipped, err := Read(strings.NewReader(logs), "file")
		Expect(err).NotTo(HaveOccurred())
		Expect(skipped).To(Equal(1))
		return lines
	}

	// Guards against missing a cause that only another host logged, and against including lines
	// of other requests, which would hide it.
	It("returns the lines of the request and earlier related lines, sorted by time", func() {
		var messages []string
		for _, l := range Find(read(), Options{Request: "q1", Before: 5 * time.Second}) {
			messages = append(messages, l.Source+" "+l.Message)
		}
		Expect(messages).To(Equal([]string{
			"host-1 store lost", "host-2 primary suspected", "host-3 instance not reached", "host-1 statement not served",
		}))
	})

	It("returns no lines for an unknown request", func() {
		Expect(Find(read(), Options{Request: "q9", Before: time.Second})).To(BeEmpty())
	})
})
