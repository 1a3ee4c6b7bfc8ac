// Package service is a stand-in for a plain service with bookings that must not
// run twice. It counts the runs of each booking and has faults that can be
// switched on at run time.
package service

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/standin/announcer"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// lease is the lease that announcements request.
const lease = 1500 * clock.Millisecond

// Faults are the failures that a service can simulate.
type Faults struct {
	Leaving        bool           `json:"leaving"`
	NoAnnounce     bool           `json:"noAnnounce"`
	Delay          clock.Duration `json:"delay"`
	Fail           bool           `json:"fail"`        // Reply with status 500 without running the booking.
	CloseBeforeRun bool           `json:"cutBefore"`   // Close the connection before the run.
	CloseAfterRun  bool           `json:"cutAfter"`    // Close the connection after the run.
	RefuseBusy     bool           `json:"refuseBusy"`  // Reply with status 503 and the outcome notRun.
	HangForever    bool           `json:"hangForever"` // Never reply.
}

// Booking is a booking with the number of its runs.
type Booking struct {
	Key  string `json:"key"`
	Runs int    `json:"runs"`
}

// Ledger counts the runs of bookings. Several services may share a Ledger.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[string]int{}} }

// Run records a run and returns the number of runs of the booking.
func (l *Ledger) Run(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[key]++
	return l.runs[key]
}

// Runs returns the number of runs of a booking.
func (l *Ledger) Runs(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

// Duplicates returns the bookings that ran more than once.
func (l *Ledger) Duplicates() []Booking {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Booking
	for k, n := range l.runs {
		if n > 1 {
			out = append(out, Booking{Key: k, Runs: n})
		}
	}
	return out
}

// Service is one stand-in service.
type Service struct {
	id        string
	name      string
	ledger    *Ledger
	mu        sync.Mutex
	faults    Faults
	server    *http.Server
	listener  net.Listener
	announcer *announcer.Announcer
	cancel    context.CancelFunc
	done      sync.WaitGroup
}

// New returns a service that records its runs in ledger.
func New(id, name string, ledger *Ledger) *Service {
	return &Service{id: id, name: name, ledger: ledger}
}

// Start listens on address and announces the service until ctx ends.
func (s *Service) Start(ctx context.Context, address string, announceTo []string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.listener = listener
	ctx, s.cancel = context.WithCancel(ctx)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", s.serveFaults)
	mux.HandleFunc("GET /runs", s.serveRuns)
	mux.HandleFunc("/", s.serveCall)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	s.announcer = announcer.New(announceTo, s.announcement)
	s.done.Add(2)
	go func() { defer s.done.Done(); _ = s.server.Serve(listener) }()
	go func() { defer s.done.Done(); s.announcer.Run(ctx) }()
	return nil
}

// Address returns the host and port that the service serves on.
func (s *Service) Address() string { return s.listener.Addr().String() }

// Kill stops the service at once and closes its connections, as a crash would.
func (s *Service) Kill() {
	s.cancel()
	_ = s.server.Close()
	s.done.Wait()
}

// SetFaults replaces the service's faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	if f.Leaving {
		s.announcer.AnnounceNow()
	}
}

// announcement returns the present announcement, or nil while announcements are
// switched off.
func (s *Service) announcement() *upstreampb.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.NoAnnounce {
		return nil
	}
	return &upstreampb.Announcement{
		Id: s.id, Kind: "service", Name: s.name, Address: s.listener.Addr().String(),
		Leaving: s.faults.Leaving, LeaseMs: uint32(lease),
	}
}

// serveFaults replaces the service's faults with those in the JSON request body.
func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// serveRuns replies with the number of runs of a booking.
func (s *Service) serveRuns(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	writeJSON(w, http.StatusOK, Booking{Key: key, Runs: s.ledger.Runs(key)})
}

// serveCall runs a booking on POST and replies to any other method without a run.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	wait(r.Context(), f.Delay)
	switch {
	case f.HangForever:
		<-r.Context().Done()
		return
	case f.RefuseBusy:
		w.Header().Set("Jasminecove-Outcome", "notRun")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	case f.Fail:
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	case f.CloseBeforeRun:
		panic(http.ErrAbortHandler)
	}
	if r.Method != http.MethodPost {
		writeJSON(w, http.StatusOK, map[string]string{"path": r.URL.Path, "service": s.id})
		return
	}
	key := bookingKey(r, body)
	runs := s.ledger.Run(key)
	if f.CloseAfterRun {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusCreated, Booking{Key: key, Runs: runs})
}

// bookingKey returns the key that identifies a booking: its idempotency key, or its body.
func bookingKey(r *http.Request, body []byte) string {
	if k := r.Header.Get("Idempotency-Key"); k != "" {
		return k
	}
	return strings.TrimSpace(string(body))
}

func wait(ctx context.Context, d clock.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d.Std()):
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
