package settings_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/routing"
	"github.com/bramleylever/bramleylever/internal/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const minimal = `{
  "host": "h1", "failure_domain": "a", "failure_domains": ["a", "b"],
  "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "admin": "127.0.0.1:0"},
  "platform": {"endpoints": ["127.0.0.1:2379"]},
  "backend": {"user": "proxy", "password": "p"}%s
}`

func withExtra(extra string) []byte {
	return []byte(minimal[:len(minimal)-4] + extra + "\n}")
}

var _ = Describe("Parse", func() {
	// Guards against defaults that differ from the documented ones.
	It("sets the defaults of omitted fields", func() {
		s, err := settings.Parse(withExtra(""))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Platform.Timeout).To(Equal(time.Second))
		Expect(s.Drain.Timeout).To(Equal(time.Minute))
		Expect(s.Log.Level).To(Equal("info"))
		Expect(s.Limits.Connections).To(Equal(6000))
		Expect(s.Routing.QueueWait).To(Equal(5 * time.Second))
	})

	// Guards against a policy that the settings accept and routing does not know, so that routing
	// silently uses its default.
	It("accepts exactly the policies that routing has", func() {
		for _, name := range routing.Policies {
			s, err := settings.Parse(withExtra(`, "routing": {"policy": "` + name + `"}`))
			Expect(err).NotTo(HaveOccurred())
			_, err = routing.NewPolicy(s.Routing.Policy, 1)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := settings.Parse(withExtra(`, "routing": {"policy": "waiting_time"}`))
		Expect(err).To(MatchError(ContainSubstring("routing.policy")))
	})

	// Guards against typing errors in field names that are silently ignored, and against invalid
	// values.
	DescribeTable("rejects an invalid field with its path", func(extra, path string) {
		_, err := settings.Parse(withExtra(extra))
		Expect(err).To(MatchError(ContainSubstring(path)))
	},
		Entry("unknown field", `, "hosts": 1`, "hosts: unknown field"),
		Entry("unknown nested field", `, "log": {"levl": "info"}`, "log.levl: unknown field"),
		Entry("value that is not an option", `, "log": {"level": "loud"}`, "log.level"),
		Entry("number out of range", `, "limits": {"connections": 0}`, "limits.connections"),
		Entry("duration out of range", `, "drain": {"timeout": "1ms"}`, "drain.timeout"),
		Entry("host name in place of an IP address", `, "peers": {"seeds": ["localhost:1"]}`, "peers.seeds[0]"),
		Entry("TLS key without a certificate", `, "tls": {"key_file": "k"}`, "tls: "),
	)
})

func FuzzParse(f *testing.F) {
	f.Add(withExtra(""))
	f.Add([]byte(`{"listen": []}`))
	f.Fuzz(func(_ *testing.T, content []byte) {
		_, _ = settings.Parse(content)
	})
}
