// Command 3 kills the process that has just acknowledged the end of a replica, and checks that no
// request reaches the replica later than drainMs after that.
package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jasminecove/jasminecove/review/stand"
)

const (
	vms   = 9
	disks = 3
	// home is the VM that gets the replica's reports. It has no disk.
	home = 5
	// restartDelay is the time until the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// serveTime is how long the replica serves after the ack: drainMs and some seconds.
	serveTime  = 10 * time.Second
	settleTime = 8 * time.Second
	timeBudget = 4 * time.Second
	callers    = 8
	// staying is the number of replicas that stay: one of eight leaves.
	staying = 7
)

func main() { stand.Main(vms, disks, run) }

func run(s *stand.Script) int {
	if err := s.Fleet.StartAll(); err != nil {
		s.Show("no fleet: %v", err)
		return stand.ExitNotRun
	}
	for i := range staying {
		if _, err := s.NewDesk(fmt.Sprint("i-stays", i), i, 15*time.Millisecond); err != nil {
			s.Show("no replica: %v", err)
			return stand.ExitNotRun
		}
	}
	leaves, err := s.NewReplica("i-leaves", stand.Desk, home, 0)
	if err != nil {
		s.Show("no replica: %v", err)
		return stand.ExitNotRun
	}
	var mu sync.Mutex
	var arrivals []time.Time
	leaves.Serve = func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(stand.HeaderID)
		s.Add("run %s at %s", id, leaves.ID)
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		time.Sleep(15 * time.Millisecond)
		w.Header().Set(stand.HeaderSeal, "seal-"+id)
		fmt.Fprintf(w, "done %s", id)
	}
	if err := s.Fleet.PutConfig(stand.Manifest, 20*time.Second); err != nil {
		s.Show("%v", err)
		return stand.ExitNotRun
	}
	if !stand.Eventually(20*time.Second, func() bool {
		return !slices.ContainsFunc(s.Fleet.VMs, func(v *stand.VM) bool { return !v.Ready() })
	}) {
		s.Show("not all VMs are ready")
		return stand.ExitNotRun
	}
	leaves.Start()
	var stop atomic.Bool
	var wait sync.WaitGroup
	for c := range callers {
		wait.Go(func() { book(s, c, &stop) })
	}
	defer wait.Wait()
	defer stop.Store(true)
	time.Sleep(settleTime)
	mu.Lock()
	before := len(arrivals)
	mu.Unlock()
	if before == 0 {
		s.Show("no request reached %s", leaves.ID)
		return stand.ExitNotRun
	}
	v := s.Fleet.VMs[home]
	vm, acked := leaves.Leave()
	if vm != v.Name {
		s.Show("the end was acknowledged by %q", vm)
		return stand.ExitNotRun
	}
	if stand.Trouble() {
		v.Signal(syscall.SIGKILL)
		s.Show("%s acknowledged that %s is gone, and was killed %.1f ms later", v.Name, leaves.ID, 1000*time.Since(acked).Seconds())
		v.Wait(time.Second)
		time.Sleep(restartDelay)
		if err := v.Start(); err != nil {
			s.Show("no restart: %v", err)
			return stand.ExitNotRun
		}
		s.Show("%s runs again", v.Name)
	}
	time.Sleep(time.Until(acked.Add(serveTime)))
	leaves.Kill()
	mu.Lock()
	defer mu.Unlock()
	late, last := 0, 0.0
	for _, at := range arrivals {
		if after := at.Sub(acked); after > stand.DrainTime {
			late++
			last = max(last, after.Seconds())
		}
	}
	s.Show("requests that reached %s before: %d, later than drainMs after the ack: %d, the last %.1f s after it", leaves.ID, before, late, last)
	if late > 0 {
		return stand.ExitBroken
	}
	return stand.ExitHeld
}

// book sends bookings through all VMs but home until stop is set.
func book(s *stand.Script, c int, stop *atomic.Bool) {
	client := stand.NewClient(timeBudget)
	for n := 0; !stop.Load(); n++ {
		if (c+n)%vms == home {
			continue
		}
		id := fmt.Sprintf("%08x%08x", c, n)
		v := s.Fleet.VMs[(c+n)%vms]
		a := stand.Send(client, v, http.MethodPost, stand.BookPath+"1", id, "{}", timeBudget)
		s.Add("answer %s through %s: %d", id, v.Name, a.Status)
		time.Sleep(50 * time.Millisecond)
	}
}
