package retryshare_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/request/retryshare"
)

var limits = retryshare.Limits{Ratio: 0.2, Allowance: 200, Window: 10 * clock.Second}

// TestAllVMsTogetherStayWithinTheBound lets nine VMs repeat whenever they may, with
// uneven traffic and restarts.
func TestAllVMsTogetherStayWithinTheBound(t *testing.T) {
	const vms = 9
	src := rng.New(1)
	shares := make([]*retryshare.Share, vms)
	for i := range shares {
		shares[i] = retryshare.New(limits, 0, vms)
	}
	type sent struct {
		at     clock.Time
		repeat bool
	}
	var all []sent
	for now := clock.Time(0); now < 60_000; now += 10 {
		i := min(src.IntN(vms), src.IntN(vms))
		shares[i].First(now)
		all = append(all, sent{at: now})
		for range 3 {
			if shares[src.IntN(vms)].Repeat(now, vms) {
				all = append(all, sent{at: now, repeat: true})
			}
		}
		if now%7_000 == 0 {
			shares[src.IntN(vms)] = retryshare.New(limits, now, vms)
		}
		firsts, repeats := 0, 0
		for k := len(all) - 1; k >= 0 && now.Sub(all[k].at) < limits.Window; k-- {
			if all[k].repeat {
				repeats++
			} else {
				firsts++
			}
		}
		assert.Assert(t, float64(repeats) <= limits.Ratio*float64(firsts)+limits.Allowance, "at %d: %d repeats of %d", now, repeats, firsts)
	}
	assert.Assert(t, len(all) > 6000+500, "repeats were hardly allowed: %d", len(all))
}
