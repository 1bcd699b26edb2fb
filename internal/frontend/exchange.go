package frontend

import (
	"bytes"
	"fmt"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/internal/pool"
	"github.com/bramleylever/bramleylever/internal/wire"
	"github.com/bramleylever/bramleylever/position"
)

// pendingKind is the kind of a message whose answer is pending.
type pendingKind uint8

const (
	// pendingQuery is a simple query of the caller.
	pendingQuery pendingKind = iota
	// pendingGuard, pendingWait and pendingCommand are simple queries that the
	// proxy sends itself. A command sets a parameter, or opens or rolls back a
	// transaction.
	pendingGuard
	pendingWait
	pendingCommand
	pendingParse
	pendingBind
	pendingDescribeStatement
	pendingDescribePortal
	pendingExecute
	pendingClose
	pendingSync
	// pendingLocal is a message that the proxy answers without the instance.
	pendingLocal
)

// pendingRequest is a message, sent to the instance or answered by the proxy,
// whose answer has not been processed yet.
type pendingRequest struct {
	kind pendingKind
	// hidden reports that the answer is not passed to the caller.
	hidden bool
	// messageIndex is the index of the caller's message in the batch.
	messageIndex int
	// hash identifies the statement of a Parse.
	hash pool.Hash
}

// output buffers the messages for the caller.
type output interface {
	Add(frame []byte) error
	// Written returns the number of bytes that were written to the caller.
	Written() uint64
	// Discard drops the buffered bytes that were not written yet.
	Discard()
}

// exchange matches the answers of one backend connection with the messages
// that were sent on it. It is deterministic and does no I/O of its own.
//
// Invariant: CommandComplete and ReadyForQuery of a commit are passed to the
// caller only after the wait for replication succeeded.
type exchange struct {
	// pending are the messages to be answered, in order; those before head have
	// been answered.
	pending []pendingRequest
	head    int
	out     output
	st      *state
	conn    *pool.Conn
	plan    *plan

	// held contains messages that must not reach the caller before a commit is
	// replicated.
	held []byte
	// holding reports that all messages are held back until the batch is finished.
	holding bool
	// heldComplete reports that a CommandComplete is held back until the next
	// message shows whether it belongs to a commit.
	heldComplete bool
	// status is the transaction status of the last ReadyForQuery that answered
	// the caller; 0 if there was none.
	status byte
	// commitPosition is the highest position of a commit that the instance
	// reported during the exchange; zero if there was none.
	commitPosition position.Position
	// waitAnswered reports that the wait for replication was answered.
	waitAnswered bool
	// waitSQLState is the SQLSTATE with which the wait for replication failed.
	waitSQLState string
	// guardSQLState is the SQLSTATE with which the guard failed.
	guardSQLState string
	// commandStatus is the transaction status after the last query that the
	// proxy sent itself.
	commandStatus byte
	// commandErr is the error with which a command of the proxy failed.
	commandErr *sqlError
	// discard reports that the answers are dropped, because the guard failed or
	// because the batch was refused with 25006 and is sent again.
	discard bool
	// refusedReadOnly reports that the instance refused a write with 25006
	// (read_only_sql_transaction) before it had any effect.
	refusedReadOnly bool
	// failed reports that one of the caller's messages was answered by an error.
	failed bool
	// writtenBefore is the value of out.Written before the batch.
	writtenBefore uint64
	// rolledBack reports that the last completed command was ROLLBACK.
	rolledBack bool
	// unsyncedError reports an error in the extended protocol that no Sync
	// followed in the batch.
	unsyncedError bool
	// allowRetry reports that a 25006 error may be hidden from the caller,
	// because the batch can be sent again.
	allowRetry bool
}

// reset prepares the exchange for the answers to a batch. It keeps the buffers.
func (x *exchange) reset(st *state, conn *pool.Conn, p *plan, out output) {
	pending, held := x.pending[:0], x.held[:0]
	*x = exchange{pending: pending, held: held, out: out, st: st, conn: conn, plan: p, writtenBefore: out.Written()}
}

func (x *exchange) expect(req pendingRequest) { x.pending = append(x.pending, req) }

