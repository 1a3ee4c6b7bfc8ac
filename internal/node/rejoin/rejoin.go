// Package rejoin restores the upstreams of a VM after a restart, so that it need not wait
// until they announce themselves. The stored list contains candidates only: an upstream is
// used once it has confirmed, under its own id, that it accepts requests.
package rejoin

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/base/label"
	"github.com/jasminecove/jasminecove/internal/control/journal"
	"github.com/jasminecove/jasminecove/internal/fleet/registry"
	"github.com/jasminecove/jasminecove/internal/node/decision"
	"github.com/jasminecove/jasminecove/internal/node/placer"
	"github.com/jasminecove/jasminecove/internal/routing/catalog"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// File names in the data folder.
const (
	listFile    = "upstreams"
	newListFile = "upstreams.new"
)

// packedSequenceBits is the number of low bits of a sequence in lists that earlier versions have
// saved. The start time is in the bits above.
const packedSequenceBits = 20

// Intervals, delays and limits of the store.
const (
	// saveInterval is the minimum interval between writes of the list. It bounds the number
	// of syncs on the disk that the store shares with the journal.
	saveInterval = 2 * time.Second
	// firstSaveDelay is how long the process must have run before its view replaces the
	// stored list: longer than upstreams take to announce themselves.
	firstSaveDelay = 5 * time.Second
	// syncPollInterval is the interval at which UpstreamsSynced is polled.
	syncPollInterval = 10 * time.Millisecond
	// checkTimeout bounds the calls to one upstream.
	checkTimeout = 400 * time.Millisecond
	// maxConcurrentChecks bounds the upstreams that are checked at the same time.
	maxConcurrentChecks = 32
	// restoredLease is how long a restored upstream is used until it announces itself: a
	// few announcement intervals.
	restoredLease = 3 * clock.Second
)

// API sends calls to upstreams.
type API interface {
	// Healthy returns nil if an upstream accepts requests. It fails if another process
	// answers at the address.
	Healthy(ctx context.Context, id, address, path string) error
	// Report asks an engine for its state.
	Report(ctx context.Context, id, address string) (placer.Report, error)
}

// Parts holds what is known of requests and prompt parts on which upstreams crash.
type Parts interface {
	All() []*fleetpb.PartRecord
	Merge(source string, records []*fleetpb.PartRecord)
	// Version returns a number that grows with each change.
	Version() uint64
}

// Fleet gives access to the other VMs.
type Fleet interface {
	// Addresses returns fleet addresses of other VMs that are live.
	Addresses() []string
	// AddSeeds adds addresses at which other VMs may be found.
	AddSeeds(addresses []string)
}

// Store saves the list of upstreams to the data folder and restores it after a restart.
type Store struct {
	Disk    journal.Disk
	Catalog *catalog.Catalog
	API     API
	Log     *decision.Log
	// UpstreamsSynced reports whether the upstreams have been fetched from other VMs. The store
	// waits for that, so that it checks only upstreams that no other VM has. Nil means a lone
	// VM.
	UpstreamsSynced func() bool
	// Parts holds what is known of requests and prompt parts on which upstreams crash. It may be nil.
	Parts Parts
	// Fleet holds the other VMs. It may be nil.
	Fleet Fleet

	savedVMs     []string // Addresses of the saved list.
	savedVersion uint64   // Catalog version of the saved list.
	savedParts   uint64   // Version of the saved parts.
	saveFailed   bool     // The last write failed.
}

// Run restores the list, and then saves it whenever upstreams have changed, until ctx ends.
func (s *Store) Run(ctx context.Context) {
	s.restore(ctx)
	for wait := firstSaveDelay; delay.Wait(ctx, wait) == nil; wait = saveInterval {
		err := s.Save()
		if (err != nil) != s.saveFailed {
			s.saveFailed = err != nil
			s.Log.Decision("upstreamsSaved", listFile, "outcome", outcome(err))
		}
	}
}

func outcome(err error) string {
	if err == nil {
		return "done"
	}
	return err.Error()
}

// Save writes the list if it has changed. It replaces the file atomically, so that a crash
// during the write leaves the previous list intact.
func (s *Store) Save() error {
	version := s.Catalog.Version()
	index := s.Catalog.Tables()
	partsVersion := uint64(0)
	if s.Parts != nil {
		partsVersion = s.Parts.Version()
	}
	vms := s.otherVMs()
	if version == s.savedVersion && partsVersion == s.savedParts && slices.Equal(vms, s.savedVMs) || index == nil {
		return nil
	}
	paths := map[string]string{}
	for _, p := range index.Document().Pools {
		paths[p.Service] = p.HealthPath
	}
	list := &fleetpb.KnownUpstreams{SavedMs: uint64(time.Now().UnixMilli()), Vms: vms}
	if s.Parts != nil {
		list.Parts = s.Parts.All()
	}
	for _, a := range s.Catalog.Announcements() {
		if a.Leaving {
			continue
		}
		data, err := proto.Marshal(a)
		if err != nil {
			return fmt.Errorf("encode upstream %s: %w", a.Id, err)
		}
		list.Upstreams = append(list.Upstreams, &fleetpb.KnownUpstream{Announcement: data, HealthPath: paths[a.Name]})
	}
	data, err := proto.Marshal(list)
	if err != nil {
		return fmt.Errorf("encode upstreams: %w", err)
	}
	if err := s.replaceFile(data); err != nil {
		return fmt.Errorf("write upstreams: %w", err)
	}
	s.savedVersion, s.savedParts, s.savedVMs = version, partsVersion, vms
	return nil
}

