// Package rejoin lets a VM that starts again know the upstreams that it knew before its
// end, so that it need not wait until they announce themselves. What it remembers is a
// list to ask, not a belief: an upstream is used once it has answered under its own
// name that it takes requests.
package rejoin

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/control/journal"
	"github.com/jasminecove/jasminecove/internal/node/decision"
	"github.com/jasminecove/jasminecove/internal/node/placer"
	"github.com/jasminecove/jasminecove/internal/routing/catalog"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// Names in the data folder.
const (
	file    = "upstreams"
	newFile = "upstreams.new"
)

// Spans of the keeper.
const (
	// saveEvery is the least span between two lists that are written, which bounds the
	// syncs that the journal has to share its disk with.
	saveEvery = 2 * time.Second
	// saveAfter is how long the process must have run before its view replaces the
	// list: longer than upstreams take to announce themselves.
	saveAfter = 5 * time.Second
	// introducedLook is the span between two looks whether other VMs have told theirs.
	introducedLook = 10 * time.Millisecond
	// askTimeout bounds the questions to one upstream.
	askTimeout = 400 * time.Millisecond
	// asksAtOnce bounds the upstreams that are asked at the same time.
	asksAtOnce = 32
	// recalledLease is how long an upstream that answered is used unless it announces
	// itself: a few spans between announcements.
	recalledLease = 3 * clock.Second
)

// API asks upstreams.
type API interface {
	// Healthy asks an upstream whether it takes requests. Another process at the
	// address is an error.
	Healthy(ctx context.Context, id, address, path string) error
	// Report asks an engine for its account.
	Report(ctx context.Context, id, address string) (placer.Report, error)
}

// Keeper writes the list of upstreams down and recalls it.
type Keeper struct {
	Disk    journal.Disk
	Catalog *catalog.Catalog
	API     API
	Log     *decision.Log
	// Introduced reports whether other VMs have told the upstreams that they know, so
	// that only those that nobody knows are asked. Nil stands for a lone VM.
	Introduced func() bool

	saved  uint64 // Version of the catalog that the list shows.
	failed bool   // The last write failed.
}

// Run recalls the list, and then writes it again as upstreams change, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	k.recall(ctx)
	for wait := saveAfter; delay.Wait(ctx, wait) == nil; wait = saveEvery {
		err := k.Save()
		if (err != nil) != k.failed {
			k.failed = err != nil
			k.Log.Decision("upstreamsSaved", file, "outcome", outcome(err))
		}
	}
}

func outcome(err error) string {
	if err == nil {
		return "done"
	}
	return err.Error()
}

// Save writes the list if it has changed. A list that a crash cut short never takes the
// place of a whole one.
func (k *Keeper) Save() error {
	version := k.Catalog.Version()
	index := k.Catalog.Tables()
	if version == k.saved || index == nil {
		return nil
	}
	paths := map[string]string{}
	for _, p := range index.Document().Pools {
		paths[p.Service] = p.HealthPath
	}
	list := &fleetpb.KnownUpstreams{}
	for _, a := range k.Catalog.Announcements() {
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
	if err := k.replace(data); err != nil {
		return fmt.Errorf("write upstreams: %w", err)
	}
	k.saved = version
	return nil
}

func (k *Keeper) replace(data []byte) error {
	f, err := k.Disk.Create(newFile)
	if err != nil {
		return err
	}
	if _, err = f.Write(data); err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := k.Disk.Rename(newFile, file); err != nil {
		return err
	}
	return k.Disk.SyncFolder()
}

// recall asks the upstreams of the list, all at once, and tells the catalog those that
// take requests.
func (k *Keeper) recall(ctx context.Context) {
	data, err := k.Disk.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	list := &fleetpb.KnownUpstreams{}
	if err == nil {
		err = proto.Unmarshal(data, list)
	}
	if err != nil {
		k.Log.Decision("upstreamsRecalled", file, "outcome", err.Error())
		return
	}
	for k.Introduced != nil && !k.Introduced() {
		if delay.Wait(ctx, introducedLook) != nil {
			return
		}
	}
	began := time.Now()
	var asks sync.WaitGroup
	var known atomic.Int64
	slots := make(chan struct{}, asksAtOnce)
	for _, u := range list.Upstreams {
		slots <- struct{}{}
		asks.Go(func() {
			defer func() { <-slots }()
			if k.ask(ctx, u) {
				known.Add(1)
			}
		})
	}
	asks.Wait()
	k.Log.Decision("upstreamsRecalled", file, "outcome", "done", "listed", len(list.Upstreams), "known", known.Load(),
		"tookMs", time.Since(began).Milliseconds())
}

// ask asks one upstream, and reports whether it is used.
func (k *Keeper) ask(ctx context.Context, u *fleetpb.KnownUpstream) bool {
	a := &upstreampb.Announcement{}
	if err := proto.Unmarshal(u.Announcement, a); err != nil || u.HealthPath == "" {
		return false
	}
	if _, known := k.Catalog.Upstream(a.Id); known {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if err := k.API.Healthy(ctx, a.Id, a.Address, u.HealthPath); err != nil {
		k.Log.Decision("upstreamNotRecalled", a.Id, "address", a.Address, "error", err.Error())
		return false
	}
	if a.LayerTo > a.LayerFrom {
		r, err := k.API.Report(ctx, a.Id, a.Address)
		if err != nil {
			k.Log.Decision("upstreamNotRecalled", a.Id, "address", a.Address, "error", err.Error())
			return false
		}
		a.LayerFrom, a.LayerTo = uint32(r.From), uint32(r.To)
	}
	a.LeaseMs = uint32(recalledLease)
	k.Catalog.Restore(a)
	return true
}
