package frontend

import (
	"crypto/subtle"
	"encoding/binary"
	"time"
)

// cancelTimeout bounds the delivery of a cancel request to an instance.
const cancelTimeout = 2 * time.Second

// cancelRequest handles a CancelRequest, which a caller sends on a connection of
// its own. It is ignored if the process ID or the secret is wrong.
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

// cancel cancels the running request of the session and reports whether the
// cancel request was delivered. Holding cancelMu keeps the backend connection
// from being released before the delivery. The connection is not reused,
// because the cancellation may take effect later, on another request.
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