// otherVMs returns the addresses to save: those of the VMs that are live, or else the ones that are saved
// already.
func (s *Store) otherVMs() []string {
	if s.Fleet == nil {
		return nil
	}
	if vms := s.Fleet.Addresses(); len(vms) > 0 {
		return vms
	}
	return s.savedVMs
}

// RestoreVMs has the fleet look for other VMs at the stored addresses too, since those in the settings
// may be of VMs that are lost.
func (s *Store) RestoreVMs() {
	list := s.load()
	if list == nil || s.Fleet == nil {
		return
	}
	s.savedVMs = slices.DeleteFunc(list.Vms, func(address string) bool {
		_, err := netip.ParseAddrPort(address)
		return err != nil
	})
	s.Fleet.AddSeeds(s.savedVMs)
}

func (s *Store) replaceFile(data []byte) error {
	f, err := s.Disk.Create(newListFile)
	if err != nil {
		return err
	}
	if _, err = f.Write(data); err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := s.Disk.Rename(newListFile, listFile); err != nil {
		return err
	}
	return s.Disk.SyncFolder()
}

// load reads the stored list. It returns nil if there is none that can be read.
func (s *Store) load() *fleetpb.KnownUpstreams {
	data, err := s.Disk.ReadFile(listFile)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	list := &fleetpb.KnownUpstreams{}
	if err == nil {
		err = proto.Unmarshal(data, list)
	}
	if err != nil {
		s.Log.Decision("upstreamsRecalled", listFile, "outcome", err.Error())
		return nil
	}
	return list
}

// RestoreParts restores the prompt parts, whose records have aged since they were saved.
func (s *Store) RestoreParts() {
	list := s.load()
	if list == nil || s.Parts == nil {
		return
	}
	age := max(0, time.Now().UnixMilli()-int64(list.SavedMs))
	for _, r := range list.Parts {
		r.AgeMs = uint32(min(math.MaxUint32, int64(r.AgeMs)+age))
		r.BlockedMs = uint32(max(0, int64(r.BlockedMs)-age))
	}
	s.Parts.Merge("disk", list.Parts)
}

// restore checks the upstreams of the list concurrently, and adds those that accept requests to
// the catalog.
func (s *Store) restore(ctx context.Context) {
	list := s.load()
	if list == nil {
		return
	}
	for s.UpstreamsSynced != nil && !s.UpstreamsSynced() {
		if delay.Wait(ctx, syncPollInterval) != nil {
			return
		}
	}
	start := time.Now()
	var checks sync.WaitGroup
	var known atomic.Int64
	slots := make(chan struct{}, maxConcurrentChecks)
	for _, u := range list.Upstreams {
		slots <- struct{}{}
		checks.Go(func() {
			defer crash.Recover("check of a stored upstream")
			defer func() { <-slots }()
			if s.check(ctx, u) {
				known.Add(1)
			}
		})
	}
	checks.Wait()
	s.Log.Decision("upstreamsRecalled", listFile, "outcome", "done", "listed", len(list.Upstreams), "known", known.Load(),
		"tookMs", time.Since(start).Milliseconds())
}

// isHealthPath reports whether a stored path can be requested.
func isHealthPath(path string) bool {
	return path != "" && label.IsPrintable(path) && !strings.Contains(path, " ")
}

// check asks one upstream whether it accepts requests, and reports whether the catalog has it.
func (s *Store) check(ctx context.Context, u *fleetpb.KnownUpstream) bool {
	a := &upstreampb.Announcement{}
	if err := proto.Unmarshal(u.Announcement, a); err != nil || registry.Validate(a) != nil || !isHealthPath(u.HealthPath) {
		return false
	}
	if a.StartedMs > 0 && a.Sequence>>packedSequenceBits == a.StartedMs {
		a.Sequence &= 1<<packedSequenceBits - 1
	}
	if _, known := s.Catalog.Upstream(a.Id); known {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if err := s.API.Healthy(ctx, a.Id, a.Address, u.HealthPath); err != nil {
		s.Log.Decision("upstreamNotRecalled", a.Id, "address", a.Address, "error", err.Error())
		return false
	}
	if a.LayerTo > a.LayerFrom {
		r, err := s.API.Report(ctx, a.Id, a.Address)
		if err != nil {
			s.Log.Decision("upstreamNotRecalled", a.Id, "address", a.Address, "error", err.Error())
			return false
		}
		a.LayerFrom, a.LayerTo = uint32(r.From), uint32(r.To)
		if !r.IsOf(a.StartedMs) || registry.Validate(a) != nil || r.To > s.modelLayers(a.Name) {
			s.Log.Decision("upstreamNotRecalled", a.Id, "address", a.Address, "startedMs", r.StartedMs, "from", r.From, "to", r.To)
			return false
		}
	}
	a.LeaseMs = uint32(restoredLease)
	s.Catalog.Restore(a)
	return true
}

// modelLayers returns the number of layers of the model that the engines of a service run.
func (s *Store) modelLayers(service string) int {
	if index := s.Catalog.Tables(); index != nil {
		for _, p := range index.Document().Pools {
			if p.Service == service && p.Engine != nil {
				return p.Engine.Layers
			}
		}
	}
	return math.MaxInt
}
