// Package explain reconstructs the history of a request from the logs of several VMs. It
// selects the log lines of the request and those about the upstreams that served it in the
// same period, merges them by time, and summarizes the cause of the request's end.
package explain

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

// ErrNotFound reports that no log line has the request's id.
const ErrNotFound = fault.Sentinel("explain: no line names the request")

// upstreamWindow is how long before the request's arrival and after its last line the log
// lines about its upstreams are included.
const upstreamWindow = 3 * time.Second

const maxLineBytes = 1 << 20

// Standard keys of a log line. All other keys are fields of the decision.
const (
	keyMessage = "@message"
	keyModule  = "@module"
	keyTime    = "@timestamp"
	keyLevel   = "@level"
	keyID      = "id"
)

// Line is one log line, which records one decision of a VM.
type Line struct {
	At       time.Time
	VM       string
	Decision string
	ID       string         // Request or upstream that the decision is about.
	Fields   map[string]any // The decision's inputs.
}

// Read returns the log lines of all readers, sorted by their timestamps, which come from
// the VMs' own clocks. It skips text before a line's JSON object, and lines without one.
func Read(in ...io.Reader) ([]Line, error) {
	var lines []Line
	for _, r := range in {
		s := bufio.NewScanner(r)
		s.Buffer(nil, maxLineBytes)
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
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var m map[string]any
	if json.Unmarshal(text[start:], &m) != nil {
		return Line{}, false
	}
	l := Line{Fields: m}
	l.Decision, _ = m[keyMessage].(string)
	l.VM, _ = m[keyModule].(string)
	l.ID, _ = m[keyID].(string)
	timestamp, _ := m[keyTime].(string)
	var err error
	l.At, err = time.Parse(time.RFC3339Nano, timestamp)
	for _, k := range []string{keyMessage, keyModule, keyTime, keyLevel, keyID} {
		delete(m, k)
	}
	return l, err == nil && l.Decision != ""
}

// Decisions that explain a refusal, however long before it they were made.
var (
	quarantineDecisions = []string{
		"partAccused", "partQuarantined", "partTried", "partCleared", "partQuarantineEnd",
		"requestAccused", "requestQuarantined", "requestTried", "requestCleared", "requestQuarantineEnd",
	}
	limitDecisions = []string{"upstreamRateLimit"}
)

// RequestLines returns the log lines of a request, together with the lines about the
// upstreams that they name, within upstreamWindow of the request. For a request that was refused as
// it, or a part of its prompt, is in quarantine, or for upstreams' rate limits, it adds the earlier decisions about these.
func RequestLines(lines []Line, id string) ([]Line, error) {
	var own []Line
	upstreams, accused, limited := map[string]bool{}, map[string]bool{}, false
	for _, l := range lines {
		if l.ID != id {
			continue
		}
		own = append(own, l)
		upstreams[l.Text("upstream")] = true
		if strings.HasPrefix(l.Text("cause"), "quarantined:") {
			addTexts(accused, l.Fields["promptParts"])
			addTexts(accused, l.Fields["fingerprints"])
		}
		limited = limited || strings.HasPrefix(l.Text("cause"), "upstreamLimit:")
	}
	if len(own) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrNotFound, id)
	}
	delete(upstreams, "")
	first, last := own[0].requestStart().Add(-upstreamWindow), own[len(own)-1].At.Add(upstreamWindow)
	var selected []Line
	for _, l := range lines {
		inWindow := l.At.After(first) && l.At.Before(last)
		explains := l.At.Before(last) && (accused[l.ID] && slices.Contains(quarantineDecisions, l.Decision) || limited && slices.Contains(limitDecisions, l.Decision))
		if l.ID == id || explains || inWindow && (upstreams[l.ID] || upstreams[l.Text("reportedBy")]) {
			selected = append(selected, l)
		}
	}
	return selected, nil
}

// addTexts adds the strings of a list to a set.
func addTexts(set map[string]bool, list any) {
	entries, _ := list.([]any)
	for _, e := range entries {
		if text, ok := e.(string); ok {
			set[text] = true
		}
	}
}

// requestStart returns when the line's request arrived, or the line's own time if the line does
// not record the time since then.
func (l Line) requestStart() time.Time {
	for _, key := range []string{"tookMs", "atMs"} {
		if ms, ok := l.Fields[key].(float64); ok {
			return l.At.Add(-time.Duration(ms * float64(time.Millisecond)))
		}
	}
	return l.At
}

// Text returns a string field, or "" if there is none.
func (l Line) Text(key string) string {
	s, _ := l.Fields[key].(string)
	return s
}

// Duration returns a field that is a number of milliseconds, or 0 if there is none.
func (l Line) Duration(key string) time.Duration {
	ms, _ := l.Fields[key].(float64)
	return time.Duration(ms * float64(time.Millisecond))
}

// String formats the line with its fields sorted by key.
func (l Line) String() string {
	keys := make([]string, 0, len(l.Fields))
	for k := range l.Fields {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %-20s %-18s %s", l.At.Format("15:04:05.000"), l.VM, l.Decision, l.ID)
	for _, k := range keys {
		fmt.Fprintf(&b, " %s=%v", k, quoteString(l.Fields[k]))
	}
	return b.String()
}

// quoteString quotes v if it is a string, so that the output stays on one line.
func quoteString(v any) any {
	if s, ok := v.(string); ok {
		return fmt.Sprintf("%q", s)
	}
	return v
}

// Cause summarizes in one line how the request ended and why, from the result of RequestLines.
func Cause(lines []Line, id string) string {
	end := Line{}
	var failures []string
	for _, l := range lines {
		switch {
		case l.ID == id && (l.Decision == "answered" || l.Decision == "failed"):
			end = l
		case l.ID == id && l.Text("cause") != "":
			failures = append(failures, l.Text("upstream")+": "+l.Text("cause"))
		case l.ID == id && l.Text("error") != "":
			failures = append(failures, l.Text("upstream")+": "+l.Text("error"))
		case l.Decision == "upstreamSuspected":
			failures = append(failures, l.ID+" was found dead: "+l.Text("reason"))
		}
	}
	slices.Sort(failures)
	failures = slices.Compact(failures)
	if end.Decision == "" {
		return "cause: the VM ended before the request did"
	}
	if end.Decision == "answered" {
		text := fmt.Sprintf("cause: answered with %v after %v ms", end.Fields["status"], end.Fields["tookMs"])
		if len(failures) > 0 {
			text += ", late because of " + strings.Join(failures, "; ")
		}
		return text
	}
	text := fmt.Sprintf("cause: %s (%s)", strings.ReplaceAll(end.Text("cause"), "\n", "; "), end.Text("outcome"))
	if end.Fields["callerLeft"] == true {
		text = fmt.Sprintf("cause: the caller left after %v ms", end.Fields["tookMs"])
	}
	if len(failures) > 0 {
		text += " after " + strings.Join(failures, "; ")
	}
	return text
}
