package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/connpool"
	"github.com/bramleylever/bramleylever/internal/promotion"
	"github.com/bramleylever/bramleylever/internal/statement"
)

const (
	// suspectAfter is how long a primary must have failed without an answer before
	// this host suspects it of having failed.
	suspectAfter = 300 * time.Millisecond
	// statusRetryInterval is the delay before a request is repeated at an instance
	// that had no free slot.
	statusRetryInterval = 15 * time.Millisecond
)

// Failing reports whether this host's statements have failed to reach the primary for
// at least suspectAfter.
func (g *Gateway) Failing(primary *catalog.Server) bool {
	g.health.mu.Lock()
	defer g.health.mu.Unlock()
	in := g.health.get(primary)
	return !in.failingSince.IsZero() && g.now().Sub(in.failingSince) >= suspectAfter
}

// Inspector queries, pauses and resumes instances over pooled connections. It
// implements promotion.Inspector.
type Inspector struct{ gateway *Gateway }

var _ promotion.Inspector = Inspector{}

// Inspector returns the gateway's inspector.
func (g *Gateway) Inspector() Inspector { return Inspector{g} }

// Status implements promotion.Inspector.
func (i Inspector) Status(ctx context.Context, server *catalog.Server) (promotion.Candidate, error) {
	return i.ask(ctx, server, statement.Statement{Kind: statement.Status})
}

// Pause implements promotion.Inspector.
func (i Inspector) Pause(ctx context.Context, server *catalog.Server, epoch uint64) (promotion.Candidate, error) {
	return i.ask(ctx, server, statement.Statement{Kind: statement.Pause, Term: epoch + 1})
}

// Resume implements promotion.Inspector.
func (i Inspector) Resume(ctx context.Context, server *catalog.Server) error {
	_, err := i.ask(ctx, server, statement.Statement{Kind: statement.Resume})
	return err
}

// Demote implements promotion.Inspector.
func (i Inspector) Demote(ctx context.Context, server *catalog.Server, epoch uint64) (promotion.Candidate, error) {
	report, err := i.ask(ctx, server, statement.Statement{Kind: statement.Demote, Term: epoch})
	if err == nil && report.Primary && report.Epoch < epoch {
		err = fmt.Errorf("demote %s: it still leads term %d", server.ID, report.Epoch)
	}
	return report, err
}

func (i Inspector) ask(ctx context.Context, server *catalog.Server, st statement.Statement) (promotion.Candidate, error) {
	g := i.gateway
	conn, err := g.options.Conns.Acquire(ctx, server, connpool.Request{Account: anonymous})
	if err != nil {
		return promotion.Candidate{}, err
	}
	defer conn.Release()
	deadline, _ := ctx.Deadline()
	for {
		answer, err := conn.Do(deadline, connpool.Work{Statements: []statement.Statement{st}})
		if err != nil {
			return promotion.Candidate{}, err
		}
		if answer.Refused != nil {
			return candidate(server, *answer.Refused)
		}
		if answer.Results[0].Code != statement.Busy {
			return candidate(server, answer.Results[0])
		}
		select {
		case <-ctx.Done():
			return promotion.Candidate{}, ctx.Err()
		case <-time.After(statusRetryInterval):
		}
	}
}

func candidate(server *catalog.Server, result statement.Result) (promotion.Candidate, error) {
	if !result.Succeeded() || result.Instance == nil {
		return promotion.Candidate{}, fmt.Errorf("status of %s: answer %s %s", server.ID, result.Code, result.Detail)
	}
	in := result.Instance
	return promotion.Candidate{Server: server, Received: in.Received, Primary: in.Primary, Epoch: in.Term, Paused: in.Paused}, nil
}
