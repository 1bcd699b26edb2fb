// Package deployment runs a complete deployment in one process: a stand-in of the
// platform store, database instances and proxies. Each failure domain has its own
// loopback network, so that network partitions between domains can be simulated.
// The dev command and the load tool use it.
package deployment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/examples"
	"github.com/bramleylever/bramleylever/internal/backend/standin"
	"github.com/bramleylever/bramleylever/internal/faultnet"
	"github.com/bramleylever/bramleylever/internal/keys"
	"github.com/bramleylever/bramleylever/internal/platform"
	platformstandin "github.com/bramleylever/bramleylever/internal/platform/standin"
	"github.com/bramleylever/bramleylever/internal/proxy"
	"github.com/bramleylever/bramleylever/internal/records"
	"github.com/bramleylever/bramleylever/internal/settings"
)

// Options configures a deployment.
type Options struct {
	// Example is the name of a deployment in package examples.
	Example string
	// ProxiesPerDomain is the number of proxies in each failure domain; 0
	// means 1.
	ProxiesPerDomain int
	// Databases limits how many of the example's databases run; 0 means all.
	Databases int
	// Instance holds the settings of each database instance.
	Instance standin.Settings
	// Adjust changes the settings of each proxy before it starts; it may be nil.
	Adjust func(*settings.Settings)
	// CallerPort is the port on which the first proxy accepts callers; the other
	// proxies use the ports after it. 0 lets the kernel choose all ports.
	CallerPort int
	// Log is the logger of all proxies and instances; it may be nil.
	Log *zap.Logger
}

// InstanceSettings returns the database instance settings of an example: statement
// slots, connection limit, cost of opening a connection, and the one-way network
// delay between failure domains.
func InstanceSettings(example string) standin.Settings {
	ms := func(n float64) standin.Duration { return standin.Duration(n * float64(time.Millisecond)) }
	if example == "snow" {
		return standin.Settings{Slots: 3, ConnectionLimit: 35, ConnectionCost: ms(30), ReceiveDelay: ms(1)}
	}
	return standin.Settings{Slots: 3, ConnectionLimit: 20, ConnectionCost: ms(10), ReceiveDelay: ms(1.5)}
}

// Key is the key of a client account with its secret.
type Key struct {
	Account string
	ID      string
	Secret  string
}

// Host is a host of the deployment, which runs one proxy.
type Host struct {
	Name     string
	Domain   string
	Settings settings.Settings
	// Proxy is nil while the host is down.
	Proxy *proxy.Proxy
	// CallerAddress stays the same across restarts of the host.
	CallerAddress string
}

// Deployment is a running deployment. Its methods are not safe for concurrent
// use.
type Deployment struct {
	options Options
	records []records.Record

	Domains   []string
	Platform  *platformstandin.Server
	Instances map[string]*standin.Instance
	// InstanceDomains names the failure domain of each instance.
	InstanceDomains map[string]string
	Network         *faultnet.Network
	Hosts           []*Host
	// Keys holds one key for each client account, by account name.
	Keys map[string]Key

	store  platform.Store
	client *records.Client
}

const (
	backendPassword = standin.DefaultUser
	operator        = "deployment"
	startTimeout    = 30 * time.Second
)

// Start runs a deployment and waits until each database has a primary and each
// proxy is ready.
func Start(o Options) (*Deployment, error) {
	if o.ProxiesPerDomain == 0 {
		o.ProxiesPerDomain = 1
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	d := &Deployment{
		options:         o,
		Instances:       map[string]*standin.Instance{},
		InstanceDomains: map[string]string{},
		Network:         faultnet.New(),
		Keys:            map[string]Key{},
	}
	if err := d.start(); err != nil {
		d.Close()
		return nil, fmt.Errorf("start deployment %q: %w", o.Example, err)
	}
	return d, nil
}

func (d *Deployment) start() error {
	if err := d.readExample(); err != nil {
		return err
	}
	if err := d.startPlatform(); err != nil {
		return err
	}
	if err := d.startInstances(); err != nil {
		return err
	}
	if err := d.applyRecords(); err != nil {
		return err
	}
	if err := d.startProxies(); err != nil {
		return err
	}
	return d.waitReady(startTimeout)
}

func (d *Deployment) readExample() error {
	raw, err := examples.Files.ReadFile(d.options.Example + "/settings.json")
	if err != nil {
		return fmt.Errorf("no such example: %w", err)
	}
	base, err := settings.Parse(raw)
	if err != nil {
		return err
	}
	d.Domains = base.FailureDomains
	if raw, err = examples.Files.ReadFile(d.options.Example + "/records.json"); err != nil {
		return err
	}
	all, err := records.ParseFile(raw)
	if err != nil {
		return err
	}
	d.records = d.limitDatabases(all)
	return nil
}

// limitDatabases removes the databases in excess of Options.Databases, and their
// routes.
func (d *Deployment) limitDatabases(all []records.Record) []records.Record {
	if d.options.Databases == 0 {
		return all
	}
	kept := map[string]bool{}
	return slices.DeleteFunc(all, func(r records.Record) bool {
		switch r.Kind {
		case records.KindDatabase:
			if len(kept) >= d.options.Databases {
				return true
			}
			kept[r.Name] = true
			return false
		case records.KindRoute:
			var route struct{ Database string }
			_ = json.Unmarshal(r.Body, &route)
			return !kept[route.Database]
		default:
			return false
		}
	})
}

// platformPrefix is the loopback network of the platform store.
var platformPrefix = netip.MustParsePrefix("127.0.9.0/24")

// Prefix returns the loopback network of a failure domain.
func (d *Deployment) Prefix(domain string) netip.Prefix {
	n := slices.Index(d.Domains, domain)
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{127, 0, byte(10 + n), 0}), 24)
}

