package position

import (
	"fmt"
	"slices"
	"strings"
)

// MaxVectorBytes is the length of the longest vector text that is accepted. It bounds
// the memory that a caller can make a proxy use per session.
const MaxVectorBytes = 64 << 10

// Vector is the position of a session: for each database that the session wrote to,
// the position of its last acknowledged write.
type Vector map[string]Position

// Advance raises the position of a database to p if p is higher.
func (v Vector) Advance(database string, p Position) {
	if v[database].Compare(p) < 0 {
		v[database] = p
	}
}

// String returns "database=position" pairs, sorted by database name and separated by
// commas.
func (v Vector) String() string {
	names := make([]string, 0, len(v))
	for name := range v {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	for i, name := range names {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(name)
		b.WriteByte('=')
		b.WriteString(v[name].String())
	}
	return b.String()
}

// ParseVector parses the format of Vector.String.
func ParseVector(s string) (Vector, error) {
	if len(s) > MaxVectorBytes {
		return nil, fmt.Errorf("session position: %d bytes exceed the limit of %d", len(s), MaxVectorBytes)
	}
	v := Vector{}
	if s == "" {
		return v, nil
	}
	for part := range strings.SplitSeq(s, ",") {
		name, text, ok := strings.Cut(part, "=")
		if !ok || name == "" {
			return nil, fmt.Errorf("session position: %q is not database=position", part)
		}
		p, err := Parse(text)
		if err != nil {
			return nil, fmt.Errorf("session position: database %q: %w", name, err)
		}
		if p.IsZero() {
			return nil, fmt.Errorf("session position: database %q: empty position", name)
		}
		if _, dup := v[name]; dup {
			return nil, fmt.Errorf("session position: database %q appears twice", name)
		}
		v[name] = p
	}
	return v, nil
}
