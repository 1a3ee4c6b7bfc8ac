package controlplane

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/invariant"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/control/state"
	"github.com/jasminecove/jasminecove/internal/fleet/keys"
	"github.com/jasminecove/jasminecove/internal/fleet/link"
	"github.com/jasminecove/jasminecove/internal/node/decision"
	"github.com/jasminecove/jasminecove/internal/node/settings"
	"github.com/jasminecove/jasminecove/internal/request/quarantine"
	"github.com/jasminecove/jasminecove/internal/routing/catalog"
	"github.com/jasminecove/jasminecove/internal/testkit/seeded"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// applyTimeout is the time in which accepted tables are in force on each VM.
const applyTimeout = 2 * time.Second

// holder is a VM that has the newest tables in force.
type holder struct {
	vm        string
	transport *link.Transport
	revision  atomic.Uint64
	silent    atomic.Bool // Calls get no answer.
}

func newHolder(t *testing.T, vm string) *holder {
	t.Helper()
	h := &holder{vm: vm}
	h.revision.Store(1)
	ring, err := keys.Unverified(vm)
	assert.NilError(t, err)
	h.transport, err = link.Listen(t.Context(), "127.0.0.1:0", ring, h, hclog.NewNullLogger())
	assert.NilError(t, err)
	t.Cleanup(h.transport.Close)
	return h
}

func (h *holder) Message(string, *fleetpb.Envelope) {}
func (h *holder) Answered(string)                   {}

// Call answers as a leader.
func (h *holder) Call(ctx context.Context, _ string, c *fleetpb.Call) *fleetpb.Reply {
	if h.silent.Load() {
		<-ctx.Done()
		return &fleetpb.Reply{Code: fleetpb.Reply_UNAVAILABLE}
	}
	notice := &fleetpb.RevisionNotice{Number: h.revision.Load()}
	if !c.GetRead().GetNumberOnly() {
		notice.Revision = &fleetpb.Revision{Number: notice.Number, Document: fmt.Appendf(nil, "routes: [{name: r%d, match: {host: a}, pool: p, deadline: 1s}]\npools: [{name: p, service: s}]", notice.Number)}
	}
	return &fleetpb.Reply{State: notice}
}

// accept puts a revision in force and tells another VM so.
func (h *holder) accept(revision uint64, to string) {
	h.revision.Store(revision)
	m := &fleetpb.GossipMessage{Kind: fleetpb.GossipMessage_SYNC_REPLY, FromAddress: h.transport.Address(), Revision: revision, Members: []*fleetpb.Member{
		{Vm: h.vm, Address: h.transport.Address(), Replica: "r-" + h.vm, Incarnation: 1, Boot: 1, Revision: revision},
	}}
	h.transport.Send(to, &fleetpb.Envelope{Body: &fleetpb.Envelope_Gossip{Gossip: m}})
}

// TestTablesArriveBesideSilentHolders guards against a VM that stays on older tables because the VMs that it
// asks for newer ones do not answer.
func TestTablesArriveBesideSilentHolders(t *testing.T) {
	for _, seed := range seeded.Seeds(t, 3) {
		src := rng.New(seed)
		p := newObserver(t, src)
		var holders []*holder
		for _, vm := range []string{"b", "c", "d", "e"} {
			h := newHolder(t, vm)
			holders = append(holders, h)
			h.accept(1, p.FleetAddress())
		}
		awaitRevision(t, p, 1, 10*time.Second)
		sound := src.IntN(len(holders))
		for i, h := range holders {
			h.silent.Store(i != sound)
		}
		for i, h := range holders { // The sound one is not the first to tell.
			if i != sound {
				h.accept(2, p.FleetAddress())
			}
		}
		holders[sound].accept(2, p.FleetAddress())
		awaitRevision(t, p, 2, applyTimeout)
		p.Stop()
	}
}

// newObserver starts a VM without a disk.
func newObserver(t *testing.T, src *rng.Source) *Plane {
	t.Helper()
	clk := clock.NewSystem()
	p, err := New(Config{
		Settings: settings.Settings{VM: "a", DataCentre: "x", Listen: settings.Listen{Fleet: "127.0.0.1:0"}, Fleet: settings.Fleet{WithoutKeys: true}},
		Clock:    clk, Sink: invariant.Fatal{}, Log: hclog.NewNullLogger(), Directory: catalog.New("a", clk, clock.Minute, nil), Source: src,
		Parts: quarantine.NewGuard(clk, (*decision.Log)(nil), tally.NoopScope), Explain: func(string) []byte { return nil }, Drain: func() {},
	})
	assert.NilError(t, err)
	assert.NilError(t, p.Start(t.Context()))
	return p
}

// TestStartBesideSilentVM guards against a VM that is not ready for long after its start, because one of the VMs
// that it asks for the current tables and upstreams does not answer.
func TestStartBesideSilentVM(t *testing.T) {
	var holders []*holder
	for _, vm := range []string{"b", "c", "d", "e"} {
		holders = append(holders, newHolder(t, vm))
	}
	for i := range holders {
		p := newObserver(t, rng.New(uint64(i)))
		for j, h := range holders {
			h.silent.Store(i == j)
			h.accept(1, p.FleetAddress())
		}
		started := time.Now()
		for p.Ready() != nil {
			assert.Assert(t, time.Since(started) < time.Second, "%s is silent: %v, %+v", holders[i].vm, p.Ready(), p.TablesStatus())
			time.Sleep(5 * time.Millisecond)
		}
		awaitRevision(t, p, 1, time.Second)
		p.Stop()
	}
}

func awaitRevision(t *testing.T, p *Plane, number uint64, limit time.Duration) {
	t.Helper()
	started := time.Now()
	for p.Current().GetNumber() < number || !p.TablesConfirmed() {
		if time.Since(started) > limit {
			t.Fatalf("revision %d is in force after %s, not %d: %+v", p.Current().GetNumber(), limit, number, p.TablesStatus())
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestReopenedReplicaDoesNotRevertTables guards against older tables that come back with the state that a replica
// has when it is opened again.
func TestReopenedReplicaDoesNotRevertTables(t *testing.T) {
	p := newPlane(t)
	document := func(path string) []byte {
		return fmt.Appendf(nil, "routes: [{name: r, match: {host: a, pathPrefix: %s}, pool: p, deadline: 1s}]\npools: [{name: p, service: s}]", path)
	}
	p.install(&fleetpb.Revision{Number: 7, Document: document("/new/")}, "b")
	old := state.New(invariant.Fatal{})
	old.Apply(1, &fleetpb.Command{Body: &fleetpb.Command_Adopt{Adopt: &fleetpb.AdoptTables{Number: 5, Document: document("/old/")}}})
	assert.Equal(t, old.Revision().GetNumber(), uint64(5))
	p.stateChanged(old)
	index := p.cfg.Directory.(*catalog.Catalog).Tables()
	_, ok := index.Route("a", "/new/1")
	assert.Assert(t, ok && index.Revision() == 7 && p.Current().GetNumber() == 7)
	assert.Equal(t, p.TablesStatus().Wanted, uint64(7))
}
