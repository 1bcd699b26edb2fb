package standin

import (
	"database/sql/driver"
	"sync"
	"time"
)

// ExecutedStatement is a statement that an instance ran or refused.
type ExecutedStatement struct {
	SQL  string
	Args []driver.Value
	User string
	At   time.Time
	// SQLState is the SQLSTATE of a failed statement, empty if it succeeded.
	SQLState string
}

// recorder keeps the most recent statements and counts all of them.
type recorder struct {
	mu    sync.Mutex
	limit int
	ring  []ExecutedStatement
	next  int

	counters Counters
}

// Counters are the numbers of events since New.
type Counters struct {
	// Statements is the number of statements that ran or were refused.
	Statements uint64
	// Connections is the number of connections that were accepted.
	Connections uint64
	// RefusedConnections is the number of connections that were refused because of a
	// limit.
	RefusedConnections uint64
}

// Counters returns the current counts.
func (i *Instance) Counters() Counters {
	i.recorder.mu.Lock()
	defer i.recorder.mu.Unlock()
	return i.recorder.counters
}

// countConnection counts a connection that was accepted or refused.
func (r *recorder) countConnection(admitted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if admitted {
		r.counters.Connections++
	} else {
		r.counters.RefusedConnections++
	}
}

func (r *recorder) add(e ExecutedStatement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.Statements++
	if r.limit < 0 {
		return
	}
	if len(r.ring) < r.limit {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % r.limit
}

// Executed returns the most recent statements in the order in which they ended, at most
// Config.RecordLimit.
func (i *Instance) Executed() []ExecutedStatement {
	r := &i.recorder
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]ExecutedStatement, 0, len(r.ring))
	out = append(out, r.ring[r.next:]...)
	return append(out, r.ring[:r.next]...)
}

// ClearExecuted empties the list of statements. The counters don't change.
func (i *Instance) ClearExecuted() {
	i.recorder.mu.Lock()
	defer i.recorder.mu.Unlock()
	i.recorder.ring, i.recorder.next = nil, 0
}
