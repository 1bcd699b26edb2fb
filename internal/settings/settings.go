// Package settings reads the settings file of a proxy, which is JSON, with go-zero's conf. It
// rejects unknown fields and values out of range with errors that name the path of the field.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/zeromicro/go-zero/core/conf"
)

// Settings configures one proxy process.
type Settings struct {
	// Host is the unique name of this host.
	Host string `json:"host"`
	// FailureDomain is the failure domain of this host.
	FailureDomain string `json:"failure_domain"`
	// FailureDomains lists all failure domains of the deployment, including this host's.
	FailureDomains []string  `json:"failure_domains"`
	Listen         Listen    `json:"listen"`
	Platform       Platform  `json:"platform"`
	Peers          Peers     `json:"peers"`
	Backend        Backend   `json:"backend"`
	TLS            TLS       `json:"tls"`
	Log            Log       `json:"log"`
	Routing        Routing   `json:"routing"`
	Limits         Limits    `json:"limits"`
	Drain          DrainTime `json:"drain"`
}

// Listen holds the listen addresses for callers, other proxies and the admin server. Each is an IP
// address and a port; port 0 means a port that the kernel selects.
type Listen struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Admin   string `json:"admin"`
}

// Platform configures access to the platform's store, a key-value service.
type Platform struct {
	// Endpoints are IP addresses with ports, tried in order.
	Endpoints []string      `json:"endpoints"`
	Timeout   time.Duration `json:"timeout,default=1s"`
}

// Peers configures how this host finds other proxies.
type Peers struct {
	// Seeds are addresses of peers. This host joins the membership through them, and fetches the
	// configuration from them while the platform is unavailable.
	Seeds []string `json:"seeds,optional"`
}

// Backend holds the proxy's credentials and connection options for backend servers.
type Backend struct {
	User            string `json:"user"`
	Password        string `json:"password,optional"`
	PasswordFile    string `json:"password_file,optional"`
	ControlPassword string `json:"control_password,optional"`
	// SourceAddress is the local IP address of outgoing connections; if it is empty, the kernel
	// selects one.
	SourceAddress  string        `json:"source_address,optional"`
	ConnectTimeout time.Duration `json:"connect_timeout,default=1s"`
}

// TLS holds the server certificate for callers; without one, requests for TLS are refused.
type TLS struct {
	CertificateFile string `json:"certificate_file,optional"`
	KeyFile         string `json:"key_file,optional"`
}

// Log configures logging.
type Log struct {
	Level string `json:"level,default=info"`
	// RoutingSample is the sampling interval of routing decisions: one of every RoutingSample
	// decisions is logged, 1 logs each and 0 none. Decisions on placement and failover and
	// changes of keys and records are always logged.
	RoutingSample int `json:"routing_sample,default=1"`
}

// Routing configures the selection of replicas and the wait times of requests.
type Routing struct {
	Policy string `json:"policy,default=power_of_two"`
	// GuardWait is how long a read waits for a replica to reach the session's position before
	// the read is sent to the primary.
	GuardWait time.Duration `json:"guard_wait,default=20ms"`
	// ReplicateWait is how long a commit waits for replication to a majority before its outcome
	// is reported as unknown.
	ReplicateWait time.Duration `json:"replicate_wait,default=5s"`
	// QueueWait is how long a request waits for a primary or a connection
	// before it is refused as not run.
	QueueWait time.Duration `json:"queue_wait,default=5s"`
}

// Limits limits the resources that callers can use on this host.
type Limits struct {
	Connections  int `json:"connections,default=6000"`
	MessageBytes int `json:"message_bytes,default=16777216"`
	// MemoryBytes is the memory that the process may use; a part of it bounds the callers'
	// messages.
	MemoryBytes   int64 `json:"memory_bytes,default=1073741824"`
	QueueRequests int   `json:"queue_requests,default=1000"`
	QueueBytes    int   `json:"queue_bytes,default=8388608"`
}

// DrainTime configures the times of a graceful shutdown.
type DrainTime struct {
	// ReadinessDelay is the time between reporting not ready and refusing connections, in which
	// the load balancer stops sending callers to this host.
	ReadinessDelay time.Duration `json:"readiness_delay,default=3s"`
	Timeout        time.Duration `json:"timeout,default=60s"`
}

// Load reads and validates a settings file.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(content)
	if err != nil {
		return Settings{}, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// Parse decodes and validates settings in JSON. Errors name the path of each invalid field.
func Parse(content []byte) (Settings, error) {
	var s Settings
	if err := rejectUnknownFields(content, &s); err != nil {
		return Settings{}, err
	}
	if err := conf.LoadFromJsonBytes(content, &s); err != nil {
		return Settings{}, err
	}
	if err := s.check(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// fieldErrors collects errors that name the path of the field.
type fieldErrors []error

func (p *fieldErrors) add(path, format string, args ...any) {
	*p = append(*p, fmt.Errorf("%s: %s", path, fmt.Sprintf(format, args...)))
}

func (p *fieldErrors) address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		p.add(path, "%q is not an IP address with a port", value)
	}
}

func (s *Settings) check() error {
	var p fieldErrors
	if s.Host == "" {
		p.add("host", "must not be empty")
	}
	if !slices.Contains(s.FailureDomains, s.FailureDomain) {
		p.add("failure_domain", "%q is not listed in failure_domains", s.FailureDomain)
	}
	s.checkAddresses(&p)
	s.checkBackend(&p)
	s.checkRanges(&p)
	if (s.TLS.CertificateFile == "") != (s.TLS.KeyFile == "") {
		p.add("tls", "certificate_file and key_file must be set together")
	}
	return errors.Join(p...)
}

func (s *Settings) checkAddresses(p *fieldErrors) {
	p.address("listen.callers", s.Listen.Callers)
	p.address("listen.peers", s.Listen.Peers)
	p.address("listen.admin", s.Listen.Admin)
	if len(s.Platform.Endpoints) == 0 {
		p.add("platform.endpoints", "must contain at least one address")
	}
	for i, endpoint := range s.Platform.Endpoints {
		p.address(fmt.Sprintf("platform.endpoints[%d]", i), endpoint)
	}
	for i, seed := range s.Peers.Seeds {
		p.address(fmt.Sprintf("peers.seeds[%d]", i), seed)
	}
}

func (s *Settings) checkBackend(p *fieldErrors) {
	if s.Backend.User == "" {
		p.add("backend.user", "must not be empty")
	}
	if s.Backend.Password != "" && s.Backend.PasswordFile != "" {
		p.add("backend.password_file", "must not be set together with backend.password")
	}
	if source := s.Backend.SourceAddress; source != "" {
		if _, err := netip.ParseAddr(source); err != nil {
			p.add("backend.source_address", "%q is not an IP address", source)
		}
	}
}

func (s *Settings) checkRanges(p *fieldErrors) {
	for _, n := range s.numbers() {
		if n.value < n.min || n.value > n.max {
			p.add(n.path, "%d is not between %d and %d", n.value, n.min, n.max)
		}
	}
	for _, c := range s.choices() {
		if !slices.Contains(c.allowed, c.value) {
			p.add(c.path, "%q is not one of %s", c.value, strings.Join(c.allowed, ", "))
		}
	}
	for _, d := range s.durations() {
		if d.value < d.min || d.value > d.max {
			p.add(d.path, "%s is not between %s and %s", d.value, d.min, d.max)
		}
	}
}
