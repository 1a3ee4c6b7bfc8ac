package controlplane

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/base/invariant"
	"github.com/jasminecove/jasminecove/internal/control/catchup"
	"github.com/jasminecove/jasminecove/internal/control/patch"
	"github.com/jasminecove/jasminecove/internal/fleet/gossip"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// install puts a committed revision in force unless a newer one is already in force. The source is the VM
// that sent it.
func (p *Plane) install(rev *fleetpb.Revision, source string) {
	p.installMu.Lock()
	defer p.installMu.Unlock()
	current := p.current.Load()
	if current != nil && rev.Number <= current.Number {
		same := rev.Number < current.Number || string(rev.Document) == string(current.Document)
		invariant.Check(p.cfg.Sink, same, "oneWinnerARevision", "two documents are revision %d", rev.Number)
		return
	}
	doc, err := p.cfg.Parse(rev.Document)
	switch {
	case doc == nil:
		p.log.Error("failed to parse committed tables", "revision", rev.Number, "error", err)
		return
	case err != nil:
		// An earlier version accepted them by its own rules, and accepted tables stay in force.
		p.log.Warn("committed tables break a rule of this version", "revision", rev.Number, "error", err)
	}
	p.cfg.Directory.SetTables(doc.WithRevision(rev.Number))
	p.patches.add(current, rev)
	behind := p.TablesStatus().Behind
	p.current.Store(rev)
	p.currentSince.Store(int64(p.cfg.Clock.Now()))
	p.log.Info("tables in force", "revision", rev.Number, "author", rev.Author, "from", source, "behindMs", behind)
	p.update(gossip.RevisionMsg{Revision: rev.Number})
}

