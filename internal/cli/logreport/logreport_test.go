package logreport_test

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/cli/explain"
	"github.com/jasminecove/jasminecove/internal/cli/logreport"
)

const log = `{"@message":"answered","@module":"vm-a","@timestamp":"2026-10-03T19:07:03.500Z","id":"r1","events":9,"firstMs":40,"pauseMs":30,"tookMs":900}
{"@message":"upstreamDead","@module":"vm-a","@timestamp":"2026-10-03T19:07:04.000Z","id":"e1"}
{"@message":"answered","@module":"vm-a","@timestamp":"2026-10-03T19:07:04.500Z","id":"r2","events":9,"firstMs":40,"pauseMs":700,"tookMs":900}
{"@message":"answered","@module":"vm-b","@timestamp":"2026-10-03T19:07:04.600Z","id":"r3","events":0,"firstMs":0,"pauseMs":0,"tookMs":900}
{"@message":"failed","@module":"vm-b","@timestamp":"2026-10-03T19:07:05.100Z","id":"r4","outcome":"notRun","cause":"overloaded: every path is full","callerLeft":false}
{"@message":"failed","@module":"vm-b","@timestamp":"2026-10-03T19:07:05.200Z","id":"r5","outcome":"unknown","cause":"upstreamFailed: read 10.0.0.1:99->10.0.0.2:8: reset <b>","callerLeft":false}
{"@message":"failed","@module":"vm-b","@timestamp":"2026-10-03T19:07:05.300Z","id":"r6","outcome":"unknown","cause":"upstreamFailed: read 10.0.0.1:77->10.0.0.3:8: reset <b>","callerLeft":false}
{"@message":"failed","@module":"vm-b","@timestamp":"2026-10-03T19:07:05.400Z","id":"r7","outcome":"unknown","cause":"x","callerLeft":true}
`

func newReport(t *testing.T, text string) (*logreport.Report, error) {
	t.Helper()
	lines, err := explain.Read(strings.NewReader(text))
	assert.NilError(t, err)
	return logreport.New(lines, logreport.Objective{FirstEvent: 500 * time.Millisecond, Pause: 200 * time.Millisecond})
}

// Causes that differ only in network addresses are counted together.
func TestReportCounts(t *testing.T) {
	r, err := newReport(t, log)
	assert.NilError(t, err)
	assert.DeepEqual(t, r.Totals, map[string]int{"served": 1, "late": 2, "refused": 1, "failed": 2, "callerLeft": 1})
	assert.Equal(t, len(r.Seconds), 3)
	assert.Equal(t, r.Seconds[1].StateChanges["upstreamDead"], 1)
	assert.DeepEqual(t, r.Causes[0], logreport.Cause{Result: "failed", Text: "upstreamFailed: read reset <b>", Requests: 2, Example: "r5"})
}

// The page has two well-formed SVG elements, and text from the log is escaped.
func TestWriteHTML(t *testing.T) {
	r, err := newReport(t, log)
	assert.NilError(t, err)
	var page bytes.Buffer
	assert.NilError(t, r.WriteHTML(&page))
	text := page.String()
	assert.Assert(t, !strings.Contains(text, "<b>"), "cause was not escaped in the page")
	for rest := text; ; {
		_, after, more := strings.Cut(rest, "<svg")
		if !more {
			break
		}
		element, tail, closed := strings.Cut(after, "</svg>")
		assert.Assert(t, closed)
		d := xml.NewDecoder(strings.NewReader("<svg" + element + "</svg>"))
		for err == nil {
			_, err = d.Token()
		}
		assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
		rest, err = tail, nil
	}
	assert.Equal(t, strings.Count(text, "</svg>"), 2)
}

func TestReportWithoutRequests(t *testing.T) {
	_, err := newReport(t, `{"@message":"started","@module":"vm-a","@timestamp":"2026-10-03T19:07:03.500Z"}`)
	assert.ErrorIs(t, err, logreport.ErrNoRequests)
}
