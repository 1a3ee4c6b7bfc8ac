// Package crash contains and logs panics: one line names the goroutine and holds the whole stack, as logs
// that are collected by line lose the trace that the runtime prints. A panic ends the request, message or
// decision that it belongs to. The violation of an invariant, which panics only in tests, ends the process.
package crash

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/jasminecove/jasminecove/internal/base/delay"
	"github.com/jasminecove/jasminecove/internal/base/invariant"
)

// Delays before a function that panicked runs again. The delay doubles with each panic, until the function
// has run for as long as the maximum.
const (
	minRestartDelay = 100 * time.Millisecond
	maxRestartDelay = 10 * time.Second
)

// timeFormat is that of the other lines of the log.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

var logger atomic.Pointer[hclog.Logger]

func init() { SetOutput("", os.Stderr) }

// SetOutput sets the name of the VM and where lines go. Lines are written at once, by one call of
// Write. The process has one output; a later call replaces it.
func SetOutput(vm string, out io.Writer) {
	l := hclog.New(&hclog.LoggerOptions{Name: vm, JSONFormat: true, Output: out, TimeFormat: timeFormat})
	logger.Store(&l)
}

// Go runs f in a new goroutine, and contains a panic of it. The name says in logs what the goroutine does.
func Go(name string, f func()) {
	go func() {
		defer Recover(name)
		f()
	}()
}

// Restart runs f, and after a panic runs it again, until f returns or ctx ends.
func Restart(ctx context.Context, name string, f func()) {
	wait := minRestartDelay
	for {
		started := time.Now()
		if Contain(name, f) {
			return
		}
		if time.Since(started) >= maxRestartDelay {
			wait = minRestartDelay
		}
		if delay.Wait(ctx, wait) != nil {
			return
		}
		wait = min(2*wait, maxRestartDelay)
	}
}

// Report logs a panic of the goroutine that defers it, and panics again, which ends the process.
func Report(name string) {
	if v := recover(); v != nil {
		write(name, v)
		panic(v)
	}
}

var contained atomic.Int64

// Recover logs and counts a panic of the function that defers it, which ends that function only. It must
// be deferred itself. What the function holds must be released by other deferred calls.
func Recover(name string) {
	if v := recover(); v != nil {
		contain(name, v)
	}
}

// Contain runs f, and logs and counts a panic of it, which ends f only. It is for what leaves no lock held
// and no invariant broken, or what the caller then repairs. Contain reports whether f ended without a panic.
func Contain(name string, f func()) (ok bool) {
	defer Recover(name)
	f()
	return true
}

func contain(name string, value any) {
	write(name, value)
	if v, ok := value.(*invariant.Violation); ok {
		panic(v)
	}
	contained.Add(1)
}

// Contained returns how many panics Contain has logged.
func Contained() int64 { return contained.Load() }

// Handler returns a handler that logs panics of another one. The panic ends the request and its
// connection, not the process.
func Handler(name string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if v := recover(); v != nil {
				if v != http.ErrAbortHandler {
					write(name, v)
				}
				panic(http.ErrAbortHandler)
			}
		}()
		h.ServeHTTP(w, r)
	})
}

func write(goroutine string, value any) {
	(*logger.Load()).Error("panic", "goroutine", goroutine, "value", fmt.Sprint(value), "stack", string(debug.Stack()))
}
