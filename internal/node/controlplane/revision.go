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

// learnPresent asks the quorum for the tables in force. A VM is ready only after
// that, so that a restart never serves the past.
func (p *Plane) learnPresent(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := p.client.Read(ctx, &fleetpb.ReadState{Tables: true})
	if err != nil {
		return false
	}
	if rev := reply.GetState().GetRevision(); rev != nil {
		p.install(rev)
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

// fetch asks the VM that told of a newer revision, or the quorum when that VM does not
// answer with it. It reports whether the wanted revision is here.
func (p *Plane) fetch(ctx context.Context) bool {
	w := p.wanted.Load()
	present := p.Current()
	short, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if w.vm != "" {
		ask := &fleetpb.ReadState{Tables: true, Local: true, Have: present.GetNumber()}
		reply, err := p.callVM(short, w.vm, &fleetpb.Call{From: p.cfg.Settings.VM, Body: &fleetpb.Call_Read{Read: ask}})
		if err == nil {
			if rev, ok := unfold(present, reply.GetState()); ok {
				p.install(rev)
			}
		}
		if !p.behind() {
			return true
		}
	}
	reply, err := p.client.Read(short, &fleetpb.ReadState{Tables: true})
	if err != nil || reply.GetState().GetRevision() == nil {
		return false
	}
	p.install(reply.State.Revision)
	return !p.behind()
}

// unfold returns the revision of a notice, whose document may be a patch.
func unfold(present *fleetpb.Revision, n *fleetpb.RevisionNotice) (*fleetpb.Revision, bool) {
	if n.GetRevision() == nil || n.Base == 0 {
		return n.GetRevision(), n.GetRevision() != nil
	}
	if present.GetNumber() != n.Base {
		return nil, false
	}
	document, err := patch.Apply(present.Document, n.Patch)
	if err != nil {
		return nil, false
	}
	rev := proto.CloneOf(n.Revision)
	rev.Document = document
	return rev, true
}

// notice returns the revision in force for a VM that has an earlier one.
func (p *Plane) notice(have uint64) *fleetpb.RevisionNotice {
	present := p.Current()
	n := &fleetpb.RevisionNotice{Number: present.GetNumber(), Revision: present}
	if data, ok := p.patches.get(have, present); ok {
		n.Revision = &fleetpb.Revision{
			Number: present.Number, ChangeId: present.ChangeId, Author: present.Author, Note: present.Note, AtMs: present.AtMs,
		}
		n.Base, n.Patch = have, data
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

// get returns the patch from a revision to the present one, if it pays.
func (c *patchCache) get(have uint64, present *fleetpb.Revision) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	base, ok := c.documents[have]
	if !ok || present == nil || have >= present.Number {
		return nil, false
	}
	key := [2]uint64{have, present.Number}
	if data, ok := c.patches[key]; ok {
		return data, true
	}
	data, err := patch.Make(base, present.Document)
	if err != nil || len(data) >= len(present.Document) {
		return nil, false
	}
	c.patches[key] = data
	return data, true
}
