package decision_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/node/decision"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
}

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

func TestDecisionBlockedOutput(t *testing.T) {
	out := blockedWriter{release: make(chan struct{})}
	l := decision.New("a1", hclog.Info, out)
	done := make(chan struct{})
	go func() {
		for i := range 20_000 {
			l.Decision(fmt.Sprint("kind", i%100), "r1", "attempt", i)
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("Decision blocks on the output")
	}
	close(out.release)
	l.Close()
}

// TestClose writes lines during and after Close, which must not panic, and closes a log whose
// output is blocked, which must not hang.
func TestClose(t *testing.T) {
	l := decision.New("a1", hclog.Info, io.Discard)
	var writers sync.WaitGroup
	for range 4 {
		writers.Add(1)
		go func() {
			defer writers.Done()
			for range 2000 {
				l.Logger().Warn("line")
			}
		}()
	}
	l.Close()
	writers.Wait()
	out := blockedWriter{release: make(chan struct{})}
	stuck := decision.New("a1", hclog.Info, out)
	stuck.Decision("kind", "r1")
	start := time.Now()
	stuck.Close()
	assert.Assert(t, time.Since(start) < 2*time.Second)
	close(out.release)
}

func TestDecisionRateLimit(t *testing.T) {
	var out bytes.Buffer
	l := decision.New("a1", hclog.Info, &out)
	start := time.Now()
	for range 5000 {
		l.Decision("refused", "r1", "reason", "full")
	}
	seconds := int(time.Since(start)/time.Second) + 2
	l.Close()
	lines := strings.Count(out.String(), `"@message":"refused"`)
	assert.Assert(t, lines >= 200 && lines <= 200*seconds, "%d lines written, outside the rate limit", lines)
}
