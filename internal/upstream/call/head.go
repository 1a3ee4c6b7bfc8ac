package call

import (
	"bytes"
	"fmt"

	"golang.org/x/net/http/httpguts"
)

// headPart is the part of a response head that the next byte belongs to.
type headPart int

const (
	statusLine headPart = iota
	fieldStart
	fieldName
	fieldValue
	headEnd // After the carriage return of the empty line.
	bodyPart
)

// headValidator checks the head of a response while it is received. It is stricter than net/http, which accepts
// blanks in field names, lines that continue the previous one and lines that end in a line feed alone. Behind each
// of these, a field that frames the body can go unnoticed, so that the body is not the one that was sent.
type headValidator struct {
	part    headPart
	afterCR bool // The previous byte of the line is a carriage return.
	err     error
}

// validate checks the next bytes of a response. Bytes after the head are ignored. Once it has returned an error, it
// returns that error for all bytes, because readers may read again after an error.
func (v *headValidator) validate(data []byte) error {
	for len(data) > 0 && v.part != bodyPart && v.err == nil {
		var n int
		n, v.err = v.step(data)
		data = data[n:]
	}
	return v.err
}

// step checks the first bytes of data and returns their number.
func (v *headValidator) step(data []byte) (int, error) {
	b := data[0]
	switch v.part {
	case statusLine, fieldValue:
		return v.skipLine(data)
	case headEnd:
		if b != '\n' {
			return 0, fmt.Errorf("%w: %q follows the carriage return of the empty line", ErrMalformedHead, b)
		}
		v.part = bodyPart
	case fieldStart:
		switch {
		case b == '\r':
			v.part = headEnd
		case httpguts.IsTokenRune(rune(b)):
			v.part = fieldName
		default:
			return 0, fmt.Errorf("%w: a line starts with %q", ErrMalformedHead, b)
		}
	case fieldName:
		switch {
		case b == ':':
			v.part = fieldValue
		case !httpguts.IsTokenRune(rune(b)):
			return 0, fmt.Errorf("%w: %q in a field name", ErrMalformedHead, b)
		}
	}
	return 1, nil
}

// skipLine checks that a line ends in a carriage return and a line feed, and returns the number of its bytes in data.
// net/http checks the rest of the line.
func (v *headValidator) skipLine(data []byte) (int, error) {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		v.afterCR = data[len(data)-1] == '\r'
		return len(data), nil
	}
	if end > 0 {
		v.afterCR = data[end-1] == '\r'
	}
	if !v.afterCR {
		return 0, fmt.Errorf("%w: a line ends without a carriage return", ErrMalformedHead)
	}
	v.part, v.afterCR = fieldStart, false
	return end + 1, nil
}
