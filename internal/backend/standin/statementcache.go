package standin

import "sync"

// maxParsedStatements is the maximum number of statements in the cache, which is
// emptied when it is full.
const maxParsedStatements = 1024

// statementCache caches the parsed statements of an instance by their text.
// Clients repeat the same texts, and parsing takes as long as running a small
// statement.
type statementCache struct {
	mu     sync.Mutex
	byText map[string]*statement
}

// parseOne parses a text of at most one statement. It returns nil for an empty
// text.
func (c *statementCache) parseOne(sql string) (*statement, error) {
	c.mu.Lock()
	st, ok := c.byText[sql]
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
	if c.byText == nil || len(c.byText) >= maxParsedStatements {
		c.byText = map[string]*statement{}
	}
	c.byText[sql] = st
	return st, nil
}
