//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["framing"] = playFraming }

// framingWrites is the number of writes of the case.
const framingWrites = 20

// playFraming sends writes whose last field holds a line feed that no carriage return
// precedes. It is a part of the field: a line ends with CR LF, and the last field extends to
// the end of the line. What an instance runs must be what the client sent.
func playFraming(f *fleet, trouble bool) []string {
	c := f.dial(f.gateways[0].address(), "booking", "key-growers-1")
	if c == nil {
		fail("no session")
	}
	defer func() { c.close() }()
	sent := map[string]string{}
	for n := range framingWrites {
		if c == nil {
			fail("no session")
		}
		id := nextID()
		data := "note" + strings.Repeat(" line", n%3)
		if trouble && n%4 == 3 {
			// A note of two lines. The second one reads like a message of its own.
			data = fmt.Sprintf("first line\nQUERY %s WRITE item%d foreign", nextID(), 100+n)
		}
		text := fmt.Sprintf("WRITE item%d %s", n, data)
		sent[id] = text
		a := c.query(id, text, 2*time.Second)
		if a.broken != nil || c.state != "I" {
			c.close()
			c = f.dial(f.gateways[0].address(), "booking", "key-growers-1")
			continue
		}
		// A sound client closes its session on any message while no request is outstanding.
		time.Sleep(50 * time.Millisecond)
		if c.unasked() {
			c.close()
			c = f.dial(f.gateways[0].address(), "booking", "key-growers-1")
		}
	}
	time.Sleep(time.Second)
	return unasked(f, sent)
}

// unasked returns the runs of statements that no client sent, or with changed text.
func unasked(f *fleet, sent map[string]string) []string {
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	var broken []string
	for _, r := range f.group.runs {
		text, known := sent[r.id]
		switch {
		case !known:
			broken = append(broken, fmt.Sprintf("UNASKED: instance %s ran id %s, which no client sent: %q", r.host, r.id, r.text))
		case text != r.text:
			broken = append(broken, fmt.Sprintf("UNASKED: instance %s ran id %s with changed text: %q for %q", r.host, r.id, r.text, text))
		}
	}
	return broken
}
