// Command 2 kills all processes of an installation at once, right after a manifest was
// acknowledged. The settings with which they start again name seeds that are down; the platform
// corrects the settings file soon after, without a signal.
package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/jasminecove/jasminecove/review/stand"
)

const (
	vms       = 9
	disks     = 3
	returning = 6 // The others, which have no disk, are lost for good.
	// downTime is how long the processes are down: they are back within a second.
	downTime = 900 * time.Millisecond
	// seedLag is by how much the operator's list lags behind (seedLagS): the time until the settings
	// name machines that run.
	seedLag = 3 * time.Second
	// recoveryTime is recoveryS, and judgedTime how long requests are judged after it.
	recoveryTime = 12 * time.Second
	judgedTime   = 25 * time.Second
	timeBudget   = 4 * time.Second
)

func main() { stand.Main(vms, disks, run) }

func run(s *stand.Script) int {
	if err := s.Prepare(); err != nil {
		s.Show("%v", err)
		return stand.ExitNotRun
	}
	if !stand.Eventually(20*time.Second, func() bool { return serve(s, "ready", s.Fleet.VMs) == vms }) {
		s.Show("not all VMs serve")
		return stand.ExitNotRun
	}
	before := 0
	const rounds = 10
	for range rounds {
		before += serve(s, "before", s.Fleet.VMs)
	}
	s.Show("before: %d of %d requests served", before, rounds*vms)
	back := s.Fleet.VMs[:returning]
	if stand.Trouble() {
		if err := finalFault(s); err != nil {
			s.Show("%v", err)
			return stand.ExitNotRun
		}
	}
	began := time.Now()
	lagged := false
	for time.Since(began) < recoveryTime {
		if !lagged && time.Since(began) > seedLag && stand.Trouble() {
			lagged = true
			correctSettings(s)
		}
		serve(s, "recovery", back)
		time.Sleep(200 * time.Millisecond)
	}
	sent, served, read := 0, 0, false
	for time.Since(began) < recoveryTime+judgedTime {
		sent += len(back)
		served += serve(s, "after", back)
		for _, v := range back {
			status, text := v.Call(http.MethodGet, "/v1/config", "")
			s.Add("get manifest at %s: %d", v.Name, status)
			read = read || status == http.StatusOK && text == stand.Manifest
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.Show("later than recoveryS: %d of %d requests served, acknowledged manifest read back: %t", served, sent, read)
	for _, v := range back {
		if !v.Running() {
			s.Show("%s does not run", v.Name)
			return stand.ExitNotRun
		}
	}
	if !read || 4*served < sent {
		return stand.ExitBroken
	}
	return stand.ExitHeld
}

// finalFault kills all processes and starts some of them again.
func finalFault(s *stand.Script) error {
	for _, v := range s.Fleet.VMs {
		v.Signal(syscall.SIGKILL)
	}
	for _, v := range s.Fleet.VMs {
		v.Wait(5 * time.Second)
	}
	s.Show("killed all %d processes", vms)
	time.Sleep(downTime)
	for _, v := range s.Fleet.VMs[:returning] {
		if err := v.SetSeeds(s.Fleet.VMs[returning:]...); err != nil {
			return err
		}
		if err := v.Start(); err != nil {
			return err
		}
	}
	s.Show("started %d again, among them all with a disk; the seeds are the %d that are down", returning, vms-returning)
	return nil
}

// correctSettings rewrites the settings files with seeds that run. With SIGNAL=1 it also sends
// SIGHUP, for comparison.
func correctSettings(s *stand.Script) {
	for _, v := range s.Fleet.VMs[:returning] {
		if err := v.SetSeeds(s.Fleet.VMs[:disks]...); err != nil {
			s.Show("settings of %s: %v", v.Name, err)
		}
		if os.Getenv("SIGNAL") == "1" {
			v.Signal(syscall.SIGHUP)
		}
	}
	s.Show("settings corrected: the seeds are the machines with a disk")
}

// serve sends one request through each VM and returns how many were served.
func serve(s *stand.Script, phase string, vms []*stand.VM) int {
	type result struct {
		v *stand.VM
		a stand.Answer
	}
	results := make(chan result)
	for i, v := range vms {
		go func() {
			id := fmt.Sprintf("%s-%d-%d", phase, i, time.Now().UnixNano())
			client := stand.NewClient(timeBudget)
			defer client.CloseIdleConnections()
			results <- result{v, stand.Send(client, v, http.MethodGet, stand.LookPath+"1", id, "", timeBudget)}
		}()
	}
	served := 0
	for range vms {
		r := <-results
		s.Add("%s: answer through %s: %d %v", phase, r.v.Name, r.a.Status, r.a.Err)
		if r.a.Status == http.StatusOK && r.a.Complete {
			served++
		}
	}
	return served
}
