package standin

import (
	"context"
	"database/sql/driver"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"modernc.org/sqlite"
)

// serverVersion is the version that version() and the parameter server_version report.
// Clients select protocol features by it.
const (
	serverVersion     = "15.0"
	serverVersionText = "PostgreSQL 15.0 (bramleylever database stand-in on SQLite)"
)

// maxCachedStatements bounds the prepared SQLite statements of a database, and its
// cached column descriptions.
const maxCachedStatements = 256

// sqliteConn lists the methods of the driver's connection that are used. Bypassing
// database/sql keeps the prepared statements on the only connection and avoids its pool
// and its conversions.
type sqliteConn interface {
	driver.Conn
	driver.QueryerContext
	driver.ExecerContext
	Serialize() ([]byte, error)
	Deserialize([]byte) error
	ColumnInfo(query string) ([]sqlite.ColumnInfo, error)
}

// database is an in-memory SQLite database with a single connection. SQLite doesn't run
// statements of one connection concurrently, so a mutex serializes them; each statement
// is short.
type database struct {
	mu        sync.Mutex
	conn      sqliteConn
	stmts     map[string]driver.Stmt
	tables    map[string][]column
	columns   map[string][]column
	now       time.Time
	random    *rand.Rand
	closed    bool
	isReplica func() bool

	schemaVersion uint64 // advanced by every schema change
}

// column is a column of a result or a table. declared is the declared type, empty for
// an expression.
type column struct {
	name     string
	declared string
}

// result is the result of one SQLite statement.
type result struct {
	columns  []column
	rows     [][]driver.Value
	affected int64
}

var errDatabaseClosed = errors.New("database is closed")

// openDatabase creates an empty database, or loads an image that serialize returned.
func openDatabase(image []byte, replica func() bool) (*database, error) {
	d := &database{isReplica: replica, now: time.Now()}
	d.resetCaches()
	conn, err := d.driver().Open(":memory:")
	if err != nil {
		return nil, fmt.Errorf("open SQLite database: %w", err)
	}
	d.conn = conn.(sqliteConn)
	if len(image) > 0 {
		if err := d.conn.Deserialize(image); err != nil {
			_ = d.conn.Close()
			return nil, fmt.Errorf("load SQLite image: %w", err)
		}
	}
	for _, pragma := range []string{"PRAGMA foreign_keys=ON", "PRAGMA journal_mode=MEMORY"} {
		if _, err := d.conn.ExecContext(context.Background(), pragma, nil); err != nil {
			_ = d.conn.Close()
			return nil, fmt.Errorf("%s: %w", pragma, err)
		}
	}
	return d, nil
}

func (d *database) resetCaches() {
	d.stmts = map[string]driver.Stmt{}
	d.tables = map[string][]column{}
	d.columns = map[string][]column{}
}

// driver returns a driver whose functions read the statement time and the random source
// of this database, so that replaying a statement on a replica returns the same values.
func (d *database) driver() *sqlite.Driver {
	drv := &sqlite.Driver{}
	scalar := func(name string, args int32, f func([]driver.Value) (driver.Value, error)) {
		// Registration fails only if the name is already registered.
		_ = drv.RegisterScalarFunction(name, args, func(_ *sqlite.FunctionContext, in []driver.Value) (driver.Value, error) {
			return f(in)
		})
	}
	text := func(name, value string) {
		scalar(name, 0, func([]driver.Value) (driver.Value, error) { return value, nil })
	}
	text("version", serverVersionText)
	text("current_database", databaseName)
	text("current_schema", "public")
	text("current_user", databaseName)
	scalar("pg_now", 0, func([]driver.Value) (driver.Value, error) { return formatTime(d.now), nil })
	scalar("random", 0, func([]driver.Value) (driver.Value, error) { return d.random.Float64(), nil })
	scalar("gen_random_uuid", 0, func([]driver.Value) (driver.Value, error) { return d.uuid(), nil })
	scalar("pg_is_in_recovery", 0, func([]driver.Value) (driver.Value, error) { return d.isReplica(), nil })
	scalar("pg_series", 2, series)
	scalar("pg_array", 1, arrayAsJSON)
	return drv
}

const databaseName = "standin"

func (d *database) uuid() string {
	a, b := d.random.Uint64(), d.random.Uint64()
	return fmt.Sprintf("%08x-%04x-4%03x-%04x-%012x",
		a>>32, a>>16&0xffff, a&0xfff, b>>48&0x3fff|0x8000, b&0xffffffffffff)
}

// maxSeries bounds the number of rows of generate_series.
const maxSeries = 1_000_000

func series(in []driver.Value) (driver.Value, error) {
	from, ok1 := in[0].(int64)
	to, ok2 := in[1].(int64)
	if !ok1 || !ok2 || to-from >= maxSeries {
		return nil, errors.New("generate_series: expected two integers at most 1000000 apart")
	}
	values := make([]int64, 0, max(0, to-from+1))
	for v := from; v <= to; v++ {
		values = append(values, v)
	}
	out, err := json.Marshal(values)
	return string(out), err
}

