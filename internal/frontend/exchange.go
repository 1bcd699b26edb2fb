package frontend

import (
	"bytes"
	"fmt"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/internal/pool"
	"github.com/bramleylever/bramleylever/internal/wire"
	"github.com/bramleylever/bramleylever/position"
)

type itemKind uint8

const (
	// itemQuery is the caller's simple query.
	itemQuery itemKind = iota
	// itemGuard, itemWait and itemSet are the proxy's own simple queries.
	itemGuard
	itemWait
	itemSet
	itemParse
	itemBind
	itemDescribeStatement
	itemDescribePortal
	itemExecute
	itemClose
	itemSync
	// itemLocal is answered by the proxy.
	itemLocal
)

// item is one request on the backend connection whose answer is due.
type item struct {
	kind itemKind
	// hidden reports that the answer does not go to the caller.
	hidden bool
	// op is the index of the caller's message.
	op   int
	hash pool.Hash
}

// output receives the messages for the caller.
type output interface {
	Add(frame []byte) error
	// Written returns the number of bytes that left for the caller.
	Written() uint64
	// Discard drops what did not leave yet.
	Discard()
}

// exchange is the deterministic core that matches the answers of one backend
// connection with the requests that were sent on it.
//

// Invariant: CommandComplete and ReadyForQuery of a commit leave only after
// the wait for replication succeeded.
type exchange struct {
	items []item
	head  int
	out   output
	st    *state
	conn  *pool.Conn
	plan  *plan

	// held are messages that wait for the replication of a commit.
	held    []byte
	holding bool
	// tail reports that held only holds CommandComplete back until the next
	// message shows whether a commit follows.
	tail bool
	// status is the last transaction status of the caller's requests; 0 while
	// no ReadyForQuery was seen.
	status byte
	// commit is the position of a commit that this exchange made.
	commit position.Position
	// waited reports that the wait for replication was answered.
	waited  bool
	waitErr string
	// guardErr is the SQLSTATE with which the guard refused.
	guardErr string
	// ownStatus is the transaction status after the last query of the proxy.
	ownStatus byte
	// setErr is the error with which a parameter was refused.
	setErr *sqlError
	// discard drops the answers, because the request will be sent elsewhere.
	discard bool
	// readOnly reports that a write was refused with 25006 before any effect.
	readOnly bool
	// failed reports an error answer to one of the caller's requests.
	failed bool
	// mark is what had left for the caller before the request.
	mark uint64
	// rolledBack reports that the last completed command was ROLLBACK.
	rolledBack bool
	// skipped reports an error in the extended protocol without a Sync yet.
	skipped bool
	// allowRetry reports that a 25006 is kept from the caller.
	allowRetry bool
}

// begin prepares for the answers to a batch.
func (x *exchange) begin(st *state, conn *pool.Conn, p *plan, out output) {
	items, held := x.items[:0], x.held[:0]
	*x = exchange{items: items, held: held, out: out, st: st, conn: conn, plan: p, mark: out.Written()}
}

func (x *exchange) expect(it item) { x.items = append(x.items, it) }

// done reports whether all answers were read.
func (x *exchange) done() bool { return x.head >= len(x.items) }

// pump answers local items at the head of the queue.
func (x *exchange) pump() error {
	for !x.done() && x.items[x.head].kind == itemLocal {
		it := x.items[x.head]
		x.head++
		if err := x.answerLocal(&x.st.batch.ops[it.op]); err != nil {
			return err
		}
	}
	return nil
}

// answer consumes one message of the instance.
func (x *exchange) answer(kind byte, frame []byte) error {
	switch kind {
	case 'S':
		return x.parameter(frame)
	case 'N':
		return x.notice(frame)
	case 'A':
		return nil
	}
	if x.done() {
		return fmt.Errorf("%w: message type %q without a request", wire.ErrMalformed, kind)
	}
	it := &x.items[x.head]
	if kind == 'G' || kind == 'H' || kind == 'W' {
		return fmt.Errorf("%w: instance started a copy", wire.ErrMalformed)
	}
	var err error
	switch it.kind {
	case itemQuery:
		err = x.answerQuery(kind, frame)
	case itemGuard, itemWait, itemSet:
		err = x.answerOwn(it, kind, frame)
	case itemSync:
		err = x.answerSync(kind, frame)
	default:
		err = x.answerExtended(it, kind, frame)
	}
	if err != nil {
		return err
	}
	return x.pump()
}

func unexpected(kind byte, where string) error {
	return fmt.Errorf("%w: message type %q in the answer to %s", wire.ErrMalformed, kind, where)
}

func (x *exchange) parameter(frame []byte) error {
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
		if x.commit.Compare(p) < 0 {
			x.commit = p
		}
		return nil
	}
	if x.done() || x.items[x.head].hidden {
		return nil
	}
	return x.emitKeepTail(frame)
}

