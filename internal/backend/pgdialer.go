package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/position"
)

// ErrRefused marks a control statement to which the instance responded with an error.
// The error chain contains the *pgconn.PgError.
var ErrRefused = errors.New("refused by the instance")

// defaultDialTimeout bounds the opening of a control connection. A probe or promotion
// that waits longer than it takes to suspect the peer is of no use.
const defaultDialTimeout = time.Second

// controlDatabase is the database name in the startup message. Control statements don't
// use a database, but without a name the protocol defaults to the user name.
const controlDatabase = "control"

// PGDialer opens control connections over the PostgreSQL protocol. It
// implements Dialer.
type PGDialer struct {
	// User is the role, by default ControlUser.
	User string
	// Password is the role's password.
	Password string
	// LocalAddress is the source IP address. If it is empty, the operating system
	// selects one.
	LocalAddress string
	// Timeout bounds the opening of a connection, by default 1 s.
	Timeout time.Duration
	// DialFunc replaces the TCP dialer. LocalAddress is then ignored.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)
}

var _ Dialer = PGDialer{}

// DialControl opens a control connection. Its errors match outcome.ErrNotRun,
// because no statement was sent.
func (d PGDialer) DialControl(ctx context.Context, address string) (Control, error) {
	const step = "open control connection"
	cfg, err := d.config(address)
	if err != nil {
		return nil, outcome.Wrap(step, address, fmt.Errorf("%w: %w", outcome.ErrNotRun, err))
	}
	timeout := d.Timeout
	if timeout <= 0 {
		timeout = defaultDialTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, outcome.Wrap(step, address, fmt.Errorf("%w: %w", outcome.ErrNotRun, err))
	}
	return &pgControl{conn: conn, address: address, lock: make(chan struct{}, 1)}, nil
}

// config builds the pgconn settings. It overrides the values that pgconn takes from the
// environment.
func (d PGDialer) config(address string) (*pgconn.Config, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil || port == 0 {
		return nil, fmt.Errorf("port %q is not a number from 1 to 65535", portText)
	}
	cfg, err := pgconn.ParseConfig("host=localhost sslmode=disable target_session_attrs=any")
	if err != nil {
		return nil, err
	}
	cfg.Host, cfg.Port = host, uint16(port)
	cfg.User, cfg.Password, cfg.Database = d.User, d.Password, controlDatabase
	if cfg.User == "" {
		cfg.User = ControlUser
	}
	cfg.TLSConfig, cfg.Fallbacks, cfg.ValidateConnect, cfg.AfterConnect = nil, nil, nil, nil
	cfg.RuntimeParams = map[string]string{"application_name": "bramleylever"}
	switch {
	case d.DialFunc != nil:
		cfg.DialFunc = d.DialFunc
	case d.LocalAddress != "":
		ip := net.ParseIP(d.LocalAddress)
		if ip == nil {
			return nil, fmt.Errorf("local address %q is not an IP address", d.LocalAddress)
		}
		cfg.DialFunc = (&net.Dialer{LocalAddr: &net.TCPAddr{IP: ip}}).DialContext
	}
	return cfg, nil
}

// pgControl is a control connection. It runs one statement at a time: calls are
// serialized by lock, which contains a token while a statement runs.
type pgControl struct {
	conn    *pgconn.PgConn
	address string
	lock    chan struct{}
}

func (c *pgControl) Status(ctx context.Context) (Status, error) {
	return c.call(ctx, "status", position.Term{}, "SELECT cluster_status()")
}

func (c *pgControl) RaiseTerm(ctx context.Context, t position.Term) (Status, error) {
	return c.call(ctx, "raise term", t, "SELECT cluster_raise_term($1)", t.String())
}

func (c *pgControl) Promote(ctx context.Context, t position.Term) (Status, error) {
	return c.call(ctx, "promote", t, "SELECT cluster_promote($1)", t.String())
}

func (c *pgControl) Follow(ctx context.Context, t position.Term, primaryAddress string) (Status, error) {
	return c.call(ctx, "follow", t, "SELECT cluster_follow($1, $2)", t.String(), primaryAddress)
}

func (c *pgControl) Quiesce(ctx context.Context, limit time.Duration) (Status, error) {
	ms := strconv.FormatInt(limit.Milliseconds(), 10)
	return c.call(ctx, "quiesce", position.Term{}, "SELECT cluster_quiesce($1)", ms)
}

// closeTimeout bounds the graceful close of a connection to an instance that may not
// respond.
const closeTimeout = 100 * time.Millisecond

func (c *pgControl) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := c.conn.Close(ctx); err != nil {
		return outcome.Wrap("close control connection", c.address, err)
	}
	return nil
}

// call runs one control statement when the connection is free. t is the term in the
// statement, zero if it has none.
func (c *pgControl) call(ctx context.Context, step string, t position.Term, sql string, args ...string) (Status, error) {
	select {
	case c.lock <- struct{}{}:
		defer func() { <-c.lock }()
	case <-ctx.Done():
		return Status{}, outcome.Wrap(step, c.address, fmt.Errorf("%w: %w", outcome.ErrNotRun, ctx.Err()))
	}
	st, err := c.run(ctx, sql, args)
	if err != nil && c.isStaleTerm(ctx, t, err) {
		err = fmt.Errorf("%w: %w", outcome.ErrStaleTerm, err)
	}
	return st, outcome.Wrap(step, c.address, err)
}

// isStaleTerm reports whether the instance refused a statement because its own term is
// higher than t. Other refusals have the same SQLSTATE, so it queries the instance's
// term.
func (c *pgControl) isStaleTerm(ctx context.Context, t position.Term, err error) bool {
	var refusal *pgconn.PgError
	if t.IsZero() || !errors.As(err, &refusal) || refusal.Code != SQLStateNotInPrerequisiteState {
		return false
	}
	st, err := c.run(ctx, "SELECT cluster_status()", nil)
	return err == nil && t.Less(st.Term)
}

func (c *pgControl) run(ctx context.Context, sql string, args []string) (Status, error) {
	values := make([][]byte, len(args))
	for i, a := range args {
		values[i] = []byte(a)
	}
	result := c.conn.ExecParams(ctx, sql, values, nil, nil, nil).Read()
	if result.Err != nil {
		return Status{}, classify(result.Err)
	}
	if len(result.Rows) != 1 || len(result.Rows[0]) != 1 {
		return Status{}, fmt.Errorf("malformed answer: expected one row with one column, got %d rows", len(result.Rows))
	}
	return DecodeStatus(result.Rows[0][0])
}

// classify wraps err in the sentinel error that tells whether the statement was
// refused, was not run, or has an unknown outcome.
func classify(err error) error {
	var refusal *pgconn.PgError
	switch {
	case errors.As(err, &refusal):
		return fmt.Errorf("%w: %w", ErrRefused, err)
	case pgconn.SafeToRetry(err):
		return fmt.Errorf("%w: %w", outcome.ErrNotRun, err)
	}
	return fmt.Errorf("%w: %w", outcome.ErrUnknown, err)
}
