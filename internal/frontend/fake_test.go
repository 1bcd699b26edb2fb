package frontend_test

import (
	"fmt"
	"net"
	"regexp"
	"strconv"
	"strings"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleylever/bramleylever/position"
)

// fakeInstance is a server that stands in for an instance and speaks the
// protocol between the proxy and instances. Each write advances its position by
// one; a query returns its name and position, such as "a:1".
type fakeInstance struct {
	listener net.Listener

	mu        sync.Mutex
	name      string
	primary   bool
	term      position.Term
	applied   position.LSN
	conns     map[net.Conn]struct{}
	opened    int
	log       []string
	passwords []string
	startups  []map[string]string
	// onQuery replaces the answer to a query: it returns the messages to send,
	// or false for the default answer.
	onQuery func(c *fakeConn, sql string) ([]pgproto3.BackendMessage, bool)
}

type fakeConn struct {
	*fakeInstance
	net      net.Conn
	be       *pgproto3.Backend
	status   byte
	wrote    bool
	reported position.LSN
	prepared map[string]string
	portals  map[string]string
}

func newFakeInstance(name string, primary bool) *fakeInstance {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	f := &fakeInstance{listener: l, name: name, primary: primary, term: position.Term{Epoch: 1, Sequence: 1}, conns: map[net.Conn]struct{}{}}
	go f.accept()
	return f
}

func (f *fakeInstance) address() string { return f.listener.Addr().String() }

func (f *fakeInstance) accept() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		f.conns[conn] = struct{}{}
		f.opened++
		f.mu.Unlock()
		go f.serve(conn)
	}
}

func (f *fakeInstance) stop() {
	f.listener.Close()
	f.kill()
}

// kill closes all connections, as a crash of the instance would.
func (f *fakeInstance) kill() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for conn := range f.conns {
		conn.Close()
	}
}

// set changes fields while it holds the lock.
func (f *fakeInstance) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// queries returns the statements that were run, except for calls of the
// cluster_ functions.
func (f *fakeInstance) queries() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.log...)
}

func (f *fakeInstance) serve(conn net.Conn) {
	c := &fakeConn{fakeInstance: f, net: conn, be: pgproto3.NewBackend(conn, conn), status: 'I',
		prepared: map[string]string{}, portals: map[string]string{}}
	defer func() {
		f.set(func() { delete(f.conns, conn) })
		conn.Close()
	}()
	if !c.handleStartup() {
		return
	}
	for c.handleMessage() {
	}
}

func (c *fakeConn) handleStartup() bool {
	m, err := c.be.ReceiveStartupMessage()
	if err != nil {
		return false
	}
	startup, ok := m.(*pgproto3.StartupMessage)
	if !ok {
		if cancel, ok := m.(*pgproto3.CancelRequest); ok {
			c.set(func() { c.log = append(c.log, "CANCEL "+strconv.Itoa(int(cancel.ProcessID))) })
		}
		return false
	}
	c.be.Send(&pgproto3.AuthenticationCleartextPassword{})
	_ = c.be.SetAuthType(pgproto3.AuthTypeCleartextPassword)
	if c.be.Flush() != nil {
		return false
	}
	reply, err := c.be.Receive()
	if err != nil {
		return false
	}
	c.set(func() {
		c.startups = append(c.startups, startup.Parameters)
		if p, ok := reply.(*pgproto3.PasswordMessage); ok {
			c.passwords = append(c.passwords, p.Password)
		}
	})
	c.be.Send(&pgproto3.AuthenticationOk{})
	c.be.Send(&pgproto3.BackendKeyData{ProcessID: 7, SecretKey: 9})
	c.ready()
	return c.be.Flush() == nil
}

// ready sends ReadyForQuery, and before it the applied position if that has
// changed and the commit position after a commit.
func (c *fakeConn) ready() {
	c.mu.Lock()
	applied := position.Position{Term: c.term, LSN: c.applied}
	c.mu.Unlock()
	if applied.LSN != c.reported {
		c.reported = applied.LSN
		c.be.Send(&pgproto3.ParameterStatus{Name: "applied_position", Value: applied.String()})
	}
	if c.wrote && c.status == 'I' {
		c.wrote = false
		c.be.Send(&pgproto3.ParameterStatus{Name: "commit_position", Value: applied.String()})
	}
	c.be.Send(&pgproto3.ReadyForQuery{TxStatus: c.status})
}

func (c *fakeConn) handleMessage() bool {
	m, err := c.be.Receive()
	if err != nil {
		return false
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		for _, sql := range strings.Split(m.String, ";") {
			if sql = strings.TrimSpace(sql); sql != "" && !c.run(sql, true) {
				break
			}
		}
		c.ready()
		return c.be.Flush() == nil
	case *pgproto3.Parse:
		if _, exists := c.prepared[m.Name]; exists && m.Name != "" {
			return c.skipToSync(pgError("42P05", "prepared statement exists"))
		}
		c.prepared[m.Name] = m.Query
		c.be.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		sql, ok := c.prepared[m.PreparedStatement]
		if !ok {
			return c.skipToSync(pgError("26000", "unknown prepared statement"))
		}
		c.portals[m.DestinationPortal] = sql
		c.be.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		c.describe(m)
	case *pgproto3.Execute:
		if !c.run(c.portals[m.Portal], false) {
			return c.skipToSync(nil)
		}
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(c.prepared, m.Name)
		}
		c.be.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		c.ready()
		return c.be.Flush() == nil
	case *pgproto3.Flush:
		return c.be.Flush() == nil
	case *pgproto3.Terminate:
		return false
	}
	return true
}

