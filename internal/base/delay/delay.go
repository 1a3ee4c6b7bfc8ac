// Package delay provides waits that end when a context is cancelled.
package delay

import (
	"context"
	"time"
)

// Wait returns nil after the duration d, or the context's cause as soon as ctx is cancelled.
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

// Every calls f at a fixed interval until ctx is cancelled.
func Every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
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
