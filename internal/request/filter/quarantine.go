package filter

import (
	"context"
	"strings"

	"github.com/jasminecove/jasminecove/internal/request/exchange"
	"github.com/jasminecove/jasminecove/internal/request/quarantine"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
)

// PartsHeader lists the parts of the prompt in order, separated by commas. The last part is the
// request's own; others may have the parts before it too. Without it, the parts of a model call are
// its messages.
const PartsHeader = "Jasminecove-Prompt-Parts"

// Quarantine refuses requests on which, or on a prompt part of which, upstreams crash.
type Quarantine struct {
	guard *quarantine.Guard
}

// NewQuarantine returns the filter.
func NewQuarantine(guard *quarantine.Guard) *Quarantine { return &Quarantine{guard: guard} }

// Name implements exchange.Filter.
func (q *Quarantine) Name() string { return "quarantine" }

// Serve implements exchange.Filter.
func (q *Quarantine) Serve(ctx context.Context, x *exchange.Exchange, next exchange.Handler) error {
	x.PromptParts = quarantine.Parts(strings.Join(x.R.Header.Values(PartsHeader), ","))
	if len(x.PromptParts) == 0 && x.Model != nil {
		x.PromptParts = x.Model.Parts
	}
	x.Fingerprints = quarantine.Request{Organisation: x.Organisation, Method: x.R.Method, Host: x.R.Host, Path: x.R.URL.EscapedPath(), Query: x.R.URL.RawQuery, Parts: x.PromptParts, Body: [][]byte{x.Body}}.Fingerprints()
	if err := quarantineError(q.guard.Check(suspects(x))); err != nil {
		return err
	}
	return next(ctx, x)
}

// suspects returns the keys of a request.
func suspects(x *exchange.Exchange) []string {
	return quarantine.Keys(x.PromptParts, x.Fingerprints)
}

// quarantineError returns the refusal of a request that a quarantine keeps from upstreams, or nil.
func quarantineError(b quarantine.Block, quarantined bool) error {
	if !quarantined {
		return nil
	}
	return refusal.NewQuarantined(b.Subject(), b.Crashes, b.Left)
}
