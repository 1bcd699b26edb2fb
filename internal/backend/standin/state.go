package standin

import (
	"context"
	"database/sql/driver"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/position"
)

// logStatement is a statement of a committed transaction. It includes the arguments and
// the time, so that replaying it is deterministic.
type logStatement struct {
	sql    string
	schema bool
	args   []driver.Value
	at     time.Time
}

// entry is a log entry: the changes of one transaction. The first entry of a term
// contains no statements.
type entry struct {
	lsn        position.LSN
	term       position.Term
	statements []logStatement
	received   time.Time // on this instance's clock; the apply lag starts here
}

// state is the replicated log and the role of the instance in its group.
type state struct {
	role      backend.Role
	term      position.Term
	entries   []entry // entries[k] has LSN k+1
	history   position.History
	applied   position.LSN
	primary   string // replicas only: address of the primary
	confirmed position.LSN
	termStart position.LSN // primaries only: LSN of the term's first entry
	peers     map[string]*peerProgress

	pingSequence  uint64 // primaries only: number of the last ping that was started
	pingConfirmed uint64 // number of the last ping that a majority acknowledged

	quiescedUntil time.Time

	// freshAsOf is the time, on this replica's clock, up to which the applied data is
	// known to contain all commits.
	freshAsOf        time.Time
	freshnessSamples []freshnessSample
}

// peerProgress is what a replica has acknowledged in the primary's current term.
type peerProgress struct {
	received position.LSN
	ping     uint64
}

func (s *state) lastLSN() position.LSN { return position.LSN(len(s.entries)) }

func (s *state) lastTerm() position.Term {
	if len(s.entries) == 0 {
		return position.Term{}
	}
	return s.entries[len(s.entries)-1].term
}

// positionAt returns the position of the entry at lsn. LSN 0 is the zero position.
func (s *state) positionAt(lsn position.LSN) position.Position {
	if lsn == 0 {
		return position.Position{}
	}
	return position.Position{Term: s.entries[lsn-1].term, LSN: lsn}
}

// appendEntry appends an entry and extends the history if the entry starts a term.
func (s *state) appendEntry(e entry) {
	if len(s.history) == 0 || s.history[len(s.history)-1].Term != e.term {
		s.history = s.history.Append(e.term, s.lastLSN())
	}
	s.entries = append(s.entries, e)
}

// truncate removes the entries after lsn.
func (s *state) truncate(lsn position.LSN) {
	clear(s.entries[lsn:])
	s.entries = s.entries[:lsn]
	s.history = slices.DeleteFunc(slices.Clone(s.history), func(f position.TermStart) bool { return f.Start >= lsn })
}

// waiter is a call of await whose condition is not met yet. The condition runs with the
// state locked.
type waiter struct {
	condition func() (bool, error)
	err       error
	ready     chan struct{}
}

// broadcastLocked wakes the waiters whose condition is met. It evaluates the conditions
// here rather than in the waiting goroutines, because waking all of them at each change
// cost more than the statements themselves.
func (i *Instance) broadcastLocked() {
	kept := i.waiters[:0]
	for _, w := range i.waiters {
		ok, err := w.condition()
		if !ok && err == nil {
			kept = append(kept, w)
			continue
		}
		w.err = err
		close(w.ready)
	}
	clear(i.waiters[len(kept):])
	i.waiters = kept
}

