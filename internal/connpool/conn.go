// Package connpool pools connections to instances. A connection belongs to one client
// account, because the account is sent to the instance when the connection is opened.
// It keeps the session variables and prepared statements that were applied to it.
//
// Invariant: a connection is used by one session at a time and returns to the pool only
// outside a transaction and with all answers read.
package connpool

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"strings"
	"time"
	"unicode"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/statement"
)

// Link is a raw connection that speaks the wire format.
type Link interface {
	// Exchange sends the statements in one packet and returns their results in order.
	// While it waits for data, it calls abandoned from time to time and gives up if that
	// returns true. On an error it also returns the results that arrived before, and
	// the link is no longer usable.
	Exchange(deadline time.Time, abandoned func() bool, statements ...statement.Statement) ([]statement.Result, error)
	// Alive reports, without blocking, whether the peer still has the link open.
	Alive() bool
	Close()
}

// Dialer opens links.
type Dialer interface {
	// Dial connects to an instance on behalf of a client account. The error is a
	// *Refusal if the instance refused the connection with an answer.
	Dial(ctx context.Context, server *catalog.Server, account string) (Link, error)
}

// Refusal is the answer of an instance that refused a connection.
type Refusal struct {
	Code   statement.Code
	Detail string
}

// Error describes the refusal.
func (r *Refusal) Error() string {
	return fmt.Sprintf("connection refused with %s %s", r.Code, r.Detail)
}

// maxPrepared is the maximum number of prepared statements on a connection. The
// connection is reset before another one would exceed it.
const maxPrepared = 64

// Values are the variables that a session has set, by name.
type Values map[string]string

// Conn is a pooled connection.
type Conn struct {
	Link
	Server  *catalog.Server
	Account string

	instance  *instance
	values    Values
	prepared  map[string]bool
	idleSince time.Time
	// takenAt is when the connection was handed out last.
	takenAt time.Time
	broken  bool
	// state is the session state reported by the last answer.
	state statement.State
}

// MarkBroken marks the connection as unusable; Release will close it.
func (c *Conn) MarkBroken() { c.broken = true }

// Exchange sends statements and marks the connection broken on an error.
func (c *Conn) Exchange(deadline time.Time, statements ...statement.Statement) ([]statement.Result, error) {
	sent := time.Now()
	broken := c.broken
	// Unless the exchange ends well, answers may be left unread.
	c.broken = true
	abandoned := func() bool { return c.instance.interrupted.Load() || c.instance.silent(sent) }
	results, err := c.Link.Exchange(deadline, abandoned, statements...)
	if err == nil {
		c.broken = broken
		c.instance.recordAnswer(sent)
	} else {
		c.instance.recordSilence(sent)
	}
	if len(results) > 0 {
		c.state = results[len(results)-1].State
	}
	return results, err
}

// Prepared is a prepared statement of a session. Its name on a connection is derived
// from its content, so that sessions can share it.
type Prepared struct {
	Writes bool
	// Shape is the text of the prepared statement.
	Shape string
}

// maxPlainShape is the maximum length of a shape that is part of the name.
const maxPlainShape = 64

// name returns the name on a connection. A shape that could not stand in a name, because of
// its length or its characters, is replaced by its hash.
func (p Prepared) name() string {
	kind := "r"
	if p.Writes {
		kind = "w"
	}
	if len(p.Shape) <= maxPlainShape && !strings.ContainsFunc(p.Shape, notInNames) {
		return kind + "_" + p.Shape
	}
	hash := sha256.Sum256([]byte(p.Shape))
	return kind + "h_" + hex.EncodeToString(hash[:])
}

// notInNames reports whether a character cannot stand in a name.
func notInNames(r rune) bool {
	return r != '_' && r != '-' && (r > unicode.MaxASCII || !unicode.IsLetter(r) && !unicode.IsDigit(r))
}

// Apply returns the setup statements that apply a session's values and, if prepared is
// not nil, its prepared statement to the connection. An Execute must use the returned
// name. The connection then assumes that they were applied, so the caller must call
// MarkBroken if one of them fails.
func (c *Conn) Apply(values Values, prepared *Prepared) (setup []statement.Statement, name string) {
	if c.mustReset(values, prepared) {
		setup = append(setup, statement.Statement{Kind: statement.Reset})
		c.values = nil
		c.prepared = nil
	}
	for key, value := range values {
		if current, ok := c.values[key]; !ok || current != value {
			setup = append(setup, statement.Statement{Kind: statement.Set, Name: key, Value: value})
		}
	}
	if !maps.Equal(c.values, values) {
		c.values = maps.Clone(values)
	}
	if prepared == nil {
		return setup, ""
	}
	name = prepared.name()
	if !c.prepared[name] {
		setup = append(setup, statement.Statement{
			Kind: statement.Prepare, Name: name, Writes: prepared.Writes, Value: prepared.Shape,
		})
		if c.prepared == nil {
			c.prepared = map[string]bool{}
		}
		c.prepared[name] = true
	}
	return setup, name
}

// mustReset reports whether the connection has a variable that the session has not
// set, or would exceed maxPrepared.
func (c *Conn) mustReset(values Values, prepared *Prepared) bool {
	for key := range c.values {
		if _, ok := values[key]; !ok {
			return true
		}
	}
	return prepared != nil && len(c.prepared) >= maxPrepared && !c.prepared[prepared.name()]
}

// valuesBytes returns the size of the variables that the connection keeps.
func (c *Conn) valuesBytes() int {
	size := 0
	for key, value := range c.values {
		size += len(key) + len(value)
	}
	return size
}

// setupCost returns the number of variables that differ between the connection and the
// values.
func (c *Conn) setupCost(values Values) int {
	cost := 0
	for key, value := range values {
		if current, ok := c.values[key]; !ok || current != value {
			cost++
		}
	}
	for key := range c.values {
		if _, ok := values[key]; !ok {
			cost++
		}
	}
	return cost
}
