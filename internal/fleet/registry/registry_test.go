package registry_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

func announce(seq uint64, leaving bool) *upstreampb.Announcement {
	return &upstreampb.Announcement{Id: "e1", Kind: "engine", Sequence: seq, LeaseMs: 1000, Leaving: leaving}
}

func TestOnlyMaterialChangesAreTold(t *testing.T) {
	r := registry.New("vm1")
	assert.Assert(t, r.Announce(0, announce(1, false)))
	assert.Assert(t, !r.Announce(10, announce(2, false)))
	assert.Assert(t, !r.Announce(10, announce(1, true)), "an old announcement was taken")
	assert.Assert(t, r.Announce(20, announce(3, true)))
}

func TestSilentUpstreamEndsAndStaysEnded(t *testing.T) {
	home, other := registry.New("vm1"), registry.New("vm2")
	home.Announce(0, announce(1, false))
	old := home.DigestOf(0, "e1")
	assert.Assert(t, other.Digest(0, old))
	assert.Equal(t, len(home.Expire(999)), 0)
	ended := home.Expire(1000)
	assert.Equal(t, len(ended), 1)
	assert.Assert(t, other.Digest(1010, ended[0]))
	assert.Assert(t, !other.Digest(1020, old), "a late digest brought the upstream back")
	_, live := other.Get("e1")
	assert.Assert(t, !live)
}

func TestUpstreamOutlivesItsHomeForAGrace(t *testing.T) {
	home, other := registry.New("vm1"), registry.New("vm2")
	home.Announce(0, announce(1, false))
	other.Digest(0, home.DigestOf(0, "e1"))
	other.HomeLost(100, "vm1")
	other.Expire(2000)
	_, live := other.Get("e1")
	assert.Assert(t, live)
	other.Announce(2500, announce(2, false))
	other.Expire(3200)
	u, live := other.Get("e1")
	assert.Assert(t, live)
	assert.Equal(t, u.Home, "vm2")
	other.Expire(3500)
	_, live = other.Get("e1")
	assert.Assert(t, !live)
}

// TestUpstreamRecalledByTwoVMsStaysWithEveryone lets two VMs that start again recall an
// upstream, of which one hears its next announcement and the other does not in time. A
// third VM is told all in every order.
func TestUpstreamRecalledByTwoVMsStaysWithEveryone(t *testing.T) {
	before := announce(50, false)
	a, b := registry.New("a"), registry.New("b")
	assert.Assert(t, a.Recall(0, before) && b.Recall(0, before))
	told := []*fleetpb.Digest{a.DigestOf(0, "e1"), b.DigestOf(0, "e1")}
	assert.Assert(t, a.Announce(500, announce(51, false)), "others must learn of the first announcement")
	told = append(told, a.DigestOf(500, "e1"))
	told = append(told, b.Expire(1000)...)
	assert.Equal(t, len(told), 4)
	var tell func(c []*fleetpb.Digest, rest []*fleetpb.Digest)
	tell = func(order, rest []*fleetpb.Digest) {
		if len(rest) == 0 {
			c := registry.New("c")
			for _, d := range order {
				c.Digest(1100, d)
			}
			u, live := c.Get("e1")
			assert.Assert(t, live, "%v", order)
			assert.Equal(t, u.Home, "a")
			return
		}
		for i := range rest {
			tell(append(slices.Clone(order), rest[i]), slices.Delete(slices.Clone(rest), i, i+1))
		}
	}
	tell(nil, told)
	// The one that let it end has it again.
	b.Digest(1200, told[2])
	_, live := b.Get("e1")
	assert.Assert(t, live)
}
