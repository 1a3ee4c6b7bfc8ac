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

// bookingInterval is the pause after each pair of bookings.
const bookingInterval = 20 * time.Millisecond

// bookingCounts counts the demo's bookings by outcome. Lost bookings were confirmed but did not run or
// could not be repeated with the same outcome; doubled ones ran more than once.
type bookingCounts struct {
	complete, notRun, unknown int
	lost, doubled             int
}

func linkDelay(ms int64) clock.Duration { return clock.Duration(ms) }

// sendBookings sends bookings to all VMs in turn, each twice with the same idempotency key to
// different VMs, and checks how often each ran.
func (d *demo) sendBookings(ctx context.Context) bookingCounts {
	c := caller.New(demoVMs)
	defer c.Close()
	targets := d.targets()
	var b bookingCounts
	for i, end := 0, time.Now().Add(d.duration); time.Now().Before(end) && ctx.Err() == nil; i++ {
		key := fmt.Sprintf("booking-%d", i)
		first := c.Book(ctx, targets[i%len(targets)], "/bookings", key, key)
		repeated := c.Book(ctx, targets[(i+1)%len(targets)], "/bookings", key, key)
		b.count(first, d.ledger.Runs(key))
		if repeated.Outcome != first.Outcome && first.Outcome == refusal.Complete {
			b.lost++
		}
		_ = delay.Wait(ctx, bookingInterval)
	}
	return b
}

// count adds a booking with the first answer to it and the number of times that it ran.
func (b *bookingCounts) count(answer caller.BookingReply, runs int) {
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

// summarize prints the results and reports whether all checks of the demo passed.
func (d *demo) summarize(r load.Report, b bookingCounts, bound float64) bool {
	violations := int64(0)
	for _, n := range d.fleet.Running() {
		violations += n.Violations()
	}
	fmt.Fprintln(d.out, separator)
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
	fmt.Fprintf(d.out, "invariants %d violated\n%s\n", violations, separator)
	failures := r.Verdicts["wrong"] + r.Verdicts["cut"] + r.Verdicts["failed"] + r.Verdicts["broken"] + b.lost + b.doubled
	return failures == 0 && violations == 0 && r.Verdicts["whole"] > 0 && b.complete > 0
}
