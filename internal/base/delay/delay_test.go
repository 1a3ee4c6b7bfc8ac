package delay_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/delay"
)

func TestWaitContextCancelled(t *testing.T) {
	assert.NilError(t, delay.Wait(t.Context(), time.Microsecond))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, delay.Wait(ctx, time.Hour), context.Canceled)
}
