package controlplane

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/crash"
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
		p.recordInForce(rev.Number)
		return
	case err != nil:
		// An earlier version accepted them by its own rules, and accepted tables stay in force.
		p.log.Warn("committed tables break a rule of this version", "revision", rev.Number, "error", err)
	}
	p.cfg.Directory.SetTables(doc.WithRevision(rev.Number))
	p.patches.add(current, rev)
	p.current.Store(rev)
	p.log.Info("tables in force", "revision", rev.Number, "author", rev.Author, "from", source, "behindMs", p.recordInForce(rev.Number))
	p.update(gossip.RevisionMsg{Revision: rev.Number})
}

// wantRevision records that a revision is committed. vm is a VM that has it in force, or "" if none is known.
func (p *Plane) wantRevision(number uint64, vm string) {
	defer p.wakeFetch()
	p.catchupMu.Lock()
	defer p.catchupMu.Unlock()
	p.catchup.Want(p.cfg.Clock.Now(), number, vm)
}

func (p *Plane) wakeFetch() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// fetchLoop fetches newer revisions from the VMs that have them in force.
func (p *Plane) fetchLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-timer.C:
		}
		vm, wait := p.nextSource()
		for vm != "" {
			asked := vm
			crash.Go("fetch of tables", func() { p.fetch(ctx, asked) })
			vm, wait = p.nextSource()
		}
		if wait > 0 {
			timer.Reset(wait.Std())
		}
	}
}

// nextSource returns the VM to ask for the tables now, or the time until the next one is to be asked; 0 if the
// newest ones are in force.
func (p *Plane) nextSource() (vm string, wait clock.Duration) {
	p.catchupMu.Lock()
	defer p.catchupMu.Unlock()
	st := p.catchup.Status(p.cfg.Clock.Now())
	if !st.IsBehind() {
		return "", 0
	}
	return p.catchup.Next(p.cfg.Clock.Now(), p.sources(st.Wanted))
}

// sources returns the live VMs that may have a revision in force: those of which it is known, and the gossip
// targets.
func (p *Plane) sources(number uint64) []catchup.Source {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []catchup.Source
	for _, m := range p.gossip.Live() {
		if m.Vm != p.cfg.Settings.VM && (m.Revision >= number || p.gossip.IsTarget(m.Vm)) {
			out = append(out, catchup.Source{VM: m.Vm, Revision: m.Revision})
		}
	}
	return out
}

// fetch asks a VM for the tables and puts them in force.
func (p *Plane) fetch(ctx context.Context, vm string) {
	ok := false
	defer func() { p.recordAnswer(vm, ok) }()
	ctx, cancel := context.WithTimeout(ctx, catchup.AttemptTimeout.Std())
	defer cancel()
	asked, current, wanted := p.cfg.Clock.Now(), p.Current(), p.TablesStatus().Wanted
	query := &fleetpb.ReadState{Tables: true, Local: true, Have: current.GetNumber()}
	reply, err := p.callVM(ctx, vm, &fleetpb.Call{From: p.cfg.Settings.VM, Body: &fleetpb.Call_Read{Read: query}})
	took := p.cfg.Clock.Now().Sub(asked)
	if err != nil || reply.Code != fleetpb.Reply_OK {
		p.log.Warn("failed to fetch tables", "vm", vm, "wanted", wanted, "tookMs", took, "code", reply.GetCode(), "error", err)
		return
	}
	if took >= catchup.HedgeDelay {
		p.log.Warn("tables were fetched slowly", "vm", vm, "wanted", wanted, "tookMs", took)
	}
	rev, err := decodeNotice(current, reply.GetState())
	if err != nil {
		p.log.Warn("failed to decode fetched tables", "vm", vm, "error", err)
		return
	}
	if rev != nil {
		p.install(rev, vm)
		p.patches.put(reply.GetState())
	}
	ok = rev.GetNumber() >= wanted
}

// recordAnswer records the end of an attempt to fetch the tables.
func (p *Plane) recordAnswer(vm string, ok bool) {
	defer p.wakeFetch()
	p.catchupMu.Lock()
	defer p.catchupMu.Unlock()
	p.catchup.Answered(p.cfg.Clock.Now(), vm, ok)
}

// confirmLoop reads the number of the current tables from the quorum, and waits until they are in force. A VM
// is ready only after that, so that it never serves outdated tables after a restart.
func (p *Plane) confirmLoop(ctx context.Context) {
	for ctx.Err() == nil {
		number, err := p.readCurrentNumber(ctx)
		if err == nil && p.awaitRevision(ctx, number, "") == nil {
			p.stampedAt.Store(int64(p.cfg.Clock.Now()))
			p.confirmed.Store(true)
			p.log.Info("fetched the current tables", "revision", p.Current().GetNumber())
			return
		}
		_ = delay.Wait(ctx, confirmRetryDelay)
	}
}

// readCurrentNumber reads the number of the newest committed revision from the quorum.
func (p *Plane) readCurrentNumber(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := p.client.Read(ctx, &fleetpb.ReadState{Tables: true, NumberOnly: true})
	return reply.GetState().GetNumber(), err
}

// awaitRevision fetches a committed revision and returns once it is in force. vm is a VM that has it, or "" for any.
func (p *Plane) awaitRevision(ctx context.Context, number uint64, vm string) error {
	p.wantRevision(number, vm)
	for p.Current().GetNumber() < number {
		if err := delay.Wait(ctx, installPollInterval); err != nil {
			return err
		}
	}
	return nil
}

// TablesStatus says how current the tables of this VM are.
func (p *Plane) TablesStatus() catchup.Status {
	p.catchupMu.Lock()
	defer p.catchupMu.Unlock()
	return p.catchup.Status(p.cfg.Clock.Now())
}

// recordInForce records that a revision is in force, or can never be, and returns how long it was awaited.
func (p *Plane) recordInForce(number uint64) (behind clock.Duration) {
	p.catchupMu.Lock()
	defer p.catchupMu.Unlock()
	now := p.cfg.Clock.Now()
	behind = p.catchup.Status(now).Behind
	p.catchup.InForce(now, number)
	return behind
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
