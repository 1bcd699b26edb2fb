package pool

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/xdg-go/scram"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/internal/wire"
	"github.com/bramleylever/bramleylever/position"
)

// maxMessageBytes is the largest message that a PostgreSQL server sends.
const maxMessageBytes = 1 << 30

// Credentials authenticate the proxy to backend servers. The API key of a caller is never sent
// to a backend server.
type Credentials struct {
	User     string
	Password string
}

// Conn is a pooled connection to an instance. Between Acquire and Release it is used by one
// session only.
type Conn struct {
	Instance string
	Address  string
	In       *wire.Reader
	Out      *wire.Writer
	// PID and Secret identify the connection in a cancel request.
	PID    uint32
	Secret uint32
	// Parameters holds the tracked run-time parameters whose values on the connection differ
	// from its defaults.
	Parameters map[string]string
	// Statements holds the named prepared statements that exist on the connection.
	Statements *Statements
	// Unnamed is the hash of the unnamed prepared statement, or zero if there is none.
	Unnamed Hash
	// Applied is the highest applied position that the instance reported on this connection.
	// It is a lower bound of the instance's position, because no connection stays open when
	// the instance rewinds its data.
	Applied position.Position
	// GuardedPosition is the highest position that a read guard (cluster_read_guard) on this
	// connection found in the history of the instance.
	GuardedPosition position.Position

	pool *instancePool
	net  net.Conn
	dial DialFunc
	// raw, peek and readable serve the check in alive: peek sets readable if the socket has data
	// or was closed by the instance.
	raw      syscall.RawConn
	peek     func(fd uintptr) bool
	readable bool
	// generation is the generation of the pool when the connection was dialed.
	generation  uint64
	idleSince   time.Time
	notReusable atomic.Bool
	// interrupted is set before Interrupt moves the deadline to the past, so that a concurrent
	// SetDeadline does not remove that deadline.
	interrupted atomic.Bool
}

// SetDeadline sets the deadline of reads and writes; the zero time removes it. It has no effect
// after Interrupt.
func (c *Conn) SetDeadline(t time.Time) {
	_ = c.net.SetDeadline(t)
	if c.interrupted.Load() {
		_ = c.net.SetDeadline(time.Unix(1, 0))
	}
}

// Interrupt makes pending and later reads and writes fail and prevents reuse of the connection.
// It is safe for concurrent use.
func (c *Conn) Interrupt() {
	c.notReusable.Store(true)
	c.interrupted.Store(true)
	_ = c.net.SetDeadline(time.Unix(1, 0))
}

// PreventReuse makes Release close the connection. It is safe for concurrent use.
func (c *Conn) PreventReuse() { c.notReusable.Store(true) }

// Retired reports whether Set.Retire was called for the instance after the connection was opened.
func (c *Conn) Retired() bool { return c.generation != c.pool.generation.Load() }

// Write writes directly to the network connection and bypasses the buffer of Out.
func (c *Conn) Write(b []byte) (int, error) { return c.net.Write(b) }

// Close closes the network connection. The instance then rolls back an open transaction.
func (c *Conn) Close() { _ = c.net.Close() }

// alive reports whether the instance has neither closed the connection nor sent data while it
// was idle. Without this check, a request written to a connection that the instance closed would
// end with an unknown outcome.
func (c *Conn) alive() bool {
	if c.notReusable.Load() || c.In.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	c.readable = false
	if err := c.raw.Read(c.peek); err != nil {
		return false
	}
	return !c.readable
}

func (c *Conn) initLivenessCheck() {
	sc, ok := c.net.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	c.raw = raw
	var one [1]byte
	c.peek = func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		c.readable = !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
		return true
	}
}

// ServerError is an ErrorResponse of an instance.
type ServerError struct {
	Code    string
	Message string
}

// Error returns the message with its SQLSTATE.
func (e *ServerError) Error() string { return e.Message + " (SQLSTATE " + e.Code + ")" }

// dialTarget holds the address, credentials and timeout for opening a connection.
type dialTarget struct {
	instance    string
	address     string
	database    string
	credentials Credentials
	timeout     time.Duration
	dial        DialFunc
}

// DialFunc opens a network connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// open connects to address within a timeout.
func (d DialFunc) open(address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return d(ctx, "tcp", address)
}

// dial opens a connection and completes the start-up handshake with the proxy's credentials.
func dial(t dialTarget) (*Conn, error) {
	raw, err := t.dial.open(t.address, t.timeout)
	if err != nil {
		return nil, err
	}
	c := &Conn{
		Instance:   t.instance,
		Address:    t.address,
		In:         wire.NewReader(raw, maxMessageBytes),
		Out:        wire.NewWriter(raw),
		Parameters: map[string]string{},
		net:        raw,
		dial:       t.dial,
	}
	c.SetDeadline(time.Now().Add(t.timeout))
	if err := c.handshake(t); err != nil {
		c.Close()
		return nil, err
	}
	c.SetDeadline(time.Time{})
	c.In.Release()
	c.initLivenessCheck()
	return c, nil
}

func (c *Conn) send(m pgproto3.FrontendMessage) error {
	b, err := m.Encode(c.Out.Buffer())
	if err != nil {
		return err
	}
	c.Out.SetBuffer(b)
	return c.Out.Flush()
}