// wantRevision records that another VM has a newer revision in force or, without a VM, that
// the quorum has committed it. The highest number stays wanted until it is in force here.
func (p *Plane) wantRevision(number uint64, vm string) {
	next := &wantedRevision{number: number, vm: vm, since: p.cfg.Clock.Now()}
	for {
		was := p.wanted.Load()
		if was != nil && was.number >= number {
			break
		}
		if was != nil && was.number > p.Current().GetNumber() {
			next.since = was.since
		}
		if p.wanted.CompareAndSwap(was, next) {
			break
		}
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// fetchLoop first reads the current revision number from the quorum, and then fetches newer
// revisions from the VMs that have them in force.
func (p *Plane) fetchLoop(ctx context.Context) {
	p.task("first upstreams", func() { p.syncUpstreams(ctx) })
	for ctx.Err() == nil && !p.syncTables(ctx) {
		_ = delay.Wait(ctx, fetchRetryDelay)
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		for ctx.Err() == nil && p.behind() && !p.fetch(ctx) {
			_ = delay.Wait(ctx, fetchRetryDelay)
		}
	}
}

// syncTables reads the number of the current tables from the quorum and fetches them. A VM
// is ready only after that, so that it never serves outdated tables after a restart.
func (p *Plane) syncTables(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := p.client.Read(ctx, &fleetpb.ReadState{Tables: true, NumberOnly: true})
	if err != nil {
		return false
	}
	p.wantRevision(reply.GetState().GetNumber(), "")
	for p.behind() && !p.fetch(ctx) {
		if delay.Wait(ctx, fetchRetryDelay) != nil {
			return false
		}
	}
	p.stampedAt.Store(int64(p.cfg.Clock.Now()))
	p.confirmed.Store(true)
	p.log.Info("fetched the current tables", "revision", p.Current().GetNumber())
	return true
}

// TablesStatus says how current the tables of this VM are.
func (p *Plane) TablesStatus() catchup.Status {
	now := p.cfg.Clock.Now()
	st := catchup.Status{Revision: p.Current().GetNumber()}
	st.Wanted = st.Revision
	if st.Revision > 0 {
		st.Age = now.Sub(clock.Time(p.currentSince.Load()))
	}
	if w := p.wanted.Load(); w != nil && w.number > st.Revision {
		st.Wanted, st.Behind = w.number, now.Sub(w.since)
	}
	return st
}

// behind reports whether a newer revision than the one in force is wanted.
func (p *Plane) behind() bool {
	w := p.wanted.Load()
	return w != nil && w.number > p.Current().GetNumber()
}

// fetch fetches the wanted revision: first from the VM that reported it, and after that from
// a random VM that has it in force, which spreads the load when many VMs need it at once. It
// reports whether the wanted revision is in force here.
func (p *Plane) fetch(ctx context.Context) bool {
	w := p.wanted.Load()
	vm := w.vm
	if vm != "" {
		p.wanted.CompareAndSwap(w, &wantedRevision{number: w.number, since: w.since}) // Retry with any holder.
	} else {
		holders := p.holders(w.number)
		if len(holders) == 0 {
			return false
		}
		vm = holders[p.random(len(holders))]
	}
	current := p.Current()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	query := &fleetpb.ReadState{Tables: true, Local: true, Have: current.GetNumber()}
	asked := p.cfg.Clock.Now()
	reply, err := p.callVM(ctx, vm, &fleetpb.Call{From: p.cfg.Settings.VM, Body: &fleetpb.Call_Read{Read: query}})
	took := p.cfg.Clock.Now().Sub(asked)
	if err != nil || reply.Code != fleetpb.Reply_OK {
		p.log.Warn("failed to fetch tables", "vm", vm, "wanted", w.number, "tookMs", took, "code", reply.GetCode(), "error", err)
		return false
	}
	if took >= slowFetch {
		p.log.Warn("tables were fetched slowly", "vm", vm, "wanted", w.number, "tookMs", took)
	}
	rev, err := decodeNotice(current, reply.GetState())
	if err != nil {
		p.log.Warn("failed to decode fetched tables", "vm", vm, "error", err)
		return false
	}
	if rev != nil {
		p.install(rev, vm)
		p.patches.put(reply.GetState())
	}
	return !p.behind()
}

// holders returns the other live VMs that have a revision, or a newer one, in force.
func (p *Plane) holders(number uint64) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, m := range p.gossip.Live() {
		if m.Revision >= number && m.Vm != p.cfg.Settings.VM {
			out = append(out, m.Vm)
		}
	}
	return out
}

// random returns a number below n.
func (p *Plane) random(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cfg.Source.IntN(n)
}

// decodeNotice returns the revision of a notice, whose document may be a patch, or nil if
// the sending VM has no revision.
func decodeNotice(current *fleetpb.Revision, n *fleetpb.RevisionNotice) (*fleetpb.Revision, error) {
	if n.GetRevision() == nil || len(n.Patch) == 0 {
		return n.GetRevision(), nil
	}
	var base []byte
	if n.Base != 0 {
		if current.GetNumber() != n.Base {
			return nil, ErrBaseMismatch
		}
		base = current.Document
	}
	document, err := patch.Apply(base, n.Patch)
	if err != nil {
		return nil, err
	}
	rev := proto.CloneOf(n.Revision)
	rev.Document = document
	return rev, nil
}

// notice returns the revision in force, as a patch if possible, for a VM that has revision
// have.
func (p *Plane) notice(have uint64) *fleetpb.RevisionNotice {
	current := p.Current()
	n := &fleetpb.RevisionNotice{Number: current.GetNumber(), Revision: current}
	if base, data, ok := p.patches.get(have, current); ok {
		n.Revision = &fleetpb.Revision{
			Number: current.Number, ChangeId: current.ChangeId, Author: current.Author, Note: current.Note, AtMs: current.AtMs,
		}
		n.Base, n.Patch = base, data
	}
	return n
}

// maxPatchBaseAge is the number of revisions that a VM may be behind and still get a patch.
const maxPatchBaseAge = 16

// patchCache computes the patch between two revisions once and keeps it.
type patchCache struct {
	mu        sync.Mutex
	documents map[uint64][]byte
	patches   map[[2]uint64][]byte
}

// add keeps the document of the previous revision as a base for patches, and drops the cached
// patches and the bases that are too old.
func (c *patchCache) add(previous, current *fleetpb.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.documents == nil {
		c.documents = map[uint64][]byte{}
	}
	c.patches = map[[2]uint64][]byte{}
	if previous != nil {
		c.documents[previous.Number] = previous.Document
	}
	for number := range c.documents {
		if number+maxPatchBaseAge < current.Number {
			delete(c.documents, number)
		}
	}
}

// put keeps a patch that was received from another VM, for the VMs that will ask this one.
func (c *patchCache) put(n *fleetpb.RevisionNotice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(n.Patch) > 0 && c.patches != nil {
		c.patches[[2]uint64{n.Base, n.Revision.GetNumber()}] = n.Patch
	}
}

// get returns the current document compressed with the document of revision have as the
// dictionary, and have as the base. If that document is not kept, it is compressed without a
// dictionary and the base is 0.
func (c *patchCache) get(have uint64, current *fleetpb.Revision) (base uint64, data []byte, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current == nil || have >= current.Number {
		return 0, nil, false
	}
	document, kept := c.documents[have]
	if !kept {
		have = 0
	}
	key := [2]uint64{have, current.Number}
	if data, ok := c.patches[key]; ok {
		return have, data, true
	}
	data, err := patch.Make(document, current.Document)
	if err != nil || len(data) >= len(current.Document) {
		return 0, nil, false
	}
	c.patches[key] = data
	return have, data, true
}
