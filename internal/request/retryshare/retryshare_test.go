package retryshare_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/request/retryshare"
)

var limits = retryshare.Limits{Ratio: 0.2, Allowance: 200, Window: 10 * clock.Second}

// TestLimitOverAllVMs has nine VMs retry whenever they are allowed to, with
// uneven traffic, restarts and loans. A fourth of the loans is lost in transit.
func TestLimitOverAllVMs(t *testing.T) {
	const vms = 9
	src := rng.New(1)
	shares := make([]*retryshare.Share, vms)
	for i := range shares {
		shares[i] = retryshare.New(limits, 0, vms)
	}
	type sent struct {
		at    clock.Time
		retry bool
	}
	var all []sent
	for now := clock.Time(0); now < 60_000; now += 10 {
		i := min(src.IntN(vms), src.IntN(vms))
		shares[i].RecordRequest(now)
		all = append(all, sent{at: now})
		for range 3 {
			share := shares[src.IntN(vms)]
			if share.AllowRetry(now, vms) {
				all = append(all, sent{at: now, retry: true})
			} else if lent := shares[src.IntN(vms)].Lend(now, vms, 1+src.IntN(20)); src.IntN(4) > 0 {
				share.Borrow(now, lent)
			}
		}
		if now%7_000 == 0 {
			shares[src.IntN(vms)] = retryshare.New(limits, now, vms)
		}
		requests, retries := 0, 0
		for k := len(all) - 1; k >= 0 && now.Sub(all[k].at) < limits.Window; k-- {
			if all[k].retry {
				retries++
			} else {
				requests++
			}
		}
		assert.Assert(t, float64(retries) <= limits.Ratio*float64(requests)+limits.Allowance, "at %d ms: %d retries of %d requests", now, retries, requests)
	}
	assert.Assert(t, len(all) > 6000+500, "too few retries were allowed: %d attempts in all", len(all))
}

// TestLoans has one VM need all the retries at once. Loans must
// give it a large part of the allowance, and they must expire.
func TestLoans(t *testing.T) {
	const vms, need = 9, 100
	shares := make([]*retryshare.Share, vms)
	for i := range shares {
		shares[i] = retryshare.New(limits, 0, vms)
	}
	now := clock.Time(0).Add(limits.Window + clock.Second) // The initial usage has expired.
	sent := 0
	for sent < need && shares[0].AllowRetry(now, vms) {
		sent++
	}
	assert.Assert(t, sent < need/5, "%d retries without a loan", sent)
	for _, lender := range shares[1:] {
		shares[0].Borrow(now, lender.Lend(now, vms, need-sent))
	}
	for sent < need && shares[0].AllowRetry(now, vms) {
		sent++
	}
	assert.Assert(t, float64(sent) > limits.Allowance*0.4, "%d retries with loans", sent)
	shares[0].Borrow(now, shares[1].Lend(now, vms, need))
	assert.Assert(t, !shares[0].AllowRetry(now.Add(clock.Second), vms), "an expired loan was used")
}
