package wire

import (
	"encoding/binary"
	"io"
)

// Writer collects messages and writes them with few calls. Its buffer comes
// from a shared pool and is given back by Flush.
type Writer struct {
	dst     io.Writer
	buf     []byte
	pooled  *[]byte
	written uint64
	err     error
}

// NewWriter returns a writer to dst.
func NewWriter(dst io.Writer) *Writer { return &Writer{dst: dst} }

// Reset writes to another destination.
func (w *Writer) Reset(dst io.Writer) { w.dst = dst }

// Buffer returns the pending bytes for appending; give the result to SetBuffer.
func (w *Writer) Buffer() []byte {
	if w.pooled == nil {
		w.pooled, _ = bufferPool.Get().(*[]byte)
		w.buf = (*w.pooled)[:0]
	}
	return w.buf
}

// SetBuffer stores what was appended to Buffer.
func (w *Writer) SetBuffer(b []byte) { w.buf = b }

// Add appends complete messages and writes the buffer out once it is full.
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

// Pending returns the number of bytes that were not written yet.
func (w *Writer) Pending() int { return len(w.buf) }

// Written returns the number of bytes given to the destination so far.
func (w *Writer) Written() uint64 { return w.written }

// Discard drops the pending bytes.
func (w *Writer) Discard() { w.release() }

// Flush writes the pending bytes and gives the buffer back.
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

// Begin appends a header of a message; End stores its length.
func Begin(b []byte, kind byte) (out []byte, at int) {
	return append(b, kind, 0, 0, 0, 0), len(b)
}

// End stores the length of the message that began at position at.
func End(b []byte, at int) []byte {
	binary.BigEndian.PutUint32(b[at+1:], uint32(len(b)-at-1))
	return b
}

// AppendString appends a zero-terminated string.
func AppendString(b []byte, s string) []byte { return append(append(b, s...), 0) }

// AppendQuery appends a simple query.
func AppendQuery(b []byte, sql string) []byte {
	b, at := Begin(b, 'Q')
	return End(AppendString(b, sql), at)
}

// AppendReadyForQuery appends ReadyForQuery with a transaction status.
func AppendReadyForQuery(b []byte, status byte) []byte { return append(b, 'Z', 0, 0, 0, 5, status) }

// AppendParameterStatus appends ParameterStatus.
func AppendParameterStatus(b []byte, name, value string) []byte {
	b, at := Begin(b, 'S')
	return End(AppendString(AppendString(b, name), value), at)
}

// AppendCommandComplete appends CommandComplete.
func AppendCommandComplete(b []byte, tag string) []byte {
	b, at := Begin(b, 'C')
	return End(AppendString(b, tag), at)
}

// AppendEmpty appends a message without a body.
func AppendEmpty(b []byte, kind byte) []byte { return append(b, kind, 0, 0, 0, 4) }

// AppendErrorResponse appends ErrorResponse.
func AppendErrorResponse(b []byte, severity, code, message string) []byte {
	b, at := Begin(b, 'E')
	b = AppendString(append(b, 'S'), severity)
	b = AppendString(append(b, 'V'), severity)
	b = AppendString(append(b, 'C'), code)
	b = AppendString(append(b, 'M'), message)
	return End(append(b, 0), at)
}

// CString returns the zero-terminated string at the front of b and the rest.
func CString(b []byte) (s, rest []byte, ok bool) {
	for i, c := range b {
		if c == 0 {
			return b[:i], b[i+1:], true
		}
	}
	return nil, nil, false
}

// ErrorField returns a field of an ErrorResponse body, empty if it is absent.
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
