package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

func readLine(r *bufio.Reader) (string, error) {
	line := ""
	for {
		// A line feed by itself is part of a field.
		part, err := r.ReadString('\n')
		line += part
		if err != nil || strings.HasSuffix(line, "\r\n") {
			return strings.TrimSuffix(line, "\r\n"), err
		}
	}
}

func readFields(r *bufio.Reader) ([]string, error) {
	line, err := readLine(r)
	return strings.Split(line, " "), err
}

// client is a client's connection to a gateway.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// clientTimeout is how long a client waits for an answer.
const clientTimeout = 5 * time.Second

// connect opens a session.
func connect(address, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, reader: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	if _, err = fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key); err == nil {
		var line string
		if line, err = readLine(c.reader); err == nil && !strings.HasPrefix(line, "READY") {
			err = fmt.Errorf("startup: %.60s", line)
		}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

// reply is the answer to a statement.
type reply struct {
	rows []string
	// code is the error code; empty after a success.
	code      string
	signature string
}

var nextID atomic.Int64

// newID returns the id of a statement.
func newID() string { return fmt.Sprintf("%012x", 0x100000000000+nextID.Add(1)) }

// query sends a statement and reads its answer.
func (c *client) query(id, text string) (reply, error) {
	var r reply
	_ = c.conn.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return r, err
	}
	for {
		line, err := readLine(c.reader)
		if err != nil {
			return r, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			r.rows = append(r.rows, rest)
		case "COMPLETE":
			r.signature = rest
		case "ERROR":
			r.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			return r, nil
		}
	}
}
