// Command 2 has an engine send bytes that are no answer in the body of some of its streams, and
// checks that no caller gets them within a complete answer.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasminecove/jasminecove/review/stand"
)

// The load, and the dose of the disruption.
const (
	callers       = 6
	loadTime      = 40 * time.Second
	events        = 10
	eventInterval = 20 * time.Millisecond
	garbleEvery   = 50 // One in so many answers of one engine of three.
	garbleAfter   = 4  // Events.
	chunkBytes    = 4 << 10
	chunkInterval = 2 * time.Millisecond
	timeBudget    = 20 * time.Second
)

func main() { stand.Main(4, 3, run) }

func run(s *stand.Script) int {
	if err := s.Fleet.StartAll(); err != nil {
		s.Show("no fleet: %v", err)
		return stand.ExitNotRun
	}
	var garbled atomic.Int64
	var runs sync.Map // Engines of each request, by its ID.
	for i := range 3 {
		e, err := s.NewReplica(fmt.Sprintf("i-crew%d", i), stand.Crew, i, 0)
		if err != nil {
			s.Show("no engine: %v", err)
			return stand.ExitNotRun
		}
		e.Kind, e.Slots = stand.EngineKind, 192
		faulty := i == 0 && stand.Trouble()
		var answers atomic.Int64
		e.Serve = func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get(stand.HeaderID)
			s.Add("run %s at %s after event %q", id, e.ID, r.Header.Get("Last-Event-Id"))
			before, _ := runs.LoadOrStore(id, e.ID)
			if before != e.ID {
				runs.Store(id, before.(string)+","+e.ID)
			}
			spoil := faulty && answers.Add(1)%garbleEvery == 0
			serveStream(w, r, id, spoil, func() {
				garbled.Add(1)
				s.Add("garble %s at %s: random bytes from event %d on", id, e.ID, garbleAfter+1)
			})
		}
		e.Start()
	}
	if err := s.Fleet.PutConfig(stand.Manifest, 20*time.Second); err != nil {
		s.Show("%v", err)
		return stand.ExitNotRun
	}
	warm := stand.NewClient(timeBudget)
	if !stand.Eventually(20*time.Second, func() bool {
		a := send(warm, s.Fleet.VMs[3], fmt.Sprintf("warm%d", time.Now().UnixNano()))
		return a.Status == http.StatusOK
	}) {
		s.Show("no stream was served")
		return stand.ExitNotRun
	}
	time.Sleep(4 * time.Second) // All engines get their layers.

	var whole, foreign, other atomic.Int64
	var wait sync.WaitGroup
	end := time.Now().Add(loadTime)
	for c := range callers {
		wait.Go(func() {
			client := stand.NewClient(timeBudget)
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("%08x%08x", c, n)
				a := send(client, s.Fleet.VMs[c%len(s.Fleet.VMs)], id)
				at, _ := runs.Load(id)
				switch {
				case a.Status != http.StatusOK || !a.Complete:
					other.Add(1)
					s.Add("answer %s status=%d complete=%t engines=%v error=%v", id, a.Status, a.Complete, at, a.Err)
				case a.Header.Get(stand.HeaderSeal) != "" && a.Body == stand.Stream(id, events):
					whole.Add(1)
					s.Add("answer %s status=200 whole engines=%v", id, at)
				default:
					foreign.Add(1)
					s.Show("answer %s status=200 seal=%q complete, but %d bytes instead of %d, ends with the last event: %t, engines=%v",
						id, a.Header.Get(stand.HeaderSeal), len(a.Body), len(stand.Stream(id, events)), strings.HasSuffix(a.Body, stand.Event(id, events)), at)
				}
			}
		})
	}
	wait.Wait()
	s.Show("garbled %d, whole answers %d, other ends %d, complete answers with foreign bytes %d", garbled.Load(), whole.Load(), other.Load(), foreign.Load())
	switch {
	case foreign.Load() > 0:
		return stand.ExitBroken
	case whole.Load() == 0 || stand.Trouble() && garbled.Load() == 0:
		return stand.ExitNotRun
	}
	return stand.ExitHeld
}

func send(client *http.Client, v *stand.VM, id string) stand.Answer {
	return stand.Send(client, v, http.MethodPost, stand.DraftPath+"1", id, "{}", timeBudget,
		"X-Jasminecove-Model", "m", "X-Jasminecove-Token-Count", "60,20", "X-Jasminecove-Prefix-Hash", fmt.Sprintf("5c1e07a2:40,%s:20", id[:8]))
}

// serveStream answers with events from the one after Last-Event-Id on. If spoil is set, random
// bytes follow some events, until the channel is closed.
func serveStream(w http.ResponseWriter, r *http.Request, id string, spoil bool, spoiled func()) {
	last := 0
	_, _ = fmt.Sscanf(r.Header.Get("Last-Event-Id"), "%d", &last) // Absent in a first run.
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(stand.HeaderSeal, "seal-"+id)
	flush := http.NewResponseController(w)
	for n := last + 1; n <= events; n++ {
		if spoil && n > garbleAfter {
			spoiled()
			sendGarbage(w, r)
			return
		}
		if _, err := fmt.Fprint(w, stand.Event(id, n)); err != nil || flush.Flush() != nil {
			return
		}
		time.Sleep(eventInterval)
	}
}

// sendGarbage sends random bytes until the caller closes.
func sendGarbage(w http.ResponseWriter, r *http.Request) {
	src := rand.New(rand.NewPCG(1, uint64(time.Now().UnixNano())))
	buf := make([]byte, chunkBytes)
	for r.Context().Err() == nil {
		for i := range buf {
			buf[i] = byte(src.Uint32())
		}
		if _, err := w.Write(buf); err != nil {
			return
		}
		time.Sleep(chunkInterval)
	}
}
