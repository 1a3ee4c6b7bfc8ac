package listen

import "bytes"

// section counts the lines and bytes of a header section as it arrives.
type section struct {
	bytes, lines int
	emptyLines   int  // Before the request line.
	started      bool // The request line has begun.
	lineBytes    int  // Of the line that has no end yet.
	isCR         bool // That line is a lone carriage return.
}

// add counts bytes of the section. It returns how many of them belong to the section, and whether it has ended.
func (s *section) add(data []byte) (n int, ended bool) {
	for n < len(data) {
		end := bytes.IndexByte(data[n:], '\n')
		if end < 0 {
			s.addPart(data[n:])
			return len(data), false
		}
		s.addPart(data[n : n+end])
		blank := s.lineBytes == 0 || s.isCR
		s.bytes++
		n += end + 1
		s.lineBytes, s.isCR = 0, false
		switch {
		case !blank:
			s.lines++
			s.started = true
		case s.started:
			return n, true
		default:
			s.emptyLines++
		}
	}
	return n, false
}

// addPart counts a part of a line.
func (s *section) addPart(data []byte) {
	s.bytes += len(data)
	s.isCR = s.lineBytes == 0 && len(data) == 1 && data[0] == '\r' || s.isCR && len(data) == 0
	s.lineBytes += len(data)
}

// maxBufferedBytes is how many bytes net/http may have read beyond the end of a request: its buffer
// and the byte with which it watches the connection.
const maxBufferedBytes = 4<<10 + 1

// tail counts the bytes that were read after the end of a header section. The last of them may already
// belong to the next request, if the client sends requests without waiting for responses.
type tail struct {
	bytes                int64
	recent, recentLines  int
	earlier, earlierLine int
	last                 [2]byte
}

// maxSkippedBytes is how many bytes of empty lines net/http skips after a request.
const maxSkippedBytes = 4

// add counts bytes.
func (t *tail) add(data []byte) {
	t.bytes += int64(len(data))
	data = data[max(0, len(data)-maxBufferedBytes):]
	if t.recent >= maxBufferedBytes {
		t.earlier, t.earlierLine, t.recent, t.recentLines = t.recent, t.recentLines, 0, 0
	}
	t.recent += len(data)
	t.recentLines += bytes.Count(data, []byte{'\n'})
	for _, b := range data[max(0, len(data)-len(t.last)):] {
		t.last[0], t.last[1] = t.last[1], b
	}
}

// next returns the start of the next header section: at most as many bytes and lines as may have been read
// beyond a body. The length of the body is negative if it is unknown.
func (t *tail) next(bodyBytes int64) section {
	n := int(min(t.bytes-max(0, bodyBytes), maxBufferedBytes))
	if n <= 0 {
		return section{}
	}
	s := section{bytes: n, lines: min(n, t.recentLines+t.earlierLine), started: bodyBytes >= 0 && n > maxSkippedBytes}
	switch {
	case t.last[1] == '\n':
	case t.last == [2]byte{'\n', '\r'}:
		s.lineBytes, s.isCR = 1, true
	default:
		s.lineBytes = n
	}
	return s
}
