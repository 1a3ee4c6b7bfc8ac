// Package eventstream splits a stream of server-sent events into complete events, and checks
// their syntax and the sequence of their IDs. A caller thus never receives a partial event, nor
// bytes that are no event.
package eventstream

import (
	"bytes"
	"strconv"
	"unicode/utf8"

	"github.com/jasminecove/jasminecove/internal/base/fault"
)

// Errors of a stream.
const (
	// ErrOrder is returned for an event whose ID does not follow the previous one.
	ErrOrder = fault.Sentinel("eventstream: event missing or out of order")
	// ErrTooLong is returned for an event that is longer than MaxEventBytes.
	ErrTooLong = fault.Sentinel("eventstream: event exceeds the maximum size")
	// ErrMalformed is returned for bytes that are no event with an ID.
	ErrMalformed = fault.Sentinel("eventstream: bytes that are no event")
)

// MaxEventBytes is the maximum size of one event.
const MaxEventBytes = 256 << 10

// idField is the name of the field that holds an event's ID.
const idField = "id"

// Splitter splits a byte stream into complete events. The zero value starts before the first
// event. LastID may be set to continue after an event. A Splitter is not used again after an
// error.
type Splitter struct {
	// LastID is the ID of the last event that Feed returned, 0 before the first.
	LastID int64
	// skipThrough is the ID up to which events are dropped because the caller has received them.
	skipThrough int64
	pending     []byte // Bytes of an incomplete event.
	scanned     int    // Length of the complete lines at the start of pending.
	hasFields   bool   // The incomplete event has a line that is no comment.
	id          int64  // ID of the incomplete event, 0 if it has none so far.
}

// ResumeAfter returns a Splitter for a new run of a stream that resumes after the event with the
// ID last. Events up to that ID are dropped.
func ResumeAfter(last int64) *Splitter { return &Splitter{LastID: last, skipThrough: last} }

// Feed adds data to the stream and appends the events that are now complete to out. Comments
// between events are dropped. Together with an error it returns the events before the bytes at
// fault.
func (s *Splitter) Feed(out, data []byte) ([]byte, error) {
	s.pending = append(s.pending, data...)
	start, at := 0, s.scanned
	for {
		end := bytes.IndexByte(s.pending[at:], '\n')
		if end < 0 {
			break
		}
		line := bytes.TrimSuffix(s.pending[at:at+end], []byte("\r"))
		at += end + 1
		if len(line) > 0 {
			if err := s.line(line); err != nil {
				return out, err
			}
			continue
		}
		next, err := s.event(out, s.pending[start:at])
		if err != nil {
			return out, err
		}
		out, start, s.id, s.hasFields = next, at, 0, false
	}
	s.pending = append(s.pending[:0], s.pending[start:]...)
	s.scanned = at - start
	if len(s.pending) > MaxEventBytes {
		return out, ErrTooLong
	}
	return out, nil
}

// line checks one line of an event and records the ID if it holds one.
func (s *Splitter) line(line []byte) error {
	if !isText(line) {
		return ErrMalformed
	}
	if line[0] == ':' { // A comment.
		return nil
	}
	s.hasFields = true
	name, value, hasValue := bytes.Cut(line, []byte(":"))
	switch {
	case !isFieldName(name) || !hasValue && !isStandardField(name):
		return ErrMalformed
	case string(name) != idField:
		return nil
	case s.id != 0:
		return ErrMalformed
	}
	id, ok := parseID(value)
	if !ok {
		return ErrMalformed
	}
	s.id = id
	return nil
}

// event checks the ID of a complete event and appends the event to out.
func (s *Splitter) event(out, event []byte) ([]byte, error) {
	switch {
	case !s.hasFields: // Comments or an empty line.
		return out, nil
	case s.id == 0:
		return out, ErrMalformed
	case s.id <= s.skipThrough:
		return out, nil
	case s.id != s.LastID+1:
		return out, ErrOrder
	}
	s.LastID = s.id
	return append(out, event...), nil
}

// HasPartial reports whether the stream so far ends within an event.
func (s *Splitter) HasPartial() bool { return len(s.pending) > 0 }

// isText reports whether a line is UTF-8 without control characters other than tabs.
func isText(line []byte) bool {
	for _, b := range line {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return utf8.Valid(line)
}

// isFieldName reports whether a name may be that of a field. Upstreams may add fields to those
// of the standard.
func isFieldName(name []byte) bool {
	for _, b := range name {
		switch {
		case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9', b == '-', b == '_', b == '.':
		default:
			return false
		}
	}
	return len(name) > 0
}

// isStandardField reports whether a name is that of a field of the standard. Such a line may
// consist of the name alone.
func isStandardField(name []byte) bool {
	switch string(name) {
	case "data", "event", idField, "retry":
		return true
	}
	return false
}

// parseID parses the value of an ID field, a positive decimal number.
func parseID(value []byte) (int64, bool) {
	value = bytes.TrimSpace(value)
	if len(value) == 0 || value[0] < '1' || value[0] > '9' {
		return 0, false
	}
	id, err := strconv.ParseInt(string(value), 10, 64)
	return id, err == nil
}
