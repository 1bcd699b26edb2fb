package frontend

import (
	"encoding/binary"
	"fmt"

	"github.com/bramleylever/bramleylever/internal/pool"
	"github.com/bramleylever/bramleylever/internal/wire"
)

// Limits of what one session keeps.
const (
	maxSessionStatements     = 1000
	maxSessionStatementBytes = 4 << 20
	// maxBatchMessages bounds the messages before a Sync, Flush or Query.
	maxBatchMessages = 10000
)

// statement is a prepared statement of a session. It exists on backend
// connections under the name of its hash.
type statement struct {
	hash pool.Hash
	// definition is what follows the name in the Parse message.
	definition []byte
	info       stmtInfo
	named      bool
}

// op is one message of a batch.
type op struct {
	kind       byte
	start, end int
	// stmt is the statement of a Parse, Bind or Describe message.
	stmt *statement
	// info describes the statements of a Query or the portal of an Execute.
	info stmtInfo
	// sub is 'S' or 'P' for Describe and Close.
	sub byte
	// name is the statement or portal that the message names.
	name string
	// replaced is the statement that a Parse replaced in the session.
	replaced *statement
}

// local reports that the proxy answers the message itself.
func (o *op) local() bool {
	switch o.kind {
	case 'Q', 'E':
		return o.info.class == ClassLocal
	case 'P', 'B':
		return o.stmt.info.class == ClassLocal
	case 'D':
		return o.stmt != nil && o.stmt.info.class == ClassLocal
	case 'C':
		return o.sub == 'S' || o.stmt != nil && o.stmt.info.class == ClassLocal
	default:
		return false
	}
}

// batch holds the messages up to a Sync, Flush or Query. It is one request:
// it is admitted, routed, retried and answered as a whole.
type batch struct {
	data []byte
	ops  []op
}

func (b *batch) reset() {
	if cap(b.data) > maxKeptBatchBytes {
		b.data = nil
	}
	b.data = b.data[:0]
	clear(b.ops)
	b.ops = b.ops[:0]
}

// maxKeptBatchBytes bounds the buffer that an idle session keeps for its next
// request.
const maxKeptBatchBytes = 2 << 10

func (b *batch) frame(o *op) []byte { return b.data[o.start:o.end] }
func (b *batch) body(o *op) []byte  { return b.data[o.start+wire.HeaderBytes : o.end] }

// sqlError is an error answer to the caller.
type sqlError struct {
	code    string
	message string
}

func (e *sqlError) Error() string { return e.message + " (SQLSTATE " + e.code + ")" }

func violation(format string, args ...any) *sqlError {
	return &sqlError{"08P01", "protocol violation: " + fmt.Sprintf(format, args...)}
}

// add decodes one message of the caller into the batch. It returns a protocol
// violation, after which the connection is closed, or a refusal, which fails
// the whole batch.
func (s *state) add(kind byte, frame []byte) (fatal, refused *sqlError) {
	b := &s.batch
	if len(b.ops) >= maxBatchMessages || len(b.data)+len(frame) > s.maxBatch {
		return nil, &sqlError{"54000", "not run: too many or too large messages before Sync"}
	}
	o := op{kind: kind, start: len(b.data)}
	b.data = append(b.data, frame...)
	o.end = len(b.data)
	body := b.body(&o)
	switch kind {
	case 'Q':
		fatal = s.addQuery(&o, body)
	case 'P':
		fatal, refused = s.addParse(&o, body)
	case 'B':
		fatal, refused = s.addBind(&o, body)
	case 'D', 'C':
		fatal, refused = s.addNamed(&o, body)
	case 'E':
		fatal, refused = s.addExecute(&o, body)
	case 'S', 'H':
	default:
		fatal = violation("unexpected message type %q", kind)
	}
	if fatal == nil && refused == nil {
		b.ops = append(b.ops, o)
	}
	return fatal, refused
}

