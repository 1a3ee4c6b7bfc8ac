package controlplane

import (
	"context"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/crash"
)

// hedgeInterval is the interval at which further VMs are called while those called so far have not answered.
const hedgeInterval = 100 * time.Millisecond

// callSeveral calls VMs until a number of them have answered without an error. A VM that does not answer soon
// is not waited for: another one is called beside it. next returns the VM to call, or "" if there is none now.
// callSeveral fails when ctx ends, and with the last error when no call is pending and none is left.
func callSeveral(ctx context.Context, needed int, next func() string, call func(ctx context.Context, vm string) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error)
	pending := 0
	ask := func() {
		vm := next()
		if vm == "" {
			return
		}
		pending++
		crash.Go("call of several VMs", func() {
			err := error(ErrUnanswered) // Also after a panic.
			defer func() {
				select {
				case results <- err:
				case <-ctx.Done():
				}
			}()
			err = call(ctx, vm)
		})
	}
	for range needed {
		ask()
	}
	hedge := time.NewTicker(hedgeInterval)
	defer hedge.Stop()
	for needed > 0 {
		select {
		case err := <-results:
			pending--
			if err == nil {
				needed--
				continue
			}
			ask()
			if pending == 0 {
				return err
			}
		case <-hedge.C:
			ask()
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}
