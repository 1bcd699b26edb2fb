package standin

import (
	"context"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/position"
)

// noPeer is the peer address that stands for work without a peer. A frozen instance
// delays such work; a cut does not.
var noPeer netip.Addr

// maxMessageBytes is the maximum size of a message from a client.
const maxMessageBytes = 64 << 20

// flushBytes is the size of buffered rows at which they are sent. It limits the
// memory for the encoded copy of a large result.
const flushBytes = 64 << 10

// session is one client connection.
type session struct {
	inst    *Instance
	conn    *faultConn
	backend *pgproto3.Backend
	pid     uint32
	key     uint32
	user    string
	class   connectionClass
	ctx     context.Context

	tx            transaction
	statements    map[string]*prepared
	portals       map[string]*portal
	skipToSync    bool
	bufferedBytes int

	parameters map[string]string // SET values
	defaults   map[string]string // values of the startup message
	reported   map[string]string // values of ParameterStatus as last sent

	lastCommit       position.Position
	reportedApplied  position.LSN
	unreportedCommit position.Position // to be sent before the next ReadyForQuery; zero if none

	cancelMu sync.Mutex
	cancel   context.CancelFunc // of the running statement
}

func newSession(i *Instance, conn *faultConn, pid uint32) *session {
	s := &session{
		inst:       i,
		conn:       conn,
		backend:    pgproto3.NewBackend(conn, conn),
		pid:        pid,
		key:        rand.Uint32(),
		ctx:        conn.ctx,
		statements: map[string]*prepared{},
		portals:    map[string]*portal{},
		parameters: map[string]string{},
		defaults:   map[string]string{},
		reported:   map[string]string{},
	}
	s.backend.SetMaxBodyLen(maxMessageBytes)
	return s
}

// kill closes the connection with a TCP reset.
func (c *faultConn) kill() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (s *session) serve() {
	defer s.end()
	startup, err := s.startup()
	if err != nil || startup == nil {
		s.sendFatalError(err)
		return
	}
	if s.class == classReplication {
		s.sendFatalError(s.serveReplication())
		return
	}
	s.sendFatalError(s.loop())
}

// sendFatalError sends the error that ends the session to the client if it has an
// SQLSTATE. Other errors, such as those of the connection, are not sent.
func (s *session) sendFatalError(err error) {
	var state *sqlStateError
	if !errors.As(err, &state) {
		return
	}
	s.backend.Send(state.response())
	_ = s.backend.Flush()
}

func (s *session) end() {
	s.rollback()
	s.inst.remove(s)
	_ = s.conn.Close()
}

// startup handles the messages that precede the first query. After a cancel
// request it returns nil without an error.
func (s *session) startup() (*pgproto3.StartupMessage, error) {
	for {
		msg, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		case *pgproto3.CancelRequest:
			s.inst.handleCancelRequest(m.ProcessID, m.SecretKey)
			return nil, nil
		case *pgproto3.StartupMessage:
			return m, s.authenticate(m)
		default:
			return nil, fatalf(stateProtocolViolation, "unexpected start-up message %T", msg)
		}
	}
}

func (s *session) authenticate(m *pgproto3.StartupMessage) error {
	s.user = m.Parameters["user"]
	class := classData
	switch s.user {
	case backend.ControlUser:
		class = classControl
	case ReplicationUser:
		class = classReplication
	}
	if err := s.inst.admit(s, class); err != nil {
		return err
	}
	if err := s.checkPassword(); err != nil {
		return err
	}
	if err := s.sleep(s.ctx, time.Duration(s.inst.settings.get().ConnectionCost)); err != nil {
		return err
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	s.readOptions(m.Parameters)
	for _, name := range reportedParameters {
		s.report(name, s.parameter(name))
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.key})
	return s.sendReadyForQuery()
}

func (s *session) checkPassword() error {
	cfg := &s.inst.cfg
	known := s.user == cfg.User || s.class != classData
	if cfg.Password == "" && known {
		return nil
	}
	s.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := s.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return err
	}
	if err := s.backend.Flush(); err != nil {
		return err
	}
	msg, err := s.backend.Receive()
	if err != nil {
		return err
	}
	password, ok := msg.(*pgproto3.PasswordMessage)
	if !ok {
		return fatalf(stateProtocolViolation, "expected a password message, got %T", msg)
	}
	if !known || password.Password != cfg.Password {
		return fatalf(stateInvalidPassword, "password authentication failed for user %q", s.user)
	}
	return nil
}

