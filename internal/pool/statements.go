package pool

import (
	"container/list"
	"crypto/sha256"
	"encoding/hex"
)

// Hash identifies a prepared statement by its text and parameter types. It is
// cryptographic because connections are shared: a caller that could make two
// statements collide would replace the statement of another caller.
type Hash [16]byte

// HashOf returns the hash of what follows the name in a Parse message.
func HashOf(definition []byte) Hash {
	sum := sha256.Sum256(definition)
	return Hash(sum[:16])
}

// AppendName appends the statement's name on backend connections.
func (h Hash) AppendName(b []byte) []byte {
	return hex.AppendEncode(append(b, "bl_"...), h[:])
}

// Statements is the set of prepared statements of one connection, by content
// hash. The least recently used one makes room for a new one.
type Statements struct {
	limit int
	order *list.List
	index map[Hash]*list.Element
}

// NewStatements returns an empty set of at most limit statements.
func NewStatements(limit int) *Statements {
	return &Statements{limit: limit, order: list.New(), index: map[Hash]*list.Element{}}
}

// Use reports whether a statement exists and marks it as used.
func (s *Statements) Use(hash Hash) bool {
	e, ok := s.index[hash]
	if ok {
		s.order.MoveToFront(e)
	}
	return ok
}

// Add records a statement. If the set was full, evicted is the statement that
// must be closed on the connection.
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

// Remove forgets a statement that the connection refused to prepare.
func (s *Statements) Remove(hash Hash) {
	if e, ok := s.index[hash]; ok {
		s.order.Remove(e)
		delete(s.index, hash)
	}
}

// Len returns the number of statements.
func (s *Statements) Len() int { return s.order.Len() }
