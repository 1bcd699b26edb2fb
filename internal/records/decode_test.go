package records_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/records"
)

const scramDigest = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

func keyBody(account string) string {
	return fmt.Sprintf(`{"account":%q,"salt":"c2FsdA==","iterations":4096,"stored_key":%q,"server_key":%q}`, account, scramDigest, scramDigest)
}

var _ = Describe("Set", func() {
	// Guards against a new schema version that changes the meaning of an older one.
	DescribeTable("decodes each schema version of an account",
		func(version int, body string, expected records.Account) {
			snapshot, err := records.NewSet([]records.Record{newRecord(records.KindAccount, "growers", version, body)}).Snapshot(7)
			Expect(err).NotTo(HaveOccurred())
			Expect(snapshot.Revision).To(Equal(int64(7)))
			Expect(snapshot.Accounts["growers"]).To(Equal(expected))
		},
		Entry("version 1", 1, `{"rate_per_s":5.5,"burst":10}`,
			records.Account{Name: "growers", RequestsPerSecond: 5.5, Burst: 10, Weight: 1}),
		Entry("version 2", 2, `{"limits":{"requests_per_second":5,"burst":10},"weight":3,"serve_unconfirmed":true}`,
			records.Account{Name: "growers", RequestsPerSecond: 5, Burst: 10, Weight: 3, ServeUnconfirmed: true}),
		Entry("version 2 with defaults", 2, `{"limits":{"requests_per_second":5,"burst":10}}`,
			records.Account{Name: "growers", RequestsPerSecond: 5, Burst: 10, Weight: 1}),
	)

	// Guards against malformed records that are accepted, or rejected without an
	// error that names the invalid field.
	DescribeTable("rejects a malformed record and names the field",
		func(kind records.Kind, version int, body, expected string) {
			_, err := records.NewSet([]records.Record{newRecord(kind, "x", version, body)}).Snapshot(1)
			Expect(err).To(MatchError(ContainSubstring(expected)))
		},
		Entry("unknown kind", records.Kind("acount"), 1, `{}`, `unknown kind "acount"`),
		Entry("unknown version", records.KindAccount, 3, `{}`, "account has no version 3"),
		Entry("not an object", records.KindAccount, 1, `[]`, "body: not a JSON object"),
		Entry("null", records.KindAccount, 1, `null`, "body: not a JSON object"),
		Entry("unknown field", records.KindAccount, 1, `{"rate_per_s":1,"burst":1,"weight":1}`, "body.weight: unknown field"),
		Entry("unknown nested field", records.KindAccount, 2,
			`{"limits":{"requests_per_second":1,"burst":1,"brust":2}}`, "body.limits.brust: unknown field"),
		Entry("missing field", records.KindAccount, 1, `{"burst":1}`, "body.rate_per_s: is missing"),
		Entry("null field", records.KindAccount, 1, `{"rate_per_s":null,"burst":1}`, "body.rate_per_s: is null"),
		Entry("wrong type", records.KindAccount, 1, `{"rate_per_s":"1","burst":1}`, "body.rate_per_s: is a string"),
		Entry("negative rate", records.KindAccount, 1, `{"rate_per_s":-1,"burst":1}`, "body.rate_per_s: -1 is not between"),
		Entry("no burst", records.KindAccount, 1, `{"rate_per_s":1,"burst":0}`, "body.burst: 0 is not between"),
		Entry("weight 0", records.KindAccount, 2,
			`{"limits":{"requests_per_second":1,"burst":1},"weight":0}`, "body.weight: 0 is not between"),
		Entry("no instance", records.KindDatabase, 1, `{"connection_limit":1,"instances":[]}`, "body.instances: has no instance"),
		Entry("field in a list", records.KindDatabase, 1,
			`{"connection_limit":1,"instances":[{"name":"i","address":"127.0.0.1:1","domain":"a","port":1}]}`,
			"body.instances[0].port: unknown field"),
		Entry("host name instead of an IP address", records.KindDatabase, 1,
			`{"connection_limit":1,"instances":[{"name":"i","address":"localhost:1","domain":"a"}]}`,
			"body.instances[0].address"),
		Entry("duplicate instance", records.KindDatabase, 1,
			`{"connection_limit":1,"instances":[{"name":"i","address":"127.0.0.1:1","domain":"a"},{"name":"i","address":"127.0.0.1:2","domain":"a"}]}`,
			`body.instances[1].name: duplicate instance "i"`),
		Entry("short digest", records.KindKey, 1,
			`{"account":"a","salt":"AA==","iterations":4096,"stored_key":"AA==","server_key":"AA=="}`, "body.stored_key: has 1 bytes"),
		Entry("too few iterations", records.KindKey, 1,
			`{"account":"a","salt":"AA==","iterations":1,"stored_key":"`+scramDigest+`","server_key":"`+scramDigest+`"}`, "body.iterations"),
		Entry("open route without account", records.KindRoute, 1, `{"database":"d","open":true}`, "body.account"),
		Entry("closed route with account", records.KindRoute, 1, `{"database":"d","account":"a"}`, "body.account"),
		Entry("bad duration", records.KindRoute, 1, `{"database":"d","max_staleness":"5"}`, "body.max_staleness"),
		Entry("bad state", records.KindDomain, 1, `{"state":"gone"}`, "body.state"),
	)

	// Guards against a snapshot with references to records that don't exist, or with
	// an instance that belongs to two databases.
	DescribeTable("omits records with invalid references",
		func(list []records.Record, expected string) {
			snapshot, err := records.NewSet(list).Snapshot(1)
			Expect(err).To(MatchError(ContainSubstring(expected)))
			Expect(snapshot.Keys).To(BeEmpty())
			Expect(snapshot.Routes).To(BeEmpty())
			Expect(len(snapshot.Databases)).To(BeNumerically("<=", 1))
		},
		Entry("key of an unknown account", []records.Record{newRecord(records.KindKey, "k", 1, keyBody("a"))},
			`record key/k: body.account: unknown account "a"`),
		Entry("route to an unknown database", []records.Record{newRecord(records.KindRoute, "r", 1, `{"database":"d"}`)},
			`record route/r: body.database: unknown database "d"`),
		Entry("open route for an unknown account", []records.Record{
			newRecord(records.KindDatabase, "d", 1, databaseBody),
			newRecord(records.KindRoute, "r", 1, `{"database":"d","open":true,"account":"a"}`),
		}, `record route/r: body.account: unknown account "a"`),
		Entry("instance in two databases", []records.Record{
			newRecord(records.KindDatabase, "d", 1, databaseBody), newRecord(records.KindDatabase, "e", 1, databaseBody),
		}, `instance "ledger-1" is also in database "d"`),
		Entry("unknown backend", []records.Record{newRecord(records.KindBackend, "x", 1, `{"state":"leaving"}`)},
			"record backend/x: name: unknown instance"),
	)

	// Guards against a route whose staleness bound of 0 is treated as no bound.
	It("distinguishes an absent staleness bound from a bound of zero", func() {
		list := []records.Record{
			newRecord(records.KindDatabase, "d", 1, databaseBody),
			newRecord(records.KindRoute, "none", 1, `{"database":"d"}`),
			newRecord(records.KindRoute, "zero", 1, `{"database":"d","max_staleness":"0s"}`),
		}
		snapshot, err := records.NewSet(list).Snapshot(1)
		Expect(err).NotTo(HaveOccurred())
		Expect(snapshot.Routes["none"].MaxStaleness).To(BeNumerically("<", 0))
		Expect(snapshot.Routes["zero"].MaxStaleness).To(Equal(time.Duration(0)))
	})
})

