//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// client is a session of a client.
type client struct {
	record *recorder
	name   string
	conn   net.Conn
	reader *bufio.Reader
	state  string
}

// clientAnswer is the answer to one request. broken says that the connection ended before
// the answer was complete.
type clientAnswer struct {
	sent      time.Time
	ended     time.Time
	rows      []string
	code      string
	signature string
	broken    error
}

func (a *clientAnswer) succeeded() bool { return a.broken == nil && a.code == "" }

var sessions, requests atomic.Int64

// nextID returns a new request id.
func nextID() string { return fmt.Sprintf("%016x", 0x5c0e000000000000+requests.Add(1)) }

// dial opens a session; nil if that fails.
func (f *fleet) dial(address, database, key string) *client {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil
	}
	c := &client{record: f.record, name: fmt.Sprintf("client %d", sessions.Add(1)), conn: conn, reader: bufio.NewReader(conn), state: "I"}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key)
	line, err := readLine(c.reader)
	if err != nil || !strings.HasPrefix(line, "READY") {
		f.record.add("%s to %s: no session: %q %v", c.name, address, line, err)
		_ = conn.Close()
		return nil
	}
	f.record.add("%s has a session at %s for %s", c.name, address, database)
	return c
}

func (c *client) close() { _ = c.conn.Close() }

// query sends a request and waits for its answer.
func (c *client) query(id, text string, timeout time.Duration) clientAnswer {
	a := clientAnswer{sent: time.Now()}
	_ = c.conn.SetDeadline(a.sent.Add(timeout))
	c.record.add("%s sends id %s: %q", c.name, id, text)
	_, a.broken = fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text)
	for a.broken == nil {
		line, err := readLine(c.reader)
		if err != nil {
			a.broken = err
			break
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.ended = time.Now()
			c.state, _, _ = strings.Cut(rest, " ")
			c.record.add("%s gets for id %s: %s", c.name, id, a.describe())
			return a
		}
	}
	a.ended = time.Now()
	c.record.add("%s gets for id %s: %s", c.name, id, a.describe())
	return a
}

func (a *clientAnswer) describe() string {
	switch {
	case a.broken != nil:
		return fmt.Sprintf("no complete answer, the connection ended: %v", a.broken)
	case a.code != "":
		return "ERROR " + a.code
	}
	return fmt.Sprintf("success, rows %q, signature %s", a.rows, a.signature)
}

// unasked reports whether a message has arrived while no request was outstanding.
func (c *client) unasked() bool {
	_ = c.conn.SetDeadline(time.Now().Add(10 * time.Millisecond))
	line, err := readLine(c.reader)
	if err == nil {
		c.record.add("%s gets a message that answers nothing: %q; it closes its session", c.name, line)
	}
	return err == nil
}