// arrayAsJSON converts a one-dimensional array in text form, {a,b}, to JSON.
func arrayAsJSON(in []driver.Value) (driver.Value, error) {
	text, ok := in[0].(string)
	if !ok || !strings.HasPrefix(text, "{") || !strings.HasSuffix(text, "}") {
		return nil, errors.New("malformed array literal")
	}
	var values []any
	for part := range strings.SplitSeq(text[1:len(text)-1], ",") {
		if json.Valid([]byte(part)) {
			values = append(values, json.RawMessage(part))
		} else if part != "" {
			values = append(values, part)
		}
	}
	out, err := json.Marshal(values)
	return string(out), err
}

// run executes one statement. at is the time that now() returns and the seed of
// random().
func (d *database) run(st *statement, args []driver.NamedValue, at time.Time) (*result, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runLocked(st.sql, st.rows, st.kind == kindSchema, args, at)
}

// runCommand executes a statement that has no parameters and returns no rows.
func (d *database) runCommand(sql string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	// A rollback may undo schema changes.
	schema := strings.HasPrefix(sql, "ROLLBACK")
	_, err := d.runLocked(sql, false, schema, nil, d.now)
	return err
}

func (d *database) runLocked(sql string, rows, schema bool, args []driver.NamedValue, at time.Time) (*result, error) {
	if d.closed {
		return nil, errDatabaseClosed
	}
	d.now = at
	d.random = rand.New(rand.NewPCG(uint64(at.UnixNano()), 0))
	prepared, err := d.prepare(sql)
	if err != nil {
		return nil, err
	}
	if schema {
		defer d.invalidateSchemaCache()
	}
	if !rows {
		driverResult, err := prepared.(driver.StmtExecContext).ExecContext(context.Background(), args)
		if err != nil {
			return nil, err
		}
		affected, err := driverResult.RowsAffected()
		return &result{affected: affected}, err
	}
	cursor, err := prepared.(driver.StmtQueryContext).QueryContext(context.Background(), args)
	if err != nil {
		return nil, err
	}
	return collectRows(cursor)
}

func collectRows(cursor driver.Rows) (*result, error) {
	res := &result{}
	types := cursor.(driver.RowsColumnTypeDatabaseTypeName)
	for i, name := range cursor.Columns() {
		res.columns = append(res.columns, column{name, types.ColumnTypeDatabaseTypeName(i)})
	}
	for {
		row := make([]driver.Value, len(res.columns))
		err := cursor.Next(row)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			_ = cursor.Close()
			return nil, err
		}
		res.rows = append(res.rows, row)
	}
	res.affected = int64(len(res.rows))
	return res, cursor.Close()
}

func (d *database) prepare(sql string) (driver.Stmt, error) {
	if prepared, ok := d.stmts[sql]; ok {
		return prepared, nil
	}
	prepared, err := d.conn.Prepare(sql)
	if err != nil {
		return nil, err
	}
	if len(d.stmts) >= maxCachedStatements {
		for key, old := range d.stmts {
			delete(d.stmts, key)
			if err := old.Close(); err != nil {
				return nil, err
			}
			break
		}
	}
	d.stmts[sql] = prepared
	return prepared, nil
}

// invalidateSchemaCache drops the cached columns and advances the schema version.
func (d *database) invalidateSchemaCache() {
	d.schemaVersion++
	clear(d.tables)
	clear(d.columns)
}

// describe returns the result columns of a statement without running it.
func (d *database) describe(sql string) ([]column, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known, ok := d.columns[sql]; ok {
		return known, nil
	}
	if d.closed {
		return nil, errDatabaseClosed
	}
	info, err := d.conn.ColumnInfo(sql)
	if err != nil {
		return nil, err
	}
	out := make([]column, 0, len(info))
	for _, c := range info {
		out = append(out, column{c.Name, c.DeclType})
	}
	if len(d.columns) >= maxCachedStatements {
		clear(d.columns)
	}
	d.columns[sql] = out
	return out, nil
}

// currentSchemaVersion returns a number that changes with every schema change.
func (d *database) currentSchemaVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.schemaVersion
}

// table returns the columns of a table, or none if the table does not exist.
func (d *database) table(name string) []column {
	d.mu.Lock()
	defer d.mu.Unlock()
	name = strings.ToLower(name)
	if known, ok := d.tables[name]; ok {
		return known
	}
	args := []driver.NamedValue{{Ordinal: 1, Value: name}}
	res, err := d.runLocked("SELECT name, type FROM pragma_table_info(?1)", true, false, args, d.now)
	if err != nil || len(res.rows) == 0 {
		return nil
	}
	out := make([]column, 0, len(res.rows))
	for _, row := range res.rows {
		out = append(out, column{fmt.Sprint(row[0]), fmt.Sprint(row[1])})
	}
	d.tables[name] = out
	return out
}

// serialize returns an image of the database.
func (d *database) serialize() ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, errDatabaseClosed
	}
	return d.conn.Serialize()
}

// close releases the database. SQLite's memory is not garbage collected.
func (d *database) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	d.closed = true
	for _, prepared := range d.stmts {
		_ = prepared.Close()
	}
	d.resetCaches()
	_ = d.conn.Close()
}
