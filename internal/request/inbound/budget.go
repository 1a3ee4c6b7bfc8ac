// Package inbound limits the memory that callers' requests take on a VM. Each connection has an
// account; header sections and bodies are charged to it before memory is allocated for them, and
// returned when the request ends.
package inbound

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/base/fault"
)

// Reasons for which a charge is not taken.
const (
	// ErrExhausted reports that the budget had no room within the time that a request may wait.
	ErrExhausted = fault.Sentinel("inbound: the memory budget for requests is exhausted")
	// ErrEvicted reports that the account was evicted in favour of others, since its request made no
	// progress.
	ErrEvicted = fault.Sentinel("inbound: the request made no progress while the memory budget was exhausted")
)

// logInterval is the minimum interval between two log lines about a limit that was reached.
const logInterval = 1 * clock.Second

// Limits configures a Budget.
type Limits struct {
	// Bytes is the size of the budget. 0 turns it off. It is enlarged if the largest request does not
	// fit.
	Bytes int64
	// MaxBodyBytes and MaxHeaderBytes are the limits of a single request.
	MaxBodyBytes, MaxHeaderBytes int64
	// Pieces says that bodies are read by ReadPieces, which needs half the memory, rather than ReadBody.
	Pieces bool
}

// Log receives a line when a limit is reached.
type Log interface {
	Decision(kind, id string, inputs ...any)
}

// Option configures a Budget.
type Option func(*Budget)

// WithClock sets the clock. The default is the system's.
func WithClock(c clock.Clock) Option { return func(b *Budget) { b.clock = c } }

// WithLog sets the log, and the name of the budget in it.
func WithLog(name string, log Log) Option {
	return func(b *Budget) { b.name, b.log = name, log }
}

// WithMetrics sets the scope of the metrics.
func WithMetrics(scope tally.Scope) Option {
	return func(b *Budget) {
		b.sizeGauge, b.usedGauge = scope.Gauge("inbound_budget_bytes"), scope.Gauge("inbound_used_bytes")
		b.refusedCounter, b.evictedCounter = scope.Counter("inbound_refused_total"), scope.Counter("inbound_evicted_total")
	}
}

// Budget is the memory that the requests of all callers may take. It is safe for concurrent use. A nil
// Budget sets no limit.
type Budget struct {
	clock clock.Clock
	name  string
	log   Log

	sizeGauge, usedGauge           tally.Gauge
	refusedCounter, evictedCounter tally.Counter

	mu        sync.Mutex // Guards the fields below.
	ledger    *ledger
	accounts  map[*entry]*Account
	maxBody   int64
	maxHeader int64
	joined    bool
	timer     *time.Timer
	logged    clock.Time
	refused   int // Since the last log line.
	evicted   int
}

// NewBudget returns a Budget, or nil if the limits turn it off.
func NewBudget(l Limits, opts ...Option) *Budget {
	if l.Bytes <= 0 {
		return nil
	}
	b := &Budget{clock: clock.NewSystem(), accounts: map[*entry]*Account{}, maxBody: l.MaxBodyBytes, maxHeader: l.MaxHeaderBytes, joined: !l.Pieces}
	WithMetrics(tally.NoopScope)(b)
	for _, opt := range opts {
		opt(b)
	}
	b.ledger = newLedger(int(l.Bytes), requestBytes(l.MaxBodyBytes, l.MaxHeaderBytes, b.joined))
	b.timer = time.AfterFunc(time.Hour, b.onTimer)
	b.timer.Stop()
	b.report()
	return b
}

// Bytes returns the size of the budget.
func (b *Budget) Bytes() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(b.ledger.size[small] + b.ledger.size[large])
}

// Used returns the bytes that are charged.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(b.ledger.used[small] + b.ledger.used[large])
}

// SetMaxBody enlarges the budget if one request with a body of n bytes does not fit. The maximum is part
// of the tables and may change while the process runs.
func (b *Budget) SetMaxBody(n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if n <= b.maxBody {
		return
	}
	b.maxBody = n
	if b.ledger.ensure(requestBytes(n, b.maxHeader, b.joined)) {
		b.decide("inboundBudgetRaised", "bytes", b.ledger.size[small]+b.ledger.size[large], "maxBodyBytes", n)
		b.update()
	}
}

// Account is the part of the budget that one connection, or one request, uses. It is safe for concurrent
// use. A nil Account sets no limit.
type Account struct {
	budget *Budget
	entry  *entry
	evict  func()
	result chan verdict // Receives the result of a wait; capacity 1.
	wait   sync.Mutex   // Held during Take: an account has one wait at a time.
	closed bool         // Guarded by budget.mu.
}

// Open opens an account of a client, which is its IP address. evict is called, at most once and without
// locks, when the account is evicted. It must make a pending read of the request fail, and must not block.
func (b *Budget) Open(client string, evict func()) *Account {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	a := &Account{budget: b, entry: b.ledger.open(b.clock.Now(), clientKey(client)), evict: evict, result: make(chan verdict, 1)}
	b.accounts[a.entry] = a
	return a
}

// clientKey returns what the accounts of one client have in common: its address, or the network of 64 bits of
// an IPv6 address, all of which one client may use.
func clientKey(address string) string {
	const networkBits = 64
	ip, err := netip.ParseAddr(address)
	if err != nil {
		return address
	}
	if ip = ip.Unmap().WithZone(""); ip.Is4() {
		return ip.String()
	}
	network, err := ip.Prefix(networkBits)
	if err != nil {
		return address
	}
	return network.String()
}

