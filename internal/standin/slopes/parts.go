package slopes

import (
	"fmt"
	"runtime"
	"strings"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/invariant"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/control/patch"
	"github.com/jasminecove/jasminecove/internal/control/state"
	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/pipeline/session"
	"github.com/jasminecove/jasminecove/internal/routing/directory"
	"github.com/jasminecove/jasminecove/internal/standin/model"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// Numbers of calls in a measurement, and the shape of the model.
const (
	fewCalls  = 20
	manyCalls = 2000
	stages    = 4
	layers    = 32
)

// newDirectory returns a directory with n engines of one pool.
func newDirectory(n int) *directory.Directory {
	d := directory.New("vm", clock.NewManual(1000), rng.New(1), nil)
	d.SetTables(&tables.Document{Pools: []tables.Pool{{Name: "crew", Model: "crew", Layers: layers}}})
	for i := range n {
		k := uint32(i % stages)
		d.Announce(announcement(i, k, 1))
	}
	return d
}

// announcement returns an announcement of the i-th engine, which holds the layers of
// the stage.
func announcement(i int, stage uint32, sequence uint64) *upstreampb.Announcement {
	const width = layers / stages
	return &upstreampb.Announcement{
		Id: fmt.Sprintf("engine-%05d", i), Kind: "engine", Name: "crew", Version: "1", LayerFrom: stage * width, LayerTo: (stage + 1) * width,
		Accelerator: "kind-3", TokensPerSecond: float64(100 + i%900), CacheTokens: 1 << 20, Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250),
		LeaseMs: 1500, Sequence: sequence, DataCentre: "dc-07", Load: &upstreampb.LoadReport{Running: 3},
	}
}

// directorySlopes measure the directory of upstreams against the number of upstreams.
func directorySlopes() []Slope {
	var memory, renew, hashes []Point
	for _, n := range []int{1350, 2700, 5400, 10800} {
		before := heapBytes()
		d := newDirectory(n)
		memory = append(memory, Point{float64(n), heapBytes() - before})
		sequence := uint64(1)
		renew = append(renew, Point{float64(n), meanMicros(manyCalls, func() {
			sequence++
			d.Announce(announcement(1, 1, sequence))
		})})
		hashes = append(hashes, Point{float64(n), meanMicros(fewCalls, func() { d.HomeHashes() })})
		runtime.KeepAlive(d)
	}
	return []Slope{
		fit("directory, memory", "bytes a VM against upstreams", memory),
		fit("directory, one renewal", "us against upstreams", renew),
		fit("directory, home hashes", "us against upstreams", hashes),
	}
}

// pathSlopes measure the choice of a path and the plan of a pool against the replicas
// of the pool.
func pathSlopes() []Slope {
	var pick, plan []Point
	for _, n := range []int{80, 160, 320, 600, 1200} {
		d := newDirectory(n)
		pick = append(pick, Point{float64(n), meanMicros(manyCalls/4, func() {
			path, err := d.PickPath(directory.PathQuery{Pool: "crew"})
			if err == nil {
				d.Release(path)
			}
		})})
		down := false
		plan = append(plan, Point{float64(n), meanMicros(fewCalls, func() {
			down = !down
			d.SetLinkDown("engine-00001", down)
			d.Bound("crew")
		})})
	}
	return []Slope{
		fit("path of one request", "us against replicas of the pool", pick),
		fit("plan of a pool, once a change", "us against replicas of the pool", plan),
	}
}

// stateSlopes measure the replicated state against the claims in it.
func stateSlopes() []Slope {
	var memory, capture, encode []Point
	for _, n := range []int{12_500, 25_000, 50_000, 100_000} {
		before := heapBytes()
		s := state.New(invariant.Fatal{})
		for i := range n {
			s.Apply(uint64(i+1), &fleetpb.Command{AtMs: int64(i), Body: &fleetpb.Command_Claim{Claim: &fleetpb.ClaimBooking{
				Key: fmt.Sprintf("organisation-%d\x00bookings\x00key-%08d", i%780, i), Fingerprint: uint64(i), Owner: "vm-01#1796350962123", RunId: fmt.Sprintf("%032d", i),
			}}})
		}
		memory = append(memory, Point{float64(n), heapBytes() - before})
		capture = append(capture, Point{float64(n), meanMicros(fewCalls, func() { s.Capture() })})
		encode = append(encode, Point{float64(n), meanMicros(3, func() { _, _ = s.Encode() })})
		runtime.KeepAlive(s)
	}
	return []Slope{
		fit("state, memory", "bytes a replica against claims", memory),
		fit("state, capture in the loop", "us against claims", capture),
		fit("state, encode in the background", "us against claims", encode),
	}
}

