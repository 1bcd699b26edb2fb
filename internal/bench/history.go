package bench

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// ending is how a request ended for its caller.
type ending int

const (
	answered ending = iota
	notRun
	unknown
	failed
	endingCount
)

// operation is one request as its caller saw it.
type operation struct {
	account    string
	database   string
	id         int64
	write      bool
	idempotent bool
	stale      bool
	end        ending
	sqlState   string
	intended   time.Duration
	sent       time.Duration
	finished   time.Duration
}

// history collects the operations of a run.
type history struct {
	mu         sync.Mutex
	operations []operation
	stale      []string
	messages   map[string]int
}

func (h *history) add(o operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, o)
}

// staleRead records a read that missed a write of its own session.
func (h *history) staleRead(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stale = append(h.stale, text)
}

func (h *history) note(message string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.messages == nil {
		h.messages = map[string]int{}
	}
	h.messages[message]++
}

const (
	stateOutcomeUnknown = "08007"
	stateRateExceeded   = "53400"
	notRunText          = "not run"
)

// classify says what an error means for the caller.
func classify(err error) (ending, string) {
	var refused *pgconn.PgError
	switch {
	case err == nil:
		return answered, ""
	case errors.As(err, &refused):
		switch {
		case refused.Code == stateOutcomeUnknown:
			return unknown, refused.Code
		case strings.Contains(refused.Message, notRunText):
			return notRun, refused.Code
		default:
			return failed, refused.Code
		}
	case pgconn.SafeToRetry(err):
		return notRun, ""
	default:
		return unknown, ""
	}
}

// Violation is a promise that the history breaks.
type Violation struct {
	Rule   string `json:"rule"`
	Detail string `json:"detail"`
}

// maxViolations bounds the list in a result.
const maxViolations = 20

// check compares what callers saw with what the databases hold: acknowledged
// writes are there exactly once, refused ones are not, and no write without an
// unknown outcome is in doubt. found counts the rows of each operation.
func (h *history) check(found map[string]map[int64]int) []Violation {
	var out []Violation
	add := func(rule, format string, args ...any) {
		if len(out) < maxViolations {
			out = append(out, Violation{rule, fmt.Sprintf(format, args...)})
		}
	}
	for _, o := range h.operations {
		if !o.write {
			continue
		}
		rows := found[o.database][o.id]
		switch {
		case o.end == answered && rows == 0:
			add("no acknowledged write lost", "%s: operation %d at %s", o.database, o.id, o.finished)
		case rows > 1:
			add("at most once", "%s: operation %d ran %d times, ending %d", o.database, o.id, rows, o.end)
		case o.end == notRun && rows > 0:
			add("not run is true", "%s: operation %d, SQLSTATE %s", o.database, o.id, o.sqlState)
		}
	}
	for _, text := range h.stale {
		add("read-your-writes", "%s", text)
	}
	return out
}

// rowsOf reads how often each operation is in a database.
func rowsOf(ctx context.Context, url string) (map[int64]int, error) {
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close(ctx) }()
	// A transaction that is not read only runs on the primary.
	tx, err := conn.Begin(ctx)
	if err != nil {
		return nil, err
	}
	defer func() { _ = tx.Rollback(ctx) }()
	counts := map[int64]int{}
	for _, table := range []string{"entries", "readings"} {
		rows, err := tx.Query(ctx, "SELECT op FROM "+table)
		if err != nil {
			return nil, err
		}
		ids, err := pgx.CollectRows(rows, pgx.RowTo[int64])
		if err != nil {
			return nil, err
		}
		for _, id := range ids {
			counts[id]++
		}
	}
	return counts, nil
}

// longestGap returns the longest time without an acknowledged write of a
// database within a window.
func (h *history) longestGap(database string, from, to time.Duration) time.Duration {
	times := []time.Duration{from}
	for _, o := range h.operations {
		if o.write && o.end == answered && o.database == database && o.finished >= from && o.finished <= to {
			times = append(times, o.finished)
		}
	}
	times = append(times, to)
	slices.Sort(times)
	longest := time.Duration(0)
	for i := 1; i < len(times); i++ {
		longest = max(longest, times[i]-times[i-1])
	}
	return longest
}
