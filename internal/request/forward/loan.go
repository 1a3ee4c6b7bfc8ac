package forward

import (
	"context"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
)

// Limits of a loan round.
const (
	// loanRoundTimeout bounds a round and borrowTimeout one request in it. A running stream waits
	// for the round, and its next event is due within a few times that duration.
	loanRoundTimeout = 100 * time.Millisecond
	borrowTimeout    = 30 * time.Millisecond
	// maxLenders is the maximum number of VMs that one round asks.
	maxLenders = 8
	// maxLoanRounds is the maximum number of rounds that one request waits for. A request that
	// joined a round late may have received nothing from it.
	maxLoanRounds = 3
	// loanDelay is the delay after a round without a loan before the next round.
	loanDelay = 250 * clock.Millisecond
	// maxPools bounds the pools for which requests of other VMs may create a retry share.
	maxPools = 1024
)

// Lenders gives access to the VMs from whose parts of the retry limits this VM may borrow.
type Lenders interface {
	// Others returns the names of the other live VMs.
	Others() []string
	// Borrow asks a VM for retries and returns the number that it lent.
	Borrow(ctx context.Context, vm, pool string, retries int) (int, error)
}

// loanRound borrows the retries that requests are waiting for from other VMs. Requests to
// the same pool that need a retry at the same time share a round.
type loanRound struct {
	done    chan struct{} // Closed at the end.
	wanted  int           // Requests that wait for the round.
	granted int           // Retries reserved for them.
}

// allowRetry reports whether a request to a pool may be sent once more. It takes the retry
// from this VM's part of the limit or from loans of other VMs.
func (h *Handler) allowRetry(ctx context.Context, pool, requestID string) bool {
	vms := h.cfg.VMs()
	for range maxLoanRounds {
		h.mu.Lock()
		if h.retryShare(pool).AllowRetry(h.cfg.Clock.Now(), vms) {
			h.mu.Unlock()
			return true
		}
		r, leader := h.joinRound(pool)
		h.mu.Unlock()
		if r == nil {
			return false
		}
		if leader {
			h.borrow(ctx, r, pool, requestID)
		}
		select {
		case <-r.done:
		case <-ctx.Done():
			return false
		}
		if h.takeGranted(r) {
			return true
		}
	}
	return false
}

// takeGranted takes one of the retries reserved for the requests that waited for a round.
func (h *Handler) takeGranted(r *loanRound) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.granted == 0 {
		return false
	}
	r.granted--
	return true
}

// joinRound returns the round in progress, or a new round that the request leads, or nil
// if no loans are available at present. The caller must hold h.mu.
func (h *Handler) joinRound(pool string) (r *loanRound, leader bool) {
	if h.cfg.Lenders == nil || h.cfg.Clock.Now().Before(h.noLoansUntil[pool]) {
		return nil, false
	}
	r = h.loanRounds[pool]
	if r == nil {
		r, leader = &loanRound{done: make(chan struct{})}, true
		h.loanRounds[pool] = r
	}
	r.wanted++
	return r, leader
}

// borrow runs a round. The round goes on when the request that leads it is canceled, because
// other requests wait for it too.
func (h *Handler) borrow(ctx context.Context, r *loanRound, pool, requestID string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), loanRoundTimeout)
	defer cancel()
	got, asked, failed, wanted := 0, 0, 0, 0
	defer func() { h.endRound(r, pool, got) }() // Also after a panic, as other requests wait.
	others := h.cfg.Lenders.Others()
	for len(others) > 0 && asked < maxLenders && ctx.Err() == nil {
		h.mu.Lock()
		wanted = r.wanted
		missing := wanted - r.granted
		at := h.src.IntN(len(others))
		h.mu.Unlock()
		if missing <= 0 {
			break
		}
		vm := others[at]
		others[at] = others[len(others)-1]
		others = others[:len(others)-1]
		asked++
		askCtx, cancelAsk := context.WithTimeout(ctx, borrowTimeout)
		lent, err := h.cfg.Lenders.Borrow(askCtx, vm, pool, missing)
		cancelAsk()
		if err != nil {
			failed++
			continue
		}
		got += lent
		h.reserve(r, pool, lent)
	}
	h.cfg.Log.Decision("repeatsBorrowed", requestID, "pool", pool, "wanted", wanted, "got", got, "asked", asked, "failed", failed)
}

// endRound ends a round that got a number of retries.
func (h *Handler) endRound(r *loanRound, pool string, got int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if got == 0 {
		h.noLoansUntil[pool] = h.cfg.Clock.Now().Add(loanDelay)
	}
	delete(h.loanRounds, pool)
	close(r.done)
}

// reserve adds borrowed retries to the pool's share and reserves them for the requests that
// wait for the round, so that requests that come later cannot use them first.
func (h *Handler) reserve(r *loanRound, pool string, lent int) {
	vms, now := h.cfg.VMs(), h.cfg.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	share := h.retryShare(pool)
	share.Borrow(now, lent)
	for r.granted < r.wanted && share.AllowRetry(now, vms) {
		r.granted++
	}
}

// Lend lends retries from this VM's part of a pool's retry limit to another VM and returns
// the number lent.
func (h *Handler) Lend(pool string, retries int) int {
	vms := h.cfg.VMs()
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.retryShares) >= maxPools && h.retryShares[pool] == nil {
		return 0
	}
	return h.retryShare(pool).Lend(h.cfg.Clock.Now(), vms, retries)
}
