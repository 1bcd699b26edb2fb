package frontend

import (
	"crypto/subtle"
	"encoding/binary"
	"time"
)

// cancelTimeout bounds the delivery of a cancel request.
const cancelTimeout = 2 * time.Second

// cancelRequest handles a connection that only carries a cancel request.
func (s *session) cancelRequest(body []byte) {
	if len(body) != 12 {
		return
	}
	pid := binary.BigEndian.Uint32(body[4:])
	s.srv.mu.Lock()
	target := s.srv.sessions[pid]
	s.srv.mu.Unlock()
	if target == nil || target == s || subtle.ConstantTimeCompare(body[8:12], binary.BigEndian.AppendUint32(nil, target.secret)) != 1 {
		return
	}
	if target.cancel() {
		s.srv.metrics.cancelled.Inc(1)
	}
}

// cancel cancels the session's running request. cancelMu keeps the connection
// with the session until the instance took the cancel request. The connection
// is not reused, because the cancellation may take effect late.
func (s *session) cancel() bool {
	s.cancelMu.Lock()
	defer s.cancelMu.Unlock()
	s.mu.Lock()
	c := s.running
	s.mu.Unlock()
	if c == nil {
		return false
	}
	c.PreventReuse()
	return c.Cancel(cancelTimeout) == nil
}
