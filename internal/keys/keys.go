// Package keys creates callers' keys and checks whether a key is admitted. A key
// consists of an id, which callers use as their user name, and a secret, which
// they use as their password.
//
// Invariant: the secret appears only in the result of Generate; a stored key
// holds only a SCRAM-SHA-256 verifier of it (RFC 5802, RFC 7677).
package keys

import (
	"crypto/rand"
	"encoding/base32"
	"fmt"
	"strings"

	"github.com/xdg-go/scram"

	"github.com/bramleylever/bramleylever/internal/records"
)

const (
	// idBytes is long enough that collisions are unlikely among millions of keys.
	idBytes = 10
	// secretBytes gives a secret the strength of SHA-256, so that few iterations
	// are enough.
	secretBytes = 32
	saltBytes   = 16
	// iterations is the minimum of RFC 7677. More iterations would slow down each
	// login without making a random secret any harder to guess.
	iterations = 4096
)

// Generated is a new key together with its secret, which is shown only once.
type Generated struct {
	Key    records.Key
	Secret string
}

// Generate creates a key with a random id and secret for a client account.
func Generate(account string) (Generated, error) {
	secret := randomText(secretBytes)
	key, err := NewKey("k"+randomText(idBytes), account, secret)
	if err != nil {
		return Generated{}, err
	}
	return Generated{Key: key, Secret: secret}, nil
}

// NewKey returns the record of a key with the given id, which holds a verifier of
// the secret with a new salt.
func NewKey(id, account, secret string) (records.Key, error) {
	client, err := scram.SHA256.NewClient(id, secret, "")
	if err != nil {
		return records.Key{}, fmt.Errorf("key %q: prepare the secret: %w", id, err)
	}
	salt := make([]byte, saltBytes)
	// rand.Read never returns an error.
	_, _ = rand.Read(salt)
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: iterations})
	if err != nil {
		return records.Key{}, fmt.Errorf("key %q: derive the verifier: %w", id, err)
	}
	return records.Key{
		ID:         id,
		Account:    account,
		Salt:       salt,
		Iterations: iterations,
		StoredKey:  stored.StoredKey,
		ServerKey:  stored.ServerKey,
	}, nil
}

func randomText(bytes int) string {
	raw := make([]byte, bytes)
	_, _ = rand.Read(raw)
	return strings.ToLower(base32.StdEncoding.WithPadding(base32.NoPadding).EncodeToString(raw))
}
