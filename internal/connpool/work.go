package connpool

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/internal/statement"
	"github.com/bramleylever/bramleylever/position"
)

// Work is a batch of statements that an operation runs on a connection.
type Work struct {
	// Values are the session's variables. Prepared is the prepared statement that an
	// Execute in Statements runs; nil if there is none.
	Values   Values
	Prepared *Prepared
	// Begin, if not nil, opens a transaction first. Statements are sent only after it
	// has succeeded.
	Begin      *statement.Statement
	Statements []statement.Statement
}

// Answer is the answer of the instance to Work.
type Answer struct {
	// Refused is the answer to a setup statement or to Begin that did not succeed. In
	// that case Statements were not sent.
	Refused *statement.Result
	// BeginPosition is the instance's log position when Begin succeeded.
	BeginPosition position.Position
	// Results are the results of Statements, in order.
	Results []statement.Result
	// Load is the number of operations that use or wait for a connection to the
	// instance on the host that keeps this connection.
	Load int
}

// OwnerError is a failure to reach the connection owner of an instance. It does not
// mean that the instance has failed.
type OwnerError struct {
	Owner string
	Err   error
}

// Error describes the failure with the owner's host name. The text reaches callers in the
// detail of a result, where the owner is called "holder".
func (e *OwnerError) Error() string { return fmt.Sprintf("holder %s: %v", e.Owner, e.Err) }

// Unwrap returns the underlying error.
func (e *OwnerError) Unwrap() error { return e.Err }

// Handle is a connection acquired for one operation.
type Handle interface {
	// Do runs work. The error matches outcome.ErrNotRun if none of the Statements was
	// sent; after other errors they may have run.
	Do(deadline time.Time, w Work) (Answer, error)
	// Release returns the connection to its pool. Unless its state is known to be idle
	// it is closed, which rolls back an open transaction.
	Release()
}

// Request says for what a connection is acquired.
type Request struct {
	// Account is the client account, and Values are the session's variables.
	Account string
	Values  Values
	// Class and Due order the requests that wait for a connection: how important the operation
	// is, and when it must be answered to meet its objective; zero if it has none.
	Class catalog.Class
	Due   time.Time
}

// Source provides connections to instances.
type Source interface {
	// Acquire returns a connection to an instance. The error is a *Refusal, or matches
	// outcome.ErrNotRun.
	Acquire(ctx context.Context, server *catalog.Server, request Request) (Handle, error)
	// Load returns how many operations use or wait for connections to an instance, as
	// far as this host knows.
	Load(server *catalog.Server) int
	// Interrupt ends all work under way as if its deadline had passed; later work ends
	// at once.
	Interrupt()
}

// localHandle is a Handle for a connection of this host's pool.
type localHandle struct {
	*Conn
	pool *Pool
}

// AcquireHandle acquires a connection and returns it as a Handle.
func (p *Pool) AcquireHandle(ctx context.Context, server *catalog.Server, request Request, limit Limit) (Handle, error) {
	c, err := p.Acquire(ctx, server, request, limit)
	if err != nil {
		return nil, err
	}
	return &localHandle{Conn: c, pool: p}, nil
}

// Release implements Handle.
func (l *localHandle) Release() {
	if l.state != statement.Idle {
		l.MarkBroken()
	}
	l.pool.Release(l.Conn)
}

// Do implements Handle.
func (l *localHandle) Do(deadline time.Time, w Work) (Answer, error) {
	answer, err := l.do(deadline, w)
	answer.Load = l.pool.Load(l.Server)
	return answer, err
}

func (c *Conn) do(deadline time.Time, w Work) (Answer, error) {
	var answer Answer
	setup, name := c.Apply(w.Values, w.Prepared)
	if w.Begin != nil {
		setup = append(setup, *w.Begin)
	}
	if len(setup) > 0 {
		if err := c.runSetup(deadline, setup, w.Begin != nil, &answer); err != nil || answer.Refused != nil {
			return answer, err
		}
	}
	if len(w.Statements) == 0 {
		return answer, nil
	}
	statements := append([]statement.Statement(nil), w.Statements...)
	for i := range statements {
		if statements[i].Kind == statement.Execute {
			statements[i].Name = name
		}
	}
	results, err := c.Exchange(deadline, statements...)
	answer.Results = results
	return answer, err
}

// runSetup runs the setup statements, of which a Begin is the last. If any other one is
// refused, the state of the connection is unknown and it is marked broken.
func (c *Conn) runSetup(deadline time.Time, setup []statement.Statement, begin bool, answer *Answer) error {
	results, err := c.Exchange(deadline, setup...)
	if err != nil {
		return asNotRun(err)
	}
	last := len(results) - 1
	for i := range results {
		if results[i].Succeeded() {
			continue
		}
		if !begin || i < last {
			c.MarkBroken()
		}
		answer.Refused = &results[i]
		return nil
	}
	if begin {
		answer.BeginPosition = results[last].Position
	}
	return nil
}

// asNotRun marks an error that occurred before the statements of the work were sent.
func asNotRun(err error) error {
	if errors.Is(err, outcome.ErrNotRun) {
		return err
	}
	return fmt.Errorf("%w: %w", outcome.ErrNotRun, err)
}