func FuzzParseFile(f *testing.F) {
	f.Add([]byte(`{"records":[{"kind":"account","name":"a","schema_version":1,"body":{"rate_per_s":1,"burst":1}}]}`))
	f.Add([]byte(`{"records":[{"kind":"host","name":"h","deleted":true,"mod_revision":3}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		list, err := records.ParseFile(raw)
		if err != nil {
			return
		}
		again, err := json.Marshal(map[string]any{"records": list})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := records.ParseFile(again); err != nil {
			t.Fatalf("%s does not survive a round trip: %v", again, err)
		}
	})
}

func FuzzSnapshot(f *testing.F) {
	f.Add("account", 1, []byte(`{"rate_per_s":1,"burst":1}`))
	f.Add("account", 2, []byte(`{"limits":{"requests_per_second":1,"burst":1},"weight":2}`))
	f.Add("database", 1, []byte(databaseBody))
	f.Add("key", 1, []byte(keyBody("a")))
	f.Add("route", 1, []byte(`{"database":"d","max_staleness":"5s"}`))
	f.Add("domain", 1, []byte(`{"state":"leaving"}`))
	f.Fuzz(func(_ *testing.T, kind string, version int, body []byte) {
		set := records.NewSet([]records.Record{newRecord(records.Kind(kind), "x", version, string(body))})
		snapshot, _ := set.Snapshot(1)
		for _, db := range snapshot.Databases {
			if db.ConnectionLimit < 1 || len(db.Instances) == 0 {
				panic("invalid database accepted")
			}
		}
	})
}
