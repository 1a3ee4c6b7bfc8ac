package experiment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
	"github.com/jasminecove/jasminecove/internal/standin/caller"
	"github.com/jasminecove/jasminecove/internal/standin/service"
)

// BookingConfig describes a run of bookings under failures.
type BookingConfig struct {
	Config
	Bookings int
	Workers  int
	Services int
}

// BookingResult is the result of a run of bookings under failures. It is printed
// with its field names.
type BookingResult struct {
	Bookings   int     `json:"bookings"`
	Complete   int     `json:"complete"`
	NotRun     int     `json:"notRun"`
	Unknown    int     `json:"unknown"`
	Doubled    int     `json:"doubled"`
	Lost       int     `json:"lostAmongComplete"`
	NotTrue    int     `json:"ranThoughNotRun"`
	Killed     int     `json:"servicesKilled"`
	VMsKilled  int     `json:"vmsKilled"`
	Seconds    float64 `json:"seconds"`
	Violations int64   `json:"invariantViolations"`
}

// Intervals and limits of a run of bookings.
const (
	serviceKillInterval = 150 * time.Millisecond
	vmKillInterval      = 4 * time.Second
	vmRestartDelay      = 1500 * time.Millisecond
	maxBookingAttempts  = 6
	bookingRetryDelay   = 30 * time.Millisecond
)

// bookingRun is the state of one run.
type bookingRun struct {
	cfg      BookingConfig
	testbed  *Testbed
	ledger   *service.Ledger
	mu       sync.Mutex
	result   BookingResult
	services []*service.Service
}

// RunBookings sends bookings while services, connections and VMs are killed. Each
// booking is repeated through VMs chosen at random until it is complete, at most
// maxBookingAttempts times.
func RunBookings(ctx context.Context, cfg BookingConfig) (BookingResult, error) {
	b, err := Open(ctx, cfg.Config)
	if b != nil {
		defer b.Close()
	}
	if err != nil {
		return BookingResult{}, err
	}
	r := &bookingRun{cfg: cfg, testbed: b, ledger: service.NewLedger(), services: make([]*service.Service, cfg.Services)}
	for i := range r.services {
		if err := r.startService(ctx, i); err != nil {
			return BookingResult{}, err
		}
	}
	if err := delay.Wait(ctx, time.Second); err != nil {
		return BookingResult{}, err
	}
	began := time.Now()
	faultCtx, stopFaults := context.WithCancel(ctx)
	var wait sync.WaitGroup
	wait.Add(2)
	go func() { defer wait.Done(); r.killServices(faultCtx) }()
	go func() { defer wait.Done(); r.killVMs(faultCtx) }()
	r.sendBookings(ctx)
	stopFaults()
	wait.Wait()
	r.result.Seconds = time.Since(began).Seconds()
	r.result.Violations = b.Violations()
	r.result.Doubled = len(r.ledger.Duplicates())
	for _, s := range r.services {
		s.Kill()
	}
	return r.result, nil
}

// startService starts the i-th service, in place of the one that was killed.
func (r *bookingRun) startService(ctx context.Context, i int) error {
	s := service.New(fmt.Sprint("desk", i), "desk", r.ledger)
	r.services[i] = s
	return s.Start(ctx, "127.0.0.1:0", r.testbed.announceURLs(i))
}

// sendBookings sends all bookings from concurrent workers.
func (r *bookingRun) sendBookings(ctx context.Context) {
	next := make(chan int)
	var wait sync.WaitGroup
	for w := range r.cfg.Workers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := caller.New(4)
			defer c.Close()
			src := rng.New(r.cfg.Seed + uint64(w))
			for i := range next {
				r.book(ctx, c, src, i)
			}
		}()
	}
	for i := range r.cfg.Bookings {
		next <- i
	}
	close(next)
	wait.Wait()
}

// book sends one booking until it is complete, at most maxBookingAttempts times,
// and compares its outcome with the number of its runs.
func (r *bookingRun) book(ctx context.Context, c *caller.Caller, src *rng.Source, i int) {
	key := fmt.Sprintf("b%d", i)
	var outcome refusal.Outcome
	everUnknown := false
	for range maxBookingAttempts {
		targets := r.testbed.targets()
		answer := c.Book(ctx, targets[src.IntN(len(targets))], "/bookings", key, key)
		outcome = answer.Outcome
		if answer.Err != nil || outcome == "" {
			outcome = refusal.Unknown
		}
		if outcome == refusal.Complete {
			break
		}
		everUnknown = everUnknown || outcome == refusal.Unknown
		if delay.Wait(ctx, bookingRetryDelay) != nil {
			return
		}
	}
	runs := r.ledger.Runs(key)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Bookings++
	switch {
	case outcome == refusal.Complete:
		r.result.Complete++
		if runs != 1 {
			r.result.Lost++
		}
	case outcome == refusal.NotRun && !everUnknown:
		r.result.NotRun++
		if runs != 0 {
			r.result.NotTrue++
		}
	default:
		r.result.Unknown++
	}
}

// killServices kills and restarts services, and closes connections before and after
// the run of a booking.
func (r *bookingRun) killServices(ctx context.Context) {
	src := rng.New(r.cfg.Seed)
	for i := 0; delay.Wait(ctx, serviceKillInterval) == nil; i++ {
		k := src.IntN(len(r.services))
		switch i % 4 {
		case 0:
			r.services[k].Kill()
			if r.startService(context.WithoutCancel(ctx), k) != nil {
				return
			}
			r.mu.Lock()
			r.result.Killed++
			r.mu.Unlock()
		case 1:
			r.services[k].SetFaults(service.Faults{CloseAfterRun: true})
		case 2:
			r.services[k].SetFaults(service.Faults{CloseBeforeRun: true})
		case 3:
			for _, s := range r.services {
				s.SetFaults(service.Faults{})
			}
		}
	}
}

// killVMs stops one VM after another and restarts it.
func (r *bookingRun) killVMs(ctx context.Context) {
	for i := 0; delay.Wait(ctx, vmKillInterval) == nil; i++ {
		k := i % len(r.testbed.Fleet.Nodes)
		r.testbed.stopVM(k)
		r.mu.Lock()
		r.result.VMsKilled++
		r.mu.Unlock()
		_ = delay.Wait(ctx, vmRestartDelay)
		if r.testbed.startVM(k) != nil {
			return
		}
	}
}
