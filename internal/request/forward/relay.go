package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/request/eventstream"
	"github.com/jasminecove/jasminecove/internal/upstream/call"
)

// relay passes complete events on as they arrive.
func (s *stream) relay(ctx context.Context, a *call.Response, stall *stallDetector) runResult {
	splitter := eventstream.ResumeAfter(s.lastEvent)
	buf := make([]byte, 4<<10)
	var out []byte
	for {
		n, err := a.Read(buf)
		if n > 0 {
			var malformed error
			out, malformed = splitter.Feed(out[:0], buf[:n])
			if len(out) > 0 {
				s.recordProgress(stall, splitter.LastID-s.lastEvent)
				if werr := s.emit(a, out); werr != nil {
					return runResult{final: true, cause: werr}
				}
				s.lastEvent = splitter.LastID
			}
			if malformed != nil {
				return runResult{cause: malformed}
			}
		}
		switch {
		case err == nil:
		case !errors.Is(err, io.EOF):
			return runResult{cause: causeOf(ctx, err)}
		case splitter.HasPartial():
			return runResult{cause: errTruncated}
		case !s.headWritten && s.resumeAfter == 0:
			return runResult{cause: errTruncated}
		default:
			// A stream that is resumed after its last event has no more events.
			s.writeHead(a)
			return runResult{unframed: !a.Framed}
		}
	}
}

// recordProgress records that events arrived, and the pause before them.
func (s *stream) recordProgress(stall *stallDetector, events int64) {
	stall.progress(events)
	now := time.Now()
	s.watched.Progress()
	if s.headWritten {
		s.x.Account.Pause = max(s.x.Account.Pause, clock.FromStd(now.Sub(s.lastWrite)))
	}
	s.lastWrite = now
}

// emit writes events to the caller, preceded by the header of the first run's response.
func (s *stream) emit(a *call.Response, events []byte) error {
	s.writeHead(a)
	if _, err := s.x.W.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(s.x.W).Flush()
}

// writeHead writes the header of the first run's response, once.
func (s *stream) writeHead(a *call.Response) {
	if s.headWritten {
		return
	}
	s.headWritten = true
	s.x.Account.Status = a.Status
	s.x.Account.FirstToken = clock.FromStd(time.Since(s.x.Received))
	copyResponseHeader(s.x.W.Header(), a.Header)
	s.x.W.WriteHeader(a.Status)
}