// done reports whether all answers were processed.
func (x *exchange) done() bool { return x.head >= len(x.pending) }

// answerPendingLocal answers the local messages at the head of the queue, up
// to the next one that the instance answers.
func (x *exchange) answerPendingLocal() error {
	for !x.done() && x.pending[x.head].kind == pendingLocal {
		req := x.pending[x.head]
		x.head++
		if err := x.answerLocal(&x.st.batch.messages[req.messageIndex]); err != nil {
			return err
		}
	}
	return nil
}

// answer processes one message of the instance.
func (x *exchange) answer(kind byte, frame []byte) error {
	switch kind {
	case 'S':
		return x.parameterStatus(frame)
	case 'N':
		return x.noticeResponse(frame)
	case 'A':
		return nil
	}
	if x.done() {
		return fmt.Errorf("%w: message type %q without a request", wire.ErrMalformed, kind)
	}
	req := &x.pending[x.head]
	if kind == 'G' || kind == 'H' || kind == 'W' {
		return fmt.Errorf("%w: instance started a copy", wire.ErrMalformed)
	}
	var err error
	switch req.kind {
	case pendingQuery:
		err = x.answerQuery(kind, frame)
	case pendingGuard, pendingWait, pendingCommand:
		err = x.answerProxyQuery(req, kind, frame)
	case pendingSync:
		err = x.answerSync(kind, frame)
	default:
		err = x.answerExtended(req, kind, frame)
	}
	if err != nil {
		return err
	}
	return x.answerPendingLocal()
}

func unexpected(kind byte, where string) error {
	return fmt.Errorf("%w: message type %q in the answer to %s", wire.ErrMalformed, kind, where)
}

func (x *exchange) parameterStatus(frame []byte) error {
	body := frame[wire.HeaderBytes:]
	name, rest, ok := wire.CString(body)
	if !ok {
		return fmt.Errorf("%w: ParameterStatus without a name", wire.ErrMalformed)
	}
	switch string(name) {
	case backend.ParameterAppliedPosition:
		return x.conn.RecordPosition(body)
	case backend.ParameterCommitPosition:
		value, _, _ := wire.CString(rest)
		p, err := position.Parse(string(value))
		if err != nil {
			return fmt.Errorf("%s: %w", backend.ParameterCommitPosition, err)
		}
		if x.commitPosition.Compare(p) < 0 {
			x.commitPosition = p
		}
		return nil
	}
	if x.done() || x.pending[x.head].hidden {
		return nil
	}
	return x.emitAfterComplete(frame)
}

func (x *exchange) noticeResponse(frame []byte) error {
	if x.done() || x.pending[x.head].hidden {
		return nil
	}
	return x.emitAfterComplete(frame)
}

// emitAfterComplete passes on a message that may stand between the
// CommandComplete and the ReadyForQuery of a commit. It does not release a
// CommandComplete that is held back.
func (x *exchange) emitAfterComplete(frame []byte) error {
	if x.heldComplete {
		x.held = append(x.held, frame...)
		return nil
	}
	return x.emit(frame)
}

// emit passes a message to the caller, or holds it back if it follows a commit
// that is not replicated yet.
func (x *exchange) emit(frame []byte) error {
	switch {
	case x.discard:
		return nil
	case x.holding:
		if len(x.held)+len(frame) > maxHeldBytes {
			return fmt.Errorf("answer of more than %d bytes after a commit that is not replicated yet", maxHeldBytes)
		}
		x.held = append(x.held, frame...)
		return nil
	case x.heldComplete:
		if err := x.releaseHeld(); err != nil {
			return err
		}
	}
	return x.out.Add(frame)
}

// maxHeldBytes bounds the messages held back until a commit is replicated.
const maxHeldBytes = 16 << 20

func (x *exchange) releaseHeld() error {
	x.holding, x.heldComplete = false, false
	if len(x.held) == 0 {
		return nil
	}
	err := x.out.Add(x.held)
	x.held = x.held[:0]
	return err
}

