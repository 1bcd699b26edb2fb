package wire

import (
	"encoding/binary"
	"io"
)

// Writer buffers messages to write them with few system calls. Its buffer comes from a shared
// pool; Flush and Discard return it. After a failed write, all later writes return the same error.
type Writer struct {
	dst     io.Writer
	buf     []byte
	pooled  *[]byte
	written uint64
	err     error
}

// NewWriter returns a Writer that writes to dst.
func NewWriter(dst io.Writer) *Writer { return &Writer{dst: dst} }

// Reset changes the destination, for example after a TLS handshake.
func (w *Writer) Reset(dst io.Writer) { w.dst = dst }

// Buffer returns the pending bytes. To add a message, append to them and pass the result to
// SetBuffer.
func (w *Writer) Buffer() []byte {
	if w.pooled == nil {
		w.pooled, _ = bufferPool.Get().(*[]byte)
		w.buf = (*w.pooled)[:0]
	}
	return w.buf
}

// SetBuffer sets the pending bytes to b, which extends the result of Buffer.
func (w *Writer) SetBuffer(b []byte) { w.buf = b }

// Add appends complete messages to the buffer. If they don't fit, it first writes the pending
// bytes; messages larger than the buffer are written directly.
func (w *Writer) Add(frame []byte) error {
	w.buf = w.Buffer()
	if len(w.buf)+len(frame) > pooledBytes && len(w.buf) > 0 {
		if err := w.write(); err != nil {
			return err
		}
	}
	if len(frame) > pooledBytes {
		return w.writeDirect(frame)
	}
	w.buf = append(w.buf, frame...)
	return nil
}

// Pending returns the number of buffered bytes that were not written yet.
func (w *Writer) Pending() int { return len(w.buf) }

// Written returns the number of bytes that the destination has accepted so far.
func (w *Writer) Written() uint64 { return w.written }

// Discard drops the pending bytes.
func (w *Writer) Discard() { w.release() }

// Flush writes the pending bytes and returns the buffer to the shared pool.
func (w *Writer) Flush() error {
	err := w.write()
	w.release()
	return err
}

func (w *Writer) write() error {
	if len(w.buf) == 0 || w.err != nil {
		w.buf = w.buf[:0]
		return w.err
	}
	b := w.buf
	w.buf = w.buf[:0]
	return w.writeDirect(b)
}

func (w *Writer) writeDirect(b []byte) error {
	if w.err != nil {
		return w.err
	}
	n, err := w.dst.Write(b)
	w.written += uint64(n)
	w.err = err
	return err
}

func (w *Writer) release() {
	if w.pooled != nil {
		bufferPool.Put(w.pooled)
		w.pooled = nil
	}
	w.buf = nil
}

// Begin appends a message header with an empty length field, which End fills in. at is the offset
// of the message in out.
func Begin(b []byte, kind byte) (out []byte, at int) {
	return append(b, kind, 0, 0, 0, 0), len(b)
}

// End fills in the length of the message whose header Begin wrote at offset at and that ends at
// the end of b.
func End(b []byte, at int) []byte {
	binary.BigEndian.PutUint32(b[at+1:], uint32(len(b)-at-1))
	return b
}

// AppendString appends a zero-terminated string.
func AppendString(b []byte, s string) []byte { return append(append(b, s...), 0) }

// AppendQuery appends a Query message (simple query protocol).
func AppendQuery(b []byte, sql string) []byte {
	b, at := Begin(b, 'Q')
	return End(AppendString(b, sql), at)
}

// AppendReadyForQuery appends a ReadyForQuery message with a transaction status.
func AppendReadyForQuery(b []byte, status byte) []byte { return append(b, 'Z', 0, 0, 0, 5, status) }

// AppendParameterStatus appends a ParameterStatus message.
func AppendParameterStatus(b []byte, name, value string) []byte {
	b, at := Begin(b, 'S')
	return End(AppendString(AppendString(b, name), value), at)
}

// AppendCommandComplete appends a CommandComplete message.
func AppendCommandComplete(b []byte, tag string) []byte {
	b, at := Begin(b, 'C')
	return End(AppendString(b, tag), at)
}

// AppendEmpty appends a message of the given type without a body.
func AppendEmpty(b []byte, kind byte) []byte { return append(b, kind, 0, 0, 0, 4) }

// AppendErrorResponse appends an ErrorResponse message.
func AppendErrorResponse(b []byte, severity, code, message string) []byte {
	b, at := Begin(b, 'E')
	b = AppendString(append(b, 'S'), severity)
	b = AppendString(append(b, 'V'), severity)
	b = AppendString(append(b, 'C'), code)
	b = AppendString(append(b, 'M'), message)
	return End(append(b, 0), at)
}

// CString returns the zero-terminated string at the start of b and the bytes after it. ok is false
// if b contains no zero byte.
func CString(b []byte) (s, rest []byte, ok bool) {
	for i, c := range b {
		if c == 0 {
			return b[:i], b[i+1:], true
		}
	}
	return nil, nil, false
}

// ErrorField returns a field of an ErrorResponse body, or an empty string if it is absent.
func ErrorField(body []byte, field byte) string {
	for len(body) > 0 && body[0] != 0 {
		name := body[0]
		value, rest, ok := CString(body[1:])
		if !ok {
			return ""
		}
		if name == field {
			return string(value)
		}
		body = rest
	}
	return ""
}
