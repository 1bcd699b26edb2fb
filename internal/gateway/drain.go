package gateway

// Usage counts the sessions of a gateway by what they are doing.
type Usage struct {
	Sessions int
	// Transactions is the number of open transactions between two statements, and
	// Running the number of statements under way, inside transactions or not.
	Transactions int
	Running      int
}

// Usage returns what the sessions are doing now.
func (g *Gateway) Usage() Usage {
	var u Usage
	for _, s := range g.allSessions() {
		u.Sessions++
		switch running, open := s.activity(); {
		case running:
			u.Running++
		case open:
			u.Transactions++
		}
	}
	return u
}

// activity reports whether a statement is under way, or else whether a transaction is
// open.
func (s *Session) activity() (running, open bool) {
	if !s.mu.TryLock() {
		return true, false
	}
	defer s.mu.Unlock()
	return false, s.tx != nil
}

func (g *Gateway) allSessions() []*Session {
	g.mu.Lock()
	defer g.mu.Unlock()
	sessions := make([]*Session, 0, len(g.sessions))
	for s := range g.sessions {
		sessions = append(sessions, s)
	}
	return sessions
}