// document returns a tables document with n routes and a pool for each, which ends
// in a comment with the mark.
func document(n int, mark string) []byte {
	var b strings.Builder
	b.WriteString("routes:\n")
	for i := range n {
		fmt.Fprintf(&b, "  - {name: route-%d, match: {pathPrefix: /service-%d}, pool: pool-%d, deadline: %ds}\n", i, i, i, i%50+1)
	}
	b.WriteString("pools:\n")
	for i := range n {
		fmt.Fprintf(&b, "  - {name: pool-%d, service: service-%d}\n", i, i)
	}
	b.WriteString("# " + mark + "\n")
	return []byte(b.String())
}

// patchSlopes measure the cost of a change of the tables on a VM against the number of
// routes.
func patchSlopes() []Slope {
	var bytes, apply, parse []Point
	for _, n := range []int{100, 250, 500, 1000} {
		base, next := document(n, "a"), document(n, "b")
		p, err := patch.Make(base, next)
		if err != nil {
			continue
		}
		bytes = append(bytes, Point{float64(n), float64(len(p))})
		apply = append(apply, Point{float64(n), meanMicros(fewCalls, func() { _, _ = patch.Apply(base, p) })})
		parse = append(parse, Point{float64(n), meanMicros(3, func() { _, _ = tables.Parse(next) })})
	}
	return []Slope{
		fit("change of tables, patch", "bytes against routes", bytes),
		fit("change of tables, unfold", "us against routes", apply),
		fit("change of tables, parse and check", "us against routes", parse),
	}
}

// sessionSlopes measure the state machine of sessions against the number of sessions.
func sessionSlopes() []Slope {
	var memory, hop []Point
	const positions, width = 200, 64
	for _, n := range []int{150, 300, 600, 1200} {
		before := heapBytes()
		sessions := make([]*session.Session, n)
		for i := range sessions {
			sessions[i] = startSession(uint64(i), width)
		}
		began := cpuTime()
		for p := range positions {
			for _, s := range sessions {
				stepSession(s, p, width)
			}
		}
		hops := float64(n * positions * stages)
		hop = append(hop, Point{float64(n), float64(cpuTime()-began) / float64(time.Microsecond) / hops})
		memory = append(memory, Point{float64(n), heapBytes() - before})
		runtime.KeepAlive(sessions)
	}
	return []Slope{
		fit("sessions, memory at 200 positions of 64 bytes", "bytes against sessions", memory),
		fit("sessions, core alone", "us a hop against sessions", hop),
	}
}

// startSession returns a session after the prefill of its prompt.
func startSession(id uint64, width int) *session.Session {
	prompt := make([]byte, 4*model.TokenBytes)
	s := session.New(id, layers, prompt, 4, model.EncodeToken, session.WithMaxTokens(1<<20))
	path := make([]session.Hop, stages)
	for k := range path {
		w := uint32(layers / stages)
		path[k] = session.Hop{Replica: fmt.Sprint("r", k), LayerFrom: uint32(k) * w, LayerTo: uint32(k+1) * w}
	}
	s.Update(session.StartMsg{Path: path})
	stepSession(s, -1, width)
	return s
}

// stepSession delivers the result of every hop at position p after the prompt, or of
// the prompt itself if p is negative.
func stepSession(s *session.Session, p, width int) {
	position, count := uint32(4+p), uint32(1)
	if p < 0 {
		position, count = 0, 4
	}
	for _, h := range s.Path() {
		s.Update(session.FrameMsg{Replica: h.Replica, Frame: &upstreampb.StageFrame{
			Kind: upstreampb.StageFrame_RESULT, Session: s.ID(), Lineage: s.Lineage(), Position: position, Count: count,
			LayerFrom: h.LayerFrom, LayerTo: h.LayerTo, Payload: make([]byte, width*int(count)),
		}})
	}
}
