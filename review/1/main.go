// Command 1 replaces a machine with a disk as planned: the new one first, then SIGTERM. Right after
// the old one has exited, another machine acknowledges a manifest and loses its disk.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/jasminecove/jasminecove/review/stand"
)

const (
	disks = 4 // Three at first, and that of the successor.
	vms   = 10
	// successorTime is how long the successor runs before the old machine is stopped: more than
	// twice catchUpS, after which a machine that is removed stops counting as lost.
	successorTime = 10 * time.Second
	downTime      = 1 * time.Second
	pollInterval  = 50 * time.Millisecond
	recoveryTime  = 12 * time.Second
	readTime      = 25 * time.Second
)

func main() { stand.Main(vms, disks, run) }

func run(s *stand.Script) int {
	old, loser, successor := s.Fleet.VMs[0], s.Fleet.VMs[1], s.Fleet.VMs[3]
	var first []*stand.VM
	for _, v := range s.Fleet.VMs {
		if v == successor {
			continue
		}
		if err := v.Start(); err != nil {
			s.Show("no fleet: %v", err)
			return stand.ExitNotRun
		}
		first = append(first, v)
	}
	if !stand.Eventually(20*time.Second, func() bool { return put(s, first[2], 7) }) {
		s.Show("the first manifest was not acknowledged")
		return stand.ExitNotRun
	}
	time.Sleep(stand.ContactTime)
	successor.Joins()
	if err := successor.Start(); err != nil {
		s.Show("no successor: %v", err)
		return stand.ExitNotRun
	}
	s.Show("started %s with an empty disk, the successor of %s", successor.Name, old.Name)
	time.Sleep(successorTime)
	if !successor.Ready() {
		s.Show("%s is not ready", successor.Name)
		return stand.ExitNotRun
	}
	s.Show("SIGTERM to %s, which leaves for good", old.Name)
	old.Signal(syscall.SIGTERM)
	for end := time.Now().Add(stand.Grace); old.Running() && time.Now().Before(end); time.Sleep(pollInterval) {
		status, _ := loser.Call(http.MethodGet, "/v1/config", "") // The operator reads during the day.
		s.Add("get manifest at %s: %d", loser.Name, status)
	}
	old.Signal(syscall.SIGKILL)
	old.Wait(time.Second)
	s.Show("%s has exited", old.Name)
	if wait, err := time.ParseDuration(os.Getenv("WAIT")); err == nil {
		time.Sleep(wait) // For comparison.
	}
	if !stand.Eventually(4*time.Second, func() bool { return put(s, loser, 8) }) {
		s.Show("version 8 was not acknowledged")
		return stand.ExitNotRun
	}
	if stand.Trouble() {
		loser.Signal(syscall.SIGKILL)
		loser.Wait(time.Second)
		if err := loser.LoseDisk(); err != nil {
			s.Show("disk of %s: %v", loser.Name, err)
			return stand.ExitNotRun
		}
		s.Show("%s acknowledged version 8 and lost its disk", loser.Name)
		time.Sleep(downTime)
		if err := loser.Start(); err != nil {
			s.Show("no restart: %v", err)
			return stand.ExitNotRun
		}
		s.Show("%s is back with an empty disk", loser.Name)
	}
	time.Sleep(recoveryTime)
	reads, whole := 0, 0
	running := s.Fleet.VMs[1:]
	for end := time.Now().Add(readTime); time.Now().Before(end) && whole == 0; {
		for _, v := range running {
			status, text := v.Call(http.MethodGet, "/v1/config", "")
			s.Add("get manifest at %s: %d %.40q", v.Name, status, text)
			reads++
			if status == http.StatusOK && text == manifest(8) {
				whole++
			}
		}
	}
	next := put(s, s.Fleet.VMs[2], 9)
	s.Show("later than recoveryS: version 8 was read back %d times of %d, version 9 acknowledged: %t", whole, reads, next)
	for _, v := range running {
		if !v.Running() {
			s.Show("%s does not run", v.Name)
			return stand.ExitNotRun
		}
	}
	if whole == 0 {
		return stand.ExitBroken
	}
	return stand.ExitHeld
}

func manifest(version int) string {
	return strings.Replace(stand.Manifest, `"version":7`, fmt.Sprintf(`"version":%d`, version), 1)
}

// put sends a manifest to a VM and reports whether it was acknowledged.
func put(s *stand.Script, v *stand.VM, version int) bool {
	status, text := v.Call(http.MethodPut, "/v1/config", manifest(version))
	s.Add("put version %d at %s: %d %.80q", version, v.Name, status, text)
	return status == http.StatusOK
}
