package keys

import (
	"errors"
	"fmt"

	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/internal/records"
)

var (
	// ErrUnknownKey marks a key that no record admits.
	ErrUnknownKey = errors.New("unknown key")
	// ErrNotConfirmed marks a refusal because the host could not confirm its
	// records in time, so the key may have been withdrawn.
	ErrNotConfirmed = errors.New("key not confirmed in time")
)

// Admit decides whether a request with a key may run now, and returns its
// account. Withdrawal takes precedence over service: on a host that is not
// confirmed, only accounts with ServeUnconfirmed are served. Call it for each
// request. Every error matches outcome.ErrNotRun.
func Admit(s *records.Snapshot, confirmed bool, keyID string) (records.Account, error) {
	key, ok := s.Keys[keyID]
	if !ok {
		return records.Account{}, refuse(keyID, ErrUnknownKey)
	}
	if key.Withdrawn {
		return records.Account{}, refuse(keyID, outcome.ErrWithdrawn)
	}
	account, ok := s.Accounts[key.Account]
	if !ok {
		return records.Account{}, refuse(keyID, ErrUnknownKey)
	}
	if !confirmed && !account.ServeUnconfirmed {
		return records.Account{}, refuse(keyID, ErrNotConfirmed)
	}
	return account, nil
}

func refuse(keyID string, err error) error {
	return fmt.Errorf("key %s: %w: %w", keyID, err, outcome.ErrNotRun)
}

// String leaves the secret out, so that a log line cannot contain it.
func (g Generated) String() string { return "key " + g.Key.ID }

// GoString leaves the secret out of the format %#v.
func (g Generated) GoString() string { return g.String() }

// MarshalJSON leaves the secret out of JSON log lines.
func (g Generated) MarshalJSON() ([]byte, error) {
	return []byte(fmt.Sprintf("{%q:%q}", "key_id", g.Key.ID)), nil
}
