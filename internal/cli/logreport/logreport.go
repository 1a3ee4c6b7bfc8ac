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

// ErrNoRequests reports lines without the end of any request.
const ErrNoRequests = fault.Sentinel("logreport: no line tells the end of a request")

// Objective is when an answer counts as late.
type Objective struct {
	FirstEvent time.Duration // To the first event, or to the whole answer where there are none.
	Pause      time.Duration // Between events.
}

// Ends of requests, in the order in which they are drawn.
const (
	Served     = "served"
	Late       = "late"
	Refused    = "refused"
	Failed     = "failed"
	CallerLeft = "callerLeft"
)

// Results lists the ends of requests.
func Results() []string { return []string{Served, Late, Refused, Failed, CallerLeft} }

// Second is what ended and what was learnt within one second.
type Second struct {
	Results      map[string]int // By end.
	StateChanges map[string]int // Decisions that changed what a VM believes, by name.
}

// Cause is why requests were not served, with one of them as an example.
type Cause struct {
	Result, Text string
	Requests     int
	Example      string // Id of a request.
}

// Report is a period's account.
type Report struct {
	From         time.Time
	Seconds      []Second
	Totals       map[string]int // By end.
	Causes       []Cause        // The most frequent first.
	StateChanges []string       // Names of decisions that occur, sorted.
}

// stateChanges are the decisions that change what a VM believes.
var stateChanges = map[string]bool{
	"upstreamJoined": true, "upstreamLeaving": true, "upstreamEnded": true, "upstreamDead": true, "layersOrdered": true,
	"VM is here": true, "VM is gone": true, "tables in force": true, "may give orders": true, "started": true,
}

// New sums lines up, which are sorted by time.
func New(lines []logstory.Line, o Objective) (*Report, error) {
	r := &Report{Totals: map[string]int{}}
	causes := map[[2]string]*Cause{}
	for _, l := range lines {
		end, cause := endOf(l, o)
		if end == "" && !stateChanges[l.Decision] {
			continue
		}
		s := r.second(l.At)
		if end == "" {
			s.StateChanges[l.Decision]++
			continue
		}
		s.Results[end]++
		r.Totals[end]++
		if cause == "" {
			continue
		}
		key := [2]string{end, cause}
		if causes[key] == nil {
			causes[key] = &Cause{Result: end, Text: cause, Example: l.ID}
		}
		causes[key].Requests++
	}
	if len(r.Totals) == 0 {
		return nil, ErrNoRequests
	}
	for _, c := range causes {
		r.Causes = append(r.Causes, *c)
	}
	slices.SortFunc(r.Causes, func(a, b Cause) int {
		if a.Requests != b.Requests {
			return b.Requests - a.Requests
		}
		return strings.Compare(a.Result+a.Text, b.Result+b.Text)
	})
	seen := map[string]bool{}
	for _, s := range r.Seconds {
		for name := range s.StateChanges {
			seen[name] = true
		}
	}
	for name := range seen {
		r.StateChanges = append(r.StateChanges, name)
	}
	slices.Sort(r.StateChanges)
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
		r.Seconds = append(r.Seconds, Second{Results: map[string]int{}, StateChanges: map[string]int{}})
	}
	return &r.Seconds[i]
}

// endOf returns how a line's request ended and why it was not served, or nothing for
// lines of other decisions.
func endOf(l logstory.Line, o Objective) (end, cause string) {
	switch l.Decision {
	case "answered":
		first := l.Duration("firstMs")
		if l.Duration("events") == 0 {
			first = l.Duration("tookMs")
		}
		switch {
		case first > o.FirstEvent:
			return Late, "first event late"
		case l.Duration("pauseMs") > o.Pause:
			return Late, "pause between events"
		}
		return Served, ""
	case "failed":
		text := kindOf(l.Text("cause"))
		switch {
		case l.Fields["callerLeft"] == true:
			return CallerLeft, ""
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
