package keys

import (
	"errors"
	"fmt"

	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/internal/records"
)

var (
	// ErrUnknownKey is returned for a key without a record, or whose account has
	// no record.
	ErrUnknownKey = errors.New("unknown key")
	// ErrNotConfirmed is returned if the host could not confirm its records in
	// time, so that the key may have been withdrawn since.
	ErrNotConfirmed = errors.New("key not confirmed in time")
)

// Admit checks whether a request with a key may run now, and returns the key's
// account. confirmed says whether the host's records are confirmed to be up to
// date. If they are not, only accounts with ServeUnconfirmed are admitted, because
// enforcing a withdrawal takes precedence over availability. Call it for each
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

// String omits the secret, so that it cannot end up in a log line.
func (g Generated) String() string { return "key " + g.Key.ID }

// GoString omits the secret from the format %#v.
func (g Generated) GoString() string { return g.String() }

// MarshalJSON omits the secret from JSON log lines.
func (g Generated) MarshalJSON() ([]byte, error) {
	return []byte(fmt.Sprintf("{%q:%q}", "key_id", g.Key.ID)), nil
}
