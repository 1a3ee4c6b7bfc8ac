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

// BookingResult is the outcome of such a run.
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

// Spans of a run of bookings.
const (
	serviceKillEvery = 150 * time.Millisecond
	vmKillEvery      = 4 * time.Second
	vmBack           = 1500 * time.Millisecond
	bookingTries     = 6
	bookingRetry     = 30 * time.Millisecond
)

// bookingRun is one run under way.
type bookingRun struct {
	cfg    BookingConfig
	bench  *Testbed
	ledger *service.Ledger
	mu     sync.Mutex
	result BookingResult
	svc    []*service.Service
}

// RunBookings sends bookings, each again through other VMs until it has an
// answer, while services, connections and VMs are killed.
func RunBookings(ctx context.Context, cfg BookingConfig) (BookingResult, error) {
	b, err := Open(ctx, cfg.Config)
	if b != nil {
		defer b.Close()
	}
	if err != nil {
		return BookingResult{}, err
	}
	r := &bookingRun{cfg: cfg, bench: b, ledger: service.NewLedger(), svc: make([]*service.Service, cfg.Services)}
	for i := range r.svc {
		if err := r.startService(ctx, i); err != nil {
			return BookingResult{}, err
		}
	}
	if err := delay.Wait(ctx, time.Second); err != nil {
		return BookingResult{}, err
	}
	began := time.Now()
	chaos, stop := context.WithCancel(ctx)
	var wait sync.WaitGroup
	wait.Add(2)
	go func() { defer wait.Done(); r.killServices(chaos) }()
	go func() { defer wait.Done(); r.killVMs(chaos) }()
	r.bookAll(ctx)
	stop()
	wait.Wait()
	r.result.Seconds = time.Since(began).Seconds()
	r.result.Violations = b.Violations()
	r.result.Doubled = len(r.ledger.Duplicates())
	for _, s := range r.svc {
		s.Kill()
	}
	return r.result, nil
}

func (r *bookingRun) startService(ctx context.Context, i int) error {
	s := service.New(fmt.Sprint("desk", i), "desk", r.ledger)
	r.svc[i] = s
	return s.Start(ctx, "127.0.0.1:0", r.bench.urls(i))
}

func (r *bookingRun) bookAll(ctx context.Context) {
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

// book sends one booking until it has an outcome or its tries are used up, and
// compares the outcome with what ran.
func (r *bookingRun) book(ctx context.Context, c *caller.Caller, src *rng.Source, i int) {
	key := fmt.Sprintf("b%d", i)
	var outcome refusal.Outcome
	everUnknown := false
	for range bookingTries {
		targets := r.bench.targets()
		answer := c.Book(ctx, targets[src.IntN(len(targets))], "/bookings", key, key)
		outcome = answer.Outcome
		if answer.Err != nil || outcome == "" {
			outcome = refusal.Unknown
		}
		if outcome == refusal.Complete {
			break
		}
		everUnknown = everUnknown || outcome == refusal.Unknown
		if delay.Wait(ctx, bookingRetry) != nil {
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

// killServices ends services, and cuts connections before and after the run.
func (r *bookingRun) killServices(ctx context.Context) {
	src := rng.New(r.cfg.Seed)
	for i := 0; delay.Wait(ctx, serviceKillEvery) == nil; i++ {
		k := src.IntN(len(r.svc))
		switch i % 4 {
		case 0:
			r.svc[k].Kill()
			if r.startService(context.WithoutCancel(ctx), k) != nil {
				return
			}
			r.mu.Lock()
			r.result.Killed++
			r.mu.Unlock()
		case 1:
			r.svc[k].SetFaults(service.Faults{CloseAfterRun: true})
		case 2:
			r.svc[k].SetFaults(service.Faults{CloseBeforeRun: true})
		case 3:
			for _, s := range r.svc {
				s.SetFaults(service.Faults{})
			}
		}
	}
}

// killVMs ends one VM after another and starts it again.
func (r *bookingRun) killVMs(ctx context.Context) {
	for i := 0; delay.Wait(ctx, vmKillEvery) == nil; i++ {
		k := i % len(r.bench.Fleet.Nodes)
		r.bench.stopVM(k)
		r.mu.Lock()
		r.result.VMsKilled++
		r.mu.Unlock()
		_ = delay.Wait(ctx, vmBack)
		if r.bench.startVM(k) != nil {
			return
		}
	}
}
