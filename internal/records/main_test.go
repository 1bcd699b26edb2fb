package records_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/internal/platform/standin"
	"github.com/bramleylever/bramleylever/internal/records"
)

func TestPromiseRecords(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "records")
}

func newRecord(kind records.Kind, name string, version int, body string) records.Record {
	return records.Record{Kind: kind, Name: name, SchemaVersion: version, Body: json.RawMessage(body)}
}

const databaseBody = `{"connection_limit":20,"instances":[{"name":"ledger-1","address":"127.0.0.1:15431","domain":"a"}]}`

func newAccount(name string, rate string) records.Record {
	return newRecord(records.KindAccount, name, 2, `{"limits":{"requests_per_second":`+rate+`,"burst":10}}`)
}

func startStore() *standin.Server {
	server, err := standin.Start("127.0.0.1:0", standin.Options{})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	return server
}

func dialStore(server *standin.Server) platform.Store {
	store, err := platform.Dial(context.Background(), platform.Options{
		Endpoints:        []string{server.Address()},
		Timeout:          500 * time.Millisecond,
		ProgressInterval: 50 * time.Millisecond,
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(store.Close)
	return store
}
