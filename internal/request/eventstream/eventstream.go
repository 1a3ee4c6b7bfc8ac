// Package eventstream cuts the bytes of a stream of server-sent events into whole
// events, so that a caller never gets a part of one, and keeps their numbers.
package eventstream

import (
	"bytes"
	"strconv"

	"github.com/jasminecove/jasminecove/internal/base/fault"
)

// Failures of a stream.
const (
	// ErrOrder reports an event whose number does not follow the one before.
	ErrOrder = fault.Sentinel("eventstream: an event is missing or out of order")
	// ErrTooLong reports an event that is longer than MaxEvent.
	ErrTooLong = fault.Sentinel("eventstream: an event is too long")
)

// MaxEvent bounds the bytes of one event.
const MaxEvent = 256 << 10

// idField begins the line that holds an event's number.
var idField = []byte("id:")

// Splitter collects bytes and gives back whole events. The zero value starts before
// the first event; Last may be set to go on after an event.
type Splitter struct {
	// Last is the number of the newest event that was given back, 0 before the first.
	Last int64
	// skipTo is the number up to which events are dropped, because the caller has them.
	skipTo  int64
	pending []byte // Bytes of an event that is not whole yet.
	scanned int    // Bytes of pending that hold whole lines.
}

// After returns a Splitter for a new run of a stream that goes on after the event
// numbered last. Events up to it are dropped.
func After(last int64) *Splitter { return &Splitter{Last: last, skipTo: last} }

// Feed takes bytes and appends the whole events among them to out.
func (s *Splitter) Feed(out, data []byte) ([]byte, error) {
	s.pending = append(s.pending, data...)
	begin, number := 0, int64(0)
	// Lines scanned before belong to the event that begins at 0.
	if s.scanned > 0 {
		number = numberOf(s.pending[:s.scanned])
	}
	at := s.scanned
	for {
		end := bytes.IndexByte(s.pending[at:], '\n')
		if end < 0 {
			break
		}
		line := bytes.TrimSuffix(s.pending[at:at+end], []byte("\r"))
		at += end + 1
		if len(line) > 0 {
			if rest, ok := bytes.CutPrefix(line, idField); ok {
				number = parseNumber(rest)
			}
			continue
		}
		next, err := s.event(out, s.pending[begin:at], number)
		if err != nil {
			return out, err
		}
		out, begin, number = next, at, 0
	}
	s.pending = append(s.pending[:0], s.pending[begin:]...)
	s.scanned = at - begin
	if len(s.pending) > MaxEvent {
		return out, ErrTooLong
	}
	return out, nil
}

// event checks the order of one whole event and appends it.
func (s *Splitter) event(out, event []byte, number int64) ([]byte, error) {
	switch {
	case number == 0: // A comment or an event without a number.
		return append(out, event...), nil
	case number <= s.skipTo:
		return out, nil
	case number != s.Last+1:
		return out, ErrOrder
	}
	s.Last = number
	return append(out, event...), nil
}

// Rest reports whether bytes of an event that is not whole are left.
func (s *Splitter) Rest() bool { return len(s.pending) > 0 }

func numberOf(lines []byte) int64 {
	number := int64(0)
	for line := range bytes.Lines(lines) {
		if rest, ok := bytes.CutPrefix(line, idField); ok {
			number = parseNumber(rest)
		}
	}
	return number
}

func parseNumber(text []byte) int64 {
	n, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
