package standin

import (
	"net"

	"github.com/bramleylever/bramleylever/internal/backend"
)

// newSession registers a connection so that Close can close it. It returns false if the
// instance is closed.
func (i *Instance) newSession(conn net.Conn) (*session, bool) {
	i.connMu.Lock()
	defer i.connMu.Unlock()
	if i.listener == nil {
		return nil, false
	}
	i.wg.Add(1)
	i.nextPID++
	s := newSession(i, newFaultConn(i.ctx, conn, i.settings, i.cfg.OnReceive), i.nextPID)
	i.sessions[s.pid] = s
	return s, true
}

// connectionClass is the kind of a connection. Each class is counted and limited on its
// own.
type connectionClass uint8

const (
	classNone connectionClass = iota
	classData
	classControl
	classReplication
)

// admit counts a connection against the limit of its class and refuses it above the
// limit.
func (i *Instance) admit(s *session, class connectionClass) error {
	limit := 0
	switch class {
	case classData:
		limit = i.settings.get().ConnectionLimit
	case classControl:
		limit = ControlSlots
	}
	i.connMu.Lock()
	defer i.connMu.Unlock()
	admitted := limit == 0 || i.counts[class] < limit
	i.recorder.countConnection(admitted)
	if !admitted {
		return fatalf(backend.SQLStateTooManyConnections, "sorry, too many clients already: limit %d", limit)
	}
	i.counts[class]++
	s.class = class
	return nil
}

func (i *Instance) remove(s *session) {
	i.connMu.Lock()
	defer i.connMu.Unlock()
	delete(i.sessions, s.pid)
	if s.class != classNone {
		i.counts[s.class]--
	}
}

// closeDataConnections closes the data connections. It is called when log entries are
// removed: an applied position that a client learned on its connection is then no
// longer a lower bound.
func (i *Instance) closeDataConnections() {
	i.connMu.Lock()
	defer i.connMu.Unlock()
	for _, s := range i.sessions {
		if s.class == classData {
			s.conn.kill()
		}
	}
}

// handleCancelRequest cancels the statement that a session runs. A request with a wrong
// key is ignored.
func (i *Instance) handleCancelRequest(pid, key uint32) {
	i.connMu.Lock()
	s := i.sessions[pid]
	i.connMu.Unlock()
	if s != nil && s.key == key {
		s.cancelStatement()
	}
}
