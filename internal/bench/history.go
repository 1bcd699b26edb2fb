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

// requestOutcome is the result of a request as its caller saw it.
type requestOutcome int

const (
	answered requestOutcome = iota
	notRun
	unknown
	failed
	outcomeCount
)

// operation is one request with its outcome and times relative to the start of
// the run.
type operation struct {
	account          string
	database         string
	id               int64
	write            bool
	idempotent       bool
	boundedStaleness bool
	outcome          requestOutcome
	sqlState         string
	intended         time.Duration
	sent             time.Duration
	finished         time.Duration
}

// history collects the operations, stale reads and error messages of a run.
type history struct {
	mu          sync.Mutex
	operations  []operation
	staleReads  []string
	errorCounts map[string]int
}

func (h *history) add(o operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, o)
}

// addStaleRead records a read that did not see an acknowledged write of its own
// session.
func (h *history) addStaleRead(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.staleReads = append(h.staleReads, text)
}

func (h *history) countError(message string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.errorCounts == nil {
		h.errorCounts = map[string]int{}
	}
	h.errorCounts[message]++
}

const (
	sqlStateOutcomeUnknown = "08007"
	sqlStateRateExceeded   = "53400"
	notRunText             = "not run"
)

// classify maps an error to the outcome of its request and the SQLSTATE, if
// there is one.
func classify(err error) (requestOutcome, string) {
	var pgErr *pgconn.PgError
	switch {
	case err == nil:
		return answered, ""
	case errors.As(err, &pgErr):
		switch {
		case pgErr.Code == sqlStateOutcomeUnknown:
			return unknown, pgErr.Code
		case strings.Contains(pgErr.Message, notRunText):
			return notRun, pgErr.Code
		default:
			return failed, pgErr.Code
		}
	case pgconn.SafeToRetry(err):
		return notRun, ""
	default:
		return unknown, ""
	}
}

// Violation is one case in which a consistency guarantee was violated.
type Violation struct {
	Rule   string `json:"rule"`
	Detail string `json:"detail"`
}

// maxViolations limits how many violations check returns.
const maxViolations = 20

// check compares the outcomes that callers saw with the stored rows: an
// acknowledged write is stored exactly once, a write reported as not run is not
// stored, and no write is stored more than once. found is the number of rows by
// database and operation.
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
		case o.outcome == answered && rows == 0:
			add("no acknowledged write lost", "%s: operation %d at %s", o.database, o.id, o.finished)
		case rows > 1:
			add("at most once", "%s: operation %d ran %d times, ending %d", o.database, o.id, rows, o.outcome)
		case o.outcome == notRun && rows > 0:
			add("not run is true", "%s: operation %d, SQLSTATE %s", o.database, o.id, o.sqlState)
		}
	}
	for _, text := range h.staleReads {
		add("read-your-writes", "%s", text)
	}
	return out
}

// countRows returns the number of rows of each operation in a database.
func countRows(ctx context.Context, url string) (map[int64]int, error) {
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close(ctx) }()
	// A read-write transaction is routed to the primary.
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

// longestGap returns the longest time without an acknowledged write to a
// database within a window. The start and the end of the window count as
// writes.
func (h *history) longestGap(database string, from, to time.Duration) time.Duration {
	times := []time.Duration{from}
	for _, o := range h.operations {
		if o.write && o.outcome == answered && o.database == database && o.finished >= from && o.finished <= to {
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
