package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/url"
	"time"

	"github.com/jackc/pgx/v5"
)

// positionParameter is the connection parameter that carries the session
// position.
const positionParameter = "bramleylever.session_position"

// requestTimeout bounds one request. The outcome of a request that times out is
// unknown.
const requestTimeout = 20 * time.Second

// session is one simulated caller. It sends one request at a time and presents
// its session position to each proxy that it connects to.
type session struct {
	id       int64
	account  AccountLoad
	route    string
	workload Workload
	target   Target
	history  *history
	rng      *rand.Rand
	start    time.Time

	conn     *pgx.Conn
	host     int
	position string
	requests int
	sequence int64
	// acknowledged is the highest sequence number of an acknowledged write.
	acknowledged int64
}

// connect opens a connection if none is open. It tries the hosts in turn,
// starting with the one after the last used.
func (s *session) connect(ctx context.Context) error {
	if s.conn != nil && !s.conn.IsClosed() {
		return nil
	}
	s.conn = nil
	hosts := s.target.Hosts()
	var err error
	for range len(hosts) {
		s.host = (s.host + 1) % len(hosts)
		address := s.target.URL(hosts[s.host], s.account.Account, s.route)
		if s.position != "" {
			address += "&" + positionParameter + "=" + url.QueryEscape(s.position)
		}
		if s.conn, err = pgx.Connect(ctx, address); err == nil {
			return nil
		}
		s.conn = nil
		s.history.countError(err.Error())
	}
	return err
}

// disconnect closes the connection; the next request then connects to another
// proxy.
func (s *session) disconnect(ctx context.Context) {
	if s.conn != nil {
		_ = s.conn.Close(ctx)
		s.conn = nil
	}
}

// request sends one random read or write and records its outcome. intended is
// the time at which the request was due.
func (s *session) request(intended time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	s.requests++
	if s.workload.SwitchProxyEvery > 0 && s.requests%s.workload.SwitchProxyEvery == 0 {
		s.disconnect(ctx)
	}
	o := operation{account: s.account.Account, database: s.route, intended: intended}
	draw := s.rng.Float64()
	o.write = draw < s.workload.WriteShare
	if o.write {
		s.sequence++
		o.id = s.id<<32 | s.sequence
		o.idempotent = draw < s.workload.WriteShare*s.workload.IdempotentShare
	} else {
		o.boundedStaleness = s.rng.Float64() < s.workload.StaleShare
	}
	err := s.connect(ctx)
	o.sent = time.Since(s.start)
	if err != nil {
		o.outcome, o.sqlState = notRun, "connect"
	} else {
		err = s.execute(ctx, &o)
		o.outcome, o.sqlState = classify(err)
	}
	o.finished = time.Since(s.start)
	if err != nil {
		s.history.countError(err.Error())
	}
	s.history.add(o)
}

// execute runs an operation on the open connection and stores the session
// position that the proxy reports.
func (s *session) execute(ctx context.Context, o *operation) error {
	var err error
	if o.write {
		err = s.writeRow(ctx, o)
	} else {
		err = s.readRows(ctx, o)
	}
	if position := s.conn.PgConn().ParameterStatus(positionParameter); position != "" {
		s.position = position
	}
	return err
}

func (s *session) writeRow(ctx context.Context, o *operation) error {
	table, suffix := "entries", ""
	if o.idempotent {
		table, suffix = "readings", " ON CONFLICT (op) DO NOTHING"
		if err := s.set(ctx, "bramleylever.idempotent", "on"); err != nil {
			return err
		}
	}
	_, err := s.conn.Exec(ctx, "INSERT INTO "+table+" (op, session, seq) VALUES ($1, $2, $3)"+suffix,
		o.id, s.id, s.sequence)
	if err == nil {
		s.acknowledged = s.sequence
	}
	if o.idempotent && !s.conn.IsClosed() {
		if resetErr := s.set(ctx, "bramleylever.idempotent", "off"); resetErr != nil {
			s.disconnect(ctx)
		}
	}
	return err
}

func (s *session) set(ctx context.Context, name, value string) error {
	_, err := s.conn.Exec(ctx, "SET "+name+" = '"+value+"'", pgx.QueryExecModeSimpleProtocol)
	return err
}

// readRows reads the highest sequence number of the session's own rows and
// records a stale read if it is below the last acknowledged write.
func (s *session) readRows(ctx context.Context, o *operation) error {
	if o.boundedStaleness {
		if err := s.set(ctx, "bramleylever.max_staleness", s.workload.MaxStaleness.String()); err != nil {
			return err
		}
		defer func() {
			if !s.conn.IsClosed() && s.set(ctx, "bramleylever.max_staleness", "") != nil {
				s.disconnect(ctx)
			}
		}()
	}
	expected := s.acknowledged
	var highest int64
	err := s.conn.QueryRow(ctx, "SELECT coalesce(max(seq), 0) FROM (SELECT seq FROM entries WHERE session = $1 "+
		"UNION ALL SELECT seq FROM readings WHERE session = $1) AS own", s.id).Scan(&highest)
	if err == nil && highest < expected {
		s.history.addStaleRead(fmt.Sprintf("session %d of %s on %s: read sequence %d after %d was acknowledged",
			s.id, s.account.Account, s.route, highest, expected))
	}
	return err
}
