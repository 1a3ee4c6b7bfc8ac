// Package logreport draws an HTML report of a period from the logs of VMs: the results of
// requests over time, and below them the changes of the VMs' view of the fleet.
package logreport

import (
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/cli/explain"
)

// ErrNoRequests reports that no log line records the end of a request.
const ErrNoRequests = fault.Sentinel("logreport: no log line records the end of a request")

// Objective holds the latency limits; an answer that exceeds one of them counts as late.
type Objective struct {
	FirstEvent time.Duration // From arrival to the first event, or to the whole answer if it has no events.
	Pause      time.Duration // Longest pause between two events.
}

// Results of requests.
const (
	Served     = "served"
	Late       = "late"
	Refused    = "refused"
	Failed     = "failed"
	CallerLeft = "callerLeft"
)

// Results lists the results of requests in the order in which they are drawn.
func Results() []string { return []string{Served, Late, Refused, Failed, CallerLeft} }

// Second holds the counts of one second.
type Second struct {
	Results      map[string]int // Requests that ended, by result.
	StateChanges map[string]int // Decisions that changed a VM's view of the fleet, by name.
}

// Cause is a reason why requests were not served.
type Cause struct {
	Result, Text string
	Requests     int
	Example      string // Id of one of the requests.
}

// Report holds the counts of a period.
type Report struct {
	From         time.Time
	Seconds      []Second
	Totals       map[string]int // Requests by result.
	Causes       []Cause        // Most frequent first.
	StateChanges []string       // Names of the decisions counted in Seconds, sorted.
}

// stateChanges are the decisions that change a VM's view of the fleet, its tables or its role.
var stateChanges = map[string]bool{
	"upstreamJoined": true, "upstreamLeaving": true, "upstreamEnded": true, "upstreamDead": true, "layersOrdered": true,
	"VM is here": true, "VM is gone": true, "tables in force": true, "may give orders": true, "started": true,
}

// New counts the decisions in lines, which must be sorted by time.
func New(lines []explain.Line, o Objective) (*Report, error) {
	r := &Report{Totals: map[string]int{}}
	causes := map[[2]string]*Cause{}
	for _, l := range lines {
		result, cause := resultOf(l, o)
		if result == "" && !stateChanges[l.Decision] {
			continue
		}
		s := r.second(l.At)
		if result == "" {
			s.StateChanges[l.Decision]++
			continue
		}
		s.Results[result]++
		r.Totals[result]++
		if cause == "" {
			continue
		}
		key := [2]string{result, cause}
		if causes[key] == nil {
			causes[key] = &Cause{Result: result, Text: cause, Example: l.ID}
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
	names := map[string]bool{}
	for _, s := range r.Seconds {
		for name := range s.StateChanges {
			names[name] = true
		}
	}
	for name := range names {
		r.StateChanges = append(r.StateChanges, name)
	}
	slices.Sort(r.StateChanges)
	return r, nil
}

// maxSeconds bounds the period of a report to one day.
const maxSeconds = 24 * 60 * 60

// second returns the counts of the second that at falls in, or the last second of the longest
// period if at is later.
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

// resultOf returns the result of a line's request and the cause if it was not served, or
// empty strings if the line does not record the end of a request.
func resultOf(l explain.Line, o Objective) (result, cause string) {
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
		text := normalizeCause(l.Text("cause"))
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

// addresses matches the network addresses in a cause, which differ between requests.
var addresses = regexp.MustCompile(`(?:\[[0-9a-f:]+\]|[0-9]+\.[0-9]+\.[0-9]+\.[0-9]+):[0-9]+(?:->|:)?`)

// normalizeCause removes addresses and extra white space, so that equal causes of different
// requests are counted together.
func normalizeCause(cause string) string {
	return strings.Join(strings.Fields(addresses.ReplaceAllString(cause, "")), " ")
}
