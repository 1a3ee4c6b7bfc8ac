// Package delay waits without outliving a context.
package delay

import (
	"context"
	"time"
)

// Wait returns nil after the span d, or the context's cause as soon as ctx ends.
func Wait(ctx context.Context, d time.Duration) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return nil
	}
}

// Every calls f at a fixed span until ctx ends.
func Every(ctx context.Context, span time.Duration, f func()) {
	ticker := time.NewTicker(span)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}
