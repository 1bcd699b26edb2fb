package keys_test

import (
	"bytes"
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/xdg-go/scram"

	"github.com/bramleylever/bramleylever/internal/keys"
)

func TestPromiseKeys(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "keys")
}

// login runs a SCRAM authentication with a secret against a key's verifier, and
// reports whether it succeeded.
func login(g keys.Generated, secret string) bool {
	client, err := scram.SHA256.NewClient(g.Key.ID, secret, "")
	Expect(err).NotTo(HaveOccurred())
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return scram.StoredCredentials{
			KeyFactors: scram.KeyFactors{Salt: string(g.Key.Salt), Iters: g.Key.Iterations},
			StoredKey:  g.Key.StoredKey,
			ServerKey:  g.Key.ServerKey,
		}, nil
	})
	Expect(err).NotTo(HaveOccurred())
	caller, verifier := client.NewConversation(), server.NewConversation()
	message := ""
	for !caller.Done() {
		if message, err = caller.Step(message); err != nil {
			return false
		}
		if caller.Done() {
			break
		}
		if message, err = verifier.Step(message); err != nil {
			return false
		}
	}
	return verifier.Valid()
}

var _ = Describe("Generate", func() {
	// Guards against a verifier that rejects the right secret or accepts another.
	It("creates a verifier that accepts only the secret", func() {
		g, err := keys.Generate("clerks")
		Expect(err).NotTo(HaveOccurred())
		Expect(g.Key.Account).To(Equal("clerks"))
		Expect(login(g, g.Secret)).To(BeTrue())
		Expect(login(g, g.Secret+"x")).To(BeFalse())
	})

	// Guards against a secret in the platform store, where key records are kept.
	It("keeps the secret out of the record", func() {
		g, err := keys.Generate("clerks")
		Expect(err).NotTo(HaveOccurred())
		encoded, err := json.Marshal(g.Key)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Contains(encoded, []byte(g.Secret))).To(BeFalse())
	})

	// Guards against two keys that share an id, a secret or a salt.
	It("creates each key with a new id, secret and salt", func() {
		first, err := keys.Generate("clerks")
		Expect(err).NotTo(HaveOccurred())
		second, err := keys.Generate("clerks")
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Key.ID).NotTo(Equal(second.Key.ID))
		Expect(first.Secret).NotTo(Equal(second.Secret))
		Expect(first.Key.Salt).NotTo(Equal(second.Key.Salt))
	})
})
