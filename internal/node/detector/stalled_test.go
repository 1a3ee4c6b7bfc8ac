package detector_test

import (
	"context"
	"io"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/node/decision"
	"github.com/jasminecove/jasminecove/internal/node/detector"
	"github.com/jasminecove/jasminecove/internal/node/placer"
	"github.com/jasminecove/jasminecove/internal/routing/catalog"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// reportingEngine answers report calls with one report.
type reportingEngine struct {
	placer.API
	report placer.Report
}

func (e reportingEngine) Report(context.Context, string, string) (placer.Report, error) {
	return e.report, nil
}

// TestStalledEntriesOfOthers guards against upstreams found dead by an engine whose requests cannot wait for them.
func TestStalledEntriesOfOthers(t *testing.T) {
	for name, c := range map[string]struct {
		stalled   string
		startedMs uint64
	}{"itself": {"10.0.0.1:1", 5}, "of another service": {"10.0.0.3:1", 5}, "by another process": {"10.0.0.2:1", 9}} {
		clk := clock.NewManual(1_000_000)
		cat := catalog.New("vm", clk, clock.Minute, nil)
		for id, service := range map[string]string{"1": "crew", "2": "crew", "3": "desk"} {
			cat.Announce(&upstreampb.Announcement{Id: id, Kind: "service", Name: service, Address: "10.0.0." + id + ":1", Sequence: 1, StartedMs: 5, LeaseMs: 60_000})
		}
		log := decision.New("vm", hclog.Error, io.Discard)
		d := detector.New(detector.Config{
			Clock: clk, Catalog: cat, Log: log,
			Engines: reportingEngine{report: placer.Report{StartedMs: c.startedMs, Stalled: []string{c.stalled}}},
		})
		d.CheckStall(t.Context(), "1", "10.0.0.1:1")
		log.Close()
		clk.Advance(clock.Millisecond)
		for _, id := range []string{"1", "2", "3"} {
			assert.Check(t, cat.DeadFor(id) == 0, "%s: %s is taken for dead", name, id)
		}
	}
}
