package forward

import (
	"context"
	"errors"

	"github.com/jasminecove/jasminecove/internal/request/exchange"
	"github.com/jasminecove/jasminecove/internal/request/quarantine"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
)

// quarantineFilter refuses requests with a part on which upstreams crash, before their bodies are read.
type quarantineFilter struct{ h *Handler }

// Name implements exchange.Filter.
func (f *quarantineFilter) Name() string { return "quarantine" }

// Serve implements exchange.Filter.
func (f *quarantineFilter) Serve(ctx context.Context, x *exchange.Exchange, next exchange.Handler) error {
	if err := quarantineError(f.h.cfg.Quarantine.Check(x.PromptParts)); err != nil {
		return err
	}
	return next(ctx, x)
}

// quarantineError returns the refusal of a request that a quarantine keeps from upstreams, or nil.
func quarantineError(b quarantine.Block, quarantined bool) error {
	if !quarantined {
		return nil
	}
	return refusal.NewQuarantined(b.Subject(), b.Crashes, b.Left).WithCause(errQuarantined)
}

// watchRequest returns a Watch for the runs of a request.
func (h *Handler) watchRequest(x *exchange.Exchange) *quarantine.Watch {
	return h.cfg.Quarantine.Watch(x.ID, quarantine.Keys(x.PromptParts, x.Fingerprints), h.cfg.Catalog.StartTimes)
}

// isBreak reports whether an error means that an upstream broke off a run, rather than that the
// caller left or the deadline passed.
func isBreak(err error) bool {
	return err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}
