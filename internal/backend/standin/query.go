package standin

import (
	"context"
	"database/sql/driver"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// prepared is a prepared statement.
type prepared struct {
	st    *statement // nil for the empty query
	types []uint32   // type OIDs of the parameters

	// Result columns as last described; valid for this database and schema
	// version.
	db            *database
	schemaVersion uint64
	columns       []column
	oids          []uint32
}

// portal is a bound statement. The first Execute runs the statement to the end;
// later ones return the remaining rows of the result.
type portal struct {
	prepared *prepared
	args     []driver.NamedValue
	formats  []int16
	columns  []column
	oids     []uint32
	executed bool
	rows     [][]driver.Value
	tag      string
}

// simpleQuery runs all statements of a text in one implicit transaction.
func (s *session) simpleQuery(sql string) error {
	s.skipToSync = false
	statements, err := s.parseAll(sql)
	if err != nil {
		s.statementFailed(err)
	} else if len(statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, st := range statements {
		if err := s.simpleStatement(st); err != nil {
			s.statementFailed(err)
			break
		}
	}
	s.endImplicitTransaction()
	return s.sendReadyForQuery()
}

func (s *session) parseAll(sql string) ([]*statement, error) {
	if st, err := s.inst.parsed.parseOne(sql); err == nil && st != nil {
		return []*statement{st}, nil
	}
	parts, err := splitStatements(sql)
	if err != nil {
		return nil, err
	}
	out := make([]*statement, 0, len(parts))
	for _, tokens := range parts {
		st, err := parse(tokens)
		if err != nil {
			return nil, err
		}
		out = append(out, st)
	}
	return out, nil
}

func (s *session) simpleStatement(st *statement) error {
	if st.params > 0 {
		return failf("42P02", "there is no parameter $%d", st.params)
	}
	p := &portal{prepared: &prepared{st: st}}
	if err := s.run(p); err != nil {
		return err
	}
	if st.rows {
		s.resolveColumns(p)
		s.backend.Send(rowDescription(p.columns, p.oids, nil))
	}
	if err := s.sendRows(p, 0); err != nil {
		return err
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(p.tag)})
	return nil
}

// resolveColumns determines the types of the result columns of a simple query.
// A column whose type follows neither from its declaration nor from the text
// has the type of its first value that is not NULL.
func (s *session) resolveColumns(p *portal) {
	if p.oids != nil {
		return
	}
	in := typeInference{st: p.prepared.st, columns: map[string]uint32{}}
	items := selectItems(in.st.tokens)
	columnNames(in.st, p.columns)
	p.oids = make([]uint32, len(p.columns))
	for i, c := range p.columns {
		p.oids[i] = declaredOID(c.declared)
		if p.oids[i] == 0 && len(items) == len(p.columns) {
			p.oids[i] = in.itemType(items[i])
		}
		for _, row := range p.rows {
			if p.oids[i] == 0 && row[i] != nil {
				p.oids[i] = valueOID(row[i])
			}
		}
		if p.oids[i] == 0 {
			p.oids[i] = valueOID(nil)
		}
	}
}

func rowDescription(columns []column, oids []uint32, formats []int16) *pgproto3.RowDescription {
	out := &pgproto3.RowDescription{Fields: make([]pgproto3.FieldDescription, len(columns))}
	for i, c := range columns {
		out.Fields[i] = pgproto3.FieldDescription{
			Name:         []byte(c.name),
			DataTypeOID:  oids[i],
			DataTypeSize: typeSize(oids[i]),
			TypeModifier: -1,
			Format:       formatAt(formats, i),
		}
	}
	return out
}

// formatAt returns the format of value i. Without format codes all values are
// text; a single code applies to all values.
func formatAt(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return formatText
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return formatText
}

// sendRows sends at most limit rows of the result, or all if limit is 0.
func (s *session) sendRows(p *portal, limit int) error {
	n := len(p.rows)
	if limit > 0 && limit < n {
		n = limit
	}
	for _, row := range p.rows[:n] {
		values := make([][]byte, len(row))
		for i, v := range row {
			out, ok, err := appendValue(nil, p.oids[i], formatAt(p.formats, i), v)
			if err != nil {
				return err
			}
			if ok && out == nil {
				out = []byte{}
			}
			if ok {
				values[i] = out
			}
			s.bufferedBytes += len(out) + 8
		}
		s.backend.Send(&pgproto3.DataRow{Values: values})
		if s.bufferedBytes >= flushBytes {
			s.bufferedBytes = 0
			if err := s.backend.Flush(); err != nil {
				return err
			}
		}
	}
	p.rows = p.rows[n:]
	return nil
}

func (s *session) parse(m *pgproto3.Parse) error {
	if _, exists := s.statements[m.Name]; exists && m.Name != "" {
		return failf("42P05", "prepared statement %q already exists", m.Name)
	}
	st, err := s.inst.parsed.parseOne(m.Query)
	if err != nil {
		return err
	}
	p := &prepared{st: st}
	if st != nil {
		if err := s.checkTransactionState(st); err != nil {
			return err
		}
		db := s.currentDatabase()
		if err := checkNames(db, st); err != nil {
			return err
		}
		p.types = parameterTypes(db, st, m.ParameterOIDs)
	}
	s.statements[m.Name] = p
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

// checkNames rejects a statement that uses tables or columns that do not exist.
// Otherwise it would be prepared with parameter types that are wrong once the
// tables are created.
func checkNames(db *database, st *statement) error {
	if st.sql == "" || st.kind != kindRead && st.kind != kindLock && st.kind != kindWrite {
		return nil
	}
	_, err := db.describe(st.sql)
	return err
}

func (s *session) preparedStatement(name string) (*prepared, error) {
	p, ok := s.statements[name]
	if !ok {
		return nil, failf(stateInvalidStatement, "prepared statement %q does not exist", name)
	}
	return p, nil
}

func (s *session) bind(m *pgproto3.Bind) error {
	prep, err := s.preparedStatement(m.PreparedStatement)
	if err != nil {
		return err
	}
	if prep.st != nil {
		if err := s.checkTransactionState(prep.st); err != nil {
			return err
		}
	}
	if len(m.Parameters) != len(prep.types) {
		return failf(stateProtocolViolation, "bind message supplies %d parameters, but prepared statement %q requires %d",
			len(m.Parameters), m.PreparedStatement, len(prep.types))
	}
	p := &portal{prepared: prep, formats: append([]int16(nil), m.ResultFormatCodes...)}
	for i, src := range m.Parameters {
		v, err := decodeParameter(prep.types[i], formatAt(m.ParameterFormatCodes, i), src)
		if err != nil {
			return err
		}
		p.args = append(p.args, driver.NamedValue{Ordinal: i + 1, Value: v})
	}
	s.portals[m.DestinationPortal] = p
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		prep, err := s.preparedStatement(m.Name)
		if err != nil {
			return err
		}
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: prep.types})
		return s.describeRows(&portal{prepared: prep})
	}
	p, ok := s.portals[m.Name]
	if !ok {
		return failf(stateInvalidCursor, "portal %q does not exist", m.Name)
	}
	return s.describeRows(p)
}

