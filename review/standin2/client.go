//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// client is one session of a caller.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// result is the answer to one request.
type result struct {
	rows      []string
	signature string
	code      string
	detail    string
	state     string
}

func (r result) ok() bool { return r.code == "" }

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func open(address, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, reader: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key); err != nil {
		_ = conn.Close()
		return nil, err
	}
	line, err := readLine(c.reader)
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = errors.New(line)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

// query sends one request and reads the answer.
func (c *client) query(id, text string, limit time.Duration) (result, error) {
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	if _, err := c.conn.Write([]byte("QUERY " + id + " " + text + "\r\n")); err != nil {
		return result{}, err
	}
	return c.readAnswer(limit)
}

// readAnswer reads the answer to one request.
func (c *client) readAnswer(limit time.Duration) (result, error) {
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	var r result
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
			r.code, r.detail, _ = strings.Cut(rest, " ")
		case "READY":
			r.state, _, _ = strings.Cut(rest, " ")
			return r, nil
		default:
			return r, fmt.Errorf("unexpected message %.40q", line)
		}
	}
}
