// Package logstory tells the story of a request from the log lines of VMs: every
// decision that names the request, and those about the upstreams that it was sent to
// at that time, merged by time, with the cause in one last line.
package logstory

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/fault"
)

// ErrNotFound reports that no line names the request.
const ErrNotFound = fault.Sentinel("logstory: no line names the request")

// around is how long before and after its own lines what befell a request's upstreams
// belongs to its story.
const around = 3 * time.Second

// maxLine bounds a log line in bytes.
const maxLine = 1 << 20

// Keys of a log line that are not inputs of the decision.
const (
	keyMessage = "@message"
	keyModule  = "@module"
	keyTime    = "@timestamp"
	keyLevel   = "@level"
	keyID      = "id"
)

// Line is one decision.
type Line struct {
	At       time.Time
	VM       string
	Decision string
	ID       string
	Fields   map[string]any
}

// Read returns the decisions in a log, sorted by time as the VMs' clocks tell it. Text
// before a line's JSON is skipped; lines without JSON are too.
func Read(in ...io.Reader) ([]Line, error) {
	var lines []Line
	for _, r := range in {
		s := bufio.NewScanner(r)
		s.Buffer(nil, maxLine)
		for s.Scan() {
			if l, ok := parse(s.Bytes()); ok {
				lines = append(lines, l)
			}
		}
		if err := s.Err(); err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return lines, nil
}

func parse(text []byte) (Line, bool) {
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	var m map[string]any
	if json.Unmarshal(text[at:], &m) != nil {
		return Line{}, false
	}
	l := Line{Fields: m}
	l.Decision, _ = m[keyMessage].(string)
	l.VM, _ = m[keyModule].(string)
	l.ID, _ = m[keyID].(string)
	stamp, _ := m[keyTime].(string)
	var err error
	l.At, err = time.Parse(time.RFC3339Nano, stamp)
	for _, k := range []string{keyMessage, keyModule, keyTime, keyLevel, keyID} {
		delete(m, k)
	}
	return l, err == nil && l.Decision != ""
}

// RequestLines returns the decisions about a request and, around them, about the upstreams
// that it names.
func RequestLines(lines []Line, id string) ([]Line, error) {
	var own []Line
	upstreams := map[string]bool{}
	for _, l := range lines {
		if l.ID == id {
			own = append(own, l)
			upstreams[l.Text("upstream")] = true
		}
	}
	if len(own) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrNotFound, id)
	}
	delete(upstreams, "")
	first, last := own[0].began().Add(-around), own[len(own)-1].At.Add(around)
	var story []Line
	for _, l := range lines {
		near := l.At.After(first) && l.At.Before(last)
		if l.ID == id || near && (upstreams[l.ID] || upstreams[l.Text("reportedBy")]) {
			story = append(story, l)
		}
	}
	return story, nil
}

// began returns when the request of a line arrived.
func (l Line) began() time.Time {
	for _, key := range []string{"tookMs", "atMs"} {
		if ms, ok := l.Fields[key].(float64); ok {
			return l.At.Add(-time.Duration(ms * float64(time.Millisecond)))
		}
	}
	return l.At
}

// Text returns an input that is a text, or "".
func (l Line) Text(key string) string {
	s, _ := l.Fields[key].(string)
	return s
}

// Duration returns an input that is a number of milliseconds, or 0.
func (l Line) Duration(key string) time.Duration {
	ms, _ := l.Fields[key].(float64)
	return time.Duration(ms * float64(time.Millisecond))
}

// String formats a line with its inputs in a fixed order.
func (l Line) String() string {
	keys := make([]string, 0, len(l.Fields))
	for k := range l.Fields {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %-20s %-18s %s", l.At.Format("15:04:05.000"), l.VM, l.Decision, l.ID)
	for _, k := range keys {
		fmt.Fprintf(&b, " %s=%v", k, oneLine(l.Fields[k]))
	}
	return b.String()
}

func oneLine(v any) any {
	if s, ok := v.(string); ok {
		return fmt.Sprintf("%q", s)
	}
	return v
}

// Cause returns the cause of a request's end in one line.
func Cause(story []Line, id string) string {
	end := Line{}
	var runs []string
	for _, l := range story {
		switch {
		case l.ID == id && (l.Decision == "answered" || l.Decision == "failed"):
			end = l
		case l.ID == id && l.Text("cause") != "":
			runs = append(runs, l.Text("upstream")+": "+l.Text("cause"))
		case l.ID == id && l.Text("error") != "":
			runs = append(runs, l.Text("upstream")+": "+l.Text("error"))
		case l.Decision == "upstreamSuspected":
			runs = append(runs, l.ID+" was found dead: "+l.Text("reason"))
		}
	}
	slices.Sort(runs)
	runs = slices.Compact(runs)
	if end.Decision == "" {
		return "cause: the VM ended before the request did"
	}
	if end.Decision == "answered" {
		text := fmt.Sprintf("cause: answered with %v after %v ms", end.Fields["status"], end.Fields["tookMs"])
		if len(runs) > 0 {
			text += ", late because of " + strings.Join(runs, "; ")
		}
		return text
	}
	text := fmt.Sprintf("cause: %s (%s)", strings.ReplaceAll(end.Text("cause"), "\n", "; "), end.Text("outcome"))
	if end.Fields["callerLeft"] == true {
		text = fmt.Sprintf("cause: the caller left after %v ms", end.Fields["tookMs"])
	}
	if len(runs) > 0 {
		text += " after " + strings.Join(runs, "; ")
	}
	return text
}
