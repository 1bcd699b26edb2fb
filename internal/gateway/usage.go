package gateway

import (
	"errors"
	"time"

	"github.com/bramleylever/bramleylever/internal/connpool"
	"github.com/bramleylever/bramleylever/internal/outcome"
)

// start runs the first statement of an operation on a connection, and counts the operation
// for its account if the instance began it.
func (op *operation) start(conn connpool.Handle, t target, w connpool.Work, deadline time.Time, a *attempts) (connpool.Answer, error) {
	g := op.gateway()
	sent := g.now()
	answer, err := op.do(conn, t, w, deadline, a)
	if g.options.Usage != nil && op.account != anonymous && began(&answer, err) {
		g.options.Usage.Count(op.account, g.now().Sub(sent))
	}
	return answer, err
}

// began reports whether an instance began the statement that was answered. One without an
// answer counts as begun, unless it is certain that it did not run: answers are lost more
// often than statements.
func began(answer *connpool.Answer, err error) bool {
	switch {
	case answer.Refused != nil, errors.Is(err, errLeaderUnusable), errors.Is(err, errAccountChanged):
		return false
	case len(answer.Results) == 0:
		return !outcome.RetrySafe(err)
	}
	return !answer.Results[0].Code.NotRun()
}