func (s *session) describeRows(p *portal) error {
	st := p.prepared.st
	if st == nil || !st.rows {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}
	if err := s.describeColumns(p); err != nil {
		return err
	}
	s.backend.Send(rowDescription(p.columns, p.oids, p.formats))
	return nil
}

// describeColumns determines the result columns of a statement before it runs.
func (s *session) describeColumns(p *portal) error {
	if p.oids != nil {
		return nil
	}
	st := p.prepared.st
	if st.sql == "" {
		p.columns, p.oids = functionColumns(st)
		return nil
	}
	db, prep := s.currentDatabase(), p.prepared
	schemaVersion := db.currentSchemaVersion()
	if prep.db != db || prep.schemaVersion != schemaVersion {
		columns, err := db.describe(st.sql)
		if err != nil {
			return err
		}
		prep.oids = resultTypes(db, st, columns)
		prep.columns = slices.Clone(columns)
		columnNames(st, prep.columns)
		prep.db, prep.schemaVersion = db, schemaVersion
	}
	p.columns, p.oids = prep.columns, prep.oids
	return nil
}

func (s *session) execute(m *pgproto3.Execute) error {
	p, ok := s.portals[m.Portal]
	if !ok {
		return failf(stateInvalidCursor, "portal %q does not exist", m.Portal)
	}
	st := p.prepared.st
	if st == nil {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if !p.executed {
		if st.rows {
			if err := s.describeColumns(p); err != nil {
				return err
			}
		}
		if err := s.run(p); err != nil {
			return err
		}
	}
	if err := s.sendRows(p, int(m.MaxRows)); err != nil {
		return err
	}
	if len(p.rows) > 0 {
		s.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(p.tag)})
	return nil
}

func (s *session) closeObject(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		delete(s.statements, m.Name)
	} else {
		delete(s.portals, m.Name)
	}
	s.backend.Send(&pgproto3.CloseComplete{})
}

// currentDatabase returns the database that the session reads: the writer's
// while the transaction holds a writer that is not aborted, otherwise the one
// that serves reads.
func (s *session) currentDatabase() *database {
	if w := s.tx.writer; w != nil && !w.isAborted() {
		return w.db
	}
	return s.inst.readDatabase()
}

// checkTransactionState rejects a statement in a failed transaction unless it
// ends the transaction or rolls back to a savepoint.
func (s *session) checkTransactionState(st *statement) error {
	if !s.tx.failed || st.kind == kindCommit || st.kind == kindRollback || st.kind == kindRollbackTo {
		return nil
	}
	return failf(stateFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
}

// acquireSlot acquires a slot for one statement of a data connection and waits
// for the configured service time. Other connections need no slot.
func (s *session) acquireSlot(ctx context.Context) (release func(), err error) {
	if s.class != classData {
		return func() {}, nil
	}
	current := s.inst.settings.get()
	if err := s.inst.slots.acquire(ctx, current.Slots); err != nil {
		return nil, err
	}
	release = func() { s.inst.slots.release(s.inst.settings.get().Slots) }
	if err := s.sleep(ctx, time.Duration(current.ServiceTime)); err != nil {
		release()
		return nil, err
	}
	return release, nil
}
