package refusal_test

import (
	"fmt"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/request/refusal"
)

func ExampleRefusal_Problem() {
	r := refusal.New(refusal.UnknownModel, 404, "no route serves model %q", "x")
	fmt.Println(r.Problem("r1").Type, r.Outcome)
	// Output: urn:jasminecove:problem:unknownModel notRun
}

func TestRetryAfterIsRoundedUp(t *testing.T) {
	w := httptest.NewRecorder()
	refusal.New(refusal.Overloaded, 429, "full").WithRetryAfter(1200*clock.Millisecond).Write(w, "r1")
	assert.Equal(t, w.Header().Get("Retry-After"), "2")
	assert.Equal(t, w.Header().Get("Retry-After-Ms"), "1200")
	assert.Equal(t, w.Header().Get("Content-Type"), refusal.ContentType)
	assert.Equal(t, w.Header().Get(refusal.OutcomeHeader), "notRun")
}

func TestWithReturnsACopy(t *testing.T) {
	a := refusal.New(refusal.Internal, 500, "x")
	b := a.WithOutcome(refusal.Unknown)
	assert.Equal(t, a.Outcome, refusal.NotRun)
	assert.Equal(t, b.Outcome, refusal.Unknown)
}
