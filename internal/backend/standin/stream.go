package standin

import (
	"database/sql/driver"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/bramleylever/bramleylever/position"
)

// Kinds of replication messages: the first byte of a CopyData message. Numbers in
// messages are varints.
const (
	// From the primary.
	messageLogDescription = 'H' // logDescription as JSON
	messageEntry          = 'E' // one log entry
	messagePositionReply  = 'A' // id of the request, end of the log
	messagePing           = 'P' // number of the ping
	// From the replica.
	messageStart           = 'S' // LSN after which the primary sends entries
	messageAck             = 'K' // received LSN, last ping
	messagePositionRequest = 'Q' // id of the request
)

// logDescription is the primary's description of its log.
type logDescription struct {
	Instance string           `json:"instance"`
	Term     position.Term    `json:"term"`
	End      position.LSN     `json:"end"`
	History  position.History `json:"history"`
}

// startReplication is the JSON argument of START_REPLICATION.
type startReplication struct {
	Instance string        `json:"instance"`
	Term     position.Term `json:"term"`
}

const startReplicationCommand = "START_REPLICATION "

// appendNumbers encodes a message that consists of numbers.
func appendNumbers(kind byte, numbers ...uint64) []byte {
	out := []byte{kind}
	for _, n := range numbers {
		out = binary.AppendUvarint(out, n)
	}
	return out
}

// messageReader decodes the body of a replication message. After an error, its methods
// return zero values and err is set.
type messageReader struct {
	data []byte
	err  error
}

func (r *messageReader) fail(what string) {
	if r.err == nil {
		r.err = fmt.Errorf("replication message: malformed %s", what)
	}
}

func (r *messageReader) number() uint64 {
	n, size := binary.Uvarint(r.data)
	if size <= 0 {
		r.fail("number")
		return 0
	}
	r.data = r.data[size:]
	return n
}

func (r *messageReader) bytes() []byte {
	n := r.number()
	if n > uint64(len(r.data)) {
		r.fail("length")
		return nil
	}
	out := r.data[:n]
	r.data = r.data[n:]
	return out
}

// count reads a number of items. Each item takes at least one byte, which bounds the
// number.
func (r *messageReader) count() int {
	n := r.number()
	if n > uint64(len(r.data)) {
		r.fail("count")
		return 0
	}
	return int(n)
}

// end returns an error if the body is malformed or has unread bytes.
func (r *messageReader) end() error {
	if r.err == nil && len(r.data) > 0 {
		r.fail("end")
	}
	return r.err
}

// Type tags of the arguments in an entry.
const (
	valueNull = iota
	valueInteger
	valueFloat
	valueText
	valueBytes
)

func appendEntry(out []byte, e entry) ([]byte, error) {
	out = append(out, messageEntry)
	out = binary.AppendUvarint(out, uint64(e.lsn))
	out = binary.AppendUvarint(out, e.term.Epoch)
	out = binary.AppendUvarint(out, e.term.Sequence)
	out = binary.AppendUvarint(out, uint64(len(e.statements)))
	for _, st := range e.statements {
		out = appendBytes(out, st.sql)
		schema := byte(0)
		if st.schema {
			schema = 1
		}
		out = append(out, schema)
		out = binary.AppendUvarint(out, uint64(st.at.UnixNano()))
		out = binary.AppendUvarint(out, uint64(len(st.args)))
		for _, v := range st.args {
			var err error
			if out, err = appendArgument(out, v); err != nil {
				return nil, err
			}
		}
	}
	return out, nil
}

func appendBytes[T string | []byte](out []byte, v T) []byte {
	out = binary.AppendUvarint(out, uint64(len(v)))
	return append(out, v...)
}

func appendArgument(out []byte, v driver.Value) ([]byte, error) {
	switch x := v.(type) {
	case nil:
		return append(out, valueNull), nil
	case int64:
		return binary.AppendUvarint(append(out, valueInteger), uint64(x)), nil
	case float64:
		return binary.AppendUvarint(append(out, valueFloat), math.Float64bits(x)), nil
	case string:
		return appendBytes(append(out, valueText), x), nil
	case []byte:
		return appendBytes(append(out, valueBytes), x), nil
	}
	return nil, fmt.Errorf("log entry: parameter of type %T", v)
}

// decodeEntry decodes the body of an entry message.
func decodeEntry(data []byte) (entry, error) {
	r := &messageReader{data: data}
	e := entry{lsn: position.LSN(r.number())}
	e.term = position.Term{Epoch: r.number(), Sequence: r.number()}
	count := r.count()
	for range count {
		st := logStatement{sql: string(r.bytes()), schema: r.flag()}
		st.at = time.Unix(0, int64(r.number()))
		args := r.count()
		for range args {
			st.args = append(st.args, r.argument())
		}
		if r.err != nil {
			return entry{}, r.err
		}
		e.statements = append(e.statements, st)
	}
	return e, r.end()
}

func (r *messageReader) flag() bool {
	if len(r.data) == 0 || r.data[0] > 1 {
		r.fail("flag")
		return false
	}
	v := r.data[0] == 1
	r.data = r.data[1:]
	return v
}

func (r *messageReader) argument() driver.Value {
	if len(r.data) == 0 {
		r.fail("value")
		return nil
	}
	tag := r.data[0]
	r.data = r.data[1:]
	switch tag {
	case valueNull:
		return nil
	case valueInteger:
		return int64(r.number())
	case valueFloat:
		return math.Float64frombits(r.number())
	case valueText:
		return string(r.bytes())
	case valueBytes:
		return append([]byte{}, r.bytes()...)
	}
	r.fail("value tag")
	return nil
}

// errTermOver ends a stream whose term is no longer the current term of this instance.
var errTermOver = errors.New("the term is over")