func (c *Conn) handshake(t dialTarget) error {
	err := c.send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersionNumber,
		Parameters:      map[string]string{"user": t.credentials.User, "database": t.database},
	})
	if err != nil {
		return fmt.Errorf("send start-up message: %w", err)
	}
	for {
		kind, frame, err := c.In.Next()
		if err != nil {
			return fmt.Errorf("read start-up answer: %w", err)
		}
		body := frame[wire.HeaderBytes:]
		switch kind {
		case 'R':
			err = c.authenticate(t.credentials, body)
		case 'S':
			err = c.RecordPosition(body)
		case 'K':
			err = c.backendKey(body)
		case 'E':
			err = serverError(body)
		case 'Z':
			return nil
		case 'N':
		default:
			err = fmt.Errorf("%w: message type %q during start-up", wire.ErrMalformed, kind)
		}
		if err != nil {
			return err
		}
	}
}

func (c *Conn) backendKey(body []byte) error {
	if len(body) < 8 {
		return fmt.Errorf("%w: BackendKeyData of %d bytes", wire.ErrMalformed, len(body))
	}
	c.PID = binary.BigEndian.Uint32(body)
	c.Secret = binary.BigEndian.Uint32(body[4:])
	return nil
}

// RecordPosition raises Applied to the position in the body of a ParameterStatus message. It
// ignores other parameters.
func (c *Conn) RecordPosition(body []byte) error {
	name, rest, ok := wire.CString(body)
	if !ok || string(name) != backend.ParameterAppliedPosition {
		return nil
	}
	value, _, ok := wire.CString(rest)
	if !ok {
		return fmt.Errorf("%w: ParameterStatus without a value", wire.ErrMalformed)
	}
	p, err := position.Parse(string(value))
	if err != nil {
		return fmt.Errorf("%s: %w", backend.ParameterAppliedPosition, err)
	}
	if c.Applied.Compare(p) < 0 {
		c.Applied = p
	}
	return nil
}

func serverError(body []byte) error {
	return &ServerError{Code: wire.ErrorField(body, 'C'), Message: wire.ErrorField(body, 'M')}
}

// authenticate responds to the instance's authentication request: trust, clear-text password or
// SCRAM-SHA-256.
func (c *Conn) authenticate(cred Credentials, body []byte) error {
	if len(body) < 4 {
		return fmt.Errorf("%w: authentication request of %d bytes", wire.ErrMalformed, len(body))
	}
	switch kind := binary.BigEndian.Uint32(body); kind {
	case pgproto3.AuthTypeOk:
		return nil
	case pgproto3.AuthTypeCleartextPassword:
		return c.send(&pgproto3.PasswordMessage{Password: cred.Password})
	case pgproto3.AuthTypeSASL:
		return c.authenticateSCRAM(cred)
	default:
		return fmt.Errorf("authentication method %d is not supported", kind)
	}
}

func (c *Conn) authenticateSCRAM(cred Credentials) error {
	client, err := scram.SHA256.NewClient(cred.User, cred.Password, "")
	if err != nil {
		return err
	}
	conversation := client.NewConversation()
	first, err := conversation.Step("")
	if err != nil {
		return err
	}
	initial := &pgproto3.SASLInitialResponse{AuthMechanism: "SCRAM-SHA-256", Data: []byte(first)}
	if err := c.send(initial); err != nil {
		return err
	}
	challenge, err := c.saslData(pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	final, err := conversation.Step(challenge)
	if err != nil {
		return err
	}
	if err := c.send(&pgproto3.SASLResponse{Data: []byte(final)}); err != nil {
		return err
	}
	verifier, err := c.saslData(pgproto3.AuthTypeSASLFinal)
	if err != nil {
		return err
	}
	_, err = conversation.Step(verifier)
	return err
}

func (c *Conn) saslData(expected uint32) (string, error) {
	kind, frame, err := c.In.Next()
	if err != nil {
		return "", fmt.Errorf("read SASL message: %w", err)
	}
	body := frame[wire.HeaderBytes:]
	if kind == 'E' {
		return "", serverError(body)
	}
	if kind != 'R' || len(body) < 4 || binary.BigEndian.Uint32(body) != expected {
		return "", fmt.Errorf("%w: message type %q during SASL", wire.ErrMalformed, kind)
	}
	return string(body[4:]), nil
}

// Cancel sends a cancel request for the query that runs on the connection. It waits until the
// instance closes the connection of the cancel request, which it does after processing it.
func (c *Conn) Cancel(timeout time.Duration) error {
	conn, err := c.dial.open(c.Address, timeout)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	var b [16]byte
	binary.BigEndian.PutUint32(b[0:], 16)
	binary.BigEndian.PutUint32(b[4:], cancelRequestCode)
	binary.BigEndian.PutUint32(b[8:], c.PID)
	binary.BigEndian.PutUint32(b[12:], c.Secret)
	if _, err := conn.Write(b[:]); err != nil {
		return err
	}
	if _, err := conn.Read(b[:1]); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// cancelRequestCode is the request code of a CancelRequest in the PostgreSQL protocol.
const cancelRequestCode = 80877102
