package forward

import (
	"context"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
)

// Bounds of a round of loans.
const (
	// loanTimeout bounds a round, and askTimeout one question in it: a running stream
	// waits for it, and its next event is due within a few times that span.
	loanTimeout = 100 * time.Millisecond
	askTimeout  = 30 * time.Millisecond
	// maxLenders is how many VMs one round asks.
	maxLenders = 8
	// maxRounds is how many rounds one request waits for: those that joined one late may
	// have got nothing of it.
	maxRounds = 3
	// loanPause is for how long nobody is asked after a round that got nothing.
	loanPause = 250 * clock.Millisecond
	// maxPools bounds the pools whose shares a VM keeps by the word of others.
	maxPools = 1024
)

// Lenders are the VMs whose parts of the retry limits this one may borrow from.
type Lenders interface {
	// Others names the other live VMs.
	Others() []string
	// Borrow asks one for repeats and returns how many it lent.
	Borrow(ctx context.Context, vm, pool string, repeats int) (int, error)
}

// loanRound asks other VMs for the repeats that requests wait for. Requests that need
// one at the same time share a round.
type loanRound struct {
	done   chan struct{} // Closed at the end.
	wanted int
}

// mayRepeat asks for one more send of a request to a pool: out of this VM's part, or
// out of what others lend.
func (h *Handler) mayRepeat(ctx context.Context, pool, requestID string) bool {
	vms := h.cfg.VMs()
	for range maxRounds {
		h.mu.Lock()
		if h.share(pool).Repeat(h.cfg.Clock.Now(), vms) {
			h.mu.Unlock()
			return true
		}
		r, leads := h.joinRound(pool)
		h.mu.Unlock()
		if r == nil {
			return false
		}
		if leads {
			h.borrow(ctx, r, pool, requestID)
		}
		select {
		case <-r.done:
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// joinRound returns the round under way, or a new one that the request leads, or nil
// when nobody lends at present. The caller holds the lock.
func (h *Handler) joinRound(pool string) (r *loanRound, leads bool) {
	if h.cfg.Lenders == nil || h.cfg.Clock.Now().Before(h.noLoans[pool]) {
		return nil, false
	}
	r = h.rounds[pool]
	if r == nil {
		r, leads = &loanRound{done: make(chan struct{})}, true
		h.rounds[pool] = r
	}
	r.wanted++
	return r, leads
}

// borrow runs a round. It ends for all who wait, also when the request that leads it
// does.
func (h *Handler) borrow(ctx context.Context, r *loanRound, pool, requestID string) {
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	others := h.cfg.Lenders.Others()
	got, asked, failed, wanted := 0, 0, 0, 0
	for len(others) > 0 && asked < maxLenders && ctx.Err() == nil {
		h.mu.Lock()
		wanted = r.wanted
		at := h.src.IntN(len(others))
		h.mu.Unlock()
		if got >= wanted {
			break
		}
		vm := others[at]
		others[at] = others[len(others)-1]
		others = others[:len(others)-1]
		asked++
		ask, end := context.WithTimeout(ctx, askTimeout)
		lent, err := h.cfg.Lenders.Borrow(ask, vm, pool, wanted-got)
		end()
		if err != nil {
			failed++
			continue
		}
		got += lent
		h.mu.Lock()
		h.share(pool).Borrow(h.cfg.Clock.Now(), lent)
		h.mu.Unlock()
	}
	h.cfg.Log.Decision("repeatsBorrowed", requestID, "pool", pool, "wanted", wanted, "got", got, "asked", asked, "failed", failed)
	h.mu.Lock()
	defer h.mu.Unlock()
	if got == 0 {
		h.noLoans[pool] = h.cfg.Clock.Now().Add(loanPause)
	}
	delete(h.rounds, pool)
	close(r.done)
}

// Lend gives another VM repeats out of this one's part of a pool's retry limit.
func (h *Handler) Lend(pool string, repeats int) int {
	vms := h.cfg.VMs()
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.retries) >= maxPools && h.retries[pool] == nil {
		return 0
	}
	return h.share(pool).Lend(h.cfg.Clock.Now(), vms, repeats)
}
