package frontend

import (
	"encoding/binary"
	"fmt"

	"github.com/bramleylever/bramleylever/internal/pool"
	"github.com/bramleylever/bramleylever/internal/wire"
)

// Limits of one session.
const (
	maxSessionStatements     = 1000
	maxSessionStatementBytes = 4 << 20
	// maxBatchMessages bounds the number of messages in a batch.
	maxBatchMessages = 10000
)

// statement is a prepared statement of a session. On backend connections, a
// named statement has a name that is derived from its hash.
type statement struct {
	hash pool.Hash
	// definition is the body of the Parse message after the statement name.
	definition []byte
	info       stmtInfo
	// named is false for the unnamed statement.
	named bool
}

// batchMessage is a decoded message of a batch.
type batchMessage struct {
	kind byte
	// start and end delimit the frame in the data of the batch.
	start, end int
	// stmt is the statement that the message prepares, or refers to directly
	// or through a portal; nil if there is none.
	stmt *statement
	// info describes the SQL of a Query, or of the statement that a Bind or an
	// Execute refers to.
	info stmtInfo
	// objectType is 'S' (statement) or 'P' (portal) in Describe and Close.
	objectType byte
	// name is the statement name in a Parse, or in a Close of a statement.
	name string
	// replaced is the statement that had the name before a Parse; it equals
	// stmt if the Parse repeats the definition.
	replaced *statement
}

// local reports whether the proxy answers the message without an instance.
func (m *batchMessage) local() bool {
	switch m.kind {
	case 'Q', 'E':
		return m.info.class == ClassLocal
	case 'P', 'B':
		return m.stmt.info.class == ClassLocal
	case 'D':
		return m.stmt != nil && m.stmt.info.class == ClassLocal
	case 'C':
		return m.objectType == 'S' || m.stmt != nil && m.stmt.info.class == ClassLocal
	default:
		return false
	}
}

// batch holds the messages of a caller up to and including a Sync, Flush or
// Query. It is one request: it is admitted, routed, retried and answered as a
// whole.
type batch struct {
	data     []byte
	messages []batchMessage
}

func (b *batch) reset() {
	if cap(b.data) > maxIdleBatchBytes {
		b.data = nil
	}
	b.data = b.data[:0]
	clear(b.messages)
	b.messages = b.messages[:0]
}

// maxIdleBatchBytes bounds the buffer that a session keeps between requests.
const maxIdleBatchBytes = 2 << 10

func (b *batch) frame(m *batchMessage) []byte { return b.data[m.start:m.end] }
func (b *batch) body(m *batchMessage) []byte  { return b.data[m.start+wire.HeaderBytes : m.end] }

// sqlError is an ErrorResponse for the caller; code is the SQLSTATE.
type sqlError struct {
	code    string
	message string
}

func (e *sqlError) Error() string { return e.message + " (SQLSTATE " + e.code + ")" }

func protocolViolation(format string, args ...any) *sqlError {
	return &sqlError{"08P01", "protocol violation: " + fmt.Sprintf(format, args...)}
}

// add decodes one message of the caller and appends it to the batch. A fatal
// error is a protocol violation, after which the connection is closed; a
// refusal fails the whole batch.
func (s *state) add(kind byte, frame []byte) (fatal, refused *sqlError) {
	b := &s.batch
	if len(b.messages) >= maxBatchMessages || len(b.data)+len(frame) > s.maxBatch {
		return nil, &sqlError{"54000", "not run: too many or too large messages before Sync"}
	}
	m := batchMessage{kind: kind, start: len(b.data)}
	b.data = append(b.data, frame...)
	m.end = len(b.data)
	body := b.body(&m)
	switch kind {
	case 'Q':
		fatal = s.addQuery(&m, body)
	case 'P':
		fatal, refused = s.addParse(&m, body)
	case 'B':
		fatal, refused = s.addBind(&m, body)
	case 'D', 'C':
		fatal, refused = s.addDescribeOrClose(&m, body)
	case 'E':
		fatal, refused = s.addExecute(&m, body)
	case 'S', 'H':
	default:
		fatal = protocolViolation("unexpected message type %q", kind)
	}
	if fatal == nil && refused == nil {
		b.messages = append(b.messages, m)
	}
	return fatal, refused
}

func (s *state) addQuery(m *batchMessage, body []byte) *sqlError {
	sql, rest, ok := wire.CString(body)
	if !ok || len(rest) != 0 {
		return protocolViolation("Query without a terminated string")
	}
	m.info = classifyWith(&s.lex, sql, s.backslashEscapes())
	return nil
}

