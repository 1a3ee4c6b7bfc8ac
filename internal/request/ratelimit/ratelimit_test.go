package ratelimit_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/request/ratelimit"
)

// TestShareFollowsDemand sends unequal demand to three VMs that exchange their demand. In
// total they must admit requests at the rate, with more at the VM of the highest demand.
func TestShareFollowsDemand(t *testing.T) {
	const rate = 100
	vms := make([]*ratelimit.Limit, 3)
	for i := range vms {
		vms[i] = ratelimit.New(rate)
		vms[i].SetVMs(3)
	}
	admitted := make([]int, 3)
	every := []clock.Time{2, 10, 100}
	for now := clock.Time(1); now <= 30_000; now++ {
		for i, l := range vms {
			if now%every[i] == 0 {
				if ok, _ := l.Take(now); ok && now > 10_000 {
					admitted[i]++
				}
			}
			if now%1000 == 0 {
				others := 0.0
				for j, other := range vms {
					if j != i {
						others += other.Demand()
					}
				}
				l.SetOtherDemand(now, others)
			}
		}
	}
	sum := admitted[0] + admitted[1] + admitted[2]
	assert.Assert(t, sum > 1700 && sum <= 2020, "admitted %v in 20 s", admitted)
	assert.Assert(t, admitted[0] > 5*admitted[2])
}

func TestEqualShareWithoutDemandData(t *testing.T) {
	l := ratelimit.New(90)
	l.SetVMs(9)
	ok := 0
	for now := clock.Time(1); now <= 10_000; now++ {
		if took, after := l.Take(now); took {
			ok++
		} else {
			assert.Assert(t, after > 0)
		}
	}
	assert.Assert(t, ok > 90 && ok < 200, "%d", ok)
}
