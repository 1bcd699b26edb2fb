package deployment

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/bramleylever/bramleylever/internal/backend/standin"
	"github.com/bramleylever/bramleylever/internal/proxy"
	"github.com/bramleylever/bramleylever/internal/settings"
)

// readyPollInterval is the delay between two checks of the status of the hosts.
const readyPollInterval = 20 * time.Millisecond

// startProxies starts the proxies of all domains. It opens all peer listeners first,
// so that the settings of each proxy can list the others as seeds.
func (d *Deployment) startProxies() error {
	var seeds []string
	var listeners []net.Listener
	for i := range len(d.Domains) * d.options.ProxiesPerDomain {
		domain := d.Domains[i%len(d.Domains)]
		listener, err := net.Listen("tcp", netip.AddrPortFrom(d.address(domain, i+1), 0).String())
		if err != nil {
			return err
		}
		listeners = append(listeners, listener)
		seeds = append(seeds, listener.Addr().String())
	}
	for i, seed := range seeds {
		domain := d.Domains[i%len(d.Domains)]
		host := &Host{Name: fmt.Sprintf("%s-%d", domain, i/len(d.Domains)+1), Domain: domain}
		host.Settings = d.hostSettings(host, i, seed, seeds)
		d.Hosts = append(d.Hosts, host)
		if err := d.startHost(host, listeners[i]); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) hostSettings(host *Host, i int, peer string, seeds []string) settings.Settings {
	callers := "127.0.0.1:0"
	if d.options.CallerPort != 0 {
		callers = fmt.Sprintf("127.0.0.1:%d", d.options.CallerPort+i)
	}
	s := settings.Settings{
		Host:           host.Name,
		FailureDomain:  host.Domain,
		FailureDomains: d.Domains,
		Listen: settings.Listen{
			Callers: callers,
			Peers:   peer,
			Admin:   netip.AddrPortFrom(d.address(host.Domain, i+1), 0).String(),
		},
		Platform: settings.Platform{Endpoints: []string{d.Platform.Address()}, Timeout: time.Second},
		Peers:    settings.Peers{Seeds: seeds},
		Backend: settings.Backend{
			User:           standin.DefaultUser,
			Password:       backendPassword,
			ConnectTimeout: time.Second,
		},
		Log: settings.Log{Level: "info"},
		Routing: settings.Routing{
			Policy:        "power_of_two",
			GuardWait:     20 * time.Millisecond,
			ReplicateWait: 5 * time.Second,
			QueueWait:     5 * time.Second,
		},
		Limits: settings.Limits{
			Connections:   6000,
			MessageBytes:  16 << 20,
			QueueRequests: 1000,
			QueueBytes:    8 << 20,
		},
		Drain: settings.DrainTime{ReadinessDelay: 3 * time.Second, Timeout: time.Minute},
	}
	if d.options.Adjust != nil {
		d.options.Adjust(&s)
	}
	return s
}

// StartHost restarts the proxy of a host that is down. The proxy starts without
// state and accepts callers at the same address as before.
func (d *Deployment) StartHost(host *Host) error { return d.startHost(host, nil) }

func (d *Deployment) startHost(host *Host, peers net.Listener) error {
	s := host.Settings
	if host.CallerAddress != "" {
		s.Listen.Callers = host.CallerAddress
	}
	source, err := netip.ParseAddrPort(s.Listen.Peers)
	if err != nil {
		return err
	}
	host.Proxy, err = proxy.Start(proxy.Options{
		Settings:     s,
		Log:          d.options.Log.Named(host.Name),
		Dial:         proxy.DialFunc(d.Network.Dialer(source.Addr())),
		PeerListener: peers,
	})
	if err != nil {
		return err
	}
	host.CallerAddress = host.Proxy.CallerAddress()
	return nil
}

// KillHost stops a host's proxy without a drain.
func (d *Deployment) KillHost(host *Host) {
	if host.Proxy != nil {
		host.Proxy.Close()
		host.Proxy = nil
	}
}

// DrainHost drains a host's proxy, which then stops.
func (d *Deployment) DrainHost(host *Host) error {
	p := host.Proxy
	host.Proxy = nil
	return p.Drain()
}

// waitReady waits until every running proxy is ready and knows a primary of
// each database.
func (d *Deployment) waitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		waiting := d.notReadyReason()
		if waiting == "" {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%w: %s", errNotReady, waiting)
		}
		time.Sleep(readyPollInterval)
	}
}

// notReadyReason returns why the deployment is not ready, or "" if it is.
func (d *Deployment) notReadyReason() string {
	databases := map[string]bool{}
	for _, r := range d.records {
		if r.Kind == "database" {
			databases[r.Name] = true
		}
	}
	for _, host := range d.Hosts {
		if host.Proxy == nil {
			continue
		}
		status := host.Proxy.Status()
		if !status.Ready || !status.Confirmed {
			return fmt.Sprintf("host %s: ready %t, confirmed %t", host.Name, status.Ready, status.Confirmed)
		}
		primaries := 0
		for _, g := range status.Groups {
			if g.Primary != "" && databases[g.Database] {
				primaries++
			}
		}
		if primaries < len(databases) {
			return fmt.Sprintf("host %s: knows %d of %d primaries", host.Name, primaries, len(databases))
		}
	}
	return ""
}

// CallerURL returns the connection URL of a route at a host, with an account's key.
func (d *Deployment) CallerURL(host *Host, account, route string) string {
	key := d.Keys[account]
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", key.ID, key.Secret, host.CallerAddress, route)
}

// Primary returns the primary of a database in the highest term that a running host
// knows, or "" if none does.
func (d *Deployment) Primary(database string) string {
	best, primary := "", ""
	for _, host := range d.Hosts {
		if host.Proxy == nil {
			continue
		}
		if g, ok := host.Proxy.Group(database); ok && g.Primary != "" {
			if term := fmt.Sprintf("%020d.%020d", g.Term.Epoch, g.Term.Sequence); term > best {
				best, primary = term, g.Primary
			}
		}
	}
	return primary
}

// FirstRoute returns the name of the first route in the records; in the examples
// it requires a key.
func (d *Deployment) FirstRoute() string {
	for _, r := range d.records {
		if r.Kind == "route" {
			return r.Name
		}
	}
	return ""
}