func (s *state) addParse(m *batchMessage, body []byte) (fatal, refused *sqlError) {
	name, definition, ok := wire.CString(body)
	if !ok {
		return protocolViolation("Parse without a statement name"), nil
	}
	sql, types, ok := wire.CString(definition)
	if !ok || len(types) < 2 || len(types) != 2+4*int(binary.BigEndian.Uint16(types)) {
		return protocolViolation("Parse with a malformed definition"), nil
	}
	if len(s.statements) >= maxSessionStatements || s.statementBytes+len(definition) > maxSessionStatementBytes {
		return nil, &sqlError{"54000", "not run: too many prepared statements in the session"}
	}
	m.name = string(name)
	known := s.statements[m.name]
	if known != nil && known.named {
		return nil, &sqlError{"42P05", fmt.Sprintf("not run: prepared statement %q already exists", name)}
	}
	hash := pool.HashOf(definition)
	if known != nil && known.hash == hash {
		m.stmt, m.replaced = known, known
		return nil, nil
	}
	m.stmt = &statement{hash: hash, named: m.name != "", info: classifyWith(&s.lex, sql, s.backslashEscapes())}
	m.stmt.definition = append([]byte(nil), definition...)
	m.replaced = known
	s.removeStatement(m.name)
	s.addStatement(m.name, m.stmt)
	return nil, nil
}

func (s *state) addStatement(name string, stmt *statement) {
	if s.statements == nil {
		s.statements = map[string]*statement{}
	}
	s.statements[name] = stmt
	s.statementBytes += len(stmt.definition)
}

func (s *state) removeStatement(name string) {
	if known := s.statements[name]; known != nil {
		s.statementBytes -= len(known.definition)
		delete(s.statements, name)
	}
}

func (s *state) addBind(m *batchMessage, body []byte) (fatal, refused *sqlError) {
	portal, rest, ok := wire.CString(body)
	if !ok {
		return protocolViolation("Bind without a portal name"), nil
	}
	name, rest, ok := wire.CString(rest)
	if !ok || len(rest) < 2 {
		return protocolViolation("Bind without a statement name"), nil
	}
	m.stmt = s.statements[string(name)]
	if m.stmt == nil {
		return nil, &sqlError{"26000", fmt.Sprintf("not run: prepared statement %q does not exist", name)}
	}
	m.info = m.stmt.info
	s.setPortal(portal, m.stmt)
	return nil, nil
}

// setPortal records the statement of a portal. The unnamed portal has a field
// of its own, so that the common case allocates no map.
func (s *state) setPortal(name []byte, stmt *statement) {
	if len(name) == 0 {
		s.unnamedPortal = stmt
		return
	}
	if s.portals == nil {
		s.portals = map[string]*statement{}
	}
	s.portals[string(name)] = stmt
}

func (s *state) portal(name []byte) *statement {
	if len(name) == 0 {
		return s.unnamedPortal
	}
	return s.portals[string(name)]
}

func noPortal(name []byte) *sqlError {
	return &sqlError{"34000", fmt.Sprintf("not run: portal %q does not exist", name)}
}

// addDescribeOrClose decodes a Describe or a Close.
func (s *state) addDescribeOrClose(m *batchMessage, body []byte) (fatal, refused *sqlError) {
	if len(body) < 2 || body[0] != 'S' && body[0] != 'P' {
		return protocolViolation("message type %q names neither a statement nor a portal", m.kind), nil
	}
	name, rest, ok := wire.CString(body[1:])
	if !ok || len(rest) != 0 {
		return protocolViolation("message type %q with a malformed name", m.kind), nil
	}
	m.objectType = body[0]
	switch {
	case m.kind == 'C' && m.objectType == 'S':
		m.name = string(name)
		s.removeStatement(m.name)
	case m.kind == 'C':
		m.stmt = s.portal(name)
	case m.objectType == 'S':
		m.stmt = s.statements[string(name)]
		if m.stmt == nil {
			return nil, &sqlError{"26000", fmt.Sprintf("not run: prepared statement %q does not exist", name)}
		}
	default:
		m.stmt = s.portal(name)
		if m.stmt == nil {
			return nil, noPortal(name)
		}
	}
	return nil, nil
}

func (s *state) addExecute(m *batchMessage, body []byte) (fatal, refused *sqlError) {
	name, rest, ok := wire.CString(body)
	if !ok || len(rest) != 4 {
		return protocolViolation("Execute with a malformed body"), nil
	}
	stmt := s.portal(name)
	if stmt == nil {
		return nil, noPortal(name)
	}
	m.stmt = stmt
	m.info = stmt.info
	return nil, nil
}
