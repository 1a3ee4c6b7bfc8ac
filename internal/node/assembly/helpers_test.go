package assembly_test

import (
	"context"
	"io"
	"os"
	"testing"
	"time"
)

// hangBound ends a test that would hang; it is no bound on what is tested.
const hangBound = 30 * time.Second

// eventually waits for a condition that must come true.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(hangBound); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("never: %s", what)
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