// commandComplete holds back a CommandComplete: until the end of the batch if
// replication is awaited, otherwise until the next message shows that it does
// not belong to a commit.
func (x *exchange) commandComplete(frame []byte) error {
	x.rolledBack = bytes.HasPrefix(frame[wire.HeaderBytes:], []byte("ROLLBACK"))
	if x.discard {
		return nil
	}
	if x.plan.awaitReplication {
		x.holding = true
		return x.emit(frame)
	}
	if x.heldComplete {
		if err := x.releaseHeld(); err != nil {
			return err
		}
	}
	x.heldComplete = true
	x.held = append(x.held, frame...)
	return nil
}

func (x *exchange) answerQuery(kind byte, frame []byte) error {
	switch kind {
	case 'C', 'I':
		return x.commandComplete(frame)
	case 'T', 'D':
		return x.emit(frame)
	case 'E':
		return x.errorResponse(frame)
	case 'Z':
		return x.readyForQuery(frame)
	default:
		return unexpected(kind, "Query")
	}
}

// errorResponse passes an error on to the caller. It drops a 25006 error if
// the batch can be sent to the primary instead.
func (x *exchange) errorResponse(frame []byte) error {
	x.failed = true
	if x.allowRetry && x.out.Written() == x.writtenBefore && !x.discard && x.commitPosition.IsZero() &&
		wire.ErrorField(frame[wire.HeaderBytes:], 'C') == backend.SQLStateReadOnly {
		x.refusedReadOnly = true
		x.discard = true
		x.held = x.held[:0]
		x.out.Discard()
		return nil
	}
	return x.emit(frame)
}

func (x *exchange) answerSync(kind byte, frame []byte) error {
	switch kind {
	case 'Z':
		return x.readyForQuery(frame)
	case 'E':
		return x.errorResponse(frame)
	default:
		return unexpected(kind, "Sync")
	}
}

// readyForQuery handles the ReadyForQuery that answers a Query or Sync of the
// caller. It is not passed on: the session sends its own at the end.
func (x *exchange) readyForQuery(frame []byte) error {
	if len(frame) != wire.HeaderBytes+1 {
		return fmt.Errorf("%w: ReadyForQuery of %d bytes", wire.ErrMalformed, len(frame))
	}
	x.status = frame[wire.HeaderBytes]
	x.head++
	return nil
}

// needsWait reports whether all answers were processed and contain a commit for
// which no wait for replication was sent.
func (x *exchange) needsWait() bool {
	return x.done() && !x.waitAnswered && !x.commitPosition.IsZero() && !x.discard
}

// answerProxyQuery processes the answer to a query that the proxy sent itself.
func (x *exchange) answerProxyQuery(req *pendingRequest, kind byte, frame []byte) error {
	switch kind {
	case 'T', 'D', 'C', 'I':
		return nil
	case 'E':
		x.proxyQueryError(req, frame[wire.HeaderBytes:])
		return nil
	case 'Z':
		x.head++
		x.commandStatus = frame[len(frame)-1]
		if req.kind == pendingWait {
			x.waitAnswered = true
		}
		return nil
	default:
		return unexpected(kind, "a query of the proxy")
	}
}

func (x *exchange) proxyQueryError(req *pendingRequest, body []byte) {
	code := wire.ErrorField(body, 'C')
	switch req.kind {
	case pendingGuard:
		x.guardSQLState = code
		x.discard = true
	case pendingWait:
		x.waitSQLState = code
	case pendingCommand:
		x.commandErr = &sqlError{code, "not run: " + wire.ErrorField(body, 'M')}
	}
}

// undoParse records that the instance did not prepare the statement of a Parse.
func (x *exchange) undoParse(req *pendingRequest) {
	x.conn.Statements.Remove(req.hash)
	if x.conn.Unnamed == req.hash {
		x.conn.Unnamed = pool.Hash{}
	}
	if !req.hidden && !x.discard {
		x.st.undoParse(&x.st.batch.messages[req.messageIndex])
	}
}

// undoParse removes the statement of a Parse message that had no effect from
// the session, unless the session had prepared it before.
func (s *state) undoParse(m *batchMessage) {
	if m.kind == 'P' && m.replaced != m.stmt && s.statements[m.name] == m.stmt {
		s.removeStatement(m.name)
	}
}
