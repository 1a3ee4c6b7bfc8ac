package call

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
)

// maxTrailerBytes bounds the trailer of a chunked body.
const maxTrailerBytes = 4 << 10

// chunkedBody is a chunked body whose trailer is checked as strictly as a head. net/http accepts blanks in the names of
// trailer fields.
type chunkedBody struct {
	source *bufio.Reader
	chunks io.Reader
	end    error // Result of reading the trailer, once the chunks were read.
}

func newChunkedBody(source *bufio.Reader) *chunkedBody {
	return &chunkedBody{source: source, chunks: httputil.NewChunkedReader(source)}
}

// Read implements io.Reader. It returns io.EOF after the trailer.
func (b *chunkedBody) Read(buf []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.chunks.Read(buf)
	if errors.Is(err, io.EOF) {
		b.end = b.readTrailer()
		err = b.end
	}
	return n, err
}

// Close implements io.Closer.
func (b *chunkedBody) Close() error { return nil }

// readTrailer reads the trailer, which is not passed on, and returns io.EOF if it is sound.
func (b *chunkedBody) readTrailer() error {
	v := headValidator{part: fieldStart}
	for range maxTrailerBytes {
		next, err := b.source.ReadByte()
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if err := v.validate([]byte{next}); err != nil {
			return err
		}
		if v.part == bodyPart {
			return io.EOF
		}
	}
	return ErrHeadTooLarge
}
