// Package eventstream splits a stream of server-sent events into complete events and checks
// the sequence of their IDs. A caller thus never receives a partial event.
package eventstream

import (
	"bytes"
	"strconv"

	"github.com/jasminecove/jasminecove/internal/base/fault"
)

// Errors of a stream.
const (
	// ErrOrder is returned for an event whose ID does not follow the previous one.
	ErrOrder = fault.Sentinel("eventstream: event missing or out of order")
	// ErrTooLong is returned for an event that is longer than MaxEvent.
	ErrTooLong = fault.Sentinel("eventstream: event exceeds the maximum size")
)

// MaxEventBytes is the maximum size of one event.
const MaxEventBytes = 256 << 10

// idField starts the line that holds an event's ID.
var idField = []byte("id:")

// Splitter splits a byte stream into complete events. The zero value starts before the first
// event. Last may be set to continue after an event.
type Splitter struct {
	// LastID is the ID of the last event that Feed returned, 0 before the first.
	LastID int64
	// skipThrough is the ID up to which events are dropped because the caller has received them.
	skipThrough int64
	pending     []byte // Bytes of an incomplete event.
	scanned     int    // Length of the complete lines at the start of pending.
}

// ResumeAfter returns a Splitter for a new run of a stream that resumes after the event with the
// ID last. Events up to that ID are dropped.
func ResumeAfter(last int64) *Splitter { return &Splitter{LastID: last, skipThrough: last} }

// Feed adds data to the stream and appends the events that are now complete to out.
func (s *Splitter) Feed(out, data []byte) ([]byte, error) {
	s.pending = append(s.pending, data...)
	start, id := 0, int64(0)
	// Lines from earlier calls belong to the event that starts at 0.
	if s.scanned > 0 {
		id = lastID(s.pending[:s.scanned])
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
				id = parseID(rest)
			}
			continue
		}
		next, err := s.event(out, s.pending[start:at], id)
		if err != nil {
			return out, err
		}
		out, start, id = next, at, 0
	}
	s.pending = append(s.pending[:0], s.pending[start:]...)
	s.scanned = at - start
	if len(s.pending) > MaxEventBytes {
		return out, ErrTooLong
	}
	return out, nil
}

// event checks the ID of a complete event and appends the event to out.
func (s *Splitter) event(out, event []byte, id int64) ([]byte, error) {
	switch {
	case id == 0: // A comment or an event without an ID.
		return append(out, event...), nil
	case id <= s.skipThrough:
		return out, nil
	case id != s.LastID+1:
		return out, ErrOrder
	}
	s.LastID = id
	return append(out, event...), nil
}

// HasPartial reports whether the stream so far ends within an event.
func (s *Splitter) HasPartial() bool { return len(s.pending) > 0 }

func lastID(lines []byte) int64 {
	id := int64(0)
	for line := range bytes.Lines(lines) {
		if rest, ok := bytes.CutPrefix(line, idField); ok {
			id = parseID(rest)
		}
	}
	return id
}

func parseID(text []byte) int64 {
	n, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
