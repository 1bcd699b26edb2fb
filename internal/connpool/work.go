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

// Work is what an operation runs on a connection at a time.
type Work struct {
	// Values are the session's variables. Prepared is what an Execute in
	// Statements runs; nil if there is none.
	Values   Values
	Prepared *Prepared
	// Begin opens a transaction first; nil opens none. Statements are sent only
	// after it succeeded.
	Begin      *statement.Statement
	Statements []statement.Statement
}

// Answer is what the instance answered to Work.
type Answer struct {
	// Refused is the answer to a preparing statement or to Begin that did not
	// succeed; Statements were not sent then.
	Refused *statement.Result
	// BeginPosition is the instance's position when Begin succeeded.
	BeginPosition position.Position
	// Results are those of Statements.
	Results []statement.Result
	// Load is the number of operations that use or wait for a connection to the
	// instance where the connection is kept.
	Load int
}

// OwnerError is the failure to reach the host that holds a connection. It says
// little about the instance.
type OwnerError struct {
	Owner string
	Err   error
}

// Error names the host.
func (e *OwnerError) Error() string { return fmt.Sprintf("holder %s: %v", e.Owner, e.Err) }

// Unwrap returns the cause.
func (e *OwnerError) Unwrap() error { return e.Err }

// Handle is a connection that one operation uses.
type Handle interface {
	// Do runs work. The error matches outcome.ErrNotRun if none of the
	// Statements was sent; otherwise they may have been run.
	Do(deadline time.Time, w Work) (Answer, error)
	// Release gives the connection back. If it is not known to be idle it is
	// closed, which rolls an open transaction back.
	Release()
}

// Source hands out connections.
type Source interface {
	// Acquire returns a connection of an account to an instance. The error is a
	// *Refusal, or matches outcome.ErrNotRun.
	Acquire(ctx context.Context, server *catalog.Server, account string, values Values) (Handle, error)
	// Load returns how many operations use or wait for connections to an
	// instance, as far as this host knows.
	Load(server *catalog.Server) int
}

// local is a connection of this host's own pool.
type local struct {
	*Conn
	pool *Pool
}

// AcquireHandle acquires a connection for one operation.
func (p *Pool) AcquireHandle(ctx context.Context, server *catalog.Server, account string, values Values, limit Limit) (Handle, error) {
	c, err := p.Acquire(ctx, server, account, values, limit)
	if err != nil {
		return nil, err
	}
	return &local{Conn: c, pool: p}, nil
}

// Release implements Handle.
func (l *local) Release() {
	if l.state != statement.Idle {
		l.Break()
	}
	l.pool.Release(l.Conn)
}

// Do implements Handle.
func (l *local) Do(deadline time.Time, w Work) (Answer, error) {
	answer, err := l.do(deadline, w)
	answer.Load = l.pool.Load(l.Server)
	return answer, err
}

func (c *Conn) do(deadline time.Time, w Work) (Answer, error) {
	var answer Answer
	prelude, name := c.Apply(w.Values, w.Prepared)
	if w.Begin != nil {
		prelude = append(prelude, *w.Begin)
	}
	if len(prelude) > 0 {
		if err := c.prepare(deadline, prelude, w.Begin != nil, &answer); err != nil || answer.Refused != nil {
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

// prepare runs the statements before the work. Only a Begin, which comes last,
// may be refused without harm to the connection.
func (c *Conn) prepare(deadline time.Time, prelude []statement.Statement, begin bool, answer *Answer) error {
	results, err := c.Exchange(deadline, prelude...)
	if err != nil {
		return notRun(err)
	}
	last := len(results) - 1
	for i := range results {
		if results[i].Succeeded() {
			continue
		}
		if !begin || i < last {
			c.Break()
		}
		answer.Refused = &results[i]
		return nil
	}
	if begin {
		answer.BeginPosition = results[last].Position
	}
	return nil
}

// notRun marks an error that came before the work was sent.
func notRun(err error) error {
	if errors.Is(err, outcome.ErrNotRun) {
		return err
	}
	return fmt.Errorf("%w: %w", outcome.ErrNotRun, err)
}
