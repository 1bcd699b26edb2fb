package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/connpool"
	"github.com/bramleylever/bramleylever/internal/hosts"
	"github.com/bramleylever/bramleylever/internal/peer"
	"github.com/bramleylever/bramleylever/internal/reachability"
	"github.com/bramleylever/bramleylever/internal/statement"
	"github.com/bramleylever/bramleylever/position"
)

// fakeLink is a connection that answers with the statement's text and the host on which it
// runs.
type fakeLink struct {
	host string
	err  error
	mu   *sync.Mutex
	runs *[]string
}

func (l *fakeLink) Exchange(_ time.Time, _ func() bool, statements ...statement.Statement) ([]statement.Result, error) {
	if statements[0].Text == slowText {
		time.Sleep(slowTime)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return nil, l.err
	}
	var results []statement.Result
	for _, s := range statements {
		*l.runs = append(*l.runs, l.host+" "+s.Kind.String())
		state := statement.Idle
		if s.Kind == statement.Begin {
			state = statement.InTransaction
		}
		results = append(results, statement.Result{Rows: []string{s.Text}, Signature: l.host, State: state})
	}
	return results, nil
}

func (l *fakeLink) Alive() bool { return true }
func (l *fakeLink) Close()      {}

// slowText is a statement that takes slowTime.
const (
	slowText = "READ slow"
	slowTime = 400 * time.Millisecond
)

// fleet is four hosts in two failure domains, with one instance in the first domain.
type fleet struct {
	mu      sync.Mutex
	runs    []string
	links   map[string][]*fakeLink
	hosts   []hosts.Host
	routers []*Router
	servers []*peer.Server
	dialErr error
	linkErr error
	// cutOff are the hosts that cannot reach the instance.
	cutOff map[string]bool
	// sampled is the hosts whose sampler returned a position.
	sampled []string
	// revisions is what each host knows, and hints the last hint that it received.
	revisions map[string]*peerv1.CatalogRevisions
	hints     map[string]*peerv1.CatalogRevisions
}

type dialer struct {
	fleet *fleet
	host  string
}

func (d dialer) Dial(context.Context, *catalog.Server, string) (connpool.Link, error) {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	if d.fleet.dialErr != nil {
		return nil, d.fleet.dialErr
	}
	if d.fleet.cutOff[d.host] {
		return nil, errors.New("connection refused")
	}
	l := &fakeLink{host: d.host, mu: &d.fleet.mu, runs: &d.fleet.runs, err: d.fleet.linkErr}
	d.fleet.links[d.host] = append(d.fleet.links[d.host], l)
	return l, nil
}

// sampler is the Sampler of a host.
type sampler struct {
	fleet *fleet
	host  string
}

func (s sampler) LeaderPosition(context.Context, string) (position.Position, time.Duration, error) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if s.fleet.dialErr != nil {
		return position.Position{}, 0, s.fleet.dialErr
	}
	s.fleet.sampled = append(s.fleet.sampled, s.host)
	return position.Position{LSN: 42}, 30 * time.Millisecond, nil
}

var server = &catalog.Server{ID: "i1", Service: "x", Domain: "d0", Started: 7}

func newFleet() *fleet {
	f := &fleet{links: map[string][]*fakeLink{}, revisions: map[string]*peerv1.CatalogRevisions{}, hints: map[string]*peerv1.CatalogRevisions{}}
	snapshot := &catalog.Snapshot{
		Config: &catalog.Config{}, Servers: map[string]*catalog.Server{"i1": server}, Complete: true,
	}
	for i := range 4 {
		name := fmt.Sprintf("h%d", i)
		registry := metrics.NewRegistry()
		listener, err := peer.Listen("127.0.0.1:0", registry)
		Expect(err).NotTo(HaveOccurred())
		peers := peer.NewPool()
		r := NewRouter(Options{
			Self:  name,
			Pool:  connpool.New(connpool.Config{Dialer: dialer{f, name}, IdleTime: time.Minute, Registry: registry}),
			Peers: peers, Hosts: func() []hosts.Host { return f.hosts },
			Catalog:   func() *catalog.Snapshot { return snapshot },
			Revisions: func() *peerv1.CatalogRevisions { return f.revisions[name] },
			Hint: func(r *peerv1.CatalogRevisions) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.hints[name] = r
			},
			Reachability: reachability.New(name), Log: zap.NewNop(), Registry: registry,
		})
		r.Register(listener, sampler{f, name})
		go func() { _ = listener.Serve() }()
		f.hosts = append(f.hosts, hosts.Host{Name: name, Domain: fmt.Sprintf("d%d", i/2), Address: listener.Address()})
		f.routers = append(f.routers, r)
		f.servers = append(f.servers, listener)
		DeferCleanup(func() { listener.Stop(); Expect(peers.Close()).To(Succeed()) })
	}
	return f
}

// connsInUse returns the number of connections in use at all owners.
func (f *fleet) connsInUse() int {
	sum := 0
	for _, r := range f.routers {
		sum += r.options.Pool.Load(server)
	}
	return sum
}

// do runs one read for an account from a host and returns the host on which it ran.
func (f *fleet) do(from int, account string) (string, error) {
	h, err := f.routers[from].Acquire(context.Background(), server, connpool.Request{Account: account})
	if err != nil {
		return "", err
	}
	defer h.Release()
	st := statement.Statement{ID: "q", Kind: statement.Read, Text: "READ a"}
	answer, err := h.Do(time.Now().Add(time.Second), connpool.Work{Statements: []statement.Statement{st}})
	if err != nil {
		return "", err
	}
	Expect(answer.Results[0].Rows).To(Equal([]string{"READ a"}))
	return answer.Results[0].Signature, nil
}
