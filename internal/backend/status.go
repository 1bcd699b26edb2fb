package backend

import (
	"encoding/json"
	"errors"
	"fmt"
)

// MaxStatusBytes is the maximum size of a status that DecodeStatus accepts. The history
// in it grows by about 30 bytes with each term.
const MaxStatusBytes = 1 << 20

// DecodeStatus parses and validates the JSON result of a control statement. Errors name
// the invalid field.
func DecodeStatus(data []byte) (Status, error) {
	var st Status
	if len(data) > MaxStatusBytes {
		return st, fmt.Errorf("status: %d bytes exceed the limit of %d", len(data), MaxStatusBytes)
	}
	if err := json.Unmarshal(data, &st); err != nil {
		return Status{}, jsonError(err)
	}
	if err := st.Validate(); err != nil {
		return Status{}, fmt.Errorf("status: %w", err)
	}
	return st, nil
}

func jsonError(err error) error {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return fmt.Errorf("status: field %q: unexpected %s", mismatch.Field, mismatch.Value)
	}
	return fmt.Errorf("status: %w", err)
}

// Validate checks the invariants of an instance's status.
func (s Status) Validate() error {
	switch s.Role {
	case RolePrimary, RoleReplica, RoleFenced:
	default:
		return fmt.Errorf("field %q: unknown role %q", "role", s.Role)
	}
	switch {
	case s.Instance == "":
		return fmt.Errorf("field %q: empty", "instance")
	case s.Role != RoleFenced && s.Term.IsZero():
		return fmt.Errorf("field %q: %s without a term", "term", s.Role)
	case s.Term.Less(s.LastLogTerm):
		return fmt.Errorf("field %q: %s is above the term %s", "last_log_term", s.LastLogTerm, s.Term)
	case s.Applied > s.Received:
		return fmt.Errorf("field %q: %d is above received %d", "applied", s.Applied, s.Received)
	case s.Confirmed > s.Received:
		return fmt.Errorf("field %q: %d is above received %d", "confirmed", s.Confirmed, s.Received)
	case s.Connections < 0:
		return fmt.Errorf("field %q: %d is negative", "connections", s.Connections)
	case s.ConnectionLimit < 0:
		return fmt.Errorf("field %q: %d is negative", "connection_limit", s.ConnectionLimit)
	}
	return s.validateHistory()
}

func (s Status) validateHistory() error {
	if err := s.History.Validate(); err != nil {
		return fmt.Errorf("field %q: %w", "history", err)
	}
	if len(s.History) == 0 {
		if s.Received > 0 {
			return fmt.Errorf("field %q: empty although entries were received", "history")
		}
		return nil
	}
	last := s.History[len(s.History)-1]
	if last.Term != s.LastLogTerm {
		return fmt.Errorf("field %q: ends with term %s, but the last log term is %s", "history", last.Term, s.LastLogTerm)
	}
	if last.Start >= s.Received {
		return fmt.Errorf("field %q: term %s starts at %d, but only %d entries were received",
			"history", last.Term, last.Start, s.Received)
	}
	return nil
}
