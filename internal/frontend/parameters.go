package frontend

import (
	"strings"

	"github.com/bramleylever/bramleylever/internal/pool"
	"github.com/bramleylever/bramleylever/internal/routing"
	"github.com/bramleylever/bramleylever/internal/wire"
)

// syncParameters sets the tracked parameters of a backend connection to the
// values of the session before the request is sent. It reports whether the
// request may be sent; if not, the action says how to continue.
func (s *session) syncParameters(a *attempts, c *pool.Conn) (nextAction, bool) {
	if sameParameters(c.Parameters, s.st.parameters) {
		return 0, true
	}
	s.ownPlan = plan{}
	s.x.reset(s.st, c, &s.ownPlan, s.out)
	b := c.Out.Buffer()
	for name, value := range s.st.parameters {
		if old, ok := c.Parameters[name]; !ok || old != value {
			b = wire.AppendQuery(b, "SET "+name+" TO "+quoteValue(name, value))
			s.x.expect(pendingRequest{kind: pendingCommand, hidden: true})
		}
	}
	for name := range c.Parameters {
		if _, ok := s.st.parameters[name]; !ok {
			b = wire.AppendQuery(b, "SET "+name+" TO DEFAULT")
			s.x.expect(pendingRequest{kind: pendingCommand, hidden: true})
		}
	}
	c.Out.SetBuffer(b)
	err := c.Out.Flush()
	if err == nil {
		err = s.relay(c)
	}
	if err != nil {
		return s.handleConnectionFailure(a, c, &routing.Candidate{Instance: c.Instance}, false), false
	}
	if s.x.commandErr != nil {
		refused := s.x.commandErr
		s.returnConn(c, false)
		s.countRequest(a.plan, outcomeNotRun)
		return s.doneOrClose(s.refuse(refused, a.plan.synced)), false
	}
	clear(c.Parameters)
	for name, value := range s.st.parameters {
		c.Parameters[name] = value
	}
	return 0, true
}

// quoteValue returns a parameter value as SQL. The elements of search_path, which
// is a list, are quoted one by one.
func quoteValue(name, value string) string {
	if name != "search_path" {
		return quoteLiteral(value)
	}
	parts := strings.Split(value, ",")
	for i, part := range parts {
		part = strings.TrimSpace(part)
		if len(part) >= 2 && part[0] == '"' && part[len(part)-1] == '"' {
			part = strings.ReplaceAll(part[1:len(part)-1], `""`, `"`)
		}
		parts[i] = quoteLiteral(part)
	}
	return strings.Join(parts, ", ")
}

// quoteLiteral returns a string constant that has the same meaning with any
// setting of standard_conforming_strings.
func quoteLiteral(value string) string {
	quoted := strings.ReplaceAll(value, "'", "''")
	if strings.Contains(quoted, `\`) {
		return "E'" + strings.ReplaceAll(quoted, `\`, `\\`) + "'"
	}
	return "'" + quoted + "'"
}