// address returns a loopback address in a failure domain.
func (d *Deployment) address(domain string, host int) netip.Addr {
	bytes := d.Prefix(domain).Addr().As4()
	bytes[3] = byte(host)
	return netip.AddrFrom4(bytes)
}

func (d *Deployment) startPlatform() error {
	server, err := platformstandin.Start("127.0.9.1:0", platformstandin.Options{})
	if err != nil {
		return err
	}
	d.Platform = server
	d.store, err = platform.Dial(context.Background(), platform.Options{Endpoints: []string{server.Address()}})
	if err != nil {
		return err
	}
	d.client = records.NewClient(d.store, operator)
	return nil
}

// databaseBody is the body of a database record.
type databaseBody struct {
	ConnectionLimit int            `json:"connection_limit"`
	Instances       []instanceBody `json:"instances"`
}

type instanceBody struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
}

// startInstances starts the instances of all databases and sets their addresses
// in the records.
func (d *Deployment) startInstances() error {
	count := 0
	for i, r := range d.records {
		if r.Kind != records.KindDatabase {
			continue
		}
		var body databaseBody
		if err := json.Unmarshal(r.Body, &body); err != nil {
			return fmt.Errorf("database %s: %w", r.Name, err)
		}
		for k := range body.Instances {
			in := &body.Instances[k]
			count++
			instance := standin.New(standin.Config{
				Name:      in.Name,
				GroupSize: len(body.Instances),
				Password:  backendPassword,
				Settings:  d.options.Instance,
				Logger:    d.options.Log.Named(in.Name),
			})
			if err := instance.Start(netip.AddrPortFrom(d.address(in.Domain, 100+count), 0).String()); err != nil {
				return err
			}
			in.Address = instance.Address()
			d.Instances[in.Name] = instance
			d.InstanceDomains[in.Name] = in.Domain
		}
		raw, err := json.Marshal(body)
		if err != nil {
			return err
		}
		d.records[i].Body = raw
	}
	return nil
}

// applyRecords stores the example's records and a new key for each account.
func (d *Deployment) applyRecords() error {
	list := slices.Clone(d.records)
	for _, r := range d.records {
		if r.Kind != records.KindAccount {
			continue
		}
		generated, err := keys.Generate(r.Name)
		if err != nil {
			return err
		}
		record, err := records.KeyRecord(generated.Key)
		if err != nil {
			return err
		}
		d.Keys[r.Name] = Key{Account: r.Name, ID: generated.Key.ID, Secret: generated.Secret}
		list = append(list, record)
	}
	_, err := d.Apply(list...)
	return err
}

// Apply changes records in the platform store, as the operator commands do, and
// returns the revision.
func (d *Deployment) Apply(list ...records.Record) (int64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	result, err := d.client.Apply(ctx, list)
	return result.Revision, err
}

// Close stops all proxies, instances and the platform store without a drain.
func (d *Deployment) Close() {
	for _, host := range d.Hosts {
		if host.Proxy != nil {
			host.Proxy.Close()
		}
	}
	for _, instance := range d.Instances {
		_ = instance.Close()
		instance.Discard()
	}
	if d.store != nil {
		_ = d.store.Close()
	}
	if d.Platform != nil {
		_ = d.Platform.Close()
	}
}

var errNotReady = errors.New("not ready in time")
