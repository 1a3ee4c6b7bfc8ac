package forward_test

import (
	"context"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPanicOfStallCheck guards against a stream that hangs on a blocked engine once a check of it has panicked.
func TestPanicOfStallCheck(t *testing.T) {
	f := newFixture(t)
	f.start(t, "e1", "crew", 0, 8, serveNothing)
	var once sync.Once
	f.stalled = func(context.Context, string, string) {
		once.Do(func() { f.start(t, "e2", "crew", 0, 8, events(5, 0)) })
		panic("check")
	}
	_, body, err := f.do(t, "POST", "/draft/1", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, body, wantEvents(1, 5))
}
