package keys_test

import (
	"encoding/json"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/keys"
	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/internal/records"
)

var _ = Describe("Promise 6: a withdrawn key stops working", func() {
	snapshot := &records.Snapshot{
		Keys: map[string]records.Key{
			"good":      {ID: "good", Account: "growers"},
			"withdrawn": {ID: "withdrawn", Account: "growers", Withdrawn: true},
			"observer":  {ID: "observer", Account: "observers"},
			"gone":      {ID: "gone", Account: "observers", Withdrawn: true},
			"orphan":    {ID: "orphan", Account: "nobody"},
		},
		Accounts: map[string]records.Account{
			"growers":   {Name: "growers"},
			"observers": {Name: "observers", ServeUnconfirmed: true},
		},
	}

	// Guards against serving a withdrawn key, including on a host whose records
	// may lack the withdrawal, and against rejecting keys that may be served.
	DescribeTable("admits a key depending on its record and on whether the host is confirmed",
		func(keyID string, confirmed bool, refused error) {
			account, err := keys.Admit(snapshot, confirmed, keyID)
			if refused == nil {
				Expect(err).NotTo(HaveOccurred())
				Expect(account.Name).To(Equal(snapshot.Keys[keyID].Account))
				return
			}
			Expect(err).To(MatchError(refused))
			Expect(outcome.RetrySafe(err)).To(BeTrue())
		},
		Entry("good, confirmed", "good", true, nil),
		Entry("good, not confirmed", "good", false, keys.ErrNotConfirmed),
		Entry("serve_unconfirmed, not confirmed", "observer", false, nil),
		Entry("withdrawn, confirmed", "withdrawn", true, outcome.ErrWithdrawn),
		Entry("withdrawn, not confirmed", "withdrawn", false, outcome.ErrWithdrawn),
		Entry("serve_unconfirmed, withdrawn", "gone", false, outcome.ErrWithdrawn),
		Entry("unknown", "other", true, keys.ErrUnknownKey),
		Entry("unknown account", "orphan", true, keys.ErrUnknownKey),
	)
})

var _ = Describe("Generated", func() {
	// Guards against a secret in a log line that includes a generated key.
	It("omits the secret from every text form", func() {
		g, err := keys.Generate("growers")
		Expect(err).NotTo(HaveOccurred())
		encoded, err := json.Marshal(map[string]any{"key": g, "pointer": &g})
		Expect(err).NotTo(HaveOccurred())
		for _, text := range []string{fmt.Sprint(g), fmt.Sprintf("%+v %#v %s", g, g, &g), string(encoded)} {
			Expect(text).NotTo(ContainSubstring(g.Secret))
		}
	})
})
