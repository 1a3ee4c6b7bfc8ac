package command

import (
	"context"
	"fmt"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
	"github.com/jasminecove/jasminecove/internal/standin/caller"
	"github.com/jasminecove/jasminecove/internal/standin/load"
)

// bookingPause is the span between two bookings of the demo.
const bookingPause = 20 * time.Millisecond

// bookings counts what came of the demo's bookings.
type bookings struct {
	complete, notRun, unknown int
	lost, doubled             int
}

func linkDelay(ms int64) clock.Duration { return clock.Duration(ms) }

// book sends bookings through all VMs in turn, each twice under one key, and
// checks how often each ran.
func (d *demo) book(ctx context.Context) bookings {
	c := caller.New(demoVMs)
	defer c.Close()
	targets := d.targets()
	var b bookings
	for i, end := 0, time.Now().Add(d.span); time.Now().Before(end) && ctx.Err() == nil; i++ {
		key := fmt.Sprintf("booking-%d", i)
		first := c.Book(ctx, targets[i%len(targets)], "/bookings", key, key)
		again := c.Book(ctx, targets[(i+1)%len(targets)], "/bookings", key, key)
		b.count(first, d.ledger.Runs(key))
		if again.Outcome != first.Outcome && first.Outcome == refusal.Complete {
			b.lost++
		}
		_ = delay.Wait(ctx, bookingPause)
	}
	return b
}

func (b *bookings) count(answer caller.BookingReply, runs int) {
	switch answer.Outcome {
	case refusal.Complete:
		b.complete++
		if runs == 0 {
			b.lost++
		}
	case refusal.NotRun:
		b.notRun++
	default:
		b.unknown++
	}
	if runs > 1 {
		b.doubled++
	}
}

// summarize prints what the load came to and reports whether the promises held.
func (d *demo) summarize(r load.Report, b bookings, bound float64) bool {
	violations := int64(0)
	for _, n := range d.fleet.Running() {
		violations += n.Violations()
	}
	fmt.Fprintln(d.out, line)
	fmt.Fprintf(d.out, "answers    %d whole, %d wrong, %d cut, %d failed, %d broken, %d refused\n",
		r.Verdicts["whole"], r.Verdicts["wrong"], r.Verdicts["cut"], r.Verdicts["failed"], r.Verdicts["broken"], r.Verdicts["refused"])
	fmt.Fprintf(d.out, "bookings   %d once, %d lost, %d doubled, %d refused not run, %d unknown\n", b.complete, b.lost, b.doubled, b.notRun, b.unknown)
	fmt.Fprintf(d.out, "throughput %.0f tokens/s, offered %.0f, bound %.0f with all engines\n", r.TokensPerSecond, bound*demoLoadShare, bound)
	fmt.Fprintf(d.out, "latency    first token %.0f ms, between tokens %.1f ms at the median, %.1f ms for 95 in 100\n", r.FirstToken.P50, r.BetweenTokens.P50, r.BetweenTokens.P95)
	for _, n := range d.fleet.Running() {
		if s := n.Status(); s.Recovery.Count > 0 {
			fmt.Fprintf(d.out, "recovery   %d answers on %s, median %.0f ms, longest %.0f ms to the next token\n", s.Recovery.Count, s.VM, s.Recovery.P50, s.Recovery.Max)
		}
	}
	fmt.Fprintf(d.out, "invariants %d violated\n%s\n", violations, line)
	bad := r.Verdicts["wrong"] + r.Verdicts["cut"] + r.Verdicts["failed"] + r.Verdicts["broken"] + b.lost + b.doubled
	return bad == 0 && violations == 0 && r.Verdicts["whole"] > 0 && b.complete > 0
}
