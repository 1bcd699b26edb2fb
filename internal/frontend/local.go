package frontend

import (
	"encoding/binary"

	"github.com/bramleylever/bramleylever/internal/wire"
)

// textTypeOID is the OID of type text, the type of the column that SHOW returns.
const textTypeOID = 25

// answerLocal answers a message that no instance needs to process.
func (x *exchange) answerLocal(m *batchMessage) error {
	var b []byte
	switch m.kind {
	case 'P':
		b = wire.AppendEmpty(b, '1')
	case 'B':
		b = wire.AppendEmpty(b, '2')
	case 'C':
		b = wire.AppendEmpty(b, '3')
	case 'D':
		b = describeLocal(m)
	case 'E', 'Q':
		return x.runLocal(m)
	}
	return x.emit(b)
}

func describeLocal(m *batchMessage) []byte {
	var b []byte
	if m.objectType == 'S' {
		var at int
		b, at = wire.Begin(b, 't')
		b = wire.End(append(b, 0, 0), at)
	}
	info := &m.stmt.info
	if info.local != localShow {
		return wire.AppendEmpty(b, 'n')
	}
	return appendTextColumn(b, info.settings[0].name)
}

func appendTextColumn(b []byte, name string) []byte {
	b, at := wire.Begin(b, 'T')
	b = append(b, 0, 1)
	b = wire.AppendString(b, name)
	b = binary.BigEndian.AppendUint32(b, 0)
	b = binary.BigEndian.AppendUint16(b, 0)
	b = binary.BigEndian.AppendUint32(b, textTypeOID)
	b = append(b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0)
	return wire.End(b, at)
}

func appendTextRow(b []byte, value string) []byte {
	b, at := wire.Begin(b, 'D')
	b = append(b, 0, 1)
	b = binary.BigEndian.AppendUint32(b, uint32(len(value)))
	return wire.End(append(b, value...), at)
}

// runLocal runs a statement that the proxy handles itself.
func (x *exchange) runLocal(m *batchMessage) error {
	var b []byte
	st := x.st
	tag := ""
	switch m.info.local {
	case localSet:
		for _, v := range m.info.settings {
			if err := st.applySetting(v.name, v.value, v.useDefault); err != nil {
				x.failed = true
				x.skipToSyncAfterLocal(m)
				return x.emit(wire.AppendErrorResponse(nil, "ERROR", err.code, err.message))
			}
		}
		tag = "SET"
	case localShow:
		name := m.info.settings[0].name
		if m.kind == 'Q' {
			b = appendTextColumn(b, name)
		}
		b = appendTextRow(b, st.show(name))
		tag = "SHOW"
	case localDiscardAll:
		st.deallocateAll()
		st.parameters = nil
		tag = "DISCARD ALL"
	case localResetAll:
		st.parameters = nil
		tag = "RESET"
	case localDeallocateAll:
		st.deallocateAll()
		tag = "DEALLOCATE ALL"
	case localUnlisten:
		tag = "UNLISTEN"
	case localNone:
		if m.info.class == ClassEmpty {
			return x.emit(wire.AppendEmpty(nil, 'I'))
		}
		// COMMIT or ROLLBACK of a transaction that is already rolled back.
		tag = "ROLLBACK"
	}
	return x.emit(wire.AppendCommandComplete(b, tag))
}

// skipToSyncAfterLocal skips to the next Sync after a failed local statement if
// it was sent by the extended query protocol.
func (x *exchange) skipToSyncAfterLocal(m *batchMessage) {
	if m.kind == 'E' {
		x.skipToSync()
	}
}

// deallocateAll removes the prepared statements of the session.
func (s *state) deallocateAll() {
	s.statements = nil
	s.statementBytes = 0
}
