package shortage_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/request/shortage"
)

// outcome is what callers got in a play.
type outcome struct {
	refused, again int            // Refused at first, and when they returned.
	busiest        int            // Most returns within 100 ms.
	longest        clock.Duration // From the end of the shortage to the last return.
}

// play sends 40 requests a second through four VMs, with a shortage between two times. A caller
// that is refused returns once, through another VM.
func play(seed uint64, from, to, end clock.Time, retryAfter func(vm int, now clock.Time, random float64) clock.Duration, accepted func(vm int, now clock.Time)) outcome {
	src := rng.New(seed)
	returns := map[clock.Time]int{}
	var o outcome
	for now := clock.Time(1); now < end; now += 5 {
		short := from <= now && now < to
		send := func(again bool) {
			vm := src.IntN(4)
			switch {
			case !short:
				accepted(vm, now)
			case again:
				o.again++
			default:
				o.refused++
				at := now.Add(retryAfter(vm, now, src.Float64()))
				returns[at-at%5+1]++
			}
			if again && !short {
				o.longest = max(o.longest, now.Sub(to))
			}
		}
		for range returns[now] {
			send(true)
		}
		if src.Float64() < 0.2 {
			send(false)
		}
	}
	window := map[clock.Time]int{}
	for at, n := range returns {
		window[at/100] += n
		o.busiest = max(o.busiest, window[at/100])
	}
	return o
}

// TestReturnAfterShortage plays shortages of several lengths. Most callers that are refused must
// be served when they return, soon after the shortage ends, and not all at once.
func TestReturnAfterShortage(t *testing.T) {
	for _, lasts := range []clock.Duration{1000, 2500, 4000, 7000} {
		var vms [4]*shortage.Tracker
		for i := range vms {
			vms[i] = shortage.New(shortage.GapDuration)
		}
		const longest = 6600
		var all outcome
		for seed := range uint64(6) { // The trackers learn from earlier shortages.
			base := clock.Time(seed * 60_000)
			o := play(seed, 2000, clock.Time(2000).Add(lasts), 40_000,
				func(vm int, now clock.Time, random float64) clock.Duration {
					return vms[vm].Refused(base+now, random, longest)
				},
				func(vm int, now clock.Time) { vms[vm].Accepted(base + now) })
			all.refused += o.refused
			all.again += o.again
			all.busiest = max(all.busiest, o.busiest)
			all.longest = max(all.longest, o.longest)
		}
		fixed := outcome{}
		for seed := range uint64(6) {
			o := play(seed, 2000, clock.Time(2000).Add(lasts), 40_000,
				func(_ int, _ clock.Time, random float64) clock.Duration { return clock.Duration(500 + 1500*random) }, func(int, clock.Time) {})
			fixed.again += o.again
		}
		t.Logf("%s: %d refused, %d again (%d with 0.5 to 2 s), %d at once, last return %s after the end", lasts, all.refused, all.again, fixed.again, all.busiest, all.longest)
		assert.Assert(t, all.again <= fixed.again/2, "%s: %d were refused again", lasts, all.again)
		if lasts <= shortage.GapDuration {
			assert.Assert(t, all.again <= all.refused/10, "%s: %d of %d were refused again", lasts, all.again, all.refused)
		}
		assert.Assert(t, all.busiest <= 40, "%s: %d returned within 100 ms, ten times the usual rate", lasts, all.busiest)
		assert.Assert(t, all.longest <= 8*clock.Second)
	}
}
