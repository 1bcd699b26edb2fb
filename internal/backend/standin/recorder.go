package standin

import (
	"database/sql/driver"
	"sync"
	"time"
)

// Executed is one statement that an instance ran or refused.
type Executed struct {
	SQL  string
	Args []driver.Value
	User string
	At   time.Time
	// SQLState is empty if the statement succeeded.
	SQLState string
}

// recorder keeps the last statements and counts all of them.
type recorder struct {
	mu    sync.Mutex
	limit int
	ring  []Executed
	next  int
	total uint64
}

func (r *recorder) add(e Executed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
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

// Executed returns the last statements in the order in which they ended, at
// most Config.RecordLimit.
func (i *Instance) Executed() []Executed {
	r := &i.recorder
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Executed, 0, len(r.ring))
	out = append(out, r.ring[r.next:]...)
	return append(out, r.ring[:r.next]...)
}

// ExecutedCount returns the number of all statements since the start.
func (i *Instance) ExecutedCount() uint64 {
	i.recorder.mu.Lock()
	defer i.recorder.mu.Unlock()
	return i.recorder.total
}

// ForgetExecuted empties the list of statements; the count stays.
func (i *Instance) ForgetExecuted() {
	i.recorder.mu.Lock()
	defer i.recorder.mu.Unlock()
	i.recorder.ring, i.recorder.next = nil, 0
}
