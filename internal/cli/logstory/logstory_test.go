package logstory_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/cli/logstory"
)

const first = `  3.1 vm-a {"@level":"info","@message":"runEnded","@module":"vm-a","@timestamp":"2026-10-03T19:07:03.500Z","id":"r1","upstream":"e1","cause":"forward: the stream made no progress","atMs":1200}
noise
{"@level":"info","@message":"failed","@module":"vm-a","@timestamp":"2026-10-03T19:07:03.900Z","id":"r1","cause":"upstreamFailed: cut","outcome":"unknown","tookMs":1600,"callerLeft":false}
{"@level":"info","@message":"answered","@module":"vm-a","@timestamp":"2026-10-03T19:07:03.900Z","id":"r2","status":200}
`

const second = `{"@level":"info","@message":"upstreamSuspected","@module":"vm-b","@timestamp":"2026-10-03T19:07:03.100Z","id":"e1","reason":"another engine waits for it"}
{"@level":"info","@message":"upstreamSuspected","@module":"vm-b","@timestamp":"2026-10-03T19:09:03.100Z","id":"e1","reason":"later"}
`

func TestStoryOfARequestOverTwoVMs(t *testing.T) {
	lines, err := logstory.Read(strings.NewReader(first), strings.NewReader(second))
	assert.NilError(t, err)
	story, err := logstory.RequestLines(lines, "r1")
	assert.NilError(t, err)
	var decisions []string
	for _, l := range story {
		decisions = append(decisions, l.Decision)
	}
	assert.DeepEqual(t, decisions, []string{"upstreamSuspected", "runEnded", "failed"})
	cause := logstory.Cause(story, "r1")
	assert.Assert(t, strings.Contains(cause, "upstreamFailed: cut (unknown)"), cause)
	assert.Assert(t, strings.Contains(cause, "e1 was found dead: another engine waits for it"), cause)
	_, err = logstory.RequestLines(lines, "nobody")
	assert.Assert(t, errors.Is(err, logstory.ErrNotFound))
}
