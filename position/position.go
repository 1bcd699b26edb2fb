// Package position provides terms, log positions, term histories and the position
// vectors of sessions, with their text formats.
//
// Two positions are comparable only within one history. Entries that an old primary
// added after the point at which a newer term began form a fork, and a position on
// a fork never satisfies a session.
package position

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// Term identifies the period of one primary of a database. Terms are ordered by
// epoch, then by sequence.
type Term struct {
	Epoch    uint64
	Sequence uint64
}

// Compare returns -1, 0 or 1 if t is lower than, equal to or higher than o.
func (t Term) Compare(o Term) int {
	if c := cmp.Compare(t.Epoch, o.Epoch); c != 0 {
		return c
	}
	return cmp.Compare(t.Sequence, o.Sequence)
}

// Less reports whether t is lower than o.
func (t Term) Less(o Term) bool { return t.Compare(o) < 0 }

// IsZero reports whether t is the zero term, which a group has until its first
// promotion.
func (t Term) IsZero() bool { return t == Term{} }

// String returns "epoch.sequence".
func (t Term) String() string {
	return strconv.FormatUint(t.Epoch, 10) + "." + strconv.FormatUint(t.Sequence, 10)
}

// MarshalText returns the format of String.
func (t Term) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText parses the format of String.
func (t *Term) UnmarshalText(text []byte) error {
	parsed, err := ParseTerm(string(text))
	if err != nil {
		return err
	}
	*t = parsed
	return nil
}

// ParseTerm parses the format of Term.String.
func ParseTerm(s string) (Term, error) {
	epoch, sequence, ok := strings.Cut(s, ".")
	if !ok {
		return Term{}, fmt.Errorf("term %q: expected epoch.sequence", s)
	}
	e, err := parseUint(epoch)
	if err != nil {
		return Term{}, fmt.Errorf("term %q: epoch: %w", s, err)
	}
	q, err := parseUint(sequence)
	if err != nil {
		return Term{}, fmt.Errorf("term %q: sequence: %w", s, err)
	}
	return Term{Epoch: e, Sequence: q}, nil
}

// LSN is a log sequence number; the first entry of a log has LSN 1.
type LSN uint64

// Position is a place in the log of one database.
type Position struct {
	Term Term
	LSN  LSN
}

// Compare orders positions by term, then by LSN.
func (p Position) Compare(o Position) int {
	if c := p.Term.Compare(o.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.LSN, o.LSN)
}

// IsZero reports whether p is the zero position, which every log contains.
func (p Position) IsZero() bool { return p == Position{} }

// String returns "epoch.sequence/lsn" in decimal.
func (p Position) String() string {
	return p.Term.String() + "/" + strconv.FormatUint(uint64(p.LSN), 10)
}

// MarshalText returns the format of String.
func (p Position) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText parses the format of String; empty text is the zero position.
func (p *Position) UnmarshalText(text []byte) error {
	parsed, err := Parse(string(text))
	if err != nil {
		return err
	}
	*p = parsed
	return nil
}

// Parse parses the format of Position.String. The empty string is the zero position.
func Parse(s string) (Position, error) {
	if s == "" {
		return Position{}, nil
	}
	term, lsn, ok := strings.Cut(s, "/")
	if !ok {
		return Position{}, fmt.Errorf("position %q: expected epoch.sequence/lsn", s)
	}
	t, err := ParseTerm(term)
	if err != nil {
		return Position{}, fmt.Errorf("position %q: %w", s, err)
	}
	l, err := parseUint(lsn)
	if err != nil {
		return Position{}, fmt.Errorf("position %q: lsn: %w", s, err)
	}
	return Position{Term: t, LSN: LSN(l)}, nil
}

// parseUint accepts only the canonical decimal form, without a sign or leading zeros,
// so that every value has exactly one text.
func parseUint(s string) (uint64, error) {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not an unsigned decimal number", s)
	}
	if strconv.FormatUint(n, 10) != s {
		return 0, fmt.Errorf("%q has a sign or leading zeros", s)
	}
	return n, nil
}