func (s *state) addQuery(o *op, body []byte) *sqlError {
	sql, rest, ok := wire.CString(body)
	if !ok || len(rest) != 0 {
		return violation("Query without a terminated string")
	}
	o.info = classifyWith(&s.lex, sql, s.backslash())
	return nil
}

func (s *state) addParse(o *op, body []byte) (fatal, refused *sqlError) {
	name, definition, ok := wire.CString(body)
	if !ok {
		return violation("Parse without a statement name"), nil
	}
	sql, types, ok := wire.CString(definition)
	if !ok || len(types) < 2 || len(types) != 2+4*int(binary.BigEndian.Uint16(types)) {
		return violation("Parse with a malformed definition"), nil
	}
	if len(s.statements) >= maxSessionStatements || s.statementBytes+len(definition) > maxSessionStatementBytes {
		return nil, &sqlError{"54000", "not run: too many prepared statements in the session"}
	}
	o.name = string(name)
	known := s.statements[o.name]
	if known != nil && known.named {
		return nil, &sqlError{"42P05", fmt.Sprintf("not run: prepared statement %q already exists", name)}
	}
	hash := pool.HashOf(definition)
	if known != nil && known.hash == hash {
		o.stmt, o.replaced = known, known
		return nil, nil
	}
	o.stmt = &statement{hash: hash, named: o.name != "", info: classifyWith(&s.lex, sql, s.backslash())}
	o.stmt.definition = append([]byte(nil), definition...)
	o.replaced = known
	s.forget(o.name)
	s.remember(o.name, o.stmt)
	return nil, nil
}

func (s *state) remember(name string, stmt *statement) {
	if s.statements == nil {
		s.statements = map[string]*statement{}
	}
	s.statements[name] = stmt
	s.statementBytes += len(stmt.definition)
}

func (s *state) forget(name string) {
	if known := s.statements[name]; known != nil {
		s.statementBytes -= len(known.definition)
		delete(s.statements, name)
	}
}

func (s *state) addBind(o *op, body []byte) (fatal, refused *sqlError) {
	portal, rest, ok := wire.CString(body)
	if !ok {
		return violation("Bind without a portal name"), nil
	}
	name, rest, ok := wire.CString(rest)
	if !ok || len(rest) < 2 {
		return violation("Bind without a statement name"), nil
	}
	o.stmt = s.statements[string(name)]
	if o.stmt == nil {
		return nil, &sqlError{"26000", fmt.Sprintf("not run: prepared statement %q does not exist", name)}
	}
	o.info = o.stmt.info
	s.setPortal(portal, o.stmt)
	return nil, nil
}

// setPortal keeps the unnamed portal apart, so that the usual case needs no
// map.
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

// addNamed handles Describe and Close.
func (s *state) addNamed(o *op, body []byte) (fatal, refused *sqlError) {
	if len(body) < 2 || body[0] != 'S' && body[0] != 'P' {
		return violation("message type %q names neither a statement nor a portal", o.kind), nil
	}
	name, rest, ok := wire.CString(body[1:])
	if !ok || len(rest) != 0 {
		return violation("message type %q with a malformed name", o.kind), nil
	}
	o.sub = body[0]
	switch {
	case o.kind == 'C' && o.sub == 'S':
		o.name = string(name)
		s.forget(o.name)
	case o.kind == 'C':
		o.stmt = s.portal(name)
	case o.sub == 'S':
		o.stmt = s.statements[string(name)]
		if o.stmt == nil {
			return nil, &sqlError{"26000", fmt.Sprintf("not run: prepared statement %q does not exist", name)}
		}
	default:
		o.stmt = s.portal(name)
		if o.stmt == nil {
			return nil, noPortal(name)
		}
	}
	return nil, nil
}

func (s *state) addExecute(o *op, body []byte) (fatal, refused *sqlError) {
	name, rest, ok := wire.CString(body)
	if !ok || len(rest) != 4 {
		return violation("Execute with a malformed body"), nil
	}
	stmt := s.portal(name)
	if stmt == nil {
		return nil, noPortal(name)
	}
	o.stmt = stmt
	o.info = stmt.info
	return nil, nil
}
