// Package e2e contains end-to-end tests of callers, proxies, database instances
// and the platform store.
package e2e_test

import (
	"net"

	"github.com/xdg-go/scram"

	"github.com/bramleylever/bramleylever/internal/backend/standin"
	"github.com/bramleylever/bramleylever/internal/frontend"
	"github.com/bramleylever/bramleylever/internal/pool"
	"github.com/bramleylever/bramleylever/internal/records"
	"github.com/bramleylever/bramleylever/internal/topology"
	"github.com/bramleylever/bramleylever/position"
)

const backendPassword = "p"

func callerURL(address string) string {
	return "postgres://k1:secret@" + address + "/ledger1?sslmode=disable"
}

// scramKey returns a key record with the SCRAM-SHA-256 verifier of a secret.
func scramKey(id, account, secret string) (records.Key, error) {
	client, err := scram.SHA256.NewClient(id, secret, "")
	if err != nil {
		return records.Key{}, err
	}
	factors := scram.KeyFactors{Salt: "0123456789abcdef", Iters: 4096}
	stored, err := client.GetStoredCredentialsWithError(factors)
	if err != nil {
		return records.Key{}, err
	}
	return records.Key{ID: id, Account: account, Salt: []byte(factors.Salt), Iterations: factors.Iters,
		StoredKey: stored.StoredKey, ServerKey: stored.ServerKey}, nil
}

// stack is a frontend in front of a group of three instances. No control plane
// runs: records and topology are fixed.
type stack struct {
	group   *standin.Group
	server  *frontend.Server
	address string
}

// tweak, if set, changes the configuration of the frontend before it starts.
var tweak func(*frontend.Config)

type fixedBudget struct{ limit int }

func snapshotOf(group *standin.Group) (*records.Snapshot, error) {
	key, err := scramKey("k1", "clerks", "secret")
	if err != nil {
		return nil, err
	}
	database := records.Database{Name: "ledger1", ConnectionLimit: 20}
	for k, in := range group.Instances {
		database.Instances = append(database.Instances, records.Instance{
			Name: in.Name(), Address: in.Address(), Domain: string(rune('a' + k))})
	}
	return &records.Snapshot{
		Revision:  1,
		Databases: map[string]records.Database{"ledger1": database},
		Accounts:  map[string]records.Account{"clerks": {Name: "clerks", Weight: 1}},
		Keys:      map[string]records.Key{"k1": key},
		Routes:    map[string]records.Route{"ledger1": {Name: "ledger1", Database: "ledger1", MaxStaleness: -1}},
	}, nil
}

func newStack(settings standin.Settings, budgets ...pool.Budget) (*stack, error) {
	group, err := standin.NewGroup(3, standin.Config{Password: backendPassword, Settings: settings})
	if err != nil {
		return nil, err
	}
	snapshot, err := snapshotOf(group)
	if err != nil {
		return nil, err
	}
	feed := records.NewFeed()
	feed.Publish(snapshot)
	table := topology.NewTable()
	table.Update(topology.Group{Database: "ledger1", Primary: group.Primary().Name(),
		Term: position.Term{Epoch: 1, Sequence: 1}})
	config := frontend.Config{Domain: "a", Feed: feed, Topology: table, Pool: pool.Config{
		Credentials: pool.Credentials{User: standin.DefaultUser, Password: backendPassword}}}
	if len(budgets) > 0 {
		config.Pool.Budget = budgets[0]
	}
	if tweak != nil {
		tweak(&config)
	}
	server := frontend.New(config)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = server.Serve(listener) }()
	return &stack{group: group, server: server, address: listener.Addr().String()}, nil
}

func (s *stack) close() {
	s.server.Close()
	s.group.Close()
}
