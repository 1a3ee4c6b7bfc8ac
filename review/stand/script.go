package stand

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// scriptTimeout ends a script that hangs.
const scriptTimeout = 115 * time.Second

// Script is one run of a case: its record and its fleet.
type Script struct {
	*Record
	Fleet *Fleet

	mu       sync.Mutex
	replicas []*Replica
}

// Main runs a case in a fleet whose first disks VMs have a disk, and exits with its result. The
// folder for the record is the first argument.
func Main(vms, disks int, run func(s *Script) int) {
	os.Exit(runScript(vms, disks, run))
}

func runScript(vms, disks int, run func(s *Script) int) int {
	if len(os.Args) < 2 {
		fmt.Println("usage: case FOLDER")
		return ExitNotRun
	}
	record, err := NewRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return ExitNotRun
	}
	defer record.Close()
	fleet, err := NewFleet(vms, disks)
	if err != nil {
		record.Show("no fleet: %v", err)
		return ExitNotRun
	}
	defer fleet.Close()
	s := &Script{Record: record, Fleet: fleet}
	defer s.killReplicas()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	done := make(chan int, 1)
	go func() { done <- run(s) }()
	select {
	case code := <-done:
		s.Show("exit %d", code)
		return code
	case <-stop:
		s.Show("interrupted")
	case <-time.After(scriptTimeout):
		s.Show("not finished in time")
	}
	return ExitNotRun
}

// NewReplica returns a replica that is killed at the end of the script.
func (s *Script) NewReplica(id, service string, node int, sequence uint64) (*Replica, error) {
	u, err := NewReplica(s.Fleet, s.Record, id, service, node, sequence)
	if err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.replicas = append(s.replicas, u)
	}
	return u, err
}

func (s *Script) killReplicas() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.replicas {
		u.Kill()
	}
}

// NewDesk starts a replica of the plain service that answers after some time.
func (s *Script) NewDesk(id string, node int, work time.Duration) (*Replica, error) {
	u, err := s.NewReplica(id, Desk, node, 0)
	if err != nil {
		return nil, err
	}
	u.Serve = func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get(HeaderID)
		s.Add("run %s at %s path=%s tenant=%q", request, id, r.URL.Path, r.Header.Get("X-Jasminecove-Tenant"))
		time.Sleep(work)
		w.Header().Set(HeaderSeal, "seal-"+request)
		fmt.Fprintf(w, "done %s", request)
	}
	u.Start()
	return u, nil
}

// Prepare starts the VMs and two replicas of the plain service, and sends the manifest.
func (s *Script) Prepare() error {
	if err := s.Fleet.StartAll(); err != nil {
		return err
	}
	for i := range 2 {
		if _, err := s.NewDesk(fmt.Sprintf("i-desk%d", i), i, 15*time.Millisecond); err != nil {
			return err
		}
	}
	return s.Fleet.PutConfig(Manifest, 20*time.Second)
}
