package detector_test

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/node/decision"
	"github.com/jasminecove/jasminecove/internal/node/detector"
	"github.com/jasminecove/jasminecove/internal/node/placer"
	"github.com/jasminecove/jasminecove/internal/upstream/call"
)

// beliefs is a catalog that keeps what it was told.
type beliefs struct {
	ids  map[string]string // By address.
	mu   sync.Mutex
	dead []string
}

func (b *beliefs) ByAddress(address string) (string, bool) {
	id, ok := b.ids[address]
	return id, ok
}

func (b *beliefs) MarkDead(id string, _ bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dead = append(b.dead, id)
}

func (b *beliefs) MarkUnreachable(string) {}

// reports answers each engine's question for whom it waits.
type reports struct {
	placer.API
	stalled []string
	asked   int
}

func (r *reports) Report(context.Context, string, string) (placer.Report, error) {
	r.asked++
	return placer.Report{Stalled: r.stalled}, nil
}

func newDetector(t *testing.T, b *beliefs, r *reports) (d *detector.Detector, wait func()) {
	t.Helper()
	var tasks sync.WaitGroup
	log := decision.New("vm", hclog.Error, io.Discard)
	t.Cleanup(log.Close)
	return detector.New(detector.Config{
		Clock: clock.NewSystem(), Catalog: b, Engines: r, Prober: call.NewPool(), Log: log,
		Go: func(task func()) { tasks.Go(task) },
	}), tasks.Wait
}

// TestEngineWhoseProcessEndedIsDeadAndOneThatListensIsNot names two engines at fault,
// of which one refused for want of room only.
func TestEngineWhoseProcessEndedIsDeadAndOneThatListensIsNot(t *testing.T) {
	listens, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, listens.Close()) }()
	ended, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	gone := ended.Addr().String()
	assert.NilError(t, ended.Close())
	b := &beliefs{ids: map[string]string{listens.Addr().String(): "full", gone: "gone"}}
	d, wait := newDetector(t, b, &reports{})
	for range 3 {
		d.Verify(listens.Addr().String(), "named at fault", "r1")
		d.Verify(gone, "named at fault", "r2")
	}
	wait()
	assert.DeepEqual(t, b.dead, []string{"gone"})
}

// TestRequestsThatStallTogetherShareOneQuestion lets many requests stall at one engine.
func TestRequestsThatStallTogetherShareOneQuestion(t *testing.T) {
	b := &beliefs{ids: map[string]string{"a:1": "lost"}}
	r := &reports{stalled: []string{"a:1", "b:2"}}
	d, _ := newDetector(t, b, r)
	for range 5 {
		d.Stalled(t.Context(), "first", "c:3")
	}
	assert.Equal(t, r.asked, 1)
	assert.Assert(t, slices.Equal(b.dead, []string{"lost"}))
}
