package frontend

import (
	"strconv"
	"time"

	"github.com/bramleylever/bramleylever/internal/pool"
	"github.com/bramleylever/bramleylever/internal/wire"
	"github.com/bramleylever/bramleylever/position"
)

// guardKind is what the instance checks before it runs a request.
type guardKind uint8

const (
	guardNone guardKind = iota
	// guardPosition checks that the instance has applied a position and that
	// its data is not too old.
	guardPosition
	// guardPrimary checks that the instance is still the primary.
	guardPrimary
)

// guard is the check that is sent ahead of a request, in the same write.
type guard struct {
	kind     guardKind
	position position.Position
	// wait is the time limit of the check.
	wait time.Duration
	// maxAge is the maximum age of the data; negative means any age.
	maxAge time.Duration
}

// appendPosition appends a position in text form, or nothing for the zero
// position.
func appendPosition(b []byte, p position.Position) []byte {
	if p.IsZero() {
		return b
	}
	b = strconv.AppendUint(b, p.Term.Epoch, 10)
	b = append(b, '.')
	b = strconv.AppendUint(b, p.Term.Sequence, 10)
	b = append(b, '/')
	return strconv.AppendUint(b, uint64(p.LSN), 10)
}

// append appends the query that runs the check.
func (g *guard) append(b []byte) []byte {
	b, at := wire.Begin(b, 'Q')
	if g.kind == guardPrimary {
		b = append(b, "SELECT cluster_confirm_primary("...)
		b = strconv.AppendInt(b, g.wait.Milliseconds(), 10)
		return wire.End(append(b, ")\x00"...), at)
	}
	b = append(b, "SELECT cluster_read_guard('"...)
	b = appendPosition(b, g.position)
	b = append(b, "', "...)
	b = strconv.AppendInt(b, g.wait.Milliseconds(), 10)
	b = append(b, ", "...)
	age := int64(-1)
	if g.maxAge >= 0 {
		age = g.maxAge.Milliseconds()
	}
	b = strconv.AppendInt(b, age, 10)
	return wire.End(append(b, ")\x00"...), at)
}

// appendReplicationWait appends a query that waits until the last commit of the
// connection is replicated.
func appendReplicationWait(b []byte, wait time.Duration) []byte {
	b, at := wire.Begin(b, 'Q')
	b = append(b, "SELECT cluster_wait_replicated('last', "...)
	b = strconv.AppendInt(b, wait.Milliseconds(), 10)
	return wire.End(append(b, ")\x00"...), at)
}

// encode appends the messages of the batch and records the answers to expect.
// It inserts Parse messages for prepared statements that the connection lacks.
func (x *exchange) encode(b []byte) []byte {
	messages := x.st.batch.messages
	for i := range messages {
		m := &messages[i]
		if m.local() {
			x.expect(pendingRequest{kind: pendingLocal, messageIndex: i})
			continue
		}
		b = x.encodeMessage(b, i, m)
	}
	return b
}

func (x *exchange) encodeMessage(b []byte, i int, m *batchMessage) []byte {
	raw := x.st.batch.frame(m)
	switch m.kind {
	case 'Q':
		x.conn.Unnamed = pool.Hash{}
		x.expect(pendingRequest{kind: pendingQuery, messageIndex: i})
		return append(b, raw...)
	case 'P':
		return x.encodeParse(b, i, m)
	case 'B':
		b = x.ensurePrepared(b, i, m.stmt)
		x.expect(pendingRequest{kind: pendingBind, messageIndex: i})
		return x.encodeBind(b, m)
	case 'D':
		return x.encodeDescribe(b, i, m)
	case 'E':
		x.expect(pendingRequest{kind: pendingExecute, messageIndex: i})
	case 'C':
		x.expect(pendingRequest{kind: pendingClose, messageIndex: i})
	case 'S':
		x.expect(pendingRequest{kind: pendingSync, messageIndex: i})
	}
	return append(b, raw...)
}

// prepared reports whether the statement is prepared on the connection, and
// marks it as recently used.
func (x *exchange) prepared(stmt *statement) bool {
	if !stmt.named {
		return x.conn.Unnamed == stmt.hash
	}
	return x.conn.Statements.Use(stmt.hash)
}

func (x *exchange) encodeParse(b []byte, i int, m *batchMessage) []byte {
	if x.prepared(m.stmt) {
		x.expect(pendingRequest{kind: pendingLocal, messageIndex: i})
		return b
	}
	return x.appendParse(b, pendingRequest{kind: pendingParse, messageIndex: i, hash: m.stmt.hash}, m.stmt)
}

// ensurePrepared appends a hidden Parse message if the connection lacks the
// statement, for example because an earlier batch ran on another connection.
func (x *exchange) ensurePrepared(b []byte, i int, stmt *statement) []byte {
	if x.prepared(stmt) {
		return b
	}
	return x.appendParse(b, pendingRequest{kind: pendingParse, hidden: true, messageIndex: i, hash: stmt.hash}, stmt)
}

// appendParse appends a Parse message for the statement. If the connection has
// reached its limit of statements, a Close message for the evicted statement
// precedes it.
func (x *exchange) appendParse(b []byte, req pendingRequest, stmt *statement) []byte {
	if stmt.named {
		if evicted, full := x.conn.Statements.Add(stmt.hash); full {
			b = x.appendCloseStatement(b, evicted)
		}
	} else {
		x.conn.Unnamed = stmt.hash
	}
	x.expect(req)
	b, at := wire.Begin(b, 'P')
	b = appendStatementName(b, stmt)
	return wire.End(append(b, stmt.definition...), at)
}

func appendStatementName(b []byte, stmt *statement) []byte {
	if stmt.named {
		b = stmt.hash.AppendName(b)
	}
	return append(b, 0)
}

// appendCloseStatement appends a Close message for a statement that was evicted
// from the connection.
func (x *exchange) appendCloseStatement(b []byte, hash pool.Hash) []byte {
	x.expect(pendingRequest{kind: pendingClose, hidden: true})
	b, at := wire.Begin(b, 'C')
	b = append(b, 'S')
	b = hash.AppendName(b)
	return wire.End(append(b, 0), at)
}

// encodeBind appends the Bind message with the name that the statement has on
// backend connections, which is derived from its hash, in place of the session's
// name for it.
func (x *exchange) encodeBind(b []byte, m *batchMessage) []byte {
	body := x.st.batch.body(m)
	portal, rest, _ := wire.CString(body)
	_, values, _ := wire.CString(rest)
	b, at := wire.Begin(b, 'B')
	b = append(append(b, portal...), 0)
	b = appendStatementName(b, m.stmt)
	return wire.End(append(b, values...), at)
}

func (x *exchange) encodeDescribe(b []byte, i int, m *batchMessage) []byte {
	if m.objectType == 'P' {
		x.expect(pendingRequest{kind: pendingDescribePortal, messageIndex: i})
		return append(b, x.st.batch.frame(m)...)
	}
	b = x.ensurePrepared(b, i, m.stmt)
	x.expect(pendingRequest{kind: pendingDescribeStatement, messageIndex: i})
	b, at := wire.Begin(b, 'D')
	b = append(b, 'S')
	b = appendStatementName(b, m.stmt)
	return wire.End(b, at)
}
