// Package wire splits a stream of PostgreSQL protocol messages into frames and builds messages. It
// does not decode the frames, so that the proxy can forward responses with a single copy.
//
// Invariant: after Release, a Reader without unread bytes holds no pooled buffer.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
)

const (
	// HeaderBytes is the size of the type and length fields of a message.
	HeaderBytes = 5
	// inlineBytes is the size of the buffer inside each Reader. Most requests fit into it, so
	// an idle connection needs no other buffer and a short request needs one read.
	inlineBytes = 512
	// pooledBytes is the size of the buffers in the pool that all connections share.
	pooledBytes = 16 << 10
	// maxStartupBytes is the limit that PostgreSQL servers set for startup packets.
	maxStartupBytes = 10000
)

var (
	// ErrTooLarge reports a message larger than the reader's limit.
	ErrTooLarge = errors.New("message exceeds the size limit")
	// ErrMalformed reports a message that violates the protocol.
	ErrMalformed = errors.New("malformed message")
	// ErrTruncated reports that the stream ended in the middle of a message.
	ErrTruncated = errors.New("connection ended within a message")
)

var bufferPool = sync.Pool{New: func() any { b := make([]byte, pooledBytes); return &b }}

// Reader splits a byte stream into messages. It is not safe for concurrent
// use.
type Reader struct {
	// Reserve is called before the buffer grows beyond what all connections may have, with its
	// new size. An error of it ends the reading. It may be nil.
	Reserve func(size int) error

	src    io.Reader
	max    int
	buf    []byte
	pooled *[]byte
	start  int
	end    int
	inline [inlineBytes]byte
}

// NewReader returns a Reader that rejects messages larger than max bytes.
func NewReader(src io.Reader, max int) *Reader {
	r := &Reader{src: src, max: max}
	r.buf = r.inline[:]
	return r
}

// Reset changes the source, for example after a TLS handshake, and discards unread bytes.
func (r *Reader) Reset(src io.Reader) {
	r.src = src
	r.start, r.end = 0, 0
	r.Release()
}

// Buffered returns the number of bytes that were read from the source and not yet returned.
func (r *Reader) Buffered() int { return r.end - r.start }

// Release returns the pooled buffer unless it contains unread bytes. Frames that Next returned
// before must not be used afterwards.
func (r *Reader) Release() {
	if r.start != r.end {
		return
	}
	r.start, r.end = 0, 0
	if r.pooled != nil {
		bufferPool.Put(r.pooled)
		r.pooled = nil
	}
	r.buf = r.inline[:]
}

// Next returns the type of the next message and the whole message including its header. The bytes
// are valid until the next call of Next, NextStartup, Reset or Release. io.EOF means that the
// stream ended between two messages. After a timeout of the source, Next can be called again.
func (r *Reader) Next() (byte, []byte, error) {
	if err := r.fill(HeaderBytes); err != nil {
		return 0, nil, err
	}
	header := r.buf[r.start:]
	length := int64(binary.BigEndian.Uint32(header[1:])) + 1
	if length < HeaderBytes {
		return 0, nil, fmt.Errorf("%w: length %d of message type %q", ErrMalformed, length-1, header[0])
	}
	if length > int64(r.max) {
		return 0, nil, fmt.Errorf("%w: %d bytes, limit %d", ErrTooLarge, length, r.max)
	}
	return r.take(int(length))
}

// NextStartup returns the body of a packet without a type byte: a startup message, a cancel
// request or an encryption request.
func (r *Reader) NextStartup() ([]byte, error) {
	if err := r.fill(4); err != nil {
		return nil, err
	}
	length := int64(binary.BigEndian.Uint32(r.buf[r.start:]))
	if length < 8 || length > maxStartupBytes {
		return nil, fmt.Errorf("%w: start-up packet of %d bytes", ErrMalformed, length)
	}
	_, packet, err := r.take(int(length))
	if err != nil {
		return nil, err
	}
	return packet[4:], nil
}

func (r *Reader) take(length int) (byte, []byte, error) {
	if err := r.fill(length); err != nil {
		return 0, nil, err
	}
	frame := r.buf[r.start : r.start+length]
	r.start += length
	return frame[0], frame, nil
}

// fill reads until the buffer contains at least n contiguous unread bytes.
func (r *Reader) fill(n int) error {
	if r.start == r.end {
		r.start, r.end = 0, 0
	}
	for r.end-r.start < n {
		if r.start+n > len(r.buf) {
			if err := r.makeRoom(n); err != nil {
				return err
			}
		}
		got, err := r.src.Read(r.buf[r.end:])
		r.end += got
		if err != nil && r.end-r.start < n {
			if errors.Is(err, io.EOF) && r.end > r.start {
				return ErrTruncated
			}
			return err
		}
	}
	return nil
}

// makeRoom moves the unread bytes to the start of the buffer and enlarges the buffer once it is
// full. Beyond the pooled size it at most doubles per call, so a sender that announces a large
// message and does not send it causes no large allocation.
func (r *Reader) makeRoom(n int) error {
	unread := r.buf[r.start:r.end]
	if r.start > 0 && (n <= len(r.buf) || len(unread) < len(r.buf)) {
		copy(r.buf, unread)
		r.start, r.end = 0, len(unread)
		if n <= len(r.buf) || r.end < len(r.buf) {
			return nil
		}
	}
	if r.end < len(r.buf) {
		return nil
	}
	return r.enlarge(n)
}

func (r *Reader) enlarge(n int) error {
	unread := r.buf[r.start:r.end]
	old := r.pooled
	size := min(max(n, pooledBytes), 2*len(r.buf))
	if len(r.buf) >= pooledBytes && r.Reserve != nil {
		if err := r.Reserve(size); err != nil {
			return err
		}
	}
	if len(r.buf) < pooledBytes {
		r.pooled, _ = bufferPool.Get().(*[]byte)
		r.buf = *r.pooled
	} else {
		r.pooled = nil
		r.buf = make([]byte, size)
	}
	r.end = copy(r.buf, unread)
	r.start = 0
	if old != nil {
		bufferPool.Put(old)
	}
	return nil
}
