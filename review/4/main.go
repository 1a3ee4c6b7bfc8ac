// Command 4 drains a replica that has been up for 15 days, and checks that no request reaches it
// later than drainMs after the ack.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasminecove/jasminecove/review/stand"
)

const (
	vms = 4
	// uptimeReports is the number of status reports of a replica that has sent one in 1.2 s for
	// 15 days.
	uptimeReports = 15 * 24 * 3600 * 1000 / stand.HeartbeatMs
	// work is how long a booking takes.
	work = 400 * time.Millisecond
	// littleLonger is how long the replica serves beyond drainMs.
	littleLonger = 1500 * time.Millisecond
	// settleTime is the time after the start in which a replica is not drained: the VMs are in touch
	// then.
	settleTime = 20 * time.Second
	// searchTime is how long requests are sent until the replica gets one.
	searchTime = 90 * time.Second
	timeBudget = 4 * time.Second
	callers    = 24
	// staying is the number of replicas that stay: one of eight drains.
	staying = 7
)

// arrival is one request that reached the replica.
type arrival struct {
	id string
	at time.Time
}

func main() { stand.Main(vms, 3, run) }

func run(s *stand.Script) int {
	if err := s.Fleet.StartAll(); err != nil {
		s.Show("no fleet: %v", err)
		return stand.ExitNotRun
	}
	started := time.Now()
	for i := range staying {
		if _, err := s.NewDesk(fmt.Sprint("i-young", i), i, work); err != nil {
			s.Show("no replica: %v", err)
			return stand.ExitNotRun
		}
	}
	reports, uptime := uint64(uptimeReports), uptimeReports*stand.HeartbeatMs*time.Millisecond
	if os.Getenv("AGE") == "0" { // For comparison: a replica that has just started.
		reports, uptime = 0, 0
	}
	old, err := s.NewReplica("i-old", stand.Desk, 0, reports)
	if err != nil {
		s.Show("no replica: %v", err)
		return stand.ExitNotRun
	}
	old.Born = started.Add(-uptime).UnixMilli()
	var mu sync.Mutex
	var arrivals []arrival
	reached := make(chan struct{}, 1)
	old.Serve = func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(stand.HeaderID)
		s.Add("run %s at %s", id, old.ID)
		mu.Lock()
		arrivals = append(arrivals, arrival{id, time.Now()})
		mu.Unlock()
		if time.Since(started) > settleTime {
			select {
			case reached <- struct{}{}:
			default:
			}
		}
		time.Sleep(work)
		w.Header().Set(stand.HeaderSeal, "seal-"+id)
		fmt.Fprintf(w, "done %s", id)
	}
	old.Start()
	if err := s.Fleet.PutConfig(stand.Manifest, 20*time.Second); err != nil {
		s.Show("%v", err)
		return stand.ExitNotRun
	}
	var stop atomic.Bool
	var statuses sync.Map // Status of each request, by its ID.
	var wait sync.WaitGroup
	for c := range callers {
		wait.Go(func() { book(s, c, &stop, &statuses) })
	}
	defer wait.Wait()
	defer stop.Store(true)

	select {
	case <-reached:
	case <-time.After(searchTime):
		s.Show("no request reached %s", old.ID)
		return stand.ExitNotRun
	}
	if !stand.Trouble() {
		time.Sleep(2 * stand.DrainTime)
		mu.Lock()
		s.Show("%s was not drained, %d requests reached it", old.ID, len(arrivals))
		mu.Unlock()
		return stand.ExitHeld
	}
	vm, acked := old.Drain()
	s.Show("%s reports that it drains, acknowledged by %q", old.ID, vm)
	if vm == "" {
		return stand.ExitNotRun
	}
	time.Sleep(time.Until(acked.Add(stand.DrainTime + littleLonger)))
	old.End()
	s.Show("%s has exited", old.ID)
	time.Sleep(work + time.Second)
	mu.Lock()
	defer mu.Unlock()
	late, cut := 0, 0
	for _, a := range arrivals {
		if a.at.Sub(acked) <= stand.DrainTime {
			continue
		}
		late++
		status, _ := statuses.Load(a.id)
		if status != http.StatusOK {
			cut++
		}
		s.Add("late: %s reached %s %.3f s after the ack, answered %v", a.id, old.ID, a.at.Sub(acked).Seconds(), status)
	}
	s.Show("requests that reached %s later than drainMs after the ack: %d, of which not served: %d", old.ID, late, cut)
	if late > 0 {
		return stand.ExitBroken
	}
	return stand.ExitHeld
}

// book sends bookings until stop is set.
func book(s *stand.Script, c int, stop *atomic.Bool, statuses *sync.Map) {
	client := stand.NewClient(timeBudget)
	for n := 0; !stop.Load(); n++ {
		id := fmt.Sprintf("%08x%08x", c, n)
		a := stand.Send(client, s.Fleet.VMs[(c+n)%vms], http.MethodPost, stand.BookPath+"1", id, "{}", timeBudget)
		statuses.Store(id, a.Status)
		s.Add("answer %s: %d", id, a.Status)
		time.Sleep(50 * time.Millisecond)
	}
}
