package standin

import (
	"context"
	"errors"
	"time"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/position"
)

// writer runs the write transactions of a primary in one term, one at a time.
type writer struct {
	term    position.Term
	db      *database
	lock    chan struct{} // contains a token while a transaction is open
	aborted chan struct{} // closed when the instance is no longer primary

	quiesced chan struct{} // closed and replaced by each quiesce; guarded by Instance.mu
}

var errTransactionAborted = failf(backend.SQLStateReadOnly, "the transaction was aborted because the instance is no longer primary")

// isAborted reports whether the instance is no longer primary in the writer's term.
func (w *writer) isAborted() bool {
	select {
	case <-w.aborted:
		return true
	default:
		return false
	}
}

// release frees the writer for the next transaction.
func (w *writer) release() { <-w.lock }

// openWriterLocked creates the writer's database as a copy of the read database, which
// must have applied all entries.
func (i *Instance) openWriterLocked() error {
	image, err := i.db.serialize()
	if err != nil {
		return err
	}
	db, err := openDatabase(image, i.replica.Load)
	if err != nil {
		return err
	}
	i.writer = &writer{
		term:    i.state.term,
		db:      db,
		lock:    make(chan struct{}, 1),
		aborted: make(chan struct{}),

		quiesced: make(chan struct{}),
	}
	return nil
}

// closeWriterLocked aborts the open write transaction and refuses new ones.
func (i *Instance) closeWriterLocked() {
	w := i.writer
	if w == nil {
		return
	}
	i.writer = nil
	close(w.aborted)
	go func() {
		w.lock <- struct{}{}
		w.db.close()
	}()
}

// acquireWriter reserves the writer for a transaction. It fails with SQLSTATE 25006
// while the instance accepts no writes.
func (i *Instance) acquireWriter(ctx context.Context, what string) (*writer, error) {
	w, quiesced, err := i.currentWriter(what)
	if err != nil {
		return nil, err
	}
	select {
	case w.lock <- struct{}{}:
	default:
		select {
		case w.lock <- struct{}{}:
		case <-w.aborted:
			return nil, readOnlyError(what)
		case <-quiesced:
			return nil, readOnlyError(what)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	// A quiesce or a higher term may have arrived during the wait.
	if current, _, err := i.currentWriter(what); err != nil || current != w {
		w.release()
		return nil, readOnlyError(what)
	}
	return w, nil
}

// currentWriter returns the writer and the channel that the next quiesce closes.
func (i *Instance) currentWriter(what string) (*writer, <-chan struct{}, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.writer == nil || time.Now().Before(i.state.quiescedUntil) {
		return nil, nil, readOnlyError(what)
	}
	return i.writer, i.writer.quiesced, nil
}

// commit commits the transaction that holds w and logs its statements. It releases the
// writer before the entry is applied, so that the next transaction can run meanwhile;
// entries are still applied in the order of the log. The zero position means that
// nothing was changed.
func (i *Instance) commit(w *writer, statements []logStatement) (position.Position, error) {
	if w.isAborted() {
		return position.Position{}, errTransactionAborted
	}
	if err := w.db.runCommand("COMMIT"); err != nil {
		if errors.Is(err, errDatabaseClosed) {
			return position.Position{}, errTransactionAborted
		}
		return position.Position{}, err
	}
	if len(statements) == 0 {
		w.release()
		return position.Position{}, nil
	}
	p, ok := i.appendCommit(w, statements)
	if !ok {
		return position.Position{}, errTransactionAborted
	}
	w.release()
	i.applyTo(p.LSN)
	return p, nil
}

// appendCommit logs a transaction if w is still the current writer. Otherwise the
// commit has no effect, because the writer's database is discarded.
func (i *Instance) appendCommit(w *writer, statements []logStatement) (position.Position, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.writer != w {
		return position.Position{}, false
	}
	return i.appendLocked(statements), true
}

// appendLocked appends a transaction to the log in the current term.
func (i *Instance) appendLocked(statements []logStatement) position.Position {
	st := &i.state
	p := position.Position{Term: st.term, LSN: st.lastLSN() + 1}
	st.appendEntry(entry{lsn: p.LSN, term: p.Term, statements: statements, received: time.Now()})
	i.updateConfirmedLocked()
	i.broadcastLocked()
	return p
}
