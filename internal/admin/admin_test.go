package admin_test

import (
	"io"
	"net/http"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/bramleylever/bramleylever/internal/admin"
)

func TestAdmin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admin")
}

func get(url string) (int, string) {
	response, err := http.Get(url)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(body)
}

var _ = Describe("Server", func() {
	var (
		server *admin.Server
		ready  admin.Readiness
	)

	BeforeEach(func() {
		registry := metrics.NewRegistry()
		metrics.GetOrRegisterCounter("frontend.statements_count", registry).Inc(3)
		ready = admin.Readiness{Ready: true}
		var err error
		server, err = admin.Start(admin.Config{
			Address:  "127.0.0.1:0",
			Ready:    func() admin.Readiness { return ready },
			Status:   func() any { return map[string]int{"revision": 7} },
			Registry: registry,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Stop)
	})

	// Guards against a load balancer that sends callers to a draining host.
	It("responds with 503 to readiness checks once the host is not ready", func() {
		code, _ := get("http://" + server.Address() + "/health/ready")
		Expect(code).To(Equal(http.StatusOK))
		ready = admin.Readiness{Reason: "draining"}
		code, body := get("http://" + server.Address() + "/health/ready")
		Expect(code).To(Equal(http.StatusServiceUnavailable))
		Expect(body).To(ContainSubstring("draining"))
	})

	// Guards against metrics in a format that monitoring systems cannot parse.
	It("exports metrics as Prometheus text and JSON", func() {
		_, body := get("http://" + server.Address() + "/metrics")
		Expect(body).To(ContainSubstring("bramleylever_frontend_statements_count 3"))
		_, body = get("http://" + server.Address() + "/metrics.json")
		Expect(body).To(ContainSubstring(`"frontend.statements_count"`))
	})

	// Guards against a status without the revision of the configuration in force.
	It("serves the status as JSON", func() {
		_, body := get("http://" + server.Address() + "/status")
		Expect(body).To(ContainSubstring(`"revision": 7`))
	})
})

var _ = Describe("Start", func() {
	// Guards against a crash of the process, because the rest server panics if it cannot listen.
	It("returns an error if it cannot listen on the address", func() {
		_, err := admin.Start(admin.Config{Address: "192.0.2.1:1"})
		Expect(err).To(MatchError(ContainSubstring("192.0.2.1:1")))
	})
})
