// Package logreport draws a page of a period from the log lines of VMs: what became of
// requests over time, and below it what the VMs believed.
package logreport

import (
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/cli/logstory"
)

// ErrEmpty reports lines without the end of any request.
const ErrEmpty = fault.Sentinel("logreport: no line tells the end of a request")

// Objective is when an answer counts as late.
type Objective struct {
	First time.Duration // To the first event, or to the whole answer where there are none.
	Pause time.Duration // Between events.
}

// Ends of requests, in the order in which they are drawn.
const (
	Served  = "served"
	Late    = "late"
	Refused = "refused"
	Failed  = "failed"
	Left    = "callerLeft"
)

// Ends lists the ends of requests.
func Ends() []string { return []string{Served, Late, Refused, Failed, Left} }

// Second is what ended and what was learnt within one second.
type Second struct {
	Ends    map[string]int // By end.
	Beliefs map[string]int // Decisions that changed what a VM believes, by name.
}

// Cause is why requests were not served, with one of them as an example.
type Cause struct {
	End, Text string
	Requests  int
	Example   string // Id of a request.
}

// Report is a period's account.
type Report struct {
	From    time.Time
	Seconds []Second
	Totals  map[string]int // By end.
	Causes  []Cause        // The most frequent first.
	Beliefs []string       // Names of decisions that occur, sorted.
}

// beliefs are the decisions that change what a VM believes.
var beliefs = map[string]bool{
	"upstreamJoined": true, "upstreamLeaving": true, "upstreamEnded": true, "upstreamDead": true, "layersOrdered": true,
	"VM is here": true, "VM is gone": true, "tables in force": true, "may give orders": true, "started": true,
}

// New sums lines up, which are sorted by time.
func New(lines []logstory.Line, o Objective) (*Report, error) {
	r := &Report{Totals: map[string]int{}}
	causes := map[[2]string]*Cause{}
	for _, l := range lines {
		end, cause := endOf(l, o)
		if end == "" && !beliefs[l.Decision] {
			continue
		}
		s := r.second(l.At)
		if end == "" {
			s.Beliefs[l.Decision]++
			continue
		}
		s.Ends[end]++
		r.Totals[end]++
		if cause == "" {
			continue
		}
		key := [2]string{end, cause}
		if causes[key] == nil {
			causes[key] = &Cause{End: end, Text: cause, Example: l.ID}
		}
		causes[key].Requests++
	}
	if len(r.Totals) == 0 {
		return nil, ErrEmpty
	}
	for _, c := range causes {
		r.Causes = append(r.Causes, *c)
	}
	slices.SortFunc(r.Causes, func(a, b Cause) int {
		if a.Requests != b.Requests {
			return b.Requests - a.Requests
		}
		return strings.Compare(a.End+a.Text, b.End+b.Text)
	})
	seen := map[string]bool{}
	for _, s := range r.Seconds {
		for name := range s.Beliefs {
			seen[name] = true
		}
	}
	for name := range seen {
		r.Beliefs = append(r.Beliefs, name)
	}
	slices.Sort(r.Beliefs)
	return r, nil
}

// maxSeconds bounds a page's period.
const maxSeconds = 24 * 60 * 60

// second returns the account of a moment's second. Later ones than the bound are added
// to the last.
func (r *Report) second(at time.Time) *Second {
	if len(r.Seconds) == 0 {
		r.From = at.Truncate(time.Second)
	}
	i := min(maxSeconds-1, max(0, int(at.Sub(r.From)/time.Second)))
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, Second{Ends: map[string]int{}, Beliefs: map[string]int{}})
	}
	return &r.Seconds[i]
}

// endOf returns how a line's request ended and why it was not served, or nothing for
// lines of other decisions.
func endOf(l logstory.Line, o Objective) (end, cause string) {
	switch l.Decision {
	case "answered":
		first := l.Span("firstMs")
		if l.Span("events") == 0 {
			first = l.Span("tookMs")
		}
		switch {
		case first > o.First:
			return Late, "first event late"
		case l.Span("pauseMs") > o.Pause:
			return Late, "pause between events"
		}
		return Served, ""
	case "failed":
		text := kindOf(l.Text("cause"))
		switch {
		case l.Inputs["callerLeft"] == true:
			return Left, ""
		case l.Text("outcome") == "notRun":
			return Refused, text
		}
		return Failed, text
	}
	return "", ""
}

// particulars are the parts of a cause that differ between requests.
var particulars = regexp.MustCompile(`(?:\[[0-9a-f:]+\]|[0-9]+\.[0-9]+\.[0-9]+\.[0-9]+):[0-9]+(?:->|:)?`)

// kindOf returns a cause without what belongs to one request.
func kindOf(cause string) string {
	return strings.Join(strings.Fields(particulars.ReplaceAllString(cause, "")), " ")
}