func (c *fakeConn) describe(m *pgproto3.Describe) {
	sql := c.portals[m.Name]
	if m.ObjectType == 'S' {
		sql = c.prepared[m.Name]
		c.be.Send(&pgproto3.ParameterDescription{})
	}
	if returnsRows(sql) {
		c.be.Send(column("v"))
		return
	}
	c.be.Send(&pgproto3.NoData{})
}

// skipToSync sends an error, unless it is nil, and ignores messages until Sync,
// as an instance does after an error.
func (c *fakeConn) skipToSync(e pgproto3.BackendMessage) bool {
	if e != nil {
		c.be.Send(e)
	}
	for {
		m, err := c.be.Receive()
		if err != nil {
			return false
		}
		if _, ok := m.(*pgproto3.Sync); ok {
			c.ready()
			return c.be.Flush() == nil
		}
		if _, ok := m.(*pgproto3.Flush); ok {
			_ = c.be.Flush()
		}
	}
}

func returnsRows(sql string) bool {
	return strings.HasPrefix(sql, "SELECT") || strings.HasPrefix(sql, "select")
}

func pgError(code, message string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: message}
}

func column(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte(name), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1}}}
}

func row(value string) *pgproto3.DataRow { return &pgproto3.DataRow{Values: [][]byte{[]byte(value)}} }

func complete(tag string) *pgproto3.CommandComplete {
	return &pgproto3.CommandComplete{CommandTag: []byte(tag)}
}

// run answers one statement and reports whether it succeeded. Only the simple
// query protocol sends RowDescription with the rows.
func (c *fakeConn) run(sql string, simple bool) bool {
	c.mu.Lock()
	on := c.onQuery
	if !strings.Contains(sql, "cluster_") {
		c.log = append(c.log, sql)
	}
	c.mu.Unlock()
	answer, ok := []pgproto3.BackendMessage(nil), false
	if on != nil {
		answer, ok = on(c, sql)
	}
	if !ok {
		answer = c.defaultAnswer(sql)
	}
	for _, m := range answer {
		if _, isRow := m.(*pgproto3.RowDescription); isRow && !simple {
			continue
		}
		c.be.Send(m)
		if _, failed := m.(*pgproto3.ErrorResponse); failed {
			if c.status == 'T' {
				c.status = 'E'
			}
			return false
		}
	}
	return true
}

var guardPattern = regexp.MustCompile(`cluster_read_guard\('([^']*)', (\d+), (-?\d+)\)`)

func (c *fakeConn) defaultAnswer(sql string) []pgproto3.BackendMessage {
	if m := guardPattern.FindStringSubmatch(sql); m != nil {
		return c.guard(m[1])
	}
	word, _, _ := strings.Cut(strings.ToUpper(sql), " ")
	if c.status == 'E' && word != "ROLLBACK" && word != "COMMIT" {
		return []pgproto3.BackendMessage{pgError("25P02", "current transaction is aborted")}
	}
	switch word {
	case "BEGIN":
		c.status = 'T'
		return []pgproto3.BackendMessage{complete("BEGIN")}
	case "COMMIT", "ROLLBACK":
		if c.status == 'E' || word == "ROLLBACK" {
			c.wrote = false
			word = "ROLLBACK"
		}
		c.status = 'I'
		return []pgproto3.BackendMessage{complete(word)}
	case "SET":
		return []pgproto3.BackendMessage{complete("SET")}
	case "INSERT", "UPDATE":
		return c.write(word)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return []pgproto3.BackendMessage{column("v"), row(fmt.Sprintf("%s:%d", c.name, c.applied)), complete("SELECT 1")}
}

func (c *fakeConn) write(word string) []pgproto3.BackendMessage {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.primary {
		return []pgproto3.BackendMessage{pgError("25006", "cannot write on a replica")}
	}
	c.applied++
	c.wrote = true
	return []pgproto3.BackendMessage{complete(word + " 0 1")}
}

// guard answers cluster_read_guard: it fails if the position is not applied.
func (c *fakeConn) guard(text string) []pgproto3.BackendMessage {
	wanted, _ := position.Parse(text)
	c.mu.Lock()
	defer c.mu.Unlock()
	if wanted.LSN > c.applied || wanted.Term.Compare(c.term) > 0 {
		return []pgproto3.BackendMessage{pgError("55P03", "position not applied in time")}
	}
	return []pgproto3.BackendMessage{column("g"), row("{}"), complete("SELECT 1")}
}

func (f *fakeInstance) connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}
