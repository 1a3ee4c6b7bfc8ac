package controlplane

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/base/invariant"
	"github.com/jasminecove/jasminecove/internal/control/patch"
	"github.com/jasminecove/jasminecove/internal/fleet/gossip"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// install puts a committed revision in force, unless a newer one is already.
func (p *Plane) install(rev *fleetpb.Revision) {
	p.installMu.Lock()
	defer p.installMu.Unlock()
	present := p.current.Load()
	if present != nil && rev.Number <= present.Number {
		same := rev.Number < present.Number || string(rev.Document) == string(present.Document)
		invariant.Check(p.cfg.Sink, same, "oneWinnerARevision", "two documents are revision %d", rev.Number)
		return
	}
	doc, err := p.cfg.Parse(rev.Document)
	if err != nil {
		p.log.Error("committed tables are not readable", "revision", rev.Number, "error", err)
		return
	}
	p.patches.remember(present, rev)
	p.current.Store(rev)
	p.cfg.Directory.SetTables(doc)
	p.log.Info("tables in force", "revision", rev.Number, "author", rev.Author)
	p.update(gossip.RevisionMsg{Revision: rev.Number})
}

// wantRevision notes that another VM has a newer revision in force, or, without a VM,
// that the quorum has committed it. The highest number stays wanted until it is here.
func (p *Plane) wantRevision(number uint64, vm string) {
	next := &want{number: number, vm: vm}
	for {
		was := p.wanted.Load()
		if was != nil && was.number >= number {
			break
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

// fetchLoop first learns the present from the quorum, and then fetches newer
// revisions from the VMs that have them.
func (p *Plane) fetchLoop(ctx context.Context) {
	p.task(func() { p.learnUpstreams(ctx) })
	for ctx.Err() == nil && !p.learnPresent(ctx) {
		_ = delay.Wait(ctx, fetchPause)
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		for ctx.Err() == nil && p.behind() && !p.fetch(ctx) {
			_ = delay.Wait(ctx, fetchPause)
		}
	}
}

// learnPresent asks the quorum for the number of the tables in force, and has them
// fetched. A VM is ready only after that, so that a restart never serves the past.
func (p *Plane) learnPresent(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := p.client.Read(ctx, &fleetpb.ReadState{Tables: true, NumberOnly: true})
	if err != nil {
		return false
	}
	p.wantRevision(reply.GetState().GetNumber(), "")
	for p.behind() && !p.fetch(ctx) {
		if delay.Wait(ctx, fetchPause) != nil {
			return false
		}
	}
	p.stampedAt.Store(int64(p.cfg.Clock.Now()))
	p.confirmed.Store(true)
	p.log.Info("the present is known", "revision", p.Current().GetNumber())
	return true
}

func (p *Plane) behind() bool {
	w := p.wanted.Load()
	return w != nil && w.number > p.Current().GetNumber()
}

// fetch asks a VM that has the wanted revision in force for it: the one that told of it,
// or any, so that many VMs that need it at once spread over all that have it. It
// reports whether the revision is here.
func (p *Plane) fetch(ctx context.Context) bool {
	w := p.wanted.Load()
	vm := w.vm
	if vm != "" {
		p.wanted.CompareAndSwap(w, &want{number: w.number}) // Any, the next time.
	} else {
		holders := p.holders(w.number)
		if len(holders) == 0 {
			return false
		}
		vm = holders[p.random(len(holders))]
	}
	present := p.Current()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ask := &fleetpb.ReadState{Tables: true, Local: true, Have: present.GetNumber()}
	reply, err := p.callVM(ctx, vm, &fleetpb.Call{From: p.cfg.Settings.VM, Body: &fleetpb.Call_Read{Read: ask}})
	if err != nil || reply.Code != fleetpb.Reply_OK {
		p.log.Debug("tables not fetched", "vm", vm, "code", reply.GetCode(), "error", err)
		return false
	}
	rev, err := unfold(present, reply.GetState())
	if err != nil {
		p.log.Warn("tables not readable", "vm", vm, "error", err)
		return false
	}
	if rev != nil {
		p.install(rev)
	}
	return !p.behind()
}

// holders names the other live VMs that have a revision in force.
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

// unfold returns the revision of a notice, whose document may be compressed, or nil
// when the VM that sent it has none.
func unfold(present *fleetpb.Revision, n *fleetpb.RevisionNotice) (*fleetpb.Revision, error) {
	if n.GetRevision() == nil || len(n.Patch) == 0 {
		return n.GetRevision(), nil
	}
	var base []byte
	if n.Base != 0 {
		if present.GetNumber() != n.Base {
			return nil, ErrBaseMismatch
		}
		base = present.Document
	}
	document, err := patch.Apply(base, n.Patch)
	if err != nil {
		return nil, err
	}
	rev := proto.CloneOf(n.Revision)
	rev.Document = document
	return rev, nil
}

// notice returns the revision in force for a VM that has an earlier one.
func (p *Plane) notice(have uint64) *fleetpb.RevisionNotice {
	present := p.Current()
	n := &fleetpb.RevisionNotice{Number: present.GetNumber(), Revision: present}
	if base, data, ok := p.patches.get(have, present); ok {
		n.Revision = &fleetpb.Revision{
			Number: present.Number, ChangeId: present.ChangeId, Author: present.Author, Note: present.Note, AtMs: present.AtMs,
		}
		n.Base, n.Patch = base, data
	}
	return n
}

// keptPatches is how many revisions back a VM may be and still get a patch.
const keptPatches = 16

// patchCache makes the patch between two revisions once.
type patchCache struct {
	mu        sync.Mutex
	documents map[uint64][]byte
	patches   map[[2]uint64][]byte
}

// remember keeps a revision's document as a base for patches.
func (c *patchCache) remember(past, present *fleetpb.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.documents == nil {
		c.documents = map[uint64][]byte{}
	}
	c.patches = map[[2]uint64][]byte{}
	if past != nil {
		c.documents[past.Number] = past.Document
	}
	for number := range c.documents {
		if number+keptPatches < present.Number {
			delete(c.documents, number)
		}
	}
}

// get returns the present document compressed with that of a revision as a dictionary,
// if that is kept, or with none, and the revision or 0.
func (c *patchCache) get(have uint64, present *fleetpb.Revision) (base uint64, data []byte, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if present == nil || have >= present.Number {
		return 0, nil, false
	}
	document, kept := c.documents[have]
	if !kept {
		have = 0
	}
	key := [2]uint64{have, present.Number}
	if data, ok := c.patches[key]; ok {
		return have, data, true
	}
	data, err := patch.Make(document, present.Document)
	if err != nil || len(data) >= len(present.Document) {
		return 0, nil, false
	}
	c.patches[key] = data
	return have, data, true
}
