package registry_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/fleet/registry"
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
