package assembly_test

import (
	"context"
	"io"
	"os"
	"testing"
	"time"
)

// hangBound ends a test that would hang; it is not a bound on what is tested.
const hangBound = 30 * time.Second

// eventually fails the test unless a condition becomes true within hangBound.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(hangBound); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("condition not met in time: %s", what)
}

func contextWithCancel(t *testing.T) (context.Context, context.CancelFunc) {
	t.Helper()
	return context.WithCancel(t.Context())
}

func testOut() io.Writer {
	if os.Getenv("JASMINECOVE_LOG") != "" {
		return os.Stderr
	}
	return io.Discard
}
