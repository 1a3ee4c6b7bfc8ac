// Package framing writes and reads length-delimited protobuf messages on a stream, with a
// maximum size per message.
package framing

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// MaxMessageBytes bounds the size of one message.
const MaxMessageBytes = 16 << 20

// bufferBytes is the size of a stream's read buffer. Each call has a stream of its own.
const bufferBytes = 4 << 10

// Reader reads messages from a stream. It is not safe for concurrent use.
type Reader struct {
	buf *bufio.Reader
}

// NewReader returns a Reader of the messages on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{buf: bufio.NewReaderSize(r, bufferBytes)}
}

// Read decodes the next message into m. It returns io.EOF when the stream ends after a
// complete message.
func (r *Reader) Read(m proto.Message) error {
	opts := protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}
	return opts.UnmarshalFrom(r.buf, m)
}

// Rest returns a reader of what follows the messages that were read, when the stream carries other bytes from there on.
func (r *Reader) Rest() io.Reader { return r.buf }

// Writer writes messages to a stream. It is not safe for concurrent use.
type Writer struct {
	out io.Writer
	buf []byte
}

// NewWriter returns a Writer of messages to w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: w} }

// Write writes m with a single call of the underlying Write.
func (w *Writer) Write(m proto.Message) error {
	size := proto.Size(m)
	if size > MaxMessageBytes {
		return &TooLargeError{Bytes: size}
	}
	buf, err := appendDelimited(w.buf[:0], m, size)
	if err != nil {
		return &EncodeError{Cause: err}
	}
	w.buf = buf[:0]
	if _, err := w.out.Write(buf); err != nil {
		return fmt.Errorf("write message: %w", err)
	}
	return nil
}

// EncodeError reports a message with a field that cannot be encoded. Nothing of it was written.
type EncodeError struct {
	Cause error
}

// Error implements error.
func (e *EncodeError) Error() string { return "encode message: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }

// IsUnsendable reports whether an error of Write says that the message itself cannot be sent, on
// any stream. Nothing was written then.
func IsUnsendable(err error) bool {
	var encode *EncodeError
	var large *TooLargeError
	return errors.As(err, &encode) || errors.As(err, &large)
}

// TooLargeError reports a message larger than MaxMessageBytes.
type TooLargeError struct {
	Bytes int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the maximum of %d", e.Bytes, MaxMessageBytes)
}
