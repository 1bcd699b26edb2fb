package standin

import "sync"

// maxParsedStatements bounds the statements that an instance keeps parsed.
const maxParsedStatements = 1024

// statementCache keeps parsed statements by their text, since callers repeat
// the same texts and parsing takes as long as running a small statement.
type statementCache struct {
	mu    sync.Mutex
	known map[string]*statement
}

// parseOne parses a text that holds at most one statement; the result is nil
// for an empty text.
func (c *statementCache) parseOne(sql string) (*statement, error) {
	c.mu.Lock()
	st, ok := c.known[sql]
	c.mu.Unlock()
	if ok {
		return st, nil
	}
	parts, err := splitStatements(sql)
	if err != nil || len(parts) == 0 {
		return nil, err
	}
	if len(parts) > 1 {
		return nil, syntaxError("cannot insert multiple commands into a prepared statement")
	}
	st, err = parse(parts[0])
	if err != nil {
		return nil, err
	}
	st.text = sql
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known == nil || len(c.known) >= maxParsedStatements {
		c.known = map[string]*statement{}
	}
	c.known[sql] = st
	return st, nil
}