// Take charges n bytes. It waits for room until the context ends, and for a bounded time. Then it returns
// ErrExhausted, or ErrEvicted if the account was evicted.
func (a *Account) Take(ctx context.Context, n int) error {
	if a == nil {
		return nil
	}
	a.wait.Lock()
	defer a.wait.Unlock()
	b := a.budget
	now := b.clock.Now()
	until := now.Add(maxWait)
	if deadline, ok := ctx.Deadline(); ok {
		until = min(until, now.Add(clock.FromStd(time.Until(deadline))))
	}
	b.mu.Lock()
	if a.closed {
		b.mu.Unlock()
		return ErrEvicted
	}
	v, ended := b.ledger.take(now, a.entry, n, until)
	if ended {
		if v == refused {
			b.count(now, 1, 0)
		}
		b.report()
		b.mu.Unlock()
		return v.err()
	}
	victims := b.update()
	b.mu.Unlock()
	callEvict(victims)
	select {
	case v = <-a.result:
		return v.err()
	case <-ctx.Done():
	}
	b.mu.Lock()
	select {
	case v = <-a.result: // The wait ended at the same time.
		b.mu.Unlock()
		return v.err()
	default:
	}
	b.ledger.cancel(a.entry)
	b.ledger.relist(b.clock.Now(), a.entry)
	err := context.Cause(ctx)
	if errors.Is(err, context.DeadlineExceeded) { // The ledger's bound is the same, in whole milliseconds.
		err = ErrExhausted
		b.count(b.clock.Now(), 1, 0)
	}
	victims = b.update()
	b.mu.Unlock()
	callEvict(victims)
	return err
}

// err returns the error of a verdict.
func (v verdict) err() error {
	switch v {
	case refused:
		return ErrExhausted
	case evicted:
		return ErrEvicted
	default:
		return nil
	}
}

// change changes the account's entry, and applies what follows from it.
func (a *Account) change(f func(l *ledger, now clock.Time)) {
	if a == nil {
		return
	}
	b := a.budget
	callEvict(b.locked(func() []*Account {
		if a.closed {
			return nil
		}
		f(b.ledger, b.clock.Now())
		return b.update()
	}))
}

// Return returns n bytes that were charged.
func (a *Account) Return(n int) {
	a.change(func(l *ledger, now clock.Time) { l.release(now, a.entry, n) })
}

// Progress records that bytes of the request arrived.
func (a *Account) Progress() {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.closed {
		b.ledger.recordProgress(b.clock.Now(), a.entry) // Progress only delays decisions, which the timer makes.
	}
}

// Protect sets whether the account's request is being forwarded. An account that is protected is not
// evicted; Evicted reports whether it was before.
func (a *Account) Protect(on bool) {
	a.change(func(l *ledger, now clock.Time) { l.protect(now, a.entry, on) })
}

// Close returns all that is charged.
func (a *Account) Close() {
	a.change(func(l *ledger, now clock.Time) {
		if a.entry.waiting != nil {
			l.cancel(a.entry)
			a.result <- evicted
		}
		l.close(now, a.entry)
		delete(a.budget.accounts, a.entry)
		a.closed = true
	})
}

// Evicted reports whether the account was evicted.
func (a *Account) Evicted() bool {
	if a == nil {
		return false
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.entry.evicted
}

// update applies the decisions of the ledger, and returns the accounts that are to be evicted. b.mu is
// held; the accounts' functions are called without it.
func (b *Budget) update() []*Account {
	defer b.report()
	if !b.ledger.isWaiting() {
		b.timer.Stop()
		return nil
	}
	now := b.clock.Now()
	out, next := b.ledger.update(now)
	refusals := 0
	for e, v := range out.ended {
		if v == refused {
			refusals++
		}
		b.accounts[e].result <- v
	}
	victims := make([]*Account, 0, len(out.evicted))
	for _, e := range out.evicted {
		victims = append(victims, b.accounts[e])
	}
	b.count(now, refusals, len(victims))
	if next == 0 {
		b.timer.Stop()
	} else {
		b.timer.Reset(next.Sub(now).Std())
	}
	return victims
}

// onTimer updates the ledger at the time it named.
func (b *Budget) onTimer() {
	defer crash.Report("memory budget")
	callEvict(b.locked(func() []*Account { return b.update() }))
}

// locked calls f with b.mu held, also if it panics.
func (b *Budget) locked(f func() []*Account) []*Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	return f()
}

func callEvict(victims []*Account) {
	for _, a := range victims {
		if a.evict != nil {
			a.evict()
		}
	}
}

// count counts refusals and evictions, and logs them at most once per logInterval. b.mu is held.
func (b *Budget) count(now clock.Time, refusals, evictions int) {
	if refusals+evictions == 0 {
		return
	}
	b.refusedCounter.Inc(int64(refusals))
	b.evictedCounter.Inc(int64(evictions))
	b.refused += refusals
	b.evicted += evictions
	if b.logged != 0 && now.Sub(b.logged) < logInterval {
		return
	}
	b.decide("inboundBudgetExhausted", "bytes", b.ledger.size[small]+b.ledger.size[large], "used", b.ledger.used[small]+b.ledger.used[large],
		"waiting", b.ledger.waiters[small].Len()+b.ledger.waiters[large].Len(), "refused", b.refused, "evicted", b.evicted)
	b.logged, b.refused, b.evicted = now, 0, 0
}

func (b *Budget) decide(kind string, inputs ...any) {
	if b.log != nil {
		b.log.Decision(kind, b.name, inputs...)
	}
}

// report updates the gauges. b.mu is held.
func (b *Budget) report() {
	b.sizeGauge.Update(float64(b.ledger.size[small] + b.ledger.size[large]))
	b.usedGauge.Update(float64(b.ledger.used[small] + b.ledger.used[large]))
}