// readOptions sets the session parameters that the startup message contains.
func (s *session) readOptions(in map[string]string) {
	for name, value := range in {
		switch name {
		case "user", "database", "replication":
		case "options":
			for _, part := range strings.Fields(value) {
				part = strings.TrimPrefix(strings.TrimPrefix(part, "-c"), "--")
				if name, value, ok := strings.Cut(part, "="); ok {
					s.defaults[strings.ToLower(name)] = value
				}
			}
		default:
			s.defaults[strings.ToLower(name)] = value
		}
	}
	maps.Copy(s.parameters, s.defaults)
}

// loop handles messages until the client disconnects.
func (s *session) loop() error {
	for {
		msg, err := s.backend.Receive()
		if err != nil {
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || s.ctx.Err() != nil {
				return nil
			}
			return err
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return nil
		}
		if err := s.handle(msg); err != nil {
			return err
		}
	}
}

// handle processes one message. Statement errors are sent to the client; a
// returned error ends the session.
func (s *session) handle(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Query:
		return s.simpleQuery(m.String)
	case *pgproto3.Sync:
		s.skipToSync = false
		s.endImplicitTransaction()
		return s.sendReadyForQuery()
	case *pgproto3.Flush:
		return s.backend.Flush()
	}
	if s.skipToSync {
		return nil
	}
	var err error
	switch m := msg.(type) {
	case *pgproto3.Parse:
		err = s.parse(m)
	case *pgproto3.Bind:
		err = s.bind(m)
	case *pgproto3.Describe:
		err = s.describe(m)
	case *pgproto3.Execute:
		err = s.execute(m)
	case *pgproto3.Close:
		s.closeObject(m)
	default:
		return fatalf(stateProtocolViolation, "unexpected message %T", msg)
	}
	if err != nil {
		s.skipToSync = true
		s.statementFailed(err)
	}
	return nil
}

// statementFailed sends an error to the client and marks the open transaction as
// failed.
func (s *session) statementFailed(err error) {
	s.tx.markFailed()
	s.backend.Send(s.describeError(err).response())
}

func (s *session) describeError(err error) *sqlStateError {
	if errors.Is(err, context.Canceled) {
		return &sqlStateError{code: stateQueryCanceled, message: "canceling statement due to user request"}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return &sqlStateError{code: stateQueryCanceled, message: "canceling statement due to statement timeout"}
	}
	if errors.Is(err, errDatabaseClosed) {
		return &sqlStateError{code: stateAdminShutdown, message: "terminating connection due to administrator command", fatal: true}
	}
	return asSQLStateError(err)
}

// sendReadyForQuery ends the response to a request: it sends the parameters that
// have changed, then ReadyForQuery.
func (s *session) sendReadyForQuery() error {
	if !s.unreportedCommit.IsZero() {
		s.sendParameter(backend.ParameterCommitPosition, s.unreportedCommit.String())
		s.unreportedCommit = position.Position{}
	}
	if standby := onOff(s.inst.replica.Load()); s.reported["in_hot_standby"] != standby {
		s.report("in_hot_standby", standby)
	}
	if applied := s.inst.appliedPosition(); applied.LSN != s.reportedApplied {
		s.reportedApplied = applied.LSN
		s.sendParameter(backend.ParameterAppliedPosition, applied.String())
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.tx.status()})
	s.bufferedBytes = 0
	return s.backend.Flush()
}

func (s *session) sendParameter(name, value string) {
	s.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: value})
}

// report sends a parameter to the client unless the client has this value
// already. An empty value is always sent.
func (s *session) report(name, value string) {
	if s.reported[name] == value && value != "" {
		return
	}
	s.reported[name] = value
	s.sendParameter(name, value)
}

// statementContext returns the context of a statement, which ends at
// statement_timeout or through cancelStatement. The caller must call the returned
// function when the statement ends.
func (s *session) statementContext() (context.Context, context.CancelFunc) {
	var ctx context.Context
	var cancel context.CancelFunc
	if limit := s.statementTimeout(); limit > 0 {
		ctx, cancel = context.WithTimeout(s.ctx, limit)
	} else {
		ctx, cancel = context.WithCancel(s.ctx)
	}
	s.cancelMu.Lock()
	s.cancel = cancel
	s.cancelMu.Unlock()
	return ctx, func() {
		s.cancelMu.Lock()
		s.cancel = nil
		s.cancelMu.Unlock()
		cancel()
	}
}

// cancelStatement cancels the running statement, which then fails with SQLSTATE
// 57014.
func (s *session) cancelStatement() {
	s.cancelMu.Lock()
	defer s.cancelMu.Unlock()
	if s.cancel != nil {
		s.cancel()
	}
}

func (s *session) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