// await waits until condition returns true or an error. The condition runs with the
// state locked, first at once and then after every change.
func (i *Instance) await(ctx context.Context, condition func() (bool, error)) error {
	i.mu.Lock()
	ok, err := condition()
	if ok || err != nil {
		i.mu.Unlock()
		return err
	}
	w := &waiter{condition: condition, ready: make(chan struct{})}
	i.waiters = append(i.waiters, w)
	i.mu.Unlock()
	select {
	case <-w.ready:
		return w.err
	case <-ctx.Done():
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	k := slices.Index(i.waiters, w)
	if k < 0 {
		return w.err
	}
	i.waiters = slices.Delete(i.waiters, k, k+1)
	return ctx.Err()
}

func (i *Instance) setRoleLocked(role backend.Role) {
	i.state.role = role
	i.replica.Store(role != backend.RolePrimary)
	i.log.Info("role", zap.String(logging.FieldDecision, string(role)),
		zap.Stringer(logging.FieldTerm, i.state.term))
	i.broadcastLocked()
}

// readDatabase returns the database that serves reads.
func (i *Instance) readDatabase() *database {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.db
}

// appliedPosition returns the position of the last entry that is visible to reads.
func (i *Instance) appliedPosition() position.Position {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state.positionAt(i.state.applied)
}

// applyLoop applies received entries after the lag. A primary applies its own entries
// when it commits them.
func (i *Instance) applyLoop() {
	defer i.wg.Done()
	for {
		due := time.Time{}
		err := i.await(i.ctx, func() (bool, error) {
			st := &i.state
			if st.applied >= st.lastLSN() || st.role == backend.RolePrimary {
				return false, nil
			}
			due = st.entries[st.applied].received
			return true, nil
		})
		if err != nil || i.settings.waitUnblocked(i.ctx, noPeer) != nil {
			return
		}
		wake := i.settings.nextChange()
		wait := time.Until(due.Add(time.Duration(i.settings.get().Lag)))
		if wait <= 0 {
			i.applyNext()
			continue
		}
		timer := time.NewTimer(min(wait, maxApplyWait))
		select {
		case <-wake:
		case <-timer.C:
		case <-i.ctx.Done():
		}
		timer.Stop()
	}
}

// maxApplyWait bounds a single wait for the lag, because the log may be truncated
// meanwhile.
const maxApplyWait = time.Second

// applyNext applies the entry after the applied position, if there is one.
func (i *Instance) applyNext() {
	i.applyMu.Lock()
	defer i.applyMu.Unlock()
	i.applyNextLocked()
}

func (i *Instance) applyNextLocked() bool {
	i.mu.Lock()
	st := &i.state
	if st.applied >= st.lastLSN() {
		i.mu.Unlock()
		return false
	}
	e, db := st.entries[st.applied], i.db
	i.mu.Unlock()
	if err := db.apply(e.statements); err != nil {
		// The same statements succeeded on the primary's writer, so this is a defect of
		// the stand-in. The logged error makes it visible to tests.
		i.log.Error("failed to apply a log entry", zap.Uint64("lsn", uint64(e.lsn)), zap.Error(err))
	}
	i.mu.Lock()
	st.applied = e.lsn
	i.updateFreshnessLocked()
	i.broadcastLocked()
	i.mu.Unlock()
	return true
}

// applyTo applies the entries up to lsn without lag.
func (i *Instance) applyTo(lsn position.LSN) {
	i.applyMu.Lock()
	defer i.applyMu.Unlock()
	for {
		i.mu.Lock()
		done := i.state.applied >= lsn
		i.mu.Unlock()
		if done || !i.applyNextLocked() {
			return
		}
	}
}

// apply replays the statements of one transaction. Readers see all of its changes or
// none.
func (d *database) apply(statements []logStatement) error {
	if len(statements) == 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(statements) == 1 {
		return d.replay(statements[0])
	}
	if _, err := d.runLocked("BEGIN", false, false, nil, d.now); err != nil {
		return err
	}
	for _, st := range statements {
		if err := d.replay(st); err != nil {
			_, _ = d.runLocked("ROLLBACK", false, false, nil, d.now)
			return err
		}
	}
	_, err := d.runLocked("COMMIT", false, false, nil, d.now)
	return err
}

func (d *database) replay(st logStatement) error {
	_, err := d.runLocked(st.sql, false, st.schema, namedValues(st.args), st.at)
	return err
}

func namedValues(args []driver.Value) []driver.NamedValue {
	out := make([]driver.NamedValue, len(args))
	for i, v := range args {
		out[i] = driver.NamedValue{Ordinal: i + 1, Value: v}
	}
	return out
}