func (x *exchange) notice(frame []byte) error {
	if x.done() || x.items[x.head].hidden {
		return nil
	}
	return x.emitKeepTail(frame)
}

// emitKeepTail passes a message that may follow CommandComplete of a commit.
func (x *exchange) emitKeepTail(frame []byte) error {
	if x.tail {
		x.held = append(x.held, frame...)
		return nil
	}
	return x.emit(frame)
}

// emit passes a message to the caller, or holds it back behind a commit.
func (x *exchange) emit(frame []byte) error {
	switch {
	case x.discard:
		return nil
	case x.holding:
		if len(x.held)+len(frame) > maxHeldBytes {
			return fmt.Errorf("answer of more than %d bytes behind a commit", maxHeldBytes)
		}
		x.held = append(x.held, frame...)
		return nil
	case x.tail:
		if err := x.releaseHeld(); err != nil {
			return err
		}
	}
	return x.out.Add(frame)
}

// maxHeldBytes bounds what is held back until a commit is replicated.
const maxHeldBytes = 16 << 20

func (x *exchange) releaseHeld() error {
	x.holding, x.tail = false, false
	if len(x.held) == 0 {
		return nil
	}
	err := x.out.Add(x.held)
	x.held = x.held[:0]
	return err
}

// complete handles CommandComplete, which is held back if a commit can follow.
func (x *exchange) complete(frame []byte) error {
	x.rolledBack = bytes.HasPrefix(frame[wire.HeaderBytes:], []byte("ROLLBACK"))
	if x.discard {
		return nil
	}
	if x.plan.wait {
		x.holding = true
		return x.emit(frame)
	}
	if x.tail {
		if err := x.releaseHeld(); err != nil {
			return err
		}
	}
	x.tail = true
	x.held = append(x.held, frame...)
	return nil
}

func (x *exchange) answerQuery(kind byte, frame []byte) error {
	switch kind {
	case 'C', 'I':
		return x.complete(frame)
	case 'T', 'D':
		return x.emit(frame)
	case 'E':
		return x.errorResponse(frame)
	case 'Z':
		return x.ready(frame)
	default:
		return unexpected(kind, "Query")
	}
}

// errorResponse passes an error on, unless it only says that a write came to
// an instance that is not the primary.
func (x *exchange) errorResponse(frame []byte) error {
	x.failed = true
	if x.allowRetry && x.out.Written() == x.mark && !x.discard && x.commit.IsZero() &&
		wire.ErrorField(frame[wire.HeaderBytes:], 'C') == backend.SQLStateReadOnly {
		x.readOnly = true
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
		return x.ready(frame)
	case 'E':
		return x.errorResponse(frame)
	default:
		return unexpected(kind, "Sync")
	}
}

// ready handles the ReadyForQuery that ends the caller's batch.
func (x *exchange) ready(frame []byte) error {
	if len(frame) != wire.HeaderBytes+1 {
		return fmt.Errorf("%w: ReadyForQuery of %d bytes", wire.ErrMalformed, len(frame))
	}
	x.status = frame[wire.HeaderBytes]
	x.head++
	return nil
}

// needsWait reports that a commit was made for which no wait was sent.
func (x *exchange) needsWait() bool {
	return x.done() && !x.waited && !x.commit.IsZero() && !x.discard
}

// answerOwn consumes the answer to a query of the proxy.
func (x *exchange) answerOwn(it *item, kind byte, frame []byte) error {
	switch kind {
	case 'T', 'D', 'C', 'I':
		return nil
	case 'E':
		x.ownError(it, frame[wire.HeaderBytes:])
		return nil
	case 'Z':
		x.head++
		x.ownStatus = frame[len(frame)-1]
		if it.kind == itemWait {
			x.waited = true
		}
		return nil
	default:
		return unexpected(kind, "a query of the proxy")
	}
}

func (x *exchange) ownError(it *item, body []byte) {
	code := wire.ErrorField(body, 'C')
	switch it.kind {
	case itemGuard:
		x.guardErr = code
		x.discard = true
	case itemWait:
		x.waitErr = code
	case itemSet:
		x.setErr = &sqlError{code, "not run: " + wire.ErrorField(body, 'M')}
	}
}

// undoParse forgets a statement that was not prepared.
func (x *exchange) undoParse(it *item) {
	x.conn.Statements.Remove(it.hash)
	if x.conn.Unnamed == it.hash {
		x.conn.Unnamed = pool.Hash{}
	}
	if !it.hidden && !x.discard {
		x.st.undoParse(&x.st.batch.ops[it.op])
	}
}

// undoParse removes the statement of a Parse message that had no effect.
func (s *state) undoParse(o *op) {
	if o.kind == 'P' && o.replaced != o.stmt && s.statements[o.name] == o.stmt {
		s.forget(o.name)
	}
}
