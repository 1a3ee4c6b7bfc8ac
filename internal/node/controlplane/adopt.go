package controlplane

import (
	"context"
	"slices"
	"time"

	"github.com/jasminecove/jasminecove/internal/fleet/gossip"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// adoptedWait is how long the acknowledgement of committed tables waits at most until they are in force on this
// VM. They are fetched in any case.
const adoptedWait = 300 * time.Millisecond

// Adopt commits tables under a revision number chosen by the operator. The highest number
// is in force; a lower or equal one changes nothing. For an invalid document Adopt returns
// the error of Config.Parse. After any other error the tables may or may not be committed.
func (p *Plane) Adopt(ctx context.Context, number uint64, document []byte, author string) (current uint64, err error) {
	if _, err := p.cfg.Parse(document); err != nil {
		return 0, err
	}
	result, err := p.client.Propose(ctx, &fleetpb.Command{
		Body: &fleetpb.Command_Adopt{Adopt: &fleetpb.AdoptTables{Number: number, Document: document, Author: author}},
	})
	if err != nil {
		return 0, err
	}
	// The operator's next request may come to this VM.
	ctx, cancel := context.WithTimeout(ctx, adoptedWait)
	defer cancel()
	_ = p.awaitRevision(ctx, result.Revision, p.client.Leader())
	return result.Revision, nil
}

// LatestRevision reads the newest committed revision from the quorum. It returns nil before
// the first one.
func (p *Plane) LatestRevision(ctx context.Context) (*fleetpb.Revision, error) {
	reply, err := p.client.Read(ctx, &fleetpb.ReadState{Tables: true})
	if err != nil {
		return nil, err
	}
	return reply.GetState().GetRevision(), nil
}

// PublishDigests gossips changes of the upstreams whose home is this VM.
func (p *Plane) PublishDigests(digests []*fleetpb.Digest) {
	p.update(gossip.DigestsMsg{Digests: digests})
}

// SetSeeds replaces the seed addresses that are used to find lost VMs.
func (p *Plane) SetSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
	p.gossip.SetSeeds(slices.Concat(p.seeds, p.storedSeeds))
}

// Seeds returns the seed addresses of the settings.
func (p *Plane) Seeds() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seeds
}

// AddSeeds implements rejoin.Fleet. Other seeds do not replace the addresses.
func (p *Plane) AddSeeds(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storedSeeds = addresses
	p.gossip.SetSeeds(slices.Concat(p.seeds, p.storedSeeds))
}

// Addresses implements rejoin.Fleet. It returns VMs with a disk first, and few of the others.
func (p *Plane) Addresses() []string {
	const maxAddresses = 16
	var withDisk, others []string
	for _, m := range p.Members() {
		switch {
		case m.Vm == p.cfg.Settings.VM || m.State != fleetpb.Member_ALIVE:
		case m.Replica != "":
			withDisk = append(withDisk, m.Address)
		default:
			others = append(others, m.Address)
		}
	}
	slices.Sort(withDisk)
	slices.Sort(others)
	all := slices.Concat(withDisk, others)
	return all[:min(len(all), maxAddresses)]
}

// IsAlone reports whether this VM reaches no other one.
func (p *Plane) IsAlone() bool { return len(p.Addresses()) == 0 }
