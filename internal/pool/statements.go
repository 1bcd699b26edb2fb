package pool

import (
	"container/list"
	"crypto/sha256"
	"encoding/hex"
)

// Hash identifies a prepared statement by its query text and parameter types. The hash is
// cryptographic because callers share connections: a caller that could construct a collision
// could replace the statement of another caller.
type Hash [16]byte

// HashOf returns the hash of a statement definition: the part of a Parse message after the name.
func HashOf(definition []byte) Hash {
	sum := sha256.Sum256(definition)
	return Hash(sum[:16])
}

// AppendName appends the name under which the statement is prepared on backend connections.
func (h Hash) AppendName(b []byte) []byte {
	return hex.AppendEncode(append(b, "bl_"...), h[:])
}

// Statements is the set of prepared statements of one connection, keyed by hash. When it is full,
// adding a statement evicts the least recently used one.
type Statements struct {
	limit int
	order *list.List
	index map[Hash]*list.Element
}

// NewStatements returns an empty set of at most limit statements.
func NewStatements(limit int) *Statements {
	return &Statements{limit: limit, order: list.New(), index: map[Hash]*list.Element{}}
}

// Use reports whether a statement is in the set and marks it as most recently used.
func (s *Statements) Use(hash Hash) bool {
	e, ok := s.index[hash]
	if ok {
		s.order.MoveToFront(e)
	}
	return ok
}

// Add adds a statement. If the set was full, evicted is the removed statement, which must be closed
// on the connection.
func (s *Statements) Add(hash Hash) (evicted Hash, full bool) {
	if s.Use(hash) {
		return Hash{}, false
	}
	if s.order.Len() >= s.limit {
		last := s.order.Back()
		evicted, _ = s.order.Remove(last).(Hash)
		delete(s.index, evicted)
		full = true
	}
	s.index[hash] = s.order.PushFront(hash)
	return evicted, full
}

// Remove removes a statement that the instance failed to prepare.
func (s *Statements) Remove(hash Hash) {
	if e, ok := s.index[hash]; ok {
		s.order.Remove(e)
		delete(s.index, hash)
	}
}

// Len returns the number of statements.
func (s *Statements) Len() int { return s.order.Len() }
