package standin

import (
	"encoding/json"
	"errors"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/position"
)

// positionRequest is a replica's request for the end of the primary's log. The reply is
// sent only after a majority has acknowledged the term since the request arrived:
// otherwise a replaced primary could report an outdated position as current.
type positionRequest struct {
	id   uint64
	lsn  position.LSN
	ping uint64
}

// primaryStream is the primary's end of a replication connection.
type primaryStream struct {
	s        *session
	term     position.Term
	instance string
	sent     position.LSN
	sentPing uint64
	requests []positionRequest // guarded by Instance.mu
}

// serveReplication runs a replication connection on the primary.
func (s *session) serveReplication() error {
	request, err := s.readStartReplication()
	if err != nil {
		return err
	}
	i := s.inst
	i.mu.Lock()
	st := &i.state
	ownLog := logDescription{Instance: i.cfg.Name, Term: st.term, End: st.lastLSN(), History: st.history}
	primary := st.role == backend.RolePrimary
	i.mu.Unlock()
	if !primary || request.Term != ownLog.Term {
		return fatalf(backend.SQLStateNotInPrerequisiteState,
			"stale term: replication in term %s, but the instance is in term %s, primary: %t", request.Term, ownLog.Term, primary)
	}
	body, err := json.Marshal(ownLog)
	if err != nil {
		return err
	}
	s.backend.Send(&pgproto3.CopyBothResponse{})
	s.backend.Send(&pgproto3.CopyData{Data: append([]byte{messageLogDescription}, body...)})
	if err := s.backend.Flush(); err != nil {
		return err
	}
	p := &primaryStream{s: s, term: ownLog.Term, instance: request.Instance}
	if p.sent, err = p.readStart(ownLog.End); err != nil {
		return err
	}
	i.resetPeerProgress(p.instance, p.sent)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.receiveAll()
	}()
	err = p.sendAll()
	_ = s.conn.Close()
	<-done
	return err
}

func (s *session) readStartReplication() (startReplication, error) {
	var request startReplication
	msg, err := s.backend.Receive()
	if err != nil {
		return request, err
	}
	query, ok := msg.(*pgproto3.Query)
	if !ok || !strings.HasPrefix(query.String, startReplicationCommand) {
		return request, fatalf(stateProtocolViolation, "expected START_REPLICATION")
	}
	body := strings.TrimPrefix(query.String, startReplicationCommand)
	if err := json.Unmarshal([]byte(body), &request); err != nil || request.Instance == "" {
		return request, fatalf(stateSyntax, "START_REPLICATION: malformed request")
	}
	return request, nil
}

// receive returns the kind and the body of the next replication message.
func (p *primaryStream) receive() (byte, []byte, error) {
	msg, err := p.s.backend.Receive()
	if err != nil {
		return 0, nil, err
	}
	data, ok := msg.(*pgproto3.CopyData)
	if !ok || len(data.Data) == 0 {
		return 0, nil, fatalf(stateProtocolViolation, "replication: unexpected message %T", msg)
	}
	return data.Data[0], data.Data[1:], nil
}

func (p *primaryStream) readStart(end position.LSN) (position.LSN, error) {
	kind, body, err := p.receive()
	if err != nil {
		return 0, err
	}
	r := &messageReader{data: body}
	from := position.LSN(r.number())
	if kind != messageStart || r.end() != nil || from > end {
		return 0, fatalf(stateProtocolViolation, "replication: malformed start")
	}
	return from, nil
}

// receiveAll handles the replica's messages until the connection ends.
func (p *primaryStream) receiveAll() {
	for {
		kind, body, err := p.receive()
		if err != nil {
			break
		}
		r := &messageReader{data: body}
		ok := false
		switch kind {
		case messageAck:
			received, ping := position.LSN(r.number()), r.number()
			ok = r.end() == nil && p.s.inst.acknowledge(p.term, p.instance, received, ping)
		case messagePositionRequest:
			id := r.number()
			ok = r.end() == nil && p.addRequest(id)
		}
		if !ok {
			break
		}
	}
	_ = p.s.conn.Close()
}

// maxPositionRequests bounds the requests of one replica that wait for a majority. The
// oldest ones are dropped.
const maxPositionRequests = 100

func (p *primaryStream) addRequest(id uint64) bool {
	i := p.s.inst
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.state.role != backend.RolePrimary || i.state.term != p.term {
		return false
	}
	if len(p.requests) >= maxPositionRequests {
		p.requests = p.requests[1:]
	}
	// The end of the log is read before the ping starts: if a majority confirms the
	// term afterwards, there was no newer primary at the time of reading.
	lsn := i.state.lastLSN()
	p.requests = append(p.requests, positionRequest{id: id, lsn: lsn, ping: i.beginPingLocked()})
	return true
}

// maxBatchEntries bounds the entries that are sent in one batch.
const maxBatchEntries = 256

// sendAll sends entries, pings and position replies until the term ends.
func (p *primaryStream) sendAll() error {
	for {
		var entries []entry
		var replies []positionRequest
		var ping uint64
		err := p.s.inst.await(p.s.ctx, func() (bool, error) {
			var err error
			entries, replies, ping, err = p.takePendingLocked()
			return len(entries)+len(replies) > 0 || ping > p.sentPing, err
		})
		if err != nil {
			if errors.Is(err, errTermOver) {
				return fatalf(backend.SQLStateNotInPrerequisiteState, "stale term: %s is over", p.term)
			}
			return nil
		}
		if err := p.send(entries, replies, ping); err != nil {
			return err
		}
	}
}

// takePendingLocked returns the entries, replies and ping number to send, and removes
// the returned replies from the queue.
func (p *primaryStream) takePendingLocked() ([]entry, []positionRequest, uint64, error) {
	st := &p.s.inst.state
	if st.role != backend.RolePrimary || st.term != p.term {
		return nil, nil, 0, errTermOver
	}
	last := min(int(p.sent)+maxBatchEntries, len(st.entries))
	entries := append([]entry(nil), st.entries[p.sent:last]...)
	n := 0
	for n < len(p.requests) && p.requests[n].ping <= st.pingConfirmed {
		n++
	}
	replies := append([]positionRequest(nil), p.requests[:n]...)
	p.requests = p.requests[n:]
	return entries, replies, st.pingSequence, nil
}

func (p *primaryStream) send(entries []entry, replies []positionRequest, ping uint64) error {
	for _, e := range entries {
		data, err := appendEntry(nil, e)
		if err != nil {
			return err
		}
		p.s.backend.Send(&pgproto3.CopyData{Data: data})
		p.sent = e.lsn
	}
	for _, a := range replies {
		p.s.backend.Send(&pgproto3.CopyData{Data: appendNumbers(messagePositionReply, a.id, uint64(a.lsn))})
	}
	if ping > p.sentPing {
		p.sentPing = ping
		p.s.backend.Send(&pgproto3.CopyData{Data: appendNumbers(messagePing, ping)})
	}
	return p.s.backend.Flush()
}
