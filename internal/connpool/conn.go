// Package connpool keeps connections to instances. A connection belongs to one
// client account, because instances learn the account when a connection opens,
// and carries the session values and prepared statements that were applied to
// it.
//
// Invariant: a connection is used by one session at a time and returns to the
// pool only outside a transaction with all answers read.
package connpool

import (
	"context"
	"fmt"
	"maps"
	"time"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/statement"
)

// Link is a connection as a codec provides it.
type Link interface {
	// Exchange sends the statements in one packet and returns their results in
	// order. While nothing arrives, it asks stalled now and then whether to give
	// up. After an error the results that arrived are returned with it and the
	// link is not usable any more.
	Exchange(deadline time.Time, stalled func() bool, statements ...statement.Statement) ([]statement.Result, error)
	// Alive reports without waiting whether the peer has left the link open.
	Alive() bool
	Close()
}

// Dialer opens links.
type Dialer interface {
	// Dial connects to an instance on behalf of a client account. The error is
	// a *Refusal if the instance answered and refused.
	Dial(ctx context.Context, server *catalog.Server, account string) (Link, error)
}

// Refusal is the answer of an instance that does not accept a connection.
type Refusal struct {
	Code   statement.Code
	Detail string
}

// Error describes the refusal.
func (r *Refusal) Error() string {
	return fmt.Sprintf("connection refused with %s %s", r.Code, r.Detail)
}

// maxPrepared bounds the prepared statements of one connection; beyond it the
// connection is reset.
const maxPrepared = 64

// Values are the variables that a session set.
type Values map[string]string

// Conn is a pooled connection.
type Conn struct {
	Link
	Server  *catalog.Server
	Account string

	instance *instance
	values   Values
	prepared map[string]bool
	idleFrom time.Time
	broken   bool
	// state is the state after the last answer.
	state statement.State
}

// Break marks the connection as not usable any more.
func (c *Conn) Break() { c.broken = true }

// Exchange sends statements and breaks the connection on an error.
func (c *Conn) Exchange(deadline time.Time, statements ...statement.Statement) ([]statement.Result, error) {
	sent := time.Now()
	results, err := c.Link.Exchange(deadline, func() bool { return c.instance.silent(sent) }, statements...)
	if err != nil {
		c.broken = true
	} else {
		c.instance.heard(sent)
	}
	if len(results) > 0 {
		c.state = results[len(results)-1].State
	}
	return results, err
}

// Prepared is a prepared statement of a session. Connections name it by what
// it runs, so that sessions share it.
type Prepared struct {
	Writes bool
	Shape  string
}

func (p Prepared) name() string {
	if p.Writes {
		return "w_" + p.Shape
	}
	return "r_" + p.Shape
}

// Apply returns the statements that give the connection the values of a
// session and, if prepared is not nil, the prepared statement; name is what an
// Execute must use. The connection counts them as applied, so the caller must
// Break it if one of them fails.
func (c *Conn) Apply(values Values, prepared *Prepared) (prelude []statement.Statement, name string) {
	if c.mustReset(values, prepared) {
		prelude = append(prelude, statement.Statement{Kind: statement.Reset})
		c.values = nil
		c.prepared = nil
	}
	for key, value := range values {
		if current, ok := c.values[key]; !ok || current != value {
			prelude = append(prelude, statement.Statement{Kind: statement.Set, Name: key, Value: value})
		}
	}
	if !maps.Equal(c.values, values) {
		c.values = maps.Clone(values)
	}
	if prepared == nil {
		return prelude, ""
	}
	name = prepared.name()
	if !c.prepared[name] {
		prelude = append(prelude, statement.Statement{
			Kind: statement.Prepare, Name: name, Writes: prepared.Writes, Value: prepared.Shape,
		})
		if c.prepared == nil {
			c.prepared = map[string]bool{}
		}
		c.prepared[name] = true
	}
	return prelude, name
}

// mustReset reports whether the connection has a variable that the session
// lacks, or too many prepared statements.
func (c *Conn) mustReset(values Values, prepared *Prepared) bool {
	for key := range c.values {
		if _, ok := values[key]; !ok {
			return true
		}
	}
	return prepared != nil && len(c.prepared) >= maxPrepared && !c.prepared[prepared.name()]
}

// cost is the number of statements that Apply would return for the values.
func (c *Conn) cost(values Values) int {
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
