package frontend

// answerExtended processes one message of the instance in the answer to a
// message of the extended query protocol.
func (x *exchange) answerExtended(req *pendingRequest, kind byte, frame []byte) error {
	if kind == 'E' {
		if err := x.errorResponse(frame); err != nil {
			return err
		}
		x.skipToSync()
		return nil
	}
	finished, valid := extendedAnswer(req.kind, kind)
	if !valid {
		return unexpected(kind, "an extended query")
	}
	if finished {
		x.head++
	}
	switch {
	case req.hidden:
		return nil
	case req.kind == pendingExecute && finished && kind != 's':
		return x.commandComplete(frame)
	default:
		return x.emit(frame)
	}
}

// extendedAnswer reports whether a message of the instance is valid in the answer
// to a message of the extended query protocol, and whether it is the last one of
// that answer.
func extendedAnswer(pending pendingKind, kind byte) (finished, valid bool) {
	switch pending {
	case pendingParse:
		return true, kind == '1'
	case pendingBind:
		return true, kind == '2'
	case pendingClose:
		return true, kind == '3'
	case pendingDescribeStatement:
		return kind == 'T' || kind == 'n', kind == 't' || kind == 'T' || kind == 'n'
	case pendingDescribePortal:
		return true, kind == 'T' || kind == 'n'
	case pendingExecute:
		return kind != 'D', kind == 'D' || kind == 'C' || kind == 'I' || kind == 's'
	default:
		return false, false
	}
}

// skipToSync skips the pending messages up to the next Sync, which the instance
// ignores after an error, and undoes what was recorded for them when they were
// sent.
func (x *exchange) skipToSync() {
	for ; !x.done(); x.head++ {
		req := &x.pending[x.head]
		switch req.kind {
		case pendingSync:
			return
		case pendingParse:
			x.undoParse(req)
		case pendingLocal:
			if !x.discard {
				x.st.undoParse(&x.st.batch.messages[req.messageIndex])
			}
		case pendingClose:
			if req.hidden {
				// The evicted statement was not closed on the instance, so its name
				// can clash later; the connection must not be reused.
				x.conn.PreventReuse()
			}
		}
	}
	x.unsyncedError = true
}
